"""The memory of idempotency keys and kept results is bounded: results go first, and keys never."""

from __future__ import annotations

import pytest

from marlstep.core.counters import NO_KEY_ROOM_COUNT
from marlstep.core.interfaces import ResponseStatus
from marlstep.core.key_memory import (
    KEY_MEMORY,
    MAX_DISCARDED_HOLDERS,
    MAX_KEY_SHARE,
    RESULT_OVERHEAD,
    KeptResults,
    KeyMemory,
)
from marlstep.core.key_record import KeyRecord
from marlstep.core.request_registry import REQUEST_MEMORY, RequestRegistry
from marlstep.core.work_identity import IdempotencyKey
from marlstep.units import SECOND
from tests.core.test_repeats import KEYED
from tests.support.node import START, CoreDriver

RESULT = b"r" * 1000
RESULT_MEMORY = len(RESULT) + RESULT_OVERHEAD


def run_work(driver: CoreDriver, number: int, result: bytes = RESULT) -> None:
    driver.submit(number, "keyed", idempotency_key=f"k{number}")
    driver.end(number, result=result)


def start_count(driver: CoreDriver) -> int:
    return [command for command, _ in driver.backend.commands].count("start")


def test_the_oldest_results_are_dropped_and_their_repeats_fail_without_a_second_run() -> None:
    # Guards against a process that grows with each result within a window, until its platform kills it.
    driver = CoreDriver(**KEYED)
    driver.core.limit_key_memory(10 * KEY_MEMORY + 3 * RESULT_MEMORY + 2 * REQUEST_MEMORY)
    for number in range(1, 11):
        run_work(driver, number)
    results = driver.core.idempotency_keys.results
    assert results.kept_bytes <= 10 * KEY_MEMORY + 3 * RESULT_MEMORY + 2 * REQUEST_MEMORY - 10 * KEY_MEMORY
    assert results.dropped > 0 and len(driver.core.idempotency_keys) == 10
    for number in (1, 10):
        driver.submit(100 + number, "keyed", idempotency_key=f"k{number}")
    assert driver.statuses(101) == [ResponseStatus.FAILED] and driver.statuses(110) == [ResponseStatus.DONE]
    assert start_count(driver) == 10


def test_new_work_is_rejected_before_it_runs_where_its_key_does_not_fit_and_known_work_is_not(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Guards against a key that is dropped within its window, and against work that runs without one.
    driver = CoreDriver(**KEYED)
    driver.core.limit_key_memory(int(2 * KEY_MEMORY / MAX_KEY_SHARE) + REQUEST_MEMORY)
    for number in (1, 2, 3, 4):
        driver.submit(number, "keyed", idempotency_key=f"k{number}")
        if number <= 2:
            driver.end(number, result=b"")
    rejected = driver.responses[3] + driver.responses[4]
    assert [each.status for each in rejected] == [ResponseStatus.REJECTED] * 2
    assert rejected[0].retry_after and driver.core.counts[NO_KEY_ROOM_COUNT] == 2
    assert [each.message for each in caplog.records if each.levelname == "WARNING"] == [
        "new work rejected, no memory for its key: keys=2"
    ]
    driver.submit(5, "temp-history")  # needs no key
    driver.end(5)
    driver.submit(6, "keyed", idempotency_key="k1")
    assert driver.statuses(6) == [ResponseStatus.DONE] and start_count(driver) == 3
    driver.clock.advance(12_000)  # the windows are over, and no request can lie unread
    run_work(driver, 7, b"")
    assert driver.statuses(7) == [ResponseStatus.DONE] and driver.core.unanswered == 0


def test_expired_keys_and_results_go_without_new_ones() -> None:
    # Guards against memory that stays in use after the last keyed request, as of a class that went away.
    driver = CoreDriver(**KEYED)
    for number in (1, 2, 3):
        run_work(driver, number)
    driver.clock.advance(12_000)
    keys = driver.core.idempotency_keys
    assert (len(keys), keys.results.kept_bytes) == (0, 0)


def test_results_of_a_sibling_count_and_its_keys_stay_beyond_the_limit() -> None:
    driver = CoreDriver(**KEYED)
    driver.core.limit_key_memory(2 * KEY_MEMORY + RESULT_MEMORY)
    for number in range(5):
        record = KeyRecord(f"r{number}", START, RESULT, finished=True)
        driver.core.adopt_remote_key(IdempotencyKey("keyed", f"k{number}"), record)
    keys = driver.core.idempotency_keys
    assert len(keys) == 5 and keys.results.kept_bytes == 0
    driver.submit(1, "keyed", idempotency_key="k4")
    assert driver.statuses(1) == [ResponseStatus.FAILED] and not driver.backend.commands


def test_a_repeat_that_waits_for_a_sibling_gets_a_result_that_does_not_fit() -> None:
    # Guards against a result that is dropped before the repeats that wait for it have been answered.
    driver = CoreDriver(**KEYED)
    driver.core.limit_key_memory(0)
    key = IdempotencyKey("keyed", "k")
    driver.core.adopt_remote_key(key, KeyRecord("elsewhere"))
    driver.submit(1, "keyed", idempotency_key="k")
    driver.core.adopt_remote_key(key, KeyRecord("elsewhere", START, RESULT, finished=True))
    assert [each.body for each in driver.responses[1]] == [RESULT]


def test_a_smaller_limit_drops_results_at_once() -> None:
    driver = CoreDriver(**KEYED)
    for number in (1, 2, 3):
        run_work(driver, number)
    driver.core.limit_key_memory(3 * KEY_MEMORY + RESULT_MEMORY)
    assert driver.core.idempotency_keys.results.kept_bytes <= RESULT_MEMORY


def test_requests_in_flight_and_keys_leave_the_rest_to_results() -> None:
    memory = KeyMemory(RequestRegistry(4))
    memory.limit_bytes = 16 * KEY_MEMORY
    assert memory.has_room_for_key(13) and not memory.has_room_for_key(14)
    assert memory.room_for_results(14) == 2 * KEY_MEMORY and memory.room_for_results(20) == 0


def test_a_result_is_counted_until_it_is_discarded_whatever_the_order() -> None:
    results, holders = KeptResults(), [KeyRecord(f"r{number}", result=b"x" * number) for number in range(5)]
    for holder in holders:
        results.add(holder)
    results.discard(holders[2])
    results.discard(holders[2])
    assert results.kept_bytes == sum(number + RESULT_OVERHEAD for number in (0, 1, 3, 4))
    results.fit_into(4 + RESULT_OVERHEAD)
    assert [holder.result for holder in holders] == [None] * 4 + [b"xxxx"] and results.dropped == 3
    results.fit_into(0)
    assert results.kept_bytes == 0


def test_discarded_results_behind_one_that_stays_are_not_held() -> None:
    # Guards against records that stay in memory, uncounted, behind a result with a far longer window.
    results = KeptResults()
    oldest = KeyRecord("oldest", result=RESULT)
    results.add(oldest)
    for number in range(10_000):
        holder = KeyRecord(f"r{number}", result=RESULT)
        results.add(holder)
        results.discard(holder)
    assert len(results._oldest_first) <= MAX_DISCARDED_HOLDERS + 2
    assert oldest.result == RESULT and results.kept_bytes == RESULT_MEMORY


def test_expired_keys_go_in_time_although_a_longer_window_was_the_first() -> None:
    # Guards against a timer that is set for the first entry's far expiry, and not for an earlier one that comes later.
    driver = CoreDriver(**KEYED)
    long_key = IdempotencyKey("keyed", "long")
    driver.core.adopt_remote_key(
        long_key, KeyRecord("elsewhere", START + 1_000 * SECOND, RESULT, finished=True)
    )
    run_work(driver, 1)
    driver.clock.advance(12_000)
    assert [key for key, _ in driver.core.idempotency_keys] == [long_key]


def test_keys_of_a_lost_sibling_go_without_new_ones() -> None:
    driver = CoreDriver(**KEYED)
    driver.core.adopt_remote_key(IdempotencyKey("keyed", "k"), KeyRecord("elsewhere"))
    driver.core.mark_remote_outcomes_unknown(START + 5 * SECOND)
    driver.clock.advance(12_000)
    assert len(driver.core.idempotency_keys) == 0
