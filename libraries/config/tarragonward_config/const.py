"""Define the keys, limits and defaults of settings and configuration."""

from __future__ import annotations

CONF_ADDRESS = "address"
CONF_ADDRESSES = "addresses"
CONF_CALLERS = "callers"
CONF_CONFIGURATION = "configuration"
CONF_CREDENTIALS = "credentials"
CONF_DRAIN_TIMEOUT_SECONDS = "drain_timeout_seconds"
CONF_FAILURE_DOMAIN = "failure_domain"
CONF_HOST = "host"
CONF_HOST_LIST = "host_list"
CONF_KEY_RETENTION_SECONDS = "key_retention_seconds"
CONF_LIMITS = "limits"
CONF_MAX_BODIES_BYTES = "max_bodies_bytes"
CONF_MAX_BODY_BYTES = "max_body_bytes"
CONF_MAX_CONNECTIONS = "max_connections"
CONF_MAX_HEAD_BYTES = "max_head_bytes"
CONF_MAX_TIME_LIMIT_SECONDS = "max_time_limit_seconds"
CONF_NAME = "name"
CONF_OPERATORS = "operators"
CONF_OPERATOR_TOKEN_FILE = "operator_token_file"
CONF_PEERS = "peers"
CONF_PEERS_LISTEN = "peers_listen"
CONF_PEER_KEY_FILE = "peer_key_file"
CONF_PLATFORM = "platform"
CONF_REGION = "region"
CONF_SENDER_TIMEOUT_SECONDS = "sender_timeout_seconds"
CONF_TIME_LIMIT_SECONDS = "time_limit_seconds"

ATTR_ADAPTERS = "adapters"
ATTR_CHECKS_FENCING = "checks_fencing"
ATTR_CLIENT_ACCOUNTS = "client_accounts"
ATTR_CONTEXT_TOKENS = "context_tokens"
ATTR_IDEMPOTENT = "idempotent"
ATTR_KIND = "kind"
ATTR_KV_TOKENS = "kv_tokens"
ATTR_MODEL = "model"
ATTR_MODELS = "models"
ATTR_NOT_RUN_STATUSES = "not_run_statuses"
ATTR_OPERATIONS = "operations"
ATTR_PARALLEL_LOADS = "parallel_loads"
ATTR_PRIORITY = "priority"
ATTR_SERVICE = "service"
ATTR_SERVICES = "services"
ATTR_TARGETS = "targets"
ATTR_TOKEN_SHA256 = "token_sha256"
ATTR_VERSION = "version"
ATTR_WEIGHT = "weight"
ATTR_EVACUATED_DOMAINS = "evacuated_failure_domains"
ATTR_WEIGHT_STORE = "weight_store"

KIND_ENGINE = "engine"
KIND_SERVICE = "service"

DEFAULT_DRAIN_TIMEOUT_SECONDS = 30.0
DEFAULT_KEY_RETENTION_SECONDS = 900.0
DEFAULT_MAX_BODIES_BYTES = 128 * 1024 * 1024
DEFAULT_MAX_BODY_BYTES = 16 * 1024 * 1024
DEFAULT_MAX_CONNECTIONS = 2_000
DEFAULT_MAX_HEAD_BYTES = 32 * 1024
DEFAULT_MAX_TIME_LIMIT_SECONDS = 1_800.0
DEFAULT_PRIORITY = 0
DEFAULT_SENDER_TIMEOUT_SECONDS = 30.0
DEFAULT_TIME_LIMIT_SECONDS = 120.0
DEFAULT_WEIGHT = 1.0

MIN_PEER_KEY_BYTES = 16

MAX_RETAINED_ENTRIES = 512
MAX_RETAINED_ENTRY_BYTES = 256 * 1024
MAX_VERDICTS = 64
