"""Ends of requests: the one place where final answers are given that are not the result of a run."""

from dataclasses import dataclass

from marlstep.admission.actions import Fail, ForgetKey, Reject
from marlstep.admission.entry import Entry, State
from marlstep.admission.retry_advisor import RetryAdvisor
from marlstep.admission.server_state import ServerState


@dataclass(slots=True)
class RequestLifecycle:
    """Answers and finishes requests."""

    state: ServerState
    advisor: RetryAdvisor

    def reject_or_fail(self, entry: Entry) -> None:
        """Reject a request that never ran, and fail one that may have had an effect."""
        if not entry.response_owed:
            return
        # Retries elsewhere cost every server a read: only the highest class may, and all when we leave.
        is_highest = entry.request_class.priority_weight >= self.state.highest_weight
        give_up = not (self.state.is_draining or is_highest)
        if entry.has_run:
            self.state.actions.append(Fail(entry.id))
        else:
            self.state.actions.append(Reject(entry.id, self.advisor.retry_after_us(), give_up))
        self.abandon(entry)

    def abandon(self, entry: Entry) -> None:
        """Nobody waits for it any more; what runs is stopped or not by what it is still worth."""
        entry.response_owed = False
        if entry.state in (State.QUEUED, State.PAUSED, State.ATTACHED):
            self.finish(entry)

    def finish(self, entry: Entry) -> None:
        """Put an end to an entry; its key is dropped where it never ran, so that a retry may run."""
        self.state.move(entry, State.FINISHED)
        if entry.is_keyed and not entry.has_run and self.state.entries.release_key(entry):
            self.state.actions.append(ForgetKey(entry.id))
