"""The rules of a uwsgi connection: when it is closed without a response. Pure.

A connection carries one request, and closes after its response. Before that it is closed only while no request is open.
"""

from __future__ import annotations


def closes_at_timeout(open_requests: int) -> bool:
    """Whether a connection closes at its read timeout: its packet was not complete in time, so no request is open."""
    return open_requests == 0


def closes_at_drain(open_requests: int, inside_packet: bool) -> bool:
    """Whether a connection closes when the frontend stops accepting.

    It does unless a request is open, or its packet has begun: that is read to its end, within the read timeout, and
    responded to.
    """
    return open_requests == 0 and not inside_packet
