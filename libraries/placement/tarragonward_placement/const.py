"""Constants of placement and admission control."""

from __future__ import annotations

DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000.0
DEFAULT_SECONDS_PER_TOKEN = 0.01
DEFAULT_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0

# The prefill of a longer prompt blocks an engine for seconds.
LONG_PROMPT_TOKENS = 32_000
# (maximum prompt tokens, engine priority, prefill chunk tokens; 0: engine's default)
LENGTH_CLASSES = (
    (4_000, 0, 0),
    (LONG_PROMPT_TOKENS, 1, 1_024),
    (100_000, 2, 1_024),
    (1 << 62, 3, 1_024),
)

FIRST_LONG_CLASS = 2
FIRST_LONG_PRIORITY = 2
# Prompts from this length class on fill the engines in the order that all hosts share.
FIRST_PACKED_CLASS = 1

SAMPLED_CANDIDATES = 4
SAMPLED_LONG_PREFILL = 2
TIE_SECONDS = 0.02
# Engine reports older than this are not used to reject a request.
MAX_TRUSTED_REPORT_SECONDS = 30.0
# A report shows a state from some time before it was read.
REPORT_LAG_ALLOWANCE_SECONDS = 0.5
CORRECTION_SMOOTHING = 0.2
MIN_INTERVAL_TOKENS = 8
TOKEN_INTERVAL_SMOOTHING = 0.1
MIN_CORRECTION = 0.5
MAX_CORRECTION = 8.0

# Prefill tokens by which lower-priority prompts delay a prompt all the same: a step
# that has started is not preempted.
LOWER_PRIORITY_DELAY_TOKENS = 1_024
# A long prompt takes one of the first engines of the pool whose queued tokens are at
# most this share of its own.
LONG_POOL_MAX_WAIT_SHARE = 0.5
# Share of the engines that long prompts may use, by length class.
LONG_POOL_SHARES = (1.0, 1.0, 0.85, 0.7)
LONG_POOL_CANDIDATES = 5
# Share of an engine's prefill rate that short prompts may use while it prefills long
# ones. The rest guarantees the long prompts' progress under any load of short ones.
SHORT_PROMPT_RATE_SHARE = 0.5
SHORT_PROMPT_BURST_SECONDS = 2.0

MAX_GROUP_ENGINES = 8
GROUP_MEMORY_MARGIN = 0.02
GROUP_RETRY_BASE_SECONDS = 0.1
GROUP_RETRY_MAX_SECONDS = 5.0

CAPACITY_SHARE = 1.0
DEMAND_WINDOW_SECONDS = 5.0
BURST_SECONDS = 4.0
LONG_RETRY_SECONDS = 3.0
SCARCE_MEMORY_SHARE = 0.25

MAX_INDEXED_BLOCKS = 8_192
BLOCK_TOKENS = 512

# Prefill planning, for engines whose timing model is published.
# Older hints from peers are ignored: the prompts that they describe have ended.
MAX_HINT_AGE_SECONDS = 3.0
# Peers are notified at once of prompts that occupy an engine for at least this long.
IMMEDIATE_NOTICE_SECONDS = 0.04
# After this time the requests behind an engine's own request count have ended.
MAX_COUNT_AGE_SECONDS = 1.5
# An engine is slow if its passes take at least MIN_SLOWDOWN times the published time.
# This is judged by its last passes, and is valid for a limited time after the last one.
MIN_SLOWDOWN = 1.4
SLOWDOWN_SAMPLES = 8
MIN_SLOWDOWN_SAMPLES = 3
MAX_SLOWDOWN_AGE_SECONDS = 30.0
# Peers that must report an engine as slow: a single reporter may be slow itself.
MIN_SLOWDOWN_REPORTERS = 2
MAX_SLOWDOWN = 20.0
# Share of its whole duration that an overdue prefill is assumed to need still.
MIN_OVERDUE_SHARE = 0.3
# A prompt weighs 1 plus its tokens divided by this.
TOKENS_PER_WEIGHT = 10_000
# A predicted time counts as partly late from this share of its bound, and as fully late
# from the second share on.
LATENESS_START_SHARE = 0.65
LATENESS_FULL_SHARE = 1.05
MAX_LATENESS_RATIO = 8.0
LATENESS_RATIO_WEIGHT = 0.04
MIN_BOUND_SECONDS = 0.02
# A stream migrates if its next event is due after the first share of the bound, and on
# another engine before the second share.
MIGRATE_FROM_SHARE = 1.1
MIGRATE_TO_SHARE = 0.8
# A prefill of at least this length may stall the streams of its engine.
BLOCKING_PREFILL_SECONDS = 0.1
# Prompts with a shorter prefill are not split among engines.
MIN_PARALLEL_PREFILL_SECONDS = 0.05
MIN_PREFILL_PART_SECONDS = 0.012
MAX_HELPERS = 16
PREFILL_ENGINE_COUNTS = (1, 2, 3, 4, 6, 8, 11, 14, 17)
# Costs in units of prompt weight: of each engine of a plan, and of a long prompt on the
# first engine of the order that all hosts share, falling to none on the last.
PREFILL_ENGINE_COST = 0.004
LONG_PROMPT_POSITION_COST = 0.15
# Packing: a short prompt costs PACKING_COST times the beyond_pool_share of its engine.
# With twenty engines, each place after the pool costs a twentieth of a late answer to
# the smallest prompt. An answer from another failure domain costs less than a late one,
# so that a full domain spills over.
PACKING_COST = 1.0
CROSS_DOMAIN_COST = 0.1
# Slots are left free for requests of other hosts that are not known yet.
SLOT_FILL_SHARE = 0.85
SLOT_WAIT_SECONDS = 0.7
USABLE_MEMORY_SHARE = 0.97
MAX_PLAN_CANDIDATES = 64
# Share of an engine's memory that reservations may fill, and the maximum number of
# reservations of one prompt.
RESERVABLE_MEMORY_SHARE = 0.9
MAX_RESERVATIONS = 8
# After a refusal by a full target that has no other request of the host.
FULL_TARGET_RETRY_SECONDS = 0.2
# A limit on the requests at a full target that keeps none back is then forgotten.
UNUSED_LIMIT_SECONDS = 1.0
# How long an engine that refused a reservation counts as full, and by how many tokens.
FULL_ENGINE_SECONDS = 0.5
FULL_ENGINE_TOKENS = 1 << 40

# Up to this size all hosts share all state; larger fleets are divided into cells.
MAX_SINGLE_CELL_HOSTS = 16
# Size of a cell. Prompts need many engines to choose from, each published change wakes
# the polling hosts of each group, and each prompt is announced to all hosts of the
# cell, which costs bandwidth. So a failure domain is divided only if it is much larger
# than this.
CELL_HOSTS = 40
CELL_ENGINES = 40
MIN_CELL_ENGINES = 4
# A prompt is planned on the whole fleet if the plan within its cell costs more than the
# first share of its weight, and leaves the cell if that saves the second share.
WIDEN_MIN_COST_SHARE = 0.3
WIDEN_MIN_GAIN_SHARE = 0.1
HASH_CACHE_SIZE = 8_192

# Back-off before an ejected target or failure domain is probed again. A trial by a
# request may cost that request a send, so its back-off grows longer.
EJECTION_BASE_SECONDS = 0.4
EJECTION_MAX_SECONDS = 1.0
REQUEST_TRIAL_MAX_EJECTION_SECONDS = 2.0
# While one request tries a target, other requests avoid it for at most this long.
REQUEST_TRIAL_SECONDS = 2.0
# Consecutive faults, each possibly caused by the request, that are blamed on the
# target.
CONSECUTIVE_FAULT_THRESHOLD = 2
# If this many targets of a failure domain fail to connect within the window, and none
# answers in between, the link to the domain is assumed to be down.
DOMAIN_FAILURE_THRESHOLD = 2
DOMAIN_FAILURE_WINDOW_SECONDS = 1.0
PROBES_PER_DOMAIN = 2
NEIGHBOUR_CHECK_INTERVAL_SECONDS = 0.5
# A target that was connected to within this time counts as reachable.
CONNECTION_FRESH_SECONDS = 0.5
MAX_TRACKED_TARGETS = 4_096

# Rate limits that targets advertise, divided among the hosts. Limits and host counts
# are gossiped, but hosts need not agree on them. A limit is used up to LIMIT_SHARE, by
# LIMIT_HOSTS_PER_RATE hosts for each request per second plus LIMIT_MIN_HOSTS hosts.
LIMIT_SHARE = 0.9
LIMIT_HOSTS_PER_RATE = 2.0
LIMIT_MIN_HOSTS = 3
LIMIT_MIN_RATE = 0.001
MAX_TARGET_LIMITS = 4_096
# How long a limit that has ended is kept.
LIMIT_RETENTION_SECONDS = 60.0
MAX_LIMIT_WAIT_SECONDS = 1.0

# A longer time is taken for an error of whoever published it.
MAX_COLD_SECONDS = 600.0

# Cooldowns that targets ask for with a refusal.
MAX_COOLDOWN_SECONDS = 86_400.0
MAX_TARGET_COOLDOWNS = 4_096
# A target that has accepted no request since its cooldown gets no retries for so long.
COOLDOWN_TRIAL_SECONDS = 30.0

RELAY_BACKOFF_BASE_SECONDS = 0.5
RELAY_BACKOFF_MAX_SECONDS = 4.0
# With fewer proven relays another peer is tried, so that the load is spread.
MIN_PROVEN_RELAYS = 3
PROVEN_RELAY_SECONDS = 5.0
# So many different peers that can't reach a service show that its targets have ended.
MAX_UNABLE_RELAYS = 6

# Accounts whose last served request is remembered while others wait.
MAX_REMEMBERED_ACCOUNTS = 4_096

# How often reservations are renewed, as a part of the time that they last, so that one
# renewal may be lost.
RENEWAL_INTERVAL_SHARE = 0.35
# Part of the time within which memory must be free after its use, in which it expires;
# the rest is for the age of a report.
UNUSED_EXPIRY_SHARE = 0.875
# Part of the time for which memory may be reserved and never used, after which it is
# released; the rest is for the look and the release.
UNUSED_CHECK_SHARE = 0.7
