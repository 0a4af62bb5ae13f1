"""Ends of requests: the one place that gives known requests a final response other than the result of a run.

An arrival of an unknown class is rejected by the intake, as there is no entry of it.
"""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.admission.actions import Fail, ForgetKey, Reject
from marlstep.admission.controller_state import ControllerState
from marlstep.admission.entry import Entry, State
from marlstep.admission.retry_advisor import RetryAdvisor

WAITING_WITHOUT_CORE = (State.QUEUED, State.PAUSED, State.ATTACHED)


def forbids_failover(priority_weight: float, highest_weight: float, is_draining: bool) -> bool:
    """Return whether a rejection asks the caller not to try another server either.

    A retry elsewhere costs that server the reading of it, so only requests of the highest class may be
    retried while this server is overloaded. A server that drains is the exception: the others have capacity,
    and all may go there.

    Args:
        priority_weight: of the request's class.
        highest_weight: the highest priority weight of all classes.
        is_draining: whether the server leaves service.
    """
    is_highest_class = priority_weight >= highest_weight
    return not is_draining and not is_highest_class


@dataclass(slots=True)
class RequestLifecycle:
    """Gives final responses and finishes requests."""

    state: ControllerState
    advisor: RetryAdvisor

    def reject_or_fail(self, entry: Entry) -> None:
        """Reject a request that was never started, and fail any other.

        A rejection promises that the request did not run, so that the caller may retry it anywhere. Where no
        response is owed any more, nothing happens.
        """
        if not entry.response_owed:
            return
        if entry.has_run:
            self.state.actions.append(Fail(entry.id))
        else:
            no_failover = forbids_failover(
                entry.request_class.priority_weight, self.state.highest_weight, self.state.is_draining
            )
            self.state.actions.append(Reject(entry.id, self.advisor.current_retry_after_us(), no_failover))
        self.abandon(entry)

    def abandon(self, entry: Entry) -> None:
        """Note that no response is owed; what has not begun or is paused is finished with that.

        Whether a run goes on is decided with its priority: that of a keyed request may still serve a retry.
        """
        entry.response_owed = False
        if entry.state in WAITING_WITHOUT_CORE:
            self.finish(entry)

    def finish(self, entry: Entry) -> None:
        """End a request, and drop its idempotency key if it never ran, so that a retry may run."""
        self.state.move(entry, State.FINISHED)
        is_key_unused = entry.is_keyed and not entry.has_run
        if is_key_unused and self.state.entries.release_key_memory(entry):
            self.state.actions.append(ForgetKey(entry.id))
