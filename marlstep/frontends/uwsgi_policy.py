"""Rules of a uwsgi connection: when it closes without a response. No I/O.

A connection carries one request and closes after its response. An accepted connection is owed the read of its request:
without a response it closes only at its read timeout, at the end of the client's stream, to make room for another
connection (see `connection_policy`), or when the process exits. A drain closes none.
"""

from __future__ import annotations


def closes_at_timeout(open_requests: int) -> bool:
    """Whether a connection closes at its read timeout.

    It closes if no request is open, which is the case as long as its packet is incomplete.
    """
    return open_requests == 0
