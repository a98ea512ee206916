"""Exit codes, defaults and environment variables of the tool."""

from __future__ import annotations

DEFAULT_HOST = "127.0.0.1:8000"
DEFAULT_MAX_TOKENS = 256
DEFAULT_OPERATORS = "127.0.0.1:8001"
DEFAULT_TIME_LIMIT_SECONDS = 120.0

ENV_OPERATOR_TOKEN = "TARRAGONWARD_OPERATOR_TOKEN"
ENV_TOKEN = "TARRAGONWARD_TOKEN"

HEADER_CALL_KEY = "x-call-key"
HEADER_RESULT_CODE = "x-result-code"
HEADER_RETRY_AFTER = "retry-after"
HEADER_TIME_LIMIT = "x-time-limit-seconds"

ROUTE_COMPLETIONS = "/v1/completions"
ROUTE_CONFIGURATION = "/v1/configuration"
ROUTE_KEY_PREFIX = "/v1/key-prefix"
ROUTE_SERVICES = "/v1/services/"
ROUTE_STATUS = "/v1/status"
ROUTE_TARGETS = "/v1/targets"

FIRST_BACKOFF_SECONDS = 0.2
# Extra wait at the end of the time limit for the host's own error.
GRACE_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 2.0
OPERATORS_TIMEOUT_SECONDS = 5.0
MAX_UNKNOWN_OUTCOMES = 5

# Exit codes; documented in docs/OPERATIONS.md.
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN_OUTCOME = 3
EXIT_NO_HOST = 4
EXIT_TARGET_ERROR = 5
