"""Rules of a uwsgi connection: when it closes without a response. No I/O.

A connection carries one request and closes after its response. Before that it may close only while no request is open.
"""

from __future__ import annotations


def closes_at_timeout(open_requests: int) -> bool:
    """Whether a connection closes at its read timeout.

    It closes if no request is open, which is the case as long as its packet is incomplete.
    """
    return open_requests == 0


def closes_at_drain(open_requests: int, inside_packet: bool) -> bool:
    """Whether a connection closes when the frontend stops accepting.

    It stays open if a request is open or its packet is partly read. The packet is then read to its end, within the read
    timeout, and gets a response.
    """
    return open_requests == 0 and not inside_packet
