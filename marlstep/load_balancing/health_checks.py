"""Who asks a server that was ejected whether it is back: in a fleet one node, for all.

The holder of the pool's lease opens a connection to each ejected server whose time is over, and tells the others when
one stands. Until then they leave it alone; then each gives it one request, as ever. Where nobody tells anything for
too long, because the holder or this node is cut off, a node goes by its own judgment as if it were alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

RETRY_INTERVAL = timedelta(seconds=1)  # between two connections to one server


@dataclass(slots=True)
class EjectedServer:
    out_until: datetime  # of the ejection that this is about
    back: bool = False  # a connection stood since then
    tried: datetime | None = None


class PoolHealthChecks:
    """Of one pool, on one node. `alone_after` is how long past its time a server waits for the others' word."""

    def __init__(self, alone_after: timedelta) -> None:
        self._alone_after = alone_after
        self._known: dict[str, EjectedServer] = {}
        self._token = 0

    def _about(self, server: str, out_until: datetime) -> EjectedServer:
        known = self._known.get(server)
        if known is None or known.out_until != out_until:
            known = self._known[server] = EjectedServer(out_until)
        return known

    def may_probe(self, server: str, out_until: datetime, now: datetime) -> bool:
        """Whether this node may give the server its one request."""
        return self._about(server, out_until).back or now >= out_until + self._alone_after

    def servers_to_check(self, out: dict[str, datetime], now: datetime) -> list[str]:
        """For the holder: the servers to which a connection is to be opened now."""
        for gone in self._known.keys() - out.keys():
            del self._known[gone]
        found = []
        for server, until in out.items():
            known = self._about(server, until)
            if (
                now >= until
                and not known.back
                and (known.tried is None or now >= known.tried + RETRY_INTERVAL)
            ):
                known.tried = now
                found.append(server)
        return found

    def check_finished(self, server: str, stood: bool) -> None:
        """For the holder: how a connection went."""
        known = self._known.get(server)
        if known is not None:
            known.back = known.back or stood

    def peer_reported_recovery(self, server: str, token: int, out: dict[str, datetime]) -> bool:
        """The holder under that token says that the server is back. False from a holder that is no more."""
        if token < self._token:
            return False
        self._token = token
        if server in out:
            self._about(server, out[server]).back = True
        return True
