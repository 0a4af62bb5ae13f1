"""Why connections of frontends end: reasons for the log and for counts."""

from __future__ import annotations

import enum


class ConnectionEnd(enum.Enum):
    """The first cause of the end of a connection. The values appear in logs."""

    PEER = "peer"  # the peer closed or reset it with nothing left to handle, or its response was the last
    RESET = "reset"  # by the peer, with input that was not handled
    TABLE_FULL = "table_full"  # no slot was free
    EVICTED = "evicted"  # unproven, and its slot was needed
    NO_MEMORY = "no_memory"  # for its packet
    IDLE = "idle"  # idle for too long, or its slot was needed
    DRAINING = "draining"  # the frontend stopped accepting
    FRAME_TIMEOUT = "frame_timeout"  # a frame was not complete in time
    MALFORMED = "malformed"  # the stream could not be read
    INVALID_REQUESTS = "invalid_requests"  # too many requests were invalid
    NOT_READ = "not_read"  # the peer did not read its responses
    ERROR = "error"  # handling its data failed
