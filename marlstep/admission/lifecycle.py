"""The end of requests: the only module that gives known requests a final response other than a run's result.

Arrivals of an unknown class have no entry and are rejected by the intake.
"""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.admission.actions import Fail, ForgetKey, Reject
from marlstep.admission.controller_state import ControllerState
from marlstep.admission.entry import Entry, State
from marlstep.admission.retry_advisor import RetryAdvisor

INACTIVE_STATES = (State.QUEUED, State.PAUSED, State.ATTACHED)


def forbids_failover(priority_weight: float, highest_weight: float, is_draining: bool) -> bool:
    """Return whether a rejection tells the caller not to retry on another server either.

    Even reading a retry costs the other server time, so while this server is overloaded only requests of the
    highest class may fail over. While it drains all requests may, since the other servers have capacity.

    Args:
        priority_weight: Priority weight of the request's class.
        highest_weight: The highest priority weight of all classes.
        is_draining: Whether the server drains without a successor.
    """
    is_highest_class = priority_weight >= highest_weight
    return not is_draining and not is_highest_class


@dataclass(slots=True)
class RequestLifecycle:
    """Gives final responses other than a run's result, and finishes requests."""

    state: ControllerState
    advisor: RetryAdvisor

    def reject_or_fail(self, entry: Entry) -> None:
        """Reject a request that was never started, or fail one that was.

        A rejection guarantees that the request did not run, so that it is safe to retry. Does nothing if no
        response is owed.
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
        """Mark that no response is owed, and finish the request if it is queued, paused or attached.

        A run in progress continues or is preempted by its priority, since that of a keyed request may still
        serve a retry.
        """
        entry.response_owed = False
        if entry.state in INACTIVE_STATES:
            self.finish(entry)

    def finish(self, entry: Entry) -> None:
        """Finish a request, and forget its idempotency key if it never ran, so that a retry can run."""
        self.state.move(entry, State.FINISHED)
        is_key_unused = entry.is_keyed and not entry.has_run
        if is_key_unused and self.state.entries.release_key_memory(entry):
            self.state.actions.append(ForgetKey(entry.id))
