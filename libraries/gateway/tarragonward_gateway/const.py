"""Hold the gateway's intervals, sizes and keys of settings."""

from __future__ import annotations

CONF_HOST = "host"
CONF_NAME = "name"
CONF_FAILURE_DOMAIN = "failure_domain"
CONF_ADDRESSES = "addresses"
CONF_CALLERS = "callers"
CONF_HEALTH = "health"
CONF_CONTROL = "control"
CONF_PEERS = "peers"
CONF_SEEDS = "seeds"
CONF_SOURCE = "source"
CONF_METRICS = "metrics"
CONF_BOUNDS = "bounds"
CONF_DRAIN_SECONDS = "drain_seconds"
CONF_GRACE_SECONDS = "grace_seconds"
CONF_APPLY_SECONDS = "apply_seconds"
CONF_RETRY_SHARE = "retry_share"
CONF_RETRY_SLACK = "retry_slack"
CONF_RETRY_WINDOW_SECONDS = "retry_window_seconds"
CONF_RESERVATION_SECONDS = "reservation_seconds"
CONF_STALL_SECONDS = "stall_seconds"
CONF_FREE_SECONDS = "free_seconds"

DEFAULT_DRAIN_SECONDS = 2.0
DEFAULT_GRACE_SECONDS = 8.0
DEFAULT_APPLY_SECONDS = 2.0
DEFAULT_RETRY_SHARE = 0.2
DEFAULT_RETRY_SLACK = 100.0
DEFAULT_RETRY_WINDOW_SECONDS = 10.0
DEFAULT_RESERVATION_SECONDS = 20.0
DEFAULT_STALL_SECONDS = 1.5
DEFAULT_FREE_SECONDS = 4.0
DEFAULT_LOG_LINES_PER_SECOND = 40.0

MIN_WATCH_SECONDS = 2.5
MAX_WATCH_SECONDS = 25.0
# One of the hosts ends a watch about each so many seconds.
WATCH_SLOT_SECONDS = 1.3
# The same in a fleet where a few hosts of each group ask: what those that are fed know
# must mostly be younger than what lets them ask by themselves.
FED_WATCH_SLOT_SECONDS = 0.5
READERS_A_GROUP = 2
# A reader that nobody heard for so long is passed over.
READER_SILENT_SECONDS = 3.0
# A host that others ask for asks by itself once what it holds was confirmed so long
# ago; the later, the farther back its place, so that one asks for all.
FED_SECONDS = 1.1
FED_GROUPS_SECONDS = 0.4
FED_RANK_SECONDS = 0.03
FED_WATCH_SECONDS = 0.05
FED_CHECK_SECONDS = 0.05
# What another group's word must make this host surer by to be told to its mates.
RELAY_SECONDS = 0.5
WATCH_ANSWER_SECONDS = 1.0
# A watch is given up once what the host holds was confirmed so long ago, by anyone. In
# a fleet in order that takes half of it at most.
UNCONFIRMED_SECONDS = 2.2
UNCONFIRMED_CHECK_SECONDS = 0.1
READ_SECONDS = 1.5
# A reading by pages is begun anew when older; the source's history is longer.
MAX_READING_SECONDS = 8.0
CHANGE_PAUSE_SECONDS = 0.1
CROWD_SECONDS = 1.0
CROWD_PAUSE_SECONDS = 0.4
SOURCE_RETRY_FIRST_SECONDS = 0.05
SOURCE_RETRY_MAX_SECONDS = 0.8
SOURCE_RETRY_SECONDS_A_HOST = 0.3
SOURCE_RETRY_LIMIT_SECONDS = 5.0
# A peer that is ahead for longer shows that this host's watch is dead.
BEHIND_SECONDS = 0.7
# A host that starts and is no seed leaves the first readings to those that are, for so
# long; while peers give it what they hold, it waits on, up to so long in all. A seed
# that is up answers its first hello well within the first time.
SEED_ANSWER_SECONDS = 0.05
START_WAIT_SECONDS = 0.2
START_PULL_SECONDS = 0.5
START_LONGEST_SECONDS = 2.0
# How many peers are given records at a time: on a thin link two have them before four
# would, and give them on. The others ask another host.
MAX_PORTIONS_GIVEN = 2
ASK_PEER_SECONDS = 0.25
# A peer that gave nothing is followed by another one after so long at most.
ASK_NEXT_PEER_SECONDS = 0.1
MAX_HOLDERS = 16
MAX_PULLS = 2
ASK_PEER_TIMEOUT_SECONDS = 1.0
HINT_MARGIN_SECONDS = 0.1
# More than a datagram takes at best from one host to another.
HOP_SECONDS = 0.01
RETURN_SPREAD_SECONDS = 0.4
OUTAGE_SECONDS = 1.0
OUTAGE_MEMORY_SECONDS = 3.0
# So long without any answer, to this host or one that it knows, is an outage too.
OUTAGE_AGE_SECONDS = 5.0
# Of the time that a leaving target goes on serving, how much is used for one whose
# record may have lapsed only because the source was away: the most where a reading
# after it lacks the record; less where its withdrawal is told as a change, which takes
# up to a second to be heard, or where the outage is a guess.
LINGER_SHARE = 0.9
GUESSED_LINGER_SHARE = 0.6
# So many ready targets of a service that vanish at once have lapsed, not left.
LAPSE_SHARE = 0.3
LAPSE_MIN_TARGETS = 3
MAX_WITHDRAWN_RECORDS = 4_096
RECORDS_PATH = "/records"
RECORDS_FORMAT = 2
# The fastest level: a table of 1,570 routes (332,829 bytes, drawn names) becomes a
# seventh in 2.6 ms of a core (mean of 50 runs of zlib on it).
RECORDS_COMPRESSION = 1
# A starting fleet asks for the same few portions.
MAX_PACKED_PORTIONS = 4
MAX_RECORDS_BYTES = 16 * 1024 * 1024

# A packet that is lost on the way to a new connection is sent again after a second or
# more, so waiting on towards that brings nothing; a target's answer takes far less.
CELL_SECONDS = 0.5
# How often a host of another cell is told of this cell's engines, and all of them of a
# long reading that goes on.
CELL_GOSSIP_SECONDS = 0.25
READING_REPEAT_SECONDS = 1.5
# What a host may tell other cells of its readings.
MAX_READING_BYTES_PER_SECOND = 4_000
PLACE_SECONDS = 1.0

CONNECT_SECONDS = 0.2
TARGET_UNREACHABLE_SECONDS = 2.5
# How often it is looked at which doubted targets are due to be connected to.
PROBE_ROUND_SECONDS = 0.1
MAX_ANSWER_BYTES = 16 * 1024 * 1024
NOT_READY_RETRY_SECONDS = 0.3
# A host that starts holds a request for so long until it has a table, as long as it
# started no longer ago than that, and for this share of the caller's time at most.
START_HOLD_SECONDS = 0.5
START_SECONDS = 1.0
START_HOLD_SHARE = 0.25
# Other hosts serve already: the caller loses its aim by waiting.
DRAINING_RETRY_SECONDS = 0.02
ROUTE_UNSURE_RETRY_SECONDS = 0.3
DRAIN_MARGIN_SECONDS = 0.4
BALANCER_NOTICE_SECONDS = 3.0
ORDER_SECONDS = 0.4
HOLD_SHARE = 0.7
RENEW_SHARE = 0.35
RELEASE_RETRY_SECONDS = 0.1
RESERVATION_TRIES = 4
RESERVATION_RETRY_SECONDS = 0.04

TABLE_FRESH_SECONDS = 4.0

PEER_FORMAT = 1
# A datagram is kept within a few packets; sections that do not fit are left out.
MAX_SENT_DATAGRAM_BYTES = 4_096
MAX_TAKEN_DATAGRAM_BYTES = 8_192
MAX_SECTIONS = 16
PEER_ROUND_JITTER = 0.1
# A round that comes so much later than asked shows that the process stood still.
PAUSE_SECONDS = 1.0
# What two clocks that are read one after the other differ by is far less.
SUSPENDED_SECONDS = 0.02

# What several crashes tell within so long goes out together.
SUSPECT_NEWS_SECONDS = 0.02
# Hosts that learn the same by putting together what they were told wait for up to so
# long, each for a random time: the first one's word spares the others theirs.
SUSPECT_TURN_SECONDS = 0.3
SUSPECT_KEEPERS_A_DOMAIN = 2
MAX_SUSPECTS_TOLD = 24
MAX_SUSPECTS_IN_ROUNDS = 6
SUSPECT_CHECK_SECONDS = 10.0

LIMIT_NEWS_SECONDS = 0.02
MAX_LIMITS_TOLD = 64
MAX_LIMITS_IN_ROUNDS = 12
LIMIT_CHECK_SECONDS = 5.0
HOST_VIEW_SECONDS = 0.25

LOG_BURST_LINES = 200
MAX_TRAIL_LINES = 24
SETTINGS_CHECK_SECONDS = 1.0
ROUTE_METRICS = "/metrics"
ROUTE_SUSPECTS = "/suspects"

# How long a target may say nothing: so many times the predicted time and the aim, and
# so many times the pause aim; at least so long.
SILENCE_FACTOR = 3.0
SILENCE_PAUSES = 4.0
SILENCE_MIN_FIRST_SECONDS = 0.5
SILENCE_MIN_PAUSE_SECONDS = 0.8
SILENCE_AGAIN_SECONDS = 0.2
# A first event is overdue after so many times the predicted time and so long. Its
# target is left for one that needs at most this share of what is left until the aim.
OVERDUE_FACTOR = 1.5
OVERDUE_SECONDS = 0.05
OVERDUE_ELSEWHERE_SHARE = 0.8
# A plan goes through all engines given: among more than this it holds the host up.
MAX_WIDE_ENGINES = 256
SILENCE_MIN_LEFT_SECONDS = 0.3
