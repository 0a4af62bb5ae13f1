"""Errors of the load balancer."""

from __future__ import annotations

from marlstep.slots import TableFullError


class PoolFullError(TableFullError):
    """A pool was given more servers than its table holds; the operator has to name fewer."""

    def __init__(self, limit: int, requested: int) -> None:
        """Keep how many servers a pool holds, and how many it would have held."""
        super().__init__(f"a pool holds at most {limit} servers, not {requested}")
        self.limit, self.requested = limit, requested
