"""Schedules the turns of the node: soon after an event, or when the next deadline is due."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime

from marlstep.cluster.context import NodeContext
from marlstep.timer_queue import Timer
from marlstep.units import MILLISECOND


class TurnScheduler:
    """Runs one turn for any number of requests made since the previous turn."""

    def __init__(self, context: NodeContext, run_turn: Callable[[datetime], None]) -> None:
        """Initialize the scheduler with no scheduled turn; `run_turn` is called with the time of the steady clock."""
        self._context, self._run_turn = context, run_turn
        self._is_scheduled = False
        self._wakeup_timer: Timer | None = None

    def schedule(self) -> None:
        """Request a turn in the next iteration of the event loop."""
        if not self._is_scheduled and not self._context.process.is_closed:
            self._is_scheduled = True
            self._context.steady.soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        process = self._context.process
        if process.is_open and not process.is_closed:
            self._run_turn(self._context.steady.now())

    def wake_at(self, due: datetime, now: datetime) -> None:
        """Run a turn at `due`, unless an earlier one is already scheduled."""
        steady = self._context.steady
        if self._wakeup_timer is not None and self._wakeup_timer.callback is not None:
            if now < self._wakeup_timer.when <= due:
                return
            steady.cancel(self._wakeup_timer)
        self._wakeup_timer = steady.at(max(due, now + MILLISECOND), self.schedule)

    def close(self) -> None:
        """Cancel the wake-up timer."""
        self._context.steady.cancel(self._wakeup_timer)
