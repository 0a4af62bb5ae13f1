"""Which numbered notices of the kernel are applied."""

from __future__ import annotations

from marlstep.platform.notice_sequence import NoticeDecision, NoticeSequence


def test_a_repeated_notice_is_applied_only_once() -> None:
    notices = NoticeSequence()
    decisions = [notices.decide(number) for number in (1, 2, 1, 2, 3)]
    assert decisions == [
        NoticeDecision.APPLY,
        NoticeDecision.APPLY,
        NoticeDecision.IGNORE,
        NoticeDecision.IGNORE,
        NoticeDecision.APPLY,
    ]
    assert notices.last == 3


def test_missing_notices_are_requested_once_and_then_treated_as_lost() -> None:
    notices = NoticeSequence()
    notices.decide(1)
    assert notices.decide(4) is NoticeDecision.RECONNECT and notices.last == 1
    assert notices.decide(4) is NoticeDecision.APPLY_AFTER_LOSS and notices.last == 4
    assert notices.decide(6) is NoticeDecision.RECONNECT
