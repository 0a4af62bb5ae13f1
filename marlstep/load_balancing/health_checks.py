"""Health checks of a pool's ejected servers, shared by the nodes of a fleet.

The holder of the pool's lease opens a connection to each server whose ejection is over, and notifies all nodes once one
succeeds. Until then no node sends a request there; after it each node probes the server with one request. A node that
hears nothing for too long, because it or the holder is cut off, decides as if it had no peers.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

CHECK_RETRY_INTERVAL = timedelta(seconds=1)  # between two connections to one server


@dataclass(slots=True)
class EjectedServer:
    """What is known of one ejection of a server."""

    ejected_until: datetime  # tells this ejection from others of the same server
    recovered: bool = False  # a connection succeeded since it ended
    last_check_at: datetime | None = None


def check_is_due(server: EjectedServer, now: datetime) -> bool:
    """Decide whether the lease holder opens a connection to an ejected server now.

    Rule: its ejection is over, no connection succeeded yet, and the last one was a while ago.
    """
    ejection_is_over = now >= server.ejected_until
    not_checked_lately = server.last_check_at is None or now >= server.last_check_at + CHECK_RETRY_INTERVAL
    return ejection_is_over and not server.recovered and not_checked_lately


class PoolHealthChecks:
    """The ejected servers of one pool, as one node knows them."""

    def __init__(self, fallback_after: timedelta) -> None:
        """After `fallback_after` beyond the end of an ejection this node no longer waits for the lease holder."""
        self._fallback_after = fallback_after
        self._servers: dict[str, EjectedServer] = {}
        self._latest_token = 0

    def _ejection_of(self, server: str, ejected_until: datetime) -> EjectedServer:
        ejection = self._servers.get(server)
        if ejection is None or ejection.ejected_until != ejected_until:
            ejection = self._servers[server] = EjectedServer(ejected_until)
        return ejection

    def may_probe(self, server: str, ejected_until: datetime, now: datetime) -> bool:
        """Decide whether this node may probe the server with a request.

        Rule: the lease holder could connect to it. Exception: no notification came in time.
        """
        has_recovered = self._ejection_of(server, ejected_until).recovered
        return has_recovered or now >= ejected_until + self._fallback_after

    def servers_to_check(self, ejected: dict[str, datetime], now: datetime) -> list[str]:
        """Return the servers to which the lease holder opens a connection now, and count these as checked.

        `ejected` gives the ends of all ejections by server.
        """
        for name in self._servers.keys() - ejected.keys():
            del self._servers[name]
        due = []
        for name, until in ejected.items():
            ejection = self._ejection_of(name, until)
            if check_is_due(ejection, now):
                ejection.last_check_at = now
                due.append(name)
        return due

    def check_finished(self, server: str, connected: bool) -> None:
        """Take in how the lease holder's connection to a server went."""
        ejection = self._servers.get(server)
        if ejection is not None:
            ejection.recovered = ejection.recovered or connected

    def peer_reported_recovery(self, server: str, token: int, ejected: dict[str, datetime]) -> bool:
        """Take in the lease holder's notification; return False where a later holder, by the token, is known."""
        if token < self._latest_token:
            return False
        self._latest_token = token
        if server in ejected:
            self._ejection_of(server, ejected[server]).recovered = True
        return True
