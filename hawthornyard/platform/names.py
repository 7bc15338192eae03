"""Name the headers, tables and keys of the users' platform."""

REQUEST_ID = "X-Hawthornyard-Request-Id"
# Written by the endpoint over its answer; a success without it is not its answer.
SIGNATURE = "X-Hawthornyard-Response-Seal"
# Milliseconds that are left, not a point in time.
TIMEOUT_MS = "X-Hawthornyard-Deadline-Ms"
EXPECTED_ENDPOINT = "X-Hawthornyard-Expect-Instance"
TEAM = "X-Hawthornyard-Tenant-Id"
MODEL = "X-Hawthornyard-Model"
# "prompt tokens,largest output", although it is sent before any use.
SIZE = "X-Hawthornyard-Token-Usage"
PREFIX = "X-Hawthornyard-Prompt-Prefix"
EXPECTED_OUTPUT = "X-Hawthornyard-Length-Hint"
# The endpoint has not run the request.
NOT_RUN = "X-Hawthornyard-Not-Executed"
PRIORITY = "X-Hawthornyard-Request-Priority"
BACKUP = "X-Hawthornyard-Kv-Backup"
COPY_SOURCE = "Kv-From"
LAST_EVENT = "Last-Event-Id"

LEAST_URGENT = 9
"""Largest value of the priority header; 0 is the most urgent."""

# Headers that only the system sets, and those of one connection.
NOT_PASSED_ON = frozenset(
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
        REQUEST_ID,
        TIMEOUT_MS,
        EXPECTED_ENDPOINT,
        TEAM,
        NOT_RUN,
        PRIORITY,
        BACKUP,
        COPY_SOURCE,
        LAST_EVENT,
    )
)

# Headers of an answer that concern one connection only.
NOT_PASSED_BACK = frozenset(
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
DOMAIN_OUT_PREFIX = "evacuate/"
ENDPOINT_TABLE = "servers"

REPORT_PATH = "/report"
COPY_PATH = "/kv-move"
COPY_DROP_PATH = "/kv-handle/"
