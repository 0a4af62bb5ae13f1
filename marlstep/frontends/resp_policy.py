"""Rules of a RESP connection: which requests are rejected, when reading stops, and when it closes. No I/O.

A well-formed frame that cannot be served gets `error`, and the connection stays open. If the stream can no longer be
divided into frames, the open requests still get their responses, and then the connection closes.
"""

from __future__ import annotations

from marlstep.units import MILLISECOND, SECOND

READ_TIMEOUT = (
    1.5 * SECOND
)  # to receive a complete frame; the first one is timed from the opening of the connection
MAX_INVALID_REQUESTS = 8  # on one connection; the last of them drains it
MAX_OPEN_REQUESTS = 32  # on one connection
FREE_FRAMES = 8  # that a connection handles as they arrive, and between two questions for shared time
CLOSE_DELAY = 200 * MILLISECOND  # from the frame `0 closing` until a connection without open requests closes


def accepts_another_request(open_requests: int) -> bool:
    """Whether a connection may open one more request; above the limit a request gets `error` at once.

    The limit bounds the number of responses that may be queued for one peer.
    """
    return open_requests < MAX_OPEN_REQUESTS


def has_too_many_invalid_requests(invalid_requests: int) -> bool:
    """Whether a connection drains for its invalid requests, each of which costs parsing and a response."""
    return invalid_requests >= MAX_INVALID_REQUESTS


def needs_shared_time(frames_read: int) -> bool:
    """Whether a connection handles more frames only if there is time for it (`time_slices`)."""
    return frames_read % FREE_FRAMES == 0


def has_read_everything(at_eof: bool, holds_back_input: bool) -> bool:
    """Whether all requests that the peer sent before it ended its stream have been read.

    The end of the stream alone is not enough: while the peer does not read its responses, or the connection waits for
    time of the event loop, complete requests may be left in the inbox. They are served first.
    """
    return at_eof and not holds_back_input


def waits_for_peer(send_blocked: bool, unparsed_bytes: int, inside_frame: bool, is_unproven: bool) -> bool:
    """Whether the read timeout runs, within which the peer has to send or read data.

    It runs while the peer does not read its responses, while a frame is incomplete, and until the first complete frame.
    """
    return send_blocked or unparsed_bytes > 0 or inside_frame or is_unproven


def awaits_slow_frame(open_requests: int) -> bool:
    """Whether a frame that is not complete in time is still read.

    It is while the connection stays open anyway, for its open requests: a request counts as received with its last
    byte, and is then owed a response. The wait ends with the last response, at the latest at the requests' deadlines.
    """
    return open_requests > 0


def closes_after_last_response(is_malformed: bool, at_eof: bool, holds_back_input: bool) -> bool:
    """Whether a connection closes after the response to its last open request.

    It closes if no more requests can be read: the stream is malformed, or the peer ended it.
    """
    return is_malformed or has_read_everything(at_eof, holds_back_input)


def drains_at_once(is_malformed: bool, open_requests: int) -> bool:
    """Whether a draining connection closes now, without waiting for requests that cross the announcement.

    It closes now if the stream is malformed, so that no more requests are read, and no request is open.
    """
    return is_malformed and open_requests == 0


def postpones_close(
    connected: bool, open_requests: int, is_malformed: bool, send_blocked: bool, incomplete_input: bool
) -> bool:
    """Whether a connection that announced its closing stays open for another `CLOSE_DELAY`.

    It stays open while requests that crossed the announcement are open or not read yet, and while a frame is
    incomplete, which lasts for the read timeout at most. From a malformed stream nothing more is read.
    """
    still_to_read = not is_malformed and (send_blocked or incomplete_input)
    return connected and (open_requests > 0 or still_to_read)
