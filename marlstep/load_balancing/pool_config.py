"""The configuration of a pool of servers, as read from the operator's file."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from marlstep.units import SECOND

Address = tuple[str, int]


@dataclass(slots=True, frozen=True)
class PoolConfig:
    """Configuration of one pool of servers."""

    name: str  # "" for the single server of `upstream`
    servers: tuple[Address, ...]
    request_classes: tuple[str, ...] = ()  # that the pool serves; if empty, all that no other pool lists
    rejection_statuses: tuple[int, ...] = ()  # by which a server reports that it did not run the request
    boot_id_header: str = "x-boot-id"  # response header with the server's incarnation, in lower case
    connect_timeout: timedelta = 1 * SECOND
    max_attempts: int = 3  # per request, each at a different server
    has_limits: bool = True  # whether concurrency limits and outlier detection apply

    @property
    def server_names(self) -> list[str]:
        """The names of the servers, in the order of the operator's file."""
        return [server_name(address) for address in self.servers]


def server_name(address: Address) -> str:
    """Return the name of a server: host:port."""
    return f"{address[0]}:{address[1]}"


def pool_for(pools: tuple[PoolConfig, ...], request_class: str) -> str:
    """Return the name of the pool that serves a request class.

    That is the pool that lists the class, or else the pool that lists no classes.
    """
    for pool in pools:
        if request_class in pool.request_classes:
            return pool.name
    return next(pool.name for pool in pools if not pool.request_classes)
