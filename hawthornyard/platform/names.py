"""Define the names of the platform's headers, tables, keys and paths."""

REQUEST_ID_HEADER = "X-Hawthornyard-Request-Id"
# Signature of the endpoint; a successful response without it is not the endpoint's.
SIGNATURE_HEADER = "X-Hawthornyard-Response-Seal"
# Milliseconds until the deadline, not a point in time.
TIMEOUT_MS_HEADER = "X-Hawthornyard-Deadline-Ms"
EXPECTED_ENDPOINT_HEADER = "X-Hawthornyard-Expect-Instance"
TEAM_HEADER = "X-Hawthornyard-Tenant-Id"
MODEL_HEADER = "X-Hawthornyard-Model"
# "prompt tokens,maximum output tokens"; sent with the request, so not a usage report.
TOKEN_COUNTS_HEADER = "X-Hawthornyard-Token-Usage"
PROMPT_PREFIX_HEADER = "X-Hawthornyard-Prompt-Prefix"
EXPECTED_OUTPUT_HEADER = "X-Hawthornyard-Length-Hint"
# Set on a response if the endpoint has not run the request.
NOT_RUN_HEADER = "X-Hawthornyard-Not-Executed"
PRIORITY_HEADER = "X-Hawthornyard-Request-Priority"
# Requests a second that the endpoint takes from all gateways together.
LIMIT_HEADER = "Server-Limit"
# On a 503 of an endpoint: seconds for which it wants no request from this gateway.
RETRY_AFTER_HEADER = "Retry-After"
# "1" in all answers of an endpoint that is about to leave.
LEAVING_HEADER = "Server-Leaving"
# Name of the endpoint that answers.
ENDPOINT_HEADER = "X-Hawthornyard-Instance-Id"
# "running,waiting,slots,pace"; the pace is 100 if work takes as long as usual.
SERVER_LOAD_HEADER = "X-Hawthornyard-Server-Load"
BACKUP_HEADER = "X-Hawthornyard-Kv-Backup"
COPY_SOURCE_HEADER = "Kv-From"
LAST_EVENT_ID_HEADER = "Last-Event-Id"

# Number of times that the store has come back from a copy, counted from 1.
STORE_ERA_HEADER = "Store-Era"

LOWEST_PRIORITY = 9
"""Largest value of the priority header; 0 is the most urgent."""

# Headers that only the system may set, and hop-by-hop headers.
REQUEST_HEADERS_NOT_FORWARDED = frozenset(
    name.lower()
    for name in (
        "Authorization",
        "Connection",
        "Content-Length",
        "Expect",
        "Keep-Alive",
        "Kv-Fetch",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "X-Hawthornyard-Expect-Version",
        "X-Hawthornyard-Kv-Hold",
        "X-Hawthornyard-Pin-Ms",
        REQUEST_ID_HEADER,
        TIMEOUT_MS_HEADER,
        EXPECTED_ENDPOINT_HEADER,
        TEAM_HEADER,
        NOT_RUN_HEADER,
        PRIORITY_HEADER,
        BACKUP_HEADER,
        COPY_SOURCE_HEADER,
        LAST_EVENT_ID_HEADER,
    )
)

# Hop-by-hop headers of a response.
RESPONSE_HEADERS_NOT_FORWARDED = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

OPERATOR_TABLE = "op"
DEPLOYMENT_KEY = "config"
DOMAIN_OUT_KEY_PREFIX = "evacuate/"
ROLLOUT_KEY_PREFIX = "rollout/"
ENDPOINT_TABLE = "servers"
STATUS_TABLE = "status"
# Table of the states of rollouts, which only the system reads.
ROLLOUT_TABLE = "rollouts"

REPORT_PATH = "/report"
COPY_PATH = "/kv-move"
COPY_DROP_PATH = "/kv-handle/"
