"""Idempotency keys between two processes: a keyed request runs at most once."""

from __future__ import annotations

import contextlib
from datetime import datetime, timedelta

import pytest

from marlstep.admission.events import Outcome
from marlstep.core.errors import RequestRejectedError
from marlstep.core.interfaces import ClaimResult, ResponseStatus
from marlstep.hot_restart import messages
from marlstep.hot_restart.key_exchange import (
    MAX_KEYS_PER_TICK,
    KeyAuthority,
    KeySnapshot,
    OpenClaims,
    PredecessorEnd,
    is_claim_granted,
    key_authority,
    outcomes_unknown_until,
    result_of_open_claims,
)
from marlstep.units import MILLISECOND, SECOND
from tests.support.node import START
from tests.support.restart_pair import EFFECTS, RETRY_WINDOW, serving_pair


@pytest.mark.parametrize(("request_class", "effect"), EFFECTS.items())
def test_a_key_that_one_process_has_is_not_run_by_the_other(request_class: str, effect: str) -> None:
    pair = serving_pair()
    first = pair.submit(pair.predecessor, request_class, "k")
    second = pair.submit(pair.successor, request_class, "k")
    third = pair.submit(pair.successor, request_class, "m")
    pair.run_for(40)
    fourth = pair.last_number + 1
    with contextlib.suppress(RequestRejectedError):  # rejected at once if the effect is unsafe
        pair.submit(pair.predecessor, request_class, "m")
    pair.exchange()
    assert pair.run_counts() == {(request_class, "k"): 1, (request_class, "m"): 1}
    pair.predecessor.driver.end(first)
    pair.successor.driver.end(third)
    pair.exchange()
    fifth = pair.last_number + 1
    with contextlib.suppress(RequestRejectedError):
        pair.submit(pair.successor, request_class, "k")
    pair.exchange()
    expected, at_once = ([ResponseStatus.DONE],) * 2 if effect == "keyed" else ([ResponseStatus.FAILED], [])
    assert [pair.successor.driver.statuses(number) for number in (second, fifth)] == [expected, at_once]
    assert pair.predecessor.driver.statuses(fourth) == at_once
    assert pair.run_counts() == {(request_class, "k"): 1, (request_class, "m"): 1}


def test_a_key_that_was_granted_to_the_successor_is_known_to_the_predecessor_from_that_moment() -> None:
    pair = serving_pair()
    pair.submit(pair.successor, "setpoint-cmd", "k")
    pair.deliver_to_predecessor()
    with pytest.raises(RequestRejectedError, match="must not run twice"):
        pair.submit(pair.predecessor, "setpoint-cmd", "k")
    pair.deliver_to_successor()
    assert pair.run_counts() == {("setpoint-cmd", "k"): 1}


def test_equal_request_ids_of_both_processes_are_kept_apart() -> None:
    # Guards against a request that waits for itself because the controller takes the other process's request id for one
    # of its own.
    pair = serving_pair()
    first = pair.submit(pair.predecessor, "schedule-save", "k")
    pair.exchange()
    pair.last_number -= 1
    retry = pair.submit(pair.successor, "schedule-save", "k")  # with the same request id
    pair.submit(pair.successor, "schedule-save", "k")
    pair.run_for(100)
    pair.predecessor.driver.end(first)
    pair.run_for(100)
    assert (
        pair.successor.driver.statuses(retry)
        == pair.successor.driver.statuses(retry + 1)
        == [ResponseStatus.DONE]
    )


def test_a_key_status_received_before_the_response_to_its_claim_is_not_a_retry() -> None:
    pair = serving_pair()
    number = pair.submit(pair.successor, "schedule-save", "k")
    pair.deliver_to_predecessor()
    pair.to_successor.data[:0] = messages.write(messages.KeyStatus("schedule-save", "k", f"r{number}"))
    pair.deliver_to_successor()
    assert pair.successor.driver.backend.commands == [("start", f"r{number}")]


def test_a_key_whose_attempt_never_ran_at_the_other_process_may_run_here() -> None:
    pair = serving_pair()
    first = pair.submit(pair.predecessor, "setpoint-cmd", "k")
    pair.exchange()
    pair.predecessor.driver.end(first, Outcome.NOT_STARTED)
    pair.exchange()
    pair.submit(pair.successor, "setpoint-cmd", "k")
    pair.exchange()
    assert [command for command, _ in pair.successor.driver.backend.commands] == ["start"]


def test_a_claim_that_is_granted_after_its_request_has_expired_is_released() -> None:
    pair = serving_pair()
    number = pair.submit(pair.successor, "setpoint-cmd", "k")
    pair.clock.advance(4_400)  # past its deadline, before any response to the claim
    assert pair.successor.driver.statuses(number) == [ResponseStatus.EXPIRED]
    pair.exchange()
    pair.submit(pair.predecessor, "setpoint-cmd", "k")
    assert pair.run_counts()[("setpoint-cmd", "k")] == 1


def test_after_a_lost_predecessor_keyed_requests_fail_for_the_retry_window_and_others_run() -> None:
    pair = serving_pair()
    waiting = pair.submit(pair.successor, "setpoint-cmd", "k")
    pair.to_predecessor.data.clear()  # the predecessor never reads the claim
    pair.kill(pair.predecessor)
    assert pair.successor.driver.statuses(waiting) == [ResponseStatus.FAILED]
    undecided = pair.submit(pair.successor, "setpoint-cmd", "m")
    without_key = pair.submit(pair.successor, "setpoint-cmd", None)
    assert pair.successor.driver.statuses(undecided) == [ResponseStatus.FAILED]
    assert ("start", f"r{without_key}") in pair.successor.driver.backend.commands
    pair.successor.driver.end(without_key)
    pair.clock.advance(RETRY_WINDOW / MILLISECOND)
    later = pair.submit(pair.successor, "setpoint-cmd", "m")
    assert ("start", f"r{later}") in pair.successor.driver.backend.commands


def test_after_a_complete_hot_restart_no_outcome_is_unknown() -> None:
    pair = serving_pair()
    ran = pair.submit(pair.predecessor, "setpoint-cmd", "k")
    pair.predecessor.driver.end(ran)
    waiting = pair.submit(pair.successor, "setpoint-cmd", "m")
    pair.to_predecessor.data.clear()
    pair.predecessor.hot_restart.finish()
    pair.exchange()
    pair.kill(pair.predecessor)
    assert ("start", f"r{waiting}") in pair.successor.driver.backend.commands
    with pytest.raises(RequestRejectedError, match="must not run twice"):
        pair.submit(pair.successor, "setpoint-cmd", "k")


@pytest.mark.parametrize(
    ("predecessor_connected", "unknown_for", "authority"),
    [
        (False, None, KeyAuthority.THIS_PROCESS),
        (True, None, KeyAuthority.PREDECESSOR),
        (False, SECOND, KeyAuthority.NOBODY),
        (True, SECOND, KeyAuthority.NOBODY),
        (False, 0 * SECOND, KeyAuthority.THIS_PROCESS),
        (True, 0 * SECOND, KeyAuthority.PREDECESSOR),
    ],
)
def test_a_connected_predecessor_decides_on_keys_unless_outcomes_are_unknown(
    predecessor_connected: bool, unknown_for: timedelta | None, authority: KeyAuthority
) -> None:
    until: datetime | None = None if unknown_for is None else START + unknown_for
    assert authority is key_authority(
        predecessor_connected=predecessor_connected, unknown_until=until, now=START
    )


@pytest.mark.parametrize("end", PredecessorEnd)
def test_only_a_complete_hot_restart_leaves_no_outcome_unknown(end: PredecessorEnd) -> None:
    complete = end is PredecessorEnd.HANDOVER_COMPLETE
    assert result_of_open_claims(end) is (ClaimResult.GRANTED if complete else ClaimResult.UNSURE)
    assert outcomes_unknown_until(end, START, RETRY_WINDOW) == (None if complete else START + RETRY_WINDOW)


@pytest.mark.parametrize("predecessor_result", ClaimResult)
def test_a_claim_is_granted_only_if_the_key_is_unknown_here_and_the_predecessor_granted_it(
    predecessor_result: ClaimResult,
) -> None:
    known = messages.KeyStatus("setpoint-cmd", "k", "r1")
    assert not is_claim_granted(known, predecessor_result)
    assert is_claim_granted(None, predecessor_result) is (predecessor_result is ClaimResult.GRANTED)


def test_each_claim_is_decided_once_by_its_number_or_with_all_that_are_open() -> None:
    claims, decided = OpenClaims(), list[tuple[str, ClaimResult]]()
    first = claims.add(lambda result: decided.append(("first", result)))
    second = claims.add(lambda result: decided.append(("second", result)))
    claims.add(lambda result: decided.append(("third", result)))
    claims.decide(second, granted=False)
    claims.decide(second, granted=True)  # a repeated response
    claims.decide(99, granted=True)  # a response to an unknown claim
    claims.decide(first, granted=True)
    claims.decide_all(ClaimResult.UNSURE)
    claims.decide_all(ClaimResult.GRANTED)
    assert decided == [
        ("second", ClaimResult.KNOWN),
        ("first", ClaimResult.GRANTED),
        ("third", ClaimResult.UNSURE),
    ]


@pytest.mark.parametrize("count", [0, 1, MAX_KEYS_PER_TICK - 1, MAX_KEYS_PER_TICK, 2 * MAX_KEYS_PER_TICK + 1])
def test_a_snapshot_sends_every_key_once_in_bounded_batches_and_then_snapshot_complete(count: int) -> None:
    statuses = [messages.KeyStatus("setpoint-cmd", f"k{number}", "r1") for number in range(count)]
    snapshot, batches = KeySnapshot(iter(statuses)), list[list[messages.Message]]()
    while not snapshot.complete:
        batches.append([*snapshot.next_batch()])
    assert [message for batch in batches for message in batch] == [*statuses, messages.SnapshotComplete()]
    assert all(len(batch) <= MAX_KEYS_PER_TICK for batch in batches)
    assert [*snapshot.next_batch()] == []
