"""Default limits, timeouts and periods, with their unit in the name."""

# TCP ports.
ENTRY_PORT = 8080
PEER_PORT = 8081
EGRESS_PORT = 8082
ADMIN_PORT = 8083

# Sizes and timeouts of HTTP messages and frames between nodes.
BODY_MAX_BYTES = 1 << 20
BODY_TIMEOUT_S = 10.0
ANSWER_MAX_BYTES = 8 << 20
INTERIM_ANSWERS_MAX = 16
# Maximum size of a value read from the platform.
VALUE_MAX_BYTES = 16 << 20
ANSWER_PIECE_BYTES = 64 << 10
FRAME_MAX_BYTES = 2 << 20

# Calls between nodes.
CALL_TIMEOUT_MS = 2_000
CALL_TIMEOUT_MAX_MS = 30_000
RETRIES_PER_ROOT = 3
CALL_DEPTH_MAX = 32
# Time reserved for sending the response back before the deadline.
ANSWER_MARGIN_MS = 20

# Streams between nodes, and the stop of a node.
HEARTBEAT_PERIOD_S = 0.25
HEARTBEAT_TIMEOUT_S = 0.75
CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 2.0
RECONNECT_MIN_S = 0.02
RECONNECT_MAX_S = 1.0
RESOLVE_TIMEOUT_S = 1.5
ORPHAN_TIMEOUT_S = 3.0
LEAVE_NOTICE_S = 1.0
LINGER_S = 0.3
# Time within which a caller must read the last response of a connection.
UNREAD_MAX_S = 5.0
STOP_TIMEOUT_S = 32.0
STREAM_CALLS_MAX = 2_000
STREAM_BUFFER_BYTES = 1 << 20
STREAM_CONTROL_MAX = 1_000
STREAM_IDLE_S = 60.0
SETTLE_CALLS = 64
SETTLE_PERIOD_S = 1.0
CONTROL_TICK_S = 0.1
PLATFORM_WATCH_S = 20.0
HOST_LIST_WATCH_S = 1.0
PLATFORM_RETRY_S = 0.5

# Requests.
RETRY_AFTER_MS = 500
QUOTA_WAIT_MAX_S = 0.2
RECORD_RETENTION_S = 600.0
FLEET_START_WINDOW_S = 30.0
HOST_LIST_LAG_MAX_S = 10.0
PAUSE_GAP_S = 1.0

# Nodes that read the platform on behalf of their data centre, and the
# propagation of configurations and host lists from them to all nodes.
READERS_PER_DATA_CENTRE = 3
READER_CANDIDATES = 8
READER_SILENCE_S = 1.0
READER_STAGGER_S = 0.1
READER_PULSE_S = 0.3
READER_ROTATION_VERSIONS = 256
READER_AGE_MAX_S = 15.0
READER_LATE_TERM_S = 60.0
PLATFORM_RETRY_MAX_S = 4.0
BOOT_RETRY_MAX_S = 30.0
RELAY_FAN_OUT = 2
REPAIR_PERIOD_S = 1.0
ASK_PERIOD_S = 0.75
ASK_FAN_OUT = 8
PULL_RETRY_S = 0.3
ANNOUNCED_MAX_S = 10.0
DELTA_PART_BYTES = 64 << 10
DELTA_PARTS_MAX = 1024
DELTA_PARTS_PER_PULL = 8
HOLD_COPIES = 2
HOLD_WAIT_S = 0.5
HOLD_REPEAT_S = 0.2
# Queries of peers when a node starts.
BOOT_PEERS = 15
BOOT_ASK_S = 0.3
BOOT_WAIT_S = 2.0
BOOT_GIVE_UP_S = 10.0
# Queries of peers when a node resumes after a pause.
CONFIRM_ASK_S = 0.2
CONFIRM_PEERS = 4
CONFIRM_GIVE_UP_S = 10.0
# Propagation of membership updates, such as that a host is leaving.
NOTE_PERIOD_S = 0.25
NOTE_FAN_OUT = 2
NOTE_REPEAT_S = 2.0
HOSTS_CHANGED_PERIOD_S = 0.5
NOTE_RETENTION_S = 600.0
NOTES_PER_MESSAGE = 8
