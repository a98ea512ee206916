"""Constants of the gateway: setting keys, intervals, sizes and limits."""

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
CONF_REGIONS = "regions"
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
DEFAULT_UNUSED_SECONDS = 9.0
DEFAULT_COLD_EXCESS = 1.0
DEFAULT_COLD_SLACK = 0.0
DEFAULT_LOG_LINES_PER_SECOND = 40.0

MIN_WATCH_SECONDS = 2.5
MAX_WATCH_SECONDS = 25.0
# Watches are staggered so that one host's watch ends about once per interval.
WATCH_STAGGER_SECONDS = 1.3
# In a large fleet only a few hosts of each group poll. Their interval is shorter, so
# that the data of the standbys is usually younger than STANDBY_POLL_AGE_SECONDS.
POLLER_WATCH_STAGGER_SECONDS = 0.5
POLLERS_PER_GROUP = 2
# A poller that no host has heard for this long is replaced by the next host.
POLLER_SILENT_SECONDS = 3.0
# A standby polls the source itself once its data was last confirmed this long ago.
# Group and rank add a delay, so that the answer to one standby serves all of them.
STANDBY_POLL_AGE_SECONDS = 1.1
STANDBY_GROUP_SPREAD_SECONDS = 0.4
STANDBY_RANK_STEP_SECONDS = 0.03
STANDBY_WATCH_SECONDS = 0.05
STANDBY_CHECK_SECONDS = 0.05
# News from another group is relayed within this group only if it makes the confirmed
# age of this host's data lower by at least this much.
RELAY_MIN_GAIN_SECONDS = 0.5
WATCH_SILENCE_TIMEOUT_SECONDS = 1.0
# A watch is abandoned once no host has confirmed this host's data for this long. In a
# healthy fleet the age stays below half of it.
MAX_CONFIRMED_AGE_SECONDS = 2.2
CONFIRMED_AGE_CHECK_SECONDS = 0.1
# By then a source that is there has answered the query that follows.
SOURCE_AWAY_AGE_SECONDS = MAX_CONFIRMED_AGE_SECONDS + 0.2
READ_SILENCE_TIMEOUT_SECONDS = 1.5
# An older paged read is restarted; the source keeps its change history for longer.
MAX_PAGED_READ_AGE_SECONDS = 8.0
# After a change the next query is delayed, so that it returns several changes; for
# longer while changes follow each other within the window.
CHANGE_DELAY_SECONDS = 0.1
CHANGE_BURST_WINDOW_SECONDS = 1.0
CHANGE_BURST_DELAY_SECONDS = 0.4
# Exponential backoff after failed queries. Its maximum grows with the number of hosts
# once this host has records, as the source limits the call rate of all hosts together.
SOURCE_RETRY_FIRST_SECONDS = 0.05
SOURCE_RETRY_MAX_SECONDS = 0.8
SOURCE_RETRY_SECONDS_PER_HOST = 0.3
SOURCE_RETRY_LIMIT_SECONDS = 5.0
# A peer that stays ahead for longer shows that this host's watch is dead.
BEHIND_GRACE_SECONDS = 0.7
# A starting host that is no seed defers its first read of the source, leaving it to the
# seeds, for SEED_ANSWER_SECONDS; if it hears a peer, until START_WAIT_SECONDS after its
# start; and on while peers send it records, up to MAX_START_WAIT_SECONDS in total. A
# running seed answers the first hello well within SEED_ANSWER_SECONDS.
SEED_ANSWER_SECONDS = 0.05
START_WAIT_SECONDS = 0.2
START_PULL_WAIT_SECONDS = 0.5
MAX_START_WAIT_SECONDS = 2.0
# On a thin link two peers receive the records sooner than four would, and pass them on.
# Other peers are refused and ask another host.
MAX_CONCURRENT_RECORD_ANSWERS = 2
PEER_PULL_INTERVAL_SECONDS = 0.25
# The longest delay before the next peer is asked after one sent no records.
MAX_NEXT_PEER_DELAY_SECONDS = 0.1
MAX_AHEAD_PEERS = 16
MAX_PULLS = 2
# A pull of which nothing has arrived for this long counts as stalled.
PULL_STALL_SECONDS = 0.3
PEER_PULL_TIMEOUT_SECONDS = 1.0
# A peer's confirmation shows that the source is back only if it is later than this
# host's last failure by more than this.
HINT_MARGIN_SECONDS = 0.1
# More than the minimum transit time of a datagram between two hosts.
AGE_HOP_ALLOWANCE_SECONDS = 0.01
# Hosts query a source that is back at random times within this.
RECOVERY_SPREAD_SECONDS = 0.4
# Failures for longer than this are an outage; for some time after it, withdrawals may
# be records that expired during the outage.
MIN_OUTAGE_SECONDS = 1.0
AFTER_OUTAGE_SECONDS = 3.0
# Without an answer to this host or to any known one for this long, the source is
# treated as being in an outage.
OUTAGE_CONFIRMED_AGE_SECONDS = 5.0
# The part of the drain time for which a withdrawn target is still used when its record
# may have expired only because the source was in an outage. The higher value applies
# where a full read after the outage lacks the record. The lower one applies where the
# withdrawal arrived as a change, which can take a second, or the outage is inferred.
LINGER_SHARE = 0.9
GUESSED_LINGER_SHARE = 0.6
# From the choice of a target until its request has arrived.
SEND_MARGIN_SECONDS = 0.2
# Longer than the entry of a target that has ended takes to expire.
RESTORED_TARGET_HOLD_SECONDS = 6.0
# When this share of a service's ready targets vanishes at once, their records are taken
# to have expired, not to have been withdrawn.
LAPSE_MIN_SHARE = 0.3
LAPSE_MIN_TARGETS = 3
MAX_WITHDRAWN_RECORDS = 4_096
# The table in force and one that is being compared with it.
MAX_PARSED_TABLES = 2
# Of each table, if the marks of routes contradict each other.
MAX_LOGGED_ROUTES = 4
RECORDS_PATH = "/records"
RECORDS_FORMAT = 3
# zlib's fastest level reduces a table of 1,570 routes (332,829 bytes) to a seventh in
# 2.6 ms of processor time.
RECORDS_COMPRESSION = 1
# Hosts that start together ask for the same few revisions.
MAX_CACHED_RECORD_BODIES = 4
MAX_RECORDS_BYTES = 16 * 1024 * 1024

CELL_REFRESH_SECONDS = 0.5
# How often one host of another cell is sent the summary of this cell's engines.
CELL_GOSSIP_INTERVAL_SECONDS = 0.25
# How often hosts of other cells are told again of a long prefill that continues.
PREFILL_REPEAT_SECONDS = 1.5
# Bounds what one host sends to other cells about its own prefills.
MAX_PREFILL_GOSSIP_BYTES_PER_SECOND = 4_000
POLLING_ORDER_REFRESH_SECONDS = 1.0

# A lost SYN is retransmitted only after a second or more, so a longer timeout gains
# nothing; a target accepts a connection far sooner.
CONNECT_TIMEOUT_SECONDS = 0.2
# A connection ends if the target's host acknowledges nothing for this long.
TARGET_UNREACHABLE_SECONDS = 2.5
# How often the ejected targets are checked for a probe that is due.
TARGET_PROBE_INTERVAL_SECONDS = 0.1
# Peers that are asked for one connection, and how long one may take to answer: the hop
# and the peer's own connection to the target.
MAX_RELAYS_ASKED = 4
RELAY_ANSWER_TIMEOUT_SECONDS = 0.3
RELAYED_CONNECT_TIMEOUT_SECONDS = 0.8
# A request that has lost its connection waits for this check.
RELAY_CHECK_TIMEOUT_SECONDS = 0.1
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Of all answers that are being read at the same time.
MAX_ANSWERS_BYTES = 48 * 1024 * 1024
NOT_READY_RETRY_SECONDS = 0.3
# How often a host that is not ready logs the reason.
READINESS_REPORT_SECONDS = 1.0
# A host without a routing table holds a request for up to START_HOLD_SECONDS, during
# its first STARTUP_SECONDS only, and for at most this share of the caller's time limit.
START_HOLD_SECONDS = 0.5
STARTUP_SECONDS = 1.0
START_HOLD_SHARE = 0.25
# Short, as other hosts can serve the request at once and waiting costs the caller its
# latency target.
DRAINING_RETRY_SECONDS = 0.02
ROUTE_UNSURE_RETRY_SECONDS = 0.3
# Callers that are refused because all targets are cooling down are told to return at a
# random time, up to this share after the first cooldown ends and within the maximum.
COOLDOWN_RETURN_SPREAD = 0.2
MAX_COOLDOWN_RETRY_SECONDS = 30.0
# A drain ends this long before the grace period does.
DRAIN_MARGIN_SECONDS = 0.4
# A balancer sends new connections to a draining host until it has checked it twice.
BALANCER_NOTICE_SECONDS = 3.0
RESERVATION_CALL_TIMEOUT_SECONDS = 0.4
# Of the time within which the memory of a dead host's reservations must be free.
RESERVATION_TTL_SHARE = 0.7
RELEASE_RETRY_SECONDS = 0.1
MAX_RESERVATION_ATTEMPTS = 4
RESERVATION_RETRY_SECONDS = 0.04

# A short prompt whose engines are all full is held for this share of the time that is
# left to it, unless the places become free too slowly for that.
PLACE_HOLD_SHARE = 0.5
# A host that has used up its share of a target's connections may use this part of all
# of them while the target has stated, at most so long ago, that no request waits there.
BORROWED_CONNECTIONS_DIVISOR = 4
IDLE_TARGET_SECONDS = 1.0
MAX_IDLE_TARGETS = 1_024
PLACE_CHECK_INTERVAL_SECONDS = 0.1
MAX_HELD_REQUESTS = 256
# The cost of a held request without published token counts.
DEFAULT_HELD_COST_SECONDS = 1.0
MIN_RELEASE_TIMES = 4
MAX_RELEASE_TIMES = 16

MAX_FRESH_TABLE_AGE_SECONDS = 4.0

PEER_FORMAT = 1
# Keeps a datagram within a few packets; sections that do not fit are left out.
MAX_SENT_DATAGRAM_BYTES = 4_096
MAX_RECEIVED_DATAGRAM_BYTES = 8_192
MAX_SECTIONS = 16
PEER_ROUND_JITTER = 0.1
# A gossip round that starts this much late shows that the process was paused.
MIN_PROCESS_PAUSE_SECONDS = 1.0
# Two clocks that are read one after the other differ by far less.
MIN_SUSPENDED_SECONDS = 0.02

# Connections are shed while far more of them arrive than usual and requests fail.
GATE_MIN_IN_FLIGHT = 16
GATE_REPORT_SECONDS = 1.0
GATE_RATE_SECONDS = 1.0
GATE_RATE_WEIGHT = 0.05
GATE_CROWD_WEIGHT = 0.005
GATE_CROWD_FACTOR = 2.5
GATE_MIN_CROWD_RATE = 10.0
GATE_LEARNING_SECONDS = 5.0
GATE_OUTCOME_SECONDS = 1.5
GATE_MIN_OUTCOMES = 10
GATE_READ_PER_SERVED = 1.15
# A stream without length or chunks that is closed later than this after its last event
# counts as broken off.
MAX_END_SILENCE_SECONDS = 0.5
# A target that has lost a connection goes on if it leaves a new one open for this long.
END_CHECK_SECONDS = 0.015
# A health check waits for a place at a target, like a request.
BOOT_CHECK_TIMEOUT_SECONDS = 1.0
MAX_HEALTH_ANSWER_BYTES = 65_536
# A stream whose events have arrived for this long shows that its target goes on.
STEADY_STREAM_SECONDS = 1.0
# Changes to suspects within this time are sent together.
SUSPECT_BATCH_SECONDS = 0.02
# Hosts that reach the same result by merging reports wait for a random time up to this,
# so that the first one's message makes the others' unnecessary.
SUSPECT_RELAY_JITTER_SECONDS = 0.3
SUSPECT_AGGREGATORS_PER_DOMAIN = 2
# Hosts try a refused prompt segment one after the other, each this much later.
TRIAL_DELAY_STEP_SECONDS = 0.3
MAX_TRIAL_DELAY_STEPS = 60
MAX_SUSPECTS_PER_MESSAGE = 24
MAX_SUSPECTS_PER_ROUND = 6
MESH_ROUNDS_PER_SUSPECT_ROUND = 4
SUSPECT_EXPIRY_INTERVAL_SECONDS = 10.0
# A peer that has joined is sent what is refused by a few of the hosts that were there.
SPONSORS_PER_JOINED_PEER = 2
PEER_SETTLE_SECONDS = 2.0
MAX_SUSPECTS_PER_JOINED_PEER = 144

LIMIT_BATCH_SECONDS = 0.02
MAX_LIMITS_PER_MESSAGE = 64
MAX_LIMITS_PER_ROUND = 12
LIMIT_EXPIRY_INTERVAL_SECONDS = 5.0
HOST_VIEW_REFRESH_SECONDS = 0.25
# By then a host that starts has heard of the others through the seeds.
HOST_VIEW_STARTING_SECONDS = 1.0

HEADER_RETRY_AFTER = "retry-after"
# Headers of answers that every HTTP server may send, and that state nothing about it.
STANDARD_ANSWER_HEADERS = (
    "cache-control",
    "connection",
    "content-encoding",
    "content-length",
    "content-type",
    "date",
    "keep-alive",
    "server",
    "transfer-encoding",
    "vary",
)
MAX_REPORTED_HEADERS = 64
MAX_LOGGED_HEADER_CHARACTERS = 80

COLD_EXPIRY_INTERVAL_SECONDS = 1.0
LOST_EVACUATION_CHECK_SECONDS = 1.0
COOLDOWN_BATCH_SECONDS = 0.005
COOLDOWN_EXPIRY_INTERVAL_SECONDS = 5.0
# In a larger fleet a new cooldown is sent to the hosts of the cell only.
MAX_COOLDOWN_RECEIVERS = 16
MAX_COOLDOWNS_PER_MESSAGE = 64
# A cooldown that another host reports is a hint, which must not last if it is wrong.
MAX_REPORTED_COOLDOWN_SECONDS = 10.0

LOG_BURST_LINES = 200
MAX_EVENTS_PER_REQUEST = 24
SETTINGS_CHECK_INTERVAL_SECONDS = 1.0
ROUTE_METRICS = "/metrics"
ROUTE_EVACUATIONS = "/evacuations"
ROUTE_SUSPECTS = "/suspects"

# A target's first event may take this many times the predicted time plus the route's
# aim, which counts as at least SILENCE_MIN_FIRST_SECONDS. A later event may take this
# many times the pause aim, at least SILENCE_MIN_PAUSE_SECONDS, but a target is never
# abandoned for silence once its answer is being streamed to the caller.
SILENCE_FIRST_EVENT_FACTOR = 3.0
SILENCE_PAUSE_FACTOR = 4.0
SILENCE_MIN_FIRST_SECONDS = 0.5
SILENCE_MIN_PAUSE_SECONDS = 0.8
SILENCE_RECHECK_SECONDS = 0.2
# A stream is stalled after this many times the pause aim.
STALLED_PAUSE_FACTOR = 3.0
# For how long a direct send waits on once the link to its target appears to be lost.
LOST_LINK_IDLE_SECONDS = 0.3
# A first event is overdue after this many times the predicted time plus the margin. The
# request then moves only to a target predicted to need at most OVERDUE_MAX_MOVE_SHARE
# of the time that is left until the aim.
OVERDUE_FACTOR = 1.5
OVERDUE_MARGIN_SECONDS = 0.05
OVERDUE_MAX_MOVE_SHARE = 0.8
# Planning visits every candidate engine; with more of them it would stall the host.
MAX_CROSS_CELL_ENGINES = 256
# A silent target is abandoned only if the time limit leaves this much more than the
# predicted time of the first event.
SILENCE_MIN_REMAINING_SECONDS = 0.3
