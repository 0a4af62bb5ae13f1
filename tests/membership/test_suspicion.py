"""Suspicion timeouts, and how confirmations shorten them."""

from __future__ import annotations

from datetime import timedelta

from marlstep.membership.detector_settings import DetectorSettings
from marlstep.membership.member_list import Member, MemberList
from marlstep.membership.records import MemberState
from marlstep.membership.suspicion import SuspicionTimeouts
from tests.membership.support import NOW, record


def timeout(size: int, suspected_by: set[str], local_health_enabled: bool = True) -> timedelta:
    members = MemberList(record("a"))
    for number in range(size - 1):
        members.others[f"n{number}"] = Member(record(f"n{number}"), NOW)
    settings = DetectorSettings(local_health_enabled=local_health_enabled)
    suspect = Member(record("n0", MemberState.SUSPECT), NOW, suspected_by=suspected_by)
    return SuspicionTimeouts(members, settings).deadline(suspect) - NOW


def test_each_confirmation_shortens_the_timeout_down_to_its_minimum() -> None:
    confirmations: list[set[str]] = [set(), {"b"}, {"b", "c"}, {"b", "c", "d"}, {"b", "c", "d", "e"}]
    timeouts = [timeout(9, {"a", *others}) for others in confirmations]
    assert timeouts[0] == timedelta(seconds=6) and timeouts[3] == timeouts[4] == timedelta(seconds=1)
    assert timeouts[0] > timeouts[1] > timeouts[2] > timeouts[3]


def test_the_timeout_is_minimal_without_confirmations_in_a_group_of_three_or_without_lifeguard() -> None:
    assert timeout(3, {"a"}) == timedelta(seconds=1)
    assert timeout(9, {"a"}, local_health_enabled=False) == timedelta(seconds=1)


def test_the_timeout_grows_with_the_logarithm_of_the_group() -> None:
    assert timeout(99, {"a"}) == 2 * timeout(9, {"a"})
