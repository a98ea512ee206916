"""Hold the numbers of placement and admission."""

from __future__ import annotations

DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000.0
DEFAULT_SECONDS_PER_TOKEN = 0.01
DEFAULT_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0

# Prompts above this share an engine badly: one holds it for seconds.
LONG_PROMPT_TOKENS = 32_000
# (prompts up to this many tokens, engine priority, chunk tokens or 0 for the engine's)
LENGTH_TREATMENTS = (
    (4_000, 0, 0),
    (LONG_PROMPT_TOKENS, 1, 1_024),
    (100_000, 2, 1_024),
    (1 << 62, 3, 1_024),
)

FIRST_LONG_CLASS = 2
FIRST_LONG_PRIORITY = 2
FIRST_PACKED_CLASS = 1

SAMPLED_CANDIDATES = 4
SAMPLED_READING = 2
TIE_SECONDS = 0.02
# A report says what was so some time before it was read.
MAX_TRUSTED_REPORT_SECONDS = 30.0
ASSUMED_REPORT_LAG_SECONDS = 0.5
CORRECTION_WEIGHT = 0.2
MIN_PACE_TOKENS = 8
PACE_WEIGHT = 0.1
MIN_CORRECTION = 0.5
MAX_CORRECTION = 8.0

# A long prompt takes the lane's first engine that waits at most this part of it.
# What prompts that go after this one cost it all the same, in prefill tokens.
BEHIND_TOKENS = 1_024
LANE_WAIT_SHARE = 0.5
# The part of the engines that long prompts may use, by length class.
LANE_SHARES = (1.0, 1.0, 0.85, 0.7)
LANE_CANDIDATES = 5
# What shorter prompts may take of an engine with long ones: the rest is the bound on
# the progress of long prompts under any short load.
LANE_SHORT_SHARE = 0.5
LANE_BURST_SECONDS = 2.0

MAX_GROUP_ENGINES = 8
GROUP_MEMORY_MARGIN = 0.02
GROUP_FIRST_DELAY_SECONDS = 0.1
GROUP_MAX_DELAY_SECONDS = 5.0

CAPACITY_SHARE = 1.0
DEMAND_SECONDS = 5.0
BURST_SECONDS = 4.0
LONG_RETRY_SECONDS = 3.0
SCARCE_MEMORY_SHARE = 0.25

MAX_KNOWN_BLOCKS = 8_192
BLOCK_TOKENS = 512

# Readings of prompts on engines whose passes are published.
# A hint of a peer's work older than this is worth nothing: its prompts have ended.
MAX_HINT_SECONDS = 3.0
# Peers are told at once of prompts of which an engine reads for so long.
TOLD_PART_SECONDS = 0.04
# An engine's own count of its requests tells of others' until they have ended.
MAX_COUNT_SECONDS = 1.5
# An engine is slow where its passes take so many times as long as published; so many
# of its last passes tell it, and for so long after the last one.
SLOW_PACE = 1.4
PACE_VALUES = 8
PACE_MIN_VALUES = 3
MAX_PACE_SECONDS = 30.0
# So many peers have to tell that an engine is slow: one of them may be slow itself.
MIN_PACE_TELLERS = 2
MAX_PACE = 20.0
# What an overdue reading is still taken to need, of its whole time.
OVERDUE_SHARE = 0.3
# The weight of a prompt grows with its tokens, from one for the smallest.
WEIGHT_TOKENS = 10_000
# Where a time over its bound begins to count, and where the bound is surely missed.
SAFE_SHARE = 0.65
MISSED_SHARE = 1.05
MAX_OVERRUN = 8.0
OVERRUN_WEIGHT = 0.04
MIN_LEFT_SECONDS = 0.02
# A stream moves where its next event comes after so much of the bound, and elsewhere
# before so much of it: +0.016 +- 0.004 of a day's worth (12 pairs of days, 18 engines).
MOVE_FROM_SHARE = 1.1
MOVE_TO_SHARE = 0.8
# A reading of a peer that is told and is longer than this may hold streams up.
HOLDING_SECONDS = 0.1
# Prompts that are read in less time than this are read by one engine.
MIN_JOINT_SECONDS = 0.05
MIN_PART_SECONDS = 0.012
MAX_HELPERS = 16
READER_COUNTS = (1, 2, 3, 4, 6, 8, 11, 14, 17)
# What each further reader and a place out of the lane count, in the weight's unit.
READER_WEIGHT = 0.004
LANE_WEIGHT = 0.15
# A short prompt pays for a place beyond the lane as a share of all engines, so one
# engine of twenty weighs as a twentieth of its being late; for an answer from another
# failure domain less than for being late, so that a full domain gives to others.
# Together with lanes by domain +0.009 +- 0.006 of a day's worth (12 pairs of days of 8
# hosts and 18 engines).
PACKING_WEIGHT = 1.0
FAR_WEIGHT = 0.1
# Some places stay for those that other hosts send before they are heard of.
LANE_FILL_SHARE = 0.85
SLOT_WAIT_SECONDS = 0.7
MEMORY_SHARE = 0.97
MAX_PLANNED_ENGINES = 64
# What is left free beside a reserved part, and the most parts of one prompt.
TICKET_MEMORY_SHARE = 0.9
MAX_TICKETS = 8
# How long an engine that refused a reservation is taken to be full.
FULL_SECONDS = 0.5
FULL_TOKENS = 1 << 40

# Up to so many hosts tell each other all; larger fleets are divided into cells.
MAX_WHOLE_HOSTS = 16
# Prompts want many engines to choose from, each change wakes the readers of each group,
# and each prompt is told to all mates, which costs bytes: a failure domain is divided
# only where it has far more than these.
CELL_HOSTS = 40
CELL_ENGINES = 40
MIN_CELL_ENGINES = 4
# A prompt looks beyond its cell where the plan within it costs more than so much of
# its weight, and takes a plan that costs less by so much.
WIDEN_COST_SHARE = 0.3
WIDEN_GAIN_SHARE = 0.1
MAX_HASHED_NAMES = 8_192

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
LIMIT_USERS_A_RATE = 2.0
LIMIT_LEAST_USERS = 3
LIMIT_LEAST_RATE = 0.001
MAX_TARGET_LIMITS = 4_096
LIMIT_MEMORY_SECONDS = 60.0
MAX_LIMIT_WAIT_SECONDS = 1.0
