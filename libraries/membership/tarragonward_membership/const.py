"""Hold the intervals, limits and sizes of membership and gossip."""

from __future__ import annotations

# A round grows with the number of hosts, so that few hosts hear of each other within
# a second and many stay below their byte budget.
ROUND_SECONDS_A_HOST = 0.025
MIN_ROUND_SECONDS = 0.25
MAX_ROUND_SECONDS = 1.5
BRIDGE_ROUNDS = 1
BRIDGE_ROUNDS_LARGE = 4
REGION_ROUNDS_LARGE = 6
LARGE_FLEET_HOSTS = 40
DEAD_PROBE_ROUNDS = 4

PROBE_TIMEOUT_SECONDS = 0.5
INDIRECT_TIMEOUT_SECONDS = 1.0
INDIRECT_HELPERS = 3
SUSPICION_SECONDS = 2.0
SUSPICION_ROUNDS_A_DOUBLING = 1.0
FREEZE_SECONDS = 1.5

HEARTBEAT_SECONDS_A_HOST = 0.2
MIN_HEARTBEAT_SECONDS = 2.0
HEARTBEAT_TRANSMISSIONS = 2
CHANGE_TRANSMISSIONS_A_DOUBLING = 3

# What one message may hold of each kind, on top of its own 60 bytes or so.
# Loads get what records and demands leave.
MAX_RECORDS_BYTES = 200
MAX_HEARTBEATS_BYTES = 80
MAX_RECORD_BYTES = 40
MAX_DIGESTS_BYTES = 280
MAX_DIGESTS_BYTES_SMALL = 700
MAX_DEMANDS_BYTES = 60
MAX_DEMANDS_BYTES_SMALL = 300

MAX_UNLISTED_MEMBERS = 64
FORGET_UNLISTED_SECONDS = 120.0
MAX_SIGHTINGS_AN_ADDRESS = 8
MAX_SIGHTED_ADDRESSES = 1_024

TARGET_WATCHERS = 2
BRIDGES_A_DOMAIN = 2

AGE_MARGIN_SECONDS = 0.3
AGE_STEP_SECONDS = 0.1
LOAD_TRANSMISSIONS = 3
MAX_LOAD_AGE_SECONDS = 25.0
DEMAND_NEW_SECONDS = 1.0
DEMAND_TRANSMISSIONS = 4
MAX_DEMAND_ACCOUNTS = 16
MAX_DEMAND_AGE_SECONDS = 60.0
MAX_DEMANDS = 256

DOUBT_PROBE_SECONDS = 1.0
DOUBT_FAILURES = 2
MAX_DOUBTS = 64
FORGET_DOUBT_SECONDS = 120.0

LEAVING_HOLD_SECONDS = 15.0
MISSING_READS = 4

# Membership by seeds, without a host list.
HELLO_INTERVAL_SECONDS = 0.2
# Up to this many peers each hears from each; with more, a few are told each round.
MAX_MESH_PEERS = 12
HELLO_FANOUT = 3
# This share of hellos may leave the failure domain; bytes between domains are dear.
CROSS_DOMAIN_HELLO_SHARE = 0.25
MAX_GOSSIP_BYTES_PER_SECOND = 2_500
MAX_MATES_BYTES_PER_SECOND = 16_000
# What all hosts together may tell a second, so that each of very many tells less. What
# mates are told stays within a failure domain, so it may be more.
FLEET_GOSSIP_BYTES = 400_000
FLEET_MATES_BYTES = 3_200_000
# More mates than a mesh has are told again in rounds after so long, as a repair.
MATES_ROUND_SECONDS = 2.0
# News are told at once as long as rounds can pay for them within so long.
MATES_DEBT_SECONDS = 1.0
MESH_HELLO_ENTRIES = 3
GOSSIP_HELLO_ENTRIES = 20
MAX_HELLO_ENTRIES = 64
MAX_NAME_LENGTH = 128
PORT_LIMIT = 65_536
MAX_SEED_PEERS = 4_096
SEED_RETRY_SECONDS = 1.0
SEED_HURRY_SECONDS = 3.0
# Silence after which a peer is dropped: at least so long, and longer in large fleets,
# where news of each comes more seldom.
PEER_SILENT_SECONDS = 3.0
PEER_SILENT_SECONDS_A_PEER = 0.1
MAX_LOST_PEERS = 64
# A host that stood still has read all that lay in its sockets after so long.
WOKEN_SECONDS = 0.5
HOST_COUNT_MEMORY_SECONDS = 300.0
HOST_COUNT_GUESS_SECONDS = 60.0
STARTUP_HOSTS_PER_SEED = 3
