"""All result codes.

The thousands digit states whether the request ran: 1 it did not run, 2 it
ran, 3 it is unknown whether it ran. Codes are passed unchanged along a call
chain. Codes from 9000 stand for faults in an operator's input and are never
the result of a request.
"""

from . import codes

Knowledge = codes.Knowledge
ResultCode = codes.ResultCode

by_number = codes.by_number
all_codes = codes.all_codes

_code = codes.define

MALFORMED_REQUEST = _code(
    1001,
    "malformed_request",
    400,
    "The request could not be understood.",
    "Correct the request; the detail names the place.",
)
UNKNOWN_ROUTE = _code(
    1002,
    "unknown_route",
    404,
    "No service and route have these names in any naming scheme.",
    "Check the path and the method.",
)
KEY_MISSING = _code(
    1003,
    "key_missing",
    401,
    "The route is not open to all and no key was presented.",
    "Send the organisation's key.",
)
KEY_REJECTED = _code(
    1004,
    "key_rejected",
    401,
    "The key is not, or is no longer, granted to an organisation.",
    "Ask the operator for a valid key.",
)
NOT_PERMITTED = _code(
    1005,
    "not_permitted",
    403,
    "The organisation's contract does not cover this route.",
    "Ask the operator to extend the contract.",
)
KEY_MISPLACED = _code(
    1006,
    "key_misplaced",
    400,
    "The key was repeated in the path, the query or the body.",
    "Send the key in the Authorization header only.",
)
IDEMPOTENCY_KEY_MISSING = _code(
    1007,
    "idempotency_key_missing",
    400,
    "The route runs at most once and needs an Idempotency-Key header.",
    "Send a unique key for each logical request.",
)
BODY_TOO_LARGE = _code(
    1008,
    "body_too_large",
    413,
    "The request body exceeds the limit.",
    "Send a smaller body.",
)
OVER_RATE = _code(
    1010,
    "over_rate",
    429,
    "The organisation has used up its rate and burst.",
    "Wait for the time in Retry-After.",
)
SHED_AT_ENTRY = _code(
    1011,
    "shed_at_entry",
    503,
    "The service is overloaded and the request was refused on arrival.",
    "Wait for the time in Retry-After.",
)
SHED_AT_GATE = _code(
    1012,
    "shed_at_gate",
    503,
    "The upstream is overloaded and the request left its queue unserved.",
    "Wait for the time in Retry-After.",
)
DEADLINE_TOO_SHORT = _code(
    1013,
    "deadline_too_short",
    504,
    "The deadline would pass before the request could be answered.",
    "Retry later or allow more time.",
)
CANCELLED_BEFORE_START = _code(
    1014,
    "cancelled_before_start",
    499,
    "The caller gave up before the request was started.",
    "None; the caller is gone.",
)
NO_HOST = _code(
    1015,
    "no_host",
    503,
    "No live host of the service could be reached.",
    "Wait for the time in Retry-After.",
)
HOST_LEAVING = _code(
    1016,
    "host_leaving",
    503,
    "The host is stopping and accepts no new work.",
    "Retry; another host will take the request.",
)
QUARANTINED = _code(
    1017,
    "quarantined",
    422,
    "An identical request has crashed upstreams and is refused for a time.",
    "Do not send this request again; report it to the operator.",
)
NOT_DISPATCHED = _code(
    1018,
    "not_dispatched",
    503,
    "The connection failed before the request reached an upstream.",
    "Wait for the time in Retry-After.",
)
RESOLVED_NOT_RUN = _code(
    1019,
    "resolved_not_run",
    503,
    "The answer was lost and the host confirmed that the request never ran.",
    "Retry.",
)
NOT_CONFIGURED = _code(
    1020,
    "not_configured",
    503,
    "The node has no configuration yet.",
    "Retry; another host will take the request.",
)
STALE_VIEW = _code(
    1021,
    "stale_view",
    503,
    "The node has not confirmed its configuration lately.",
    "Retry; another host will take the request.",
)
OWNER_UNSETTLED = _code(
    1022,
    "owner_unsettled",
    503,
    "The shard of the idempotency key has no confirmed owner.",
    "Retry with the same Idempotency-Key.",
)
CALL_TOKEN_REJECTED = _code(
    1023,
    "call_token_rejected",
    401,
    "The outgoing call does not belong to a running request.",
    "Send the call token that came with the running request.",
)
LINK_BUDGET_SPENT = _code(
    1024,
    "link_budget_spent",
    503,
    "The link between the regions has no capacity left for the request.",
    "Wait for the time in Retry-After.",
)
RECORD_FULL = _code(
    1025,
    "record_full",
    503,
    "The host can retain no more execution records.",
    "Retry later with the same Idempotency-Key.",
)

RETRIES_SPENT = _code(
    1026,
    "retries_spent",
    503,
    "The call repeats a failed one and its root request has no retry left.",
    "Fail the request above; do not repeat the call.",
)

UPSTREAM_SHED = _code(
    1027,
    "upstream_shed",
    503,
    "The upstream itself said that it did not run the request.",
    "Wait for the time in Retry-After.",
)
INSTANCE_GONE = _code(
    1028,
    "instance_gone",
    503,
    "Another upstream has the address of the one that was meant.",
    "Retry; another host will take the request.",
)
SHED_FOR_CHAIN = _code(
    1029,
    "shed_for_chain",
    503,
    "A service that the request's calls end in is overloaded.",
    "Wait for the time in Retry-After.",
)

NODE_STOPPING = _code(
    1030,
    "node_stopping",
    503,
    "The node stops before the request's deadline and took it no more.",
    "Wait for the time in Retry-After; the node is back then.",
)
DATA_CENTRE_EVACUATED = _code(
    1031,
    "data_centre_evacuated",
    503,
    "The data centres of all upstreams that could run it are evacuated.",
    "Wait for the time in Retry-After, or ask the operator.",
)
NOT_AT_HOME = _code(
    1032,
    "not_at_home",
    503,
    "No upstream of the service is in a region that the request may use.",
    "Wait for the time in Retry-After, or ask the operator.",
)

ANSWERED = _code(
    2000,
    "answered",
    200,
    "The upstream's whole answer was delivered with its own status.",
    "None.",
)
ANSWER_TRUNCATED = _code(
    2002,
    "answer_truncated",
    502,
    "The request ran and its answer ended early.",
    "Retry only if the request is idempotent.",
)
ANSWER_LOST = _code(
    2003,
    "answer_lost",
    502,
    "The request ran and its answer is no longer retained.",
    "Do not repeat a request that must run once.",
)
DEADLINE_PASSED = _code(
    2004,
    "deadline_passed",
    504,
    "The request was started and its deadline passed before the answer.",
    "Retry only if the request is idempotent.",
)
ANSWER_TOO_LARGE = _code(
    2005,
    "answer_too_large",
    502,
    "The request ran and its answer exceeds the limit.",
    "Ask for less.",
)
CANCELLED_AFTER_START = _code(
    2006,
    "cancelled_after_start",
    499,
    "The caller gave up after the request was started.",
    "None; the caller is gone.",
)

OUTCOME_UNKNOWN = _code(
    3001,
    "outcome_unknown",
    502,
    "The connection was lost and the outcome could not be resolved.",
    "Retry with the same Idempotency-Key, or only if idempotent.",
)
UPSTREAM_BROKEN = _code(
    3002,
    "upstream_broken",
    502,
    "The upstream's connection broke after the request had been sent.",
    "Retry with the same Idempotency-Key, or only if idempotent.",
)
STILL_RUNNING = _code(
    3003,
    "still_running",
    409,
    "A request with the same Idempotency-Key is still running.",
    "Ask again later with the same Idempotency-Key.",
)
RECORD_FORGOTTEN = _code(
    3004,
    "record_forgotten",
    409,
    "The key may be older than the host's records of executed requests.",
    "Check whether the request took effect before sending a new key.",
)
DEADLINE_UNKNOWN = _code(
    3005,
    "deadline_unknown",
    504,
    "The deadline passed and it is not known whether the request ran.",
    "Retry with the same Idempotency-Key, or only if idempotent.",
)
REFUSAL_UNPROVED = _code(
    3006,
    "refusal_unproved",
    502,
    "The upstream's status means that the request did not run, unproved.",
    "Retry only if the request is idempotent.",
)

STOPPED_UNANSWERED = _code(
    3007,
    "stopped_unanswered",
    502,
    "The node stopped before the answer of an upstream came.",
    "Retry with the same Idempotency-Key, or only if idempotent.",
)

SETTINGS_FAULT = _code(
    9001,
    "settings_fault",
    0,
    "The settings file is malformed.",
    "Correct the place that the fault names.",
)
CONFIGURATION_FAULT = _code(
    9002,
    "configuration_fault",
    422,
    "The configuration document is malformed and was refused whole.",
    "Correct every place that the faults name.",
)
PATCH_VERSION_MISMATCH = _code(
    9003,
    "patch_version_mismatch",
    409,
    "The patch was made against another version.",
    "Make the patch against the current version.",
)
PATCH_FAULT = _code(
    9004,
    "patch_fault",
    422,
    "The patch is malformed or does not apply.",
    "Correct the operation that the fault names.",
)
FRAME_FAULT = _code(
    9005,
    "frame_fault",
    0,
    "A peer sent a malformed frame and its stream was closed.",
    "Check that both nodes run compatible releases.",
)
PLATFORM_FAULT = _code(
    9006,
    "platform_fault",
    503,
    "The platform's service could not be read.",
    "Check the platform; the last accepted configuration stays in force.",
)
TRACE_FAULT = _code(
    9007,
    "trace_fault",
    0,
    "A recorded trace is malformed.",
    "Correct the line that the fault names.",
)
ADMIN_UNAUTHORIZED = _code(
    9008,
    "admin_unauthorized",
    401,
    "The administration API was not given its token.",
    "Send the token as a bearer token in the Authorization header.",
)
ADMIN_CLOSED = _code(
    9009,
    "admin_closed",
    403,
    "The settings name no token, so that the administration API is closed.",
    "Set a token in the node's settings.",
)
ADMIN_NOT_FOUND = _code(
    9010,
    "admin_not_found",
    404,
    "The administration API has no such resource.",
    "Check the path against the API's description.",
)
ADMIN_REQUEST_FAULT = _code(
    9011,
    "admin_request_fault",
    400,
    "A request to the administration API is malformed.",
    "Correct the place that the fault names.",
)
ADMIN_TOO_LARGE = _code(
    9012,
    "admin_too_large",
    413,
    "The published document is too large to be checked by a serving node.",
    "Check the patch with savorytally config patch.",
)
ORGANISATION_UNKNOWN = _code(
    9013,
    "organisation_unknown",
    404,
    "The configuration in force has no organisation of that name.",
    "Check the name; it is not the key.",
)
QUESTION_FAULT = _code(
    9014,
    "question_fault",
    400,
    "A question to a node about a request is malformed.",
    "Correct the parameter that the detail names.",
)
NODE_SILENT = _code(
    9015,
    "node_silent",
    0,
    "The node did not answer a question in time.",
    "Check that it runs, its address and its metrics port.",
)
NODE_REPLY_FAULT = _code(
    9016,
    "node_reply_fault",
    0,
    "The reply to a question is not one that a node gives.",
    "Check the address, and that node and command are of one release.",
)
