"""Each Ready contains only the changes since the previous one."""

from __future__ import annotations

from marlstep.consensus.log import Configuration, EntryType, LogEntry, PersistentState, RaftLog, Snapshot
from marlstep.consensus.messages import TimeoutNow
from marlstep.consensus.ready import Outbox, Ready, ReadyTracker

SAVED = PersistentState(term=1, snapshot=Snapshot(configuration=Configuration(("a",))))


class Member:
    def __init__(self) -> None:
        self.log, self.outbox = RaftLog(SAVED), Outbox()
        self.tracker = ReadyTracker(SAVED, self.log)

    def append(self, index: int, term: int = 1) -> None:
        self.log.append(LogEntry(index, term, EntryType.COMMAND, str(index)))

    def ready(self, term: int = 1, voted_for: str = "") -> Ready | None:
        return self.tracker.next_ready(term, voted_for, self.log, self.outbox)


def indexes(ready: Ready | None) -> list[int]:
    assert ready is not None
    return [entry.index for entry in ready.entries]


def test_without_changes_there_is_no_ready() -> None:
    assert Member().ready() is None


def test_entries_are_returned_once_and_again_from_the_first_overwritten_one() -> None:
    member = Member()
    for index in (1, 2, 3):
        member.append(index)
    assert indexes(member.ready()) == [1, 2, 3] and member.ready() is None
    member.log.truncate_from(2)
    member.append(2, term=2)
    member.tracker.record_truncation(2)
    assert indexes(member.ready()) == [2]


def test_a_vote_needs_a_sync_and_a_message_alone_does_not() -> None:
    member = Member()
    vote = member.ready(term=2, voted_for="b")
    assert vote is not None and vote.needs_sync and (vote.term, vote.voted_for) == (2, "b")
    member.outbox.send_after_sync("b", TimeoutNow(2))
    message = member.ready(term=2, voted_for="b")
    assert message is not None and not message.needs_sync and message.messages == [("b", TimeoutNow(2))]
    assert message.number == vote.number + 1


def test_a_received_snapshot_replaces_the_log_and_a_compaction_does_not() -> None:
    member = Member()
    member.append(1)
    member.ready()
    member.log.compact(Snapshot(1, 1, Configuration(("a",)), "own"), keep=0)
    compacted = member.ready()
    assert compacted is not None and compacted.snapshot == member.log.snapshot and not compacted.replaces_log
    received = Snapshot(8, 1, Configuration(("a",)), "leader's")
    member.log.restore(received)
    member.tracker.record_received_snapshot(received)
    installed = member.ready()
    assert installed is not None and installed.snapshot == received and installed.replaces_log
    assert (installed.last_index, installed.entries) == (8, [])
