"""Which numbered notices are applied."""

from __future__ import annotations

from marlstep.platform.notice_sequence import NoticeDecision, NoticeSequence


def test_each_notice_is_applied_once_however_often_it_is_repeated() -> None:
    notices = NoticeSequence()
    decisions = [notices.next(number) for number in (1, 2, 1, 2, 3)]
    assert decisions == [
        NoticeDecision.APPLY,
        NoticeDecision.APPLY,
        NoticeDecision.IGNORE,
        NoticeDecision.IGNORE,
        NoticeDecision.APPLY,
    ]
    assert notices.last == 3


def test_missing_notices_are_requested_once_and_then_counted_as_lost() -> None:
    notices = NoticeSequence()
    notices.next(1)
    assert notices.next(4) is NoticeDecision.RECONNECT and notices.last == 1
    assert notices.next(4) is NoticeDecision.APPLY_AFTER_LOSS and notices.last == 4
    assert notices.next(6) is NoticeDecision.RECONNECT
