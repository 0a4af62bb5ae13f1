"""Rules for which runs may be started, independent of the controller that requests them."""

from __future__ import annotations

import enum

from marlstep.core.interfaces import Stage


class RunDecision(enum.Enum):
    """How the core responds to the controller's action to run a request."""

    START = "start"
    RESUME = "resume"
    NOTHING_TO_DO = "nothing_to_do"  # the request is neither queued nor paused, for example it runs already
    FORBIDDEN = "forbidden"


def decide_run(
    stage: Stage, *, may_have_run: bool, is_settled: bool, has_effect: bool, arrived_too_late: bool
) -> RunDecision:
    """Decide what to do with a request that the controller wants to run.

    A settled request never runs, and neither does one that arrived after the grace period of a drain. Work that has an
    effect and may have run is not started again; resuming a paused run is not a new start. These rules apply whatever
    the controller requests, as breaking one could run a client's work twice.

    Args:
        stage: the stage of the request.
        may_have_run: whether a run of the request has begun or may have begun.
        is_settled: whether no response is due any more: it was sent, or the client has disconnected.
        has_effect: whether the class of the request is not idempotent.
        arrived_too_late: the result of `GracefulShutdown.is_too_late`, which repeats the controller's own check.
    """
    runs_again = has_effect and may_have_run and stage is not Stage.PAUSED
    if is_settled or arrived_too_late or runs_again:
        return RunDecision.FORBIDDEN
    if stage is Stage.PAUSED:
        return RunDecision.RESUME
    return RunDecision.START if stage is Stage.QUEUED else RunDecision.NOTHING_TO_DO
