"""What may be started, stated apart from the controller that asks for it."""

from __future__ import annotations

import enum

from marlstep.core.interfaces import Stage


class RunDecision(enum.Enum):
    """What becomes of the controller's action to run a request."""

    START = "start"
    RESUME = "resume"
    NOTHING_TO_DO = "nothing_to_do"  # it runs already, or waits for something else
    FORBIDDEN = "forbidden"


def decide_run(
    stage: Stage, *, may_have_run: bool, is_settled: bool, has_effect: bool, arrived_too_late: bool
) -> RunDecision:
    """Decide what to do with a request that the controller wants to run.

    Nothing runs for a request that is settled, nor for one that arrived too late for a drain. Work with
    an effect that may have run is not started again; resuming a paused run of it is no new start. These rules hold
    whatever the controller asks for, as breaking one may run a client's work twice.

    Args:
        stage: where the request stands.
        may_have_run: whether a run of it has begun, or may have.
        is_settled: whether no response is owed any more: it has left, or the client has disconnected.
        has_effect: whether its class is not idempotent.
        arrived_too_late: see `GracefulShutdown.is_too_late`, the second line of defence of the controller's rule.
    """
    runs_again = has_effect and may_have_run and stage is not Stage.PAUSED
    if is_settled or arrived_too_late or runs_again:
        return RunDecision.FORBIDDEN
    if stage is Stage.PAUSED:
        return RunDecision.RESUME
    return RunDecision.START if stage is Stage.QUEUED else RunDecision.NOTHING_TO_DO
