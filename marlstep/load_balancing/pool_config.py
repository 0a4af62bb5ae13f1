"""What an operator says of a pool."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from marlstep.units import SECOND

Address = tuple[str, int]


@dataclass(slots=True, frozen=True)
class PoolConfig:
    name: str  # "" for the single server of `upstream`, which has no limits
    servers: tuple[Address, ...]
    request_classes: tuple[str, ...] = ()  # that go there; the pool without any takes the rest
    rejection_statuses: tuple[int, ...] = ()  # statuses by which a server says that nothing ran
    boot_id_header: str = "x-boot-id"  # in which a server tells its present life; in lower case
    connect_timeout: timedelta = 1 * SECOND
    max_attempts: int = 3  # servers for one request, where the first was not reached or refused it
    has_limits: bool = True

    @property
    def server_names(self) -> list[str]:
        return [server_name(address) for address in self.servers]


def server_name(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def pool_for(pools: tuple[PoolConfig, ...], request_class: str) -> str:
    """The name of the pool for a class: the one that lists it, else the one that lists none."""
    for pool in pools:
        if request_class in pool.request_classes:
            return pool.name
    return next(pool.name for pool in pools if not pool.request_classes)
