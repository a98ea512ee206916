"""Constants of requests, retries, keys and suspects."""

from __future__ import annotations

# Retry-After, keys and the ledger of non-idempotent calls.
DEFAULT_RETRY_AFTER_SECONDS = 1.0
KEY_MAC_BYTES = 9
MAX_KEY_CHARACTERS = 256
MAX_RECORDED_ANSWER_BYTES = 64 * 1024
MAX_RECORDED_BYTES = 8 * 1024 * 1024
MAX_RECORDS = 20_000
NEW_KEY_RETRY_AFTER_SECONDS = 1.0
# Memory reserved for the answer of each call in flight.
RESERVED_ANSWER_BYTES = 16 * 1024

# Attempts of model requests, outlier ejection and the sweep of orphans.
ENGINE_REPORT_LAG_SECONDS = 5.0
EJECTION_BASE_SECONDS = 0.5
EJECTION_MAX_SECONDS = 4.0
EJECTION_BACKOFF_FACTOR = 2.0
# Failovers that start without a delay; later ones back off.
IMMEDIATE_FAILOVERS = 2
CONSECUTIVE_FAILURES_TO_EJECT = 3
MAX_ATTEMPTS = 16
MAX_ATTEMPTS_WITHOUT_PROGRESS = 8
OWN_ORPHAN_GRACE_SECONDS = 5.0
OWNER_MAX_GRACE_SECONDS = 600.0
OWNER_REFUSED_GRACE_SECONDS = 3.0
OWNER_UNREACHABLE_GRACE_SECONDS = 30.0
RETRY_BACKOFF_SECONDS = 0.1
RETRY_BACKOFF_MAX_SECONDS = 1.0
RETRY_BUDGET_FLOOR = 10.0
RETRY_BUDGET_SHARE = 0.2
RETRY_BUDGET_WINDOW_SECONDS = 30
# Cost of a retry, in full attempts: a refused attempt did no work on an engine, and a
# resumed stream is read from the engine's buffer without a new prefill.
RETRY_COST_REFUSED = 0.1
RETRY_COST_RESUME = 0.2
RETRY_COST_FAILOVER = 1.0

# With less time left than this, a request is not sent to another target.
MIN_SEND_SECONDS = 0.02
FORWARD_RETRY_AFTER_SECONDS = 0.25

# Retry budget shared by all hosts. BUDGET_SLACK_SHARE and twice the share of the first
# window add up to 1, so that a host which restarts twice within a window stays within
# its part of the slack.
BUDGET_BUCKETS_PER_WINDOW = 20
BUDGET_SAFETY_FACTOR = 0.9
# How much later one retry may arrive at its target than another sent with it.
BUDGET_ARRIVAL_JITTER_SECONDS = 0.5
BUDGET_SLACK_SHARE = 0.75
BUDGET_FIRST_WINDOW_SLACK_SHARE = 0.125
# The rest of the slack is kept for urgent retries: answers that broke off midway.
BUDGET_ORDINARY_SLACK_SHARE = 0.8
# Resends to the target that had the request last and is not at fault for its refusal.
MAX_RESENDS_TO_PREVIOUS_TARGET = 4

# Requests that are suspected of crashing the targets that run them.
RUN_ALONE_AFTER_CRASHES = 2
REFUSE_AFTER_CRASHES = 3
# A refused request is tried again this long after its last crash. The time grows with
# each trial that fails, up to the retention of a refused request.
REFUSED_TRIAL_SECONDS = 10.0
REFUSED_TRIAL_GROWTH = 6.0
MAX_REFUSED_TRIAL_STEPS = 3
# A crash that comes this much later than the one before ended a trial.
MIN_TRIAL_GAP_SECONDS = 5.0
MAX_SUSPECTS = 1_024
MAX_CRASHES_PER_SUSPECT = 8
SUSPECT_RETENTION_SECONDS = 600.0
REFUSED_RETENTION_SECONDS = 3_600.0
CLEARED_RETENTION_SECONDS = 60.0
# Other hosts wait this long for the result of an isolated attempt.
ISOLATED_ATTEMPT_SECONDS = 2.0
MAX_MESSAGE_DELAY_SECONDS = 0.25
# A host without contact to its peers waits this long after a crash before it sends the
# request again.
ISOLATED_HOST_RETRY_DELAY_SECONDS = 8.0

# Prompts by which a host knows which segments are common, for each service.
RECENT_PROMPTS = 32
MIN_RECENT_PROMPTS = 4
MAX_PROMPT_SCOPES = 64
# Prompt segments whose last answers a host remembers.
MAX_ANSWERED_SEGMENTS = 8_192

# Prompt segments that are suspected of crashing the targets that run them. One that was
# answered recently was more likely beside the cause, so it is refused only after more
# crashes, apart from each other, while no prompt with it begins to be answered.
ANSWERED_HISTORY_SECONDS = 60.0
ANSWERED_REFUSE_AFTER_CRASHES = 5
ANSWERED_REFUSE_AFTER_SECONDS = 2.5
# How much a crash under a segment that was never answered counts against it.
UNANSWERED_CRASH_WEIGHT = 2
# Targets that crash within this time may have crashed for one reason.
MASS_CRASH_SECONDS = 0.25
# A refused segment is tried again after a time that grows with each crash.
SEGMENT_TRIAL_SECONDS = 10.0
ANSWERED_SEGMENT_TRIAL_SECONDS = 2.0
SEGMENT_TRIAL_GROWTH = 4.0
MAX_SEGMENT_TRIAL_STEPS = 4
# Targets that lose power one after the other add crashes, but no failed trials. So this
# bounds the time by the trials that failed.
MAX_SEGMENT_TRIAL_SECONDS = 6.0
FAILED_SEGMENT_TRIAL_GROWTH = 10.0
MAX_SUSPECT_SEGMENTS = 1_024
# For how long a service's numbering of events is remembered after a stream showed it.
EVENT_NUMBERING_SECONDS = 600.0
# A stream with fewer steps may show consecutive ids by chance.
MIN_COUNTING_STEPS = 4
MAX_CRASHES_PER_SEGMENT = 16
# The segments of one prompt that become suspects in a crash.
MAX_SUSPECT_SEGMENTS_PER_PROMPT = 64
