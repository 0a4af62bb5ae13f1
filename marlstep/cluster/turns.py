"""When the node's turn runs: as soon as something happened, or when the next deadline is due."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime

from marlstep.cluster.context import NodeContext
from marlstep.timer_queue import Timer
from marlstep.units import MILLISECOND


class TurnScheduler:
    """Runs one turn at a time, however often a turn was asked for."""

    def __init__(self, context: NodeContext, run_turn: Callable[[datetime], None]) -> None:
        """`run_turn` is called with the steady clock's time."""
        self._context, self._run_turn = context, run_turn
        self._is_scheduled = False
        self._alarm: Timer | None = None

    def schedule(self) -> None:
        """Ask for a turn in the next iteration of the event loop."""
        if not self._is_scheduled and not self._context.process.is_closed:
            self._is_scheduled = True
            self._context.steady.soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        process = self._context.process
        if process.is_open and not process.is_closed:
            self._run_turn(self._context.steady.now())

    def wake_at(self, due: datetime, now: datetime) -> None:
        """Run a turn at `due`, unless an earlier one is set already."""
        steady = self._context.steady
        if self._alarm is not None and self._alarm.callback is not None:
            if now < self._alarm.when <= due:
                return
            steady.cancel(self._alarm)
        self._alarm = steady.at(max(due, now + MILLISECOND), self.schedule)

    def close(self) -> None:
        """Cancel the alarm."""
        self._context.steady.cancel(self._alarm)
