"""Errors of the load balancer."""

from __future__ import annotations

from marlstep.slots import TableFullError


class PoolFullError(TableFullError):
    """A pool is configured with more servers than its table holds beside those that still finish requests."""

    def __init__(self, limit: int, requested: int) -> None:
        """Initialize the error with the maximum number of servers and the requested one, with those that finish."""
        super().__init__(f"a pool holds at most {limit} servers, not {requested}")
        self.limit, self.requested = limit, requested
