"""Hold the intervals, limits and sizes of membership and gossip."""

from __future__ import annotations

# Rounds get longer with the number of hosts: a small fleet spreads updates within a
# second, and the hosts of a large one stay within their traffic limit.
ROUND_SECONDS_PER_HOST = 0.025
MIN_ROUND_SECONDS = 0.25
MAX_ROUND_SECONDS = 1.5
BRIDGE_INTERVAL_ROUNDS = 1
BRIDGE_INTERVAL_ROUNDS_LARGE = 4
REGION_INTERVAL_ROUNDS_LARGE = 6
LARGE_FLEET_HOSTS = 40
DEAD_PROBE_INTERVAL_ROUNDS = 4

PROBE_TIMEOUT_SECONDS = 0.5
INDIRECT_TIMEOUT_SECONDS = 1.0
INDIRECT_HELPERS = 3
SUSPICION_SECONDS = 2.0
SUSPICION_ROUNDS_PER_DOUBLING = 1.0
PROCESS_PAUSE_SECONDS = 1.5

HEARTBEAT_SECONDS_PER_HOST = 0.2
MIN_HEARTBEAT_SECONDS = 2.0
HEARTBEAT_TRANSMISSIONS = 2
CHANGE_TRANSMISSIONS_PER_DOUBLING = 3

# Space per message for each kind of content, besides some 60 bytes of its own fields.
# Loads get what records and demands leave of MAX_DIGESTS_BYTES.
MAX_RECORDS_BYTES = 200
MAX_HEARTBEATS_BYTES = 80
MAX_RECORD_BYTES = 40
MAX_DIGESTS_BYTES = 280
MAX_DIGESTS_BYTES_SMALL = 700
MAX_DEMANDS_BYTES = 60
MAX_DEMANDS_BYTES_SMALL = 300

MAX_UNLISTED_MEMBERS = 64
UNLISTED_RETENTION_SECONDS = 120.0
MAX_INCARNATIONS_PER_ADDRESS = 8
MAX_TRACKED_ADDRESSES = 1_024

WATCHERS_PER_TARGET = 2
BRIDGES_PER_DOMAIN = 2

AGE_MARGIN_SECONDS = 0.3
AGE_STEP_SECONDS = 0.1
LOAD_TRANSMISSIONS = 3
MAX_LOAD_AGE_SECONDS = 25.0
DEMAND_UPDATE_SECONDS = 1.0
DEMAND_TRANSMISSIONS = 4
MAX_DEMAND_ACCOUNTS = 16
MAX_DEMAND_AGE_SECONDS = 60.0
MAX_DEMANDS = 256

UNCONFIRMED_PROBE_INTERVAL_SECONDS = 1.0
UNCONFIRMED_MIN_FAILURES = 2
MAX_UNCONFIRMED = 64
UNCONFIRMED_RETENTION_SECONDS = 120.0

LEAVING_HOLD_SECONDS = 15.0
MISSING_LIST_READS = 4

# Membership by seeds, without a host list.
HELLO_INTERVAL_SECONDS = 0.2
# Up to this many peers form a full mesh; beyond it, each round reaches a few of them.
MAX_MESH_PEERS = 12
HELLO_FANOUT = 3
# Share of hellos sent to any domain: traffic between failure domains is expensive.
CROSS_DOMAIN_HELLO_SHARE = 0.25
MAX_GOSSIP_BYTES_PER_SECOND = 2_500
MAX_CELL_GOSSIP_BYTES_PER_SECOND = 16_000
# Limits for all hosts together, which lower the rate of each one in a very large fleet.
# Gossip between cell peers stays within a failure domain, so it may use more.
FLEET_GOSSIP_BYTES_PER_SECOND = 400_000
FLEET_CELL_GOSSIP_BYTES_PER_SECOND = 3_200_000
# With more cell peers than MAX_MESH_PEERS, rounds resend to each to repair losses.
CELL_REFRESH_SECONDS = 2.0
# Immediate updates may overdraw the byte credit by this many seconds of its rate.
MAX_CELL_DEBT_SECONDS = 1.0
MESH_HELLO_ENTRIES = 3
GOSSIP_HELLO_ENTRIES = 20
MAX_HELLO_ENTRIES = 64
MAX_NAME_LENGTH = 128
PORT_LIMIT = 65_536
MAX_SEED_PEERS = 4_096
SEED_RETRY_SECONDS = 1.0
SEED_STARTUP_SECONDS = 3.0
# Silence after which a peer is removed; longer in large fleets, where word of each one
# arrives less often.
PEER_TIMEOUT_SECONDS = 3.0
PEER_TIMEOUT_SECONDS_PER_PEER = 0.1
MAX_LOST_PEERS = 64
# Time in which a resumed host reads what its sockets buffered during the suspension.
RESUME_SETTLE_SECONDS = 0.5
HOST_COUNT_RETENTION_SECONDS = 300.0
HOST_COUNT_STARTUP_SECONDS = 60.0
STARTUP_HOSTS_PER_SEED = 3

# Orders to evacuate failure domains. Any writer may publish one, so they are bounded.
MAX_EVACUATIONS = 256
# How long an order stays in force that the source has lost by coming back from a copy.
LOST_EVACUATION_SECONDS = 30.0
