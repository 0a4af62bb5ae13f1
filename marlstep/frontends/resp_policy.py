"""The rules of a RESP connection: what is rejected, when it is read no further, and when it is closed. Pure.

A frame that can be read but not served gets `error`, and the connection goes on. Where the stream can't be divided into
frames any more, the requests that are open are still responded to, and then the connection is closed.
"""

from __future__ import annotations

from marlstep.units import MILLISECOND, SECOND

READ_TIMEOUT = 1.5 * SECOND  # for a frame to be complete, the first one from the connection's opening
MAX_INVALID_REQUESTS = 8  # on one connection, before it is closed
MAX_OPEN_REQUESTS = 32  # on one connection
CLOSE_DELAY = 200 * MILLISECOND  # from `0 closing` until a connection without open requests is closed


def accepts_another_request(open_requests: int) -> bool:
    """Whether a connection may open one more request; beyond the limit a request gets `error` at once.

    The limit bounds the responses that may have to be queued for one peer.
    """
    return open_requests < MAX_OPEN_REQUESTS


def is_misused(invalid_requests: int) -> bool:
    """Whether a connection closes for its invalid requests: each costs a parse, a response and a line of the log."""
    return invalid_requests == MAX_INVALID_REQUESTS


def has_read_everything(at_eof: bool, send_blocked: bool) -> bool:
    """Whether no request of the peer is still to be read.

    It is not enough that the peer ended its stream: while it does not read its responses, nothing is read from it
    either, and complete requests may lie in the inbox. They are served first.
    """
    return at_eof and not send_blocked


def waits_for_peer(send_blocked: bool, unparsed_bytes: int, inside_frame: bool, is_unproven: bool) -> bool:
    """Whether the peer has to send or to read something within the read timeout.

    It has to while it does not read its responses, while a frame is incomplete, and until its first complete frame.
    """
    return send_blocked or unparsed_bytes > 0 or inside_frame or is_unproven


def closes_after_last_response(is_malformed: bool, at_eof: bool, send_blocked: bool) -> bool:
    """Whether a connection closes once its last open request is responded to.

    It does where nothing more can be read from it: the stream is malformed, or the peer ended it.
    """
    return is_malformed or has_read_everything(at_eof, send_blocked)


def drains_at_once(is_malformed: bool, open_requests: int) -> bool:
    """Whether a connection that is to drain closes now; otherwise it announces the closing and waits for a while.

    It closes now if nothing can cross the announcement: the stream is malformed, and no response is owed.
    """
    return is_malformed and open_requests == 0


def postpones_close(
    connected: bool, open_requests: int, is_malformed: bool, send_blocked: bool, incomplete_input: bool
) -> bool:
    """Whether a connection that announced its closing stays open for another `CLOSE_DELAY`.

    It does while requests that crossed the announcement are open or still to be read. An incomplete frame keeps it
    open as well, for the read timeout at most. Of a malformed stream nothing more is read.
    """
    still_to_read = not is_malformed and (send_blocked or incomplete_input)
    return connected and (open_requests > 0 or still_to_read)
