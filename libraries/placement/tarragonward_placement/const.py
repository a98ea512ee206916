"""Hold the numbers of placement and admission."""

from __future__ import annotations

DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000.0
DEFAULT_SECONDS_PER_TOKEN = 0.01
DEFAULT_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0

# Prompts above this share an engine badly: one holds it for seconds.
LONG_PROMPT_TOKENS = 32_000
# (prompts up to this many tokens, engine priority, chunk tokens or 0 for the engine's)
LENGTH_CLASSES = (
    (4_000, 0, 0),
    (LONG_PROMPT_TOKENS, 1, 1_024),
    (100_000, 2, 1_024),
    (1 << 62, 3, 1_024),
)

FIRST_LONG_CLASS = 2
FIRST_LONG_PRIORITY = 2
FIRST_PACKED_CLASS = 1

SAMPLED_CANDIDATES = 4
SAMPLED_LONG_PREFILL = 2
TIE_SECONDS = 0.02
# A report says what was so some time before it was read.
MAX_TRUSTED_REPORT_SECONDS = 30.0
REPORT_LAG_ALLOWANCE_SECONDS = 0.5
CORRECTION_SMOOTHING = 0.2
MIN_INTERVAL_TOKENS = 8
TOKEN_INTERVAL_SMOOTHING = 0.1
MIN_CORRECTION = 0.5
MAX_CORRECTION = 8.0

# A long prompt takes the lane's first engine that waits at most this part of it.
# What prompts that go after this one cost it all the same, in prefill tokens.
LOWER_PRIORITY_DELAY_TOKENS = 1_024
LONG_POOL_MAX_WAIT_SHARE = 0.5
# The part of the engines that long prompts may use, by length class.
LONG_POOL_SHARES = (1.0, 1.0, 0.85, 0.7)
LONG_POOL_CANDIDATES = 5
# What shorter prompts may take of an engine with long ones: the rest is the bound on
# the progress of long prompts under any short load.
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

# Readings of prompts on engines whose passes are published.
# A hint of a peer's work older than this is worth nothing: its prompts have ended.
MAX_HINT_AGE_SECONDS = 3.0
# Peers are told at once of prompts of which an engine reads for so long.
IMMEDIATE_NOTICE_SECONDS = 0.04
# An engine's own count of its requests tells of others' until they have ended.
MAX_COUNT_AGE_SECONDS = 1.5
# An engine is slow where its passes take so many times as long as published; so many
# of its last passes tell it, and for so long after the last one.
MIN_SLOWDOWN = 1.4
SLOWDOWN_SAMPLES = 8
MIN_SLOWDOWN_SAMPLES = 3
MAX_SLOWDOWN_AGE_SECONDS = 30.0
# So many peers have to tell that an engine is slow: one of them may be slow itself.
MIN_SLOWDOWN_REPORTERS = 2
MAX_SLOWDOWN = 20.0
# What an overdue reading is still taken to need, of its whole time.
MIN_OVERDUE_SHARE = 0.3
# The weight of a prompt grows with its tokens, from one for the smallest.
TOKENS_PER_WEIGHT = 10_000
# Where a time over its bound begins to count, and where the bound is surely missed.
LATENESS_START_SHARE = 0.65
LATENESS_FULL_SHARE = 1.05
MAX_LATENESS_RATIO = 8.0
LATENESS_RATIO_WEIGHT = 0.04
MIN_BOUND_SECONDS = 0.02
# A stream moves where its next event comes after so much of the bound, and elsewhere
# before so much of it: +0.016 +- 0.004 of a day's worth (12 pairs of days, 18 engines).
MIGRATE_FROM_SHARE = 1.1
MIGRATE_TO_SHARE = 0.8
# A reading of a peer that is told and is longer than this may hold streams up.
BLOCKING_PREFILL_SECONDS = 0.1
# Prompts that are read in less time than this are read by one engine.
MIN_PARALLEL_PREFILL_SECONDS = 0.05
MIN_PREFILL_PART_SECONDS = 0.012
MAX_HELPERS = 16
PREFILL_ENGINE_COUNTS = (1, 2, 3, 4, 6, 8, 11, 14, 17)
# What each further reader and a place out of the lane count, in the weight's unit.
PREFILL_ENGINE_COST = 0.004
LONG_PROMPT_POSITION_COST = 0.15
# A short prompt pays for a place beyond the lane as a share of all engines, so one
# engine of twenty weighs as a twentieth of its being late; for an answer from another
# failure domain less than for being late, so that a full domain gives to others.
# Together with lanes by domain +0.009 +- 0.006 of a day's worth (12 pairs of days of 8
# hosts and 18 engines).
PACKING_COST = 1.0
CROSS_DOMAIN_COST = 0.1
# Some places stay for those that other hosts send before they are heard of.
SLOT_FILL_SHARE = 0.85
SLOT_WAIT_SECONDS = 0.7
USABLE_MEMORY_SHARE = 0.97
MAX_PLAN_CANDIDATES = 64
# What is left free beside a reserved part, and the most parts of one prompt.
RESERVABLE_MEMORY_SHARE = 0.9
MAX_RESERVATIONS = 8
# How long an engine that refused a reservation is taken to be full.
FULL_ENGINE_SECONDS = 0.5
FULL_ENGINE_TOKENS = 1 << 40

# Up to so many hosts tell each other all; larger fleets are divided into cells.
MAX_SINGLE_CELL_HOSTS = 16
# Prompts want many engines to choose from, each change wakes the readers of each group,
# and each prompt is told to all mates, which costs bytes: a failure domain is divided
# only where it has far more than these.
CELL_HOSTS = 40
CELL_ENGINES = 40
MIN_CELL_ENGINES = 4
# A prompt looks beyond its cell where the plan within it costs more than so much of
# its weight, and takes a plan that costs less by so much.
WIDEN_MIN_COST_SHARE = 0.3
WIDEN_MIN_GAIN_SHARE = 0.1
HASH_CACHE_SIZE = 8_192

# How long a target or a failure domain in doubt rests before it is connected to again;
# a request that has to try costs a send, so it waits for longer.
EJECTION_BASE_SECONDS = 0.4
EJECTION_MAX_SECONDS = 1.0
REQUEST_TRIAL_MAX_EJECTION_SECONDS = 2.0
# While one request tries a target, the others wait for its answer, so long at most.
REQUEST_TRIAL_SECONDS = 2.0
# So many faults that may be one request's alone, in a row, are the target's.
CONSECUTIVE_FAULT_THRESHOLD = 2
# So many targets of a failure domain that can't be connected to within this time, and
# none that answers between, are its link and not they.
DOMAIN_FAILURE_THRESHOLD = 2
DOMAIN_FAILURE_WINDOW_SECONDS = 1.0
PROBES_PER_DOMAIN = 2
# A connection this long ago says that the target is still there.
CONNECTION_FRESH_SECONDS = 0.5
MAX_TRACKED_TARGETS = 4_096

# Requests a second that targets name, shared by hosts without shared state.
LIMIT_SHARE = 0.9
LIMIT_HOSTS_PER_RATE = 2.0
LIMIT_MIN_HOSTS = 3
LIMIT_MIN_RATE = 0.001
MAX_TARGET_LIMITS = 4_096
LIMIT_RETENTION_SECONDS = 60.0
MAX_LIMIT_WAIT_SECONDS = 1.0
