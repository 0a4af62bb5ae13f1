"""What an operator says of a pool."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from marlstep.units import SECOND

Address = tuple[str, int]


@dataclass(slots=True, frozen=True)
class PoolPlan:
    name: str  # "" for the single server of `upstream`, which has no limits
    servers: tuple[Address, ...]
    classes: tuple[str, ...] = ()  # that go there; the pool without any takes the rest
    refuses: tuple[int, ...] = ()  # statuses by which a server says that nothing ran
    boot_header: str = "x-boot-id"  # in which a server tells its present life; in lower case
    connect_timeout: timedelta = 1 * SECOND
    max_attempts: int = 3  # servers for one request, where the first was not reached or refused it
    limited: bool = True

    @property
    def names(self) -> list[str]:
        return [server_name(address) for address in self.servers]


def server_name(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def pool_of(plans: tuple[PoolPlan, ...], kind: str) -> str:
    """The name of the pool for a class: the one that lists it, else the one that lists none."""
    for plan in plans:
        if kind in plan.classes:
            return plan.name
    return next(plan.name for plan in plans if not plan.classes)
