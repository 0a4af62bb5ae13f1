"""Runs a node with a planted fault, to show that the soak finds it.

    python -m marlstep.fault_injection.soak.mutated_node NAME [--operator FILE]

The production code contains none of this: the faults are patched into it here.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from datetime import datetime

from marlstep.__main__ import main
from marlstep.core.interfaces import Response
from marlstep.frontends.base import RequestConnection
from marlstep.frontends.resp import RespConnection
from marlstep.frontends.uwsgi import UwsgiConnection
from marlstep.hot_restart.messages import KeyStatus, Message
from marlstep.hot_restart.successor import Successor


def close_unread() -> None:
    """Close each connection without an open request as soon as the frontend stops accepting, read or not."""

    def drain(self: RequestConnection) -> None:
        if not self._request_handles:
            self.finish()

    RespConnection.drain = drain  # type: ignore[method-assign]
    UwsgiConnection.drain = drain  # type: ignore[method-assign]


def respond_twice() -> None:
    """Send each fiftieth response twice."""
    send_response = RespConnection.send_response
    count = 0

    def send(self: RespConnection, number: int, response: Response) -> None:
        nonlocal count
        count += 1
        if count % 50 == 0:
            send_response(self, number, response)
        send_response(self, number, response)

    RespConnection.send_response = send  # type: ignore[method-assign]


def run_again() -> None:
    """Claim no key at the predecessor and ignore those that it knows, so that repeats run in the successor again."""

    def claim(*_: object) -> bool:
        return False

    handle = Successor.handle

    def handle_all_but_keys(self: Successor, message: Message, now: datetime) -> None:
        if not isinstance(message, KeyStatus):
            handle(self, message, now)

    Successor.claim = claim  # type: ignore[method-assign, assignment]
    Successor.handle = handle_all_but_keys  # type: ignore[method-assign]


MUTATIONS: dict[str, Callable[[], None]] = {
    "close-unread": close_unread,
    "respond-twice": respond_twice,
    "run-again": run_again,
}

if __name__ == "__main__":
    name = sys.argv.pop(1)
    MUTATIONS[name]()
    sys.exit(main())
