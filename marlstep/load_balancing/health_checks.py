"""Health checks of a pool's ejected servers, which one node performs for all nodes of a fleet.

The holder of the pool's lease opens a connection to each server whose ejection has ended, and notifies all nodes once a
connection succeeds. Until then no node sends a request to that server; afterwards each node probes it with one request.
A node that receives no notification for too long, because it or the holder is partitioned, probes the server by itself.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

CHECK_RETRY_INTERVAL = timedelta(seconds=1)  # between two connection attempts to one server


@dataclass(slots=True)
class EjectedServer:
    """The state of the health checks after one ejection of a server."""

    ejected_until: datetime  # also identifies the ejection among those of the same server
    recovered: bool = False  # a connection succeeded after the ejection ended
    last_check_at: datetime | None = None


def check_is_due(server: EjectedServer, now: datetime) -> bool:
    """Return whether the lease holder should open a connection to an ejected server now.

    A check is due once the ejection has ended, unless a connection has already succeeded or the last check was less
    than `CHECK_RETRY_INTERVAL` ago.
    """
    ejection_is_over = now >= server.ejected_until
    not_checked_lately = server.last_check_at is None or now >= server.last_check_at + CHECK_RETRY_INTERVAL
    return ejection_is_over and not server.recovered and not_checked_lately


class PoolHealthChecks:
    """One node's record of the ejected servers of one pool."""

    def __init__(self, fallback_after: timedelta) -> None:
        """Initialize the record with no ejected servers.

        Args:
            fallback_after: Time after the end of an ejection from which this node probes the server without waiting
                for the lease holder's notification.

        """
        self._fallback_after = fallback_after
        self._servers: dict[str, EjectedServer] = {}
        self._latest_token = 0

    def _ejection_of(self, server: str, ejected_until: datetime) -> EjectedServer:
        ejection = self._servers.get(server)
        if ejection is None or ejection.ejected_until != ejected_until:
            ejection = self._servers[server] = EjectedServer(ejected_until)
        return ejection

    def may_probe(self, server: str, ejected_until: datetime, now: datetime) -> bool:
        """Return whether this node may probe the server with a request.

        It may once the lease holder has connected to the server, or once the fallback time has passed without a
        notification.
        """
        has_recovered = self._ejection_of(server, ejected_until).recovered
        return has_recovered or now >= ejected_until + self._fallback_after

    def servers_to_check(self, ejected: dict[str, datetime], now: datetime) -> list[str]:
        """Return the servers that the lease holder should connect to now, and mark them as checked.

        Also discards the records of servers that are no longer ejected.

        Args:
            ejected: The end of the current ejection, by server name, for all ejected servers.
            now: The current time.

        """
        for name in self._servers.keys() - ejected.keys():
            del self._servers[name]
        due = []
        for name, ejected_until in ejected.items():
            ejection = self._ejection_of(name, ejected_until)
            if check_is_due(ejection, now):
                ejection.last_check_at = now
                due.append(name)
        return due

    def check_finished(self, server: str, connected: bool) -> None:
        """Record whether the lease holder could connect to a server."""
        ejection = self._servers.get(server)
        if ejection is not None:
            ejection.recovered = ejection.recovered or connected

    def peer_reported_recovery(self, server: str, token: int, ejected: dict[str, datetime]) -> bool:
        """Handle the lease holder's notification that a server has recovered.

        Args:
            server: Name of the server.
            token: Fencing token of the sender's lease.
            ejected: The end of the current ejection, by server name, for all ejected servers.

        Returns:
            False if the notification is ignored because one with a higher token was received before.

        """
        if token < self._latest_token:
            return False
        self._latest_token = token
        if server in ejected:
            self._ejection_of(server, ejected[server]).recovered = True
        return True
