"""Who asks a server that was ejected whether it is back: in a fleet one node, for all.

The holder of the pool's lease opens a connection to each ejected server whose time is over, and tells the others when
one stands. Until then they leave it alone; then each gives it one request, as ever. Where nobody tells anything for
too long, because the holder or this node is cut off, a node goes by its own judgment as if it were alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

CHECK_RETRY_INTERVAL = timedelta(seconds=1)  # between two connections to one server


@dataclass(slots=True)
class EjectedServer:
    ejected_until: datetime  # of the ejection that this is about
    recovered: bool = False  # a connection stood since then
    last_check_at: datetime | None = None


class PoolHealthChecks:
    """Of one pool, on one node. `fallback_after` is how long past its time a server waits for the others' word."""

    def __init__(self, fallback_after: timedelta) -> None:
        self._fallback_after = fallback_after
        self._known: dict[str, EjectedServer] = {}
        self._token = 0

    def _state_of(self, server: str, ejected_until: datetime) -> EjectedServer:
        known = self._known.get(server)
        if known is None or known.ejected_until != ejected_until:
            known = self._known[server] = EjectedServer(ejected_until)
        return known

    def may_probe(self, server: str, ejected_until: datetime, now: datetime) -> bool:
        """Whether this node may give the server its one request."""
        return self._state_of(server, ejected_until).recovered or now >= ejected_until + self._fallback_after

    def servers_to_check(self, ejected: dict[str, datetime], now: datetime) -> list[str]:
        """For the holder: the servers to which a connection is to be opened now."""
        for gone in self._known.keys() - ejected.keys():
            del self._known[gone]
        found = []
        for server, until in ejected.items():
            known = self._state_of(server, until)
            if (
                now >= until
                and not known.recovered
                and (known.last_check_at is None or now >= known.last_check_at + CHECK_RETRY_INTERVAL)
            ):
                known.last_check_at = now
                found.append(server)
        return found

    def check_finished(self, server: str, connected: bool) -> None:
        """For the holder: how a connection went."""
        known = self._known.get(server)
        if known is not None:
            known.recovered = known.recovered or connected

    def peer_reported_recovery(self, server: str, token: int, ejected: dict[str, datetime]) -> bool:
        """The holder under that token says that the server is back. False from a holder that is no more."""
        if token < self._token:
            return False
        self._token = token
        if server in ejected:
            self._state_of(server, ejected[server]).recovered = True
        return True
