"""The expiry of idempotency keys, and the precedence of local entries over those of a sibling process."""

from __future__ import annotations

from datetime import datetime

from marlstep.core.idempotency import KeyTable
from marlstep.core.idempotency_windows import IdempotencyWindows
from marlstep.core.key_record import KeyRecord
from marlstep.core.work_identity import IdempotencyKey
from marlstep.units import MILLISECOND, SECOND, ZERO
from tests.core.test_idempotency_windows import class_with_window
from tests.support.node import START

KEY = IdempotencyKey("book", "k1")


def test_an_entry_covers_arrivals_before_the_end_of_its_window_and_all_without_an_expiry() -> None:
    record = KeyRecord("r1", expires_at=START)
    assert record.covers(START - MILLISECOND) and not record.covers(START)
    assert KeyRecord("r1").covers(START + 1000 * SECOND)


def test_an_entry_is_kept_beyond_its_window_for_requests_that_are_still_unread() -> None:
    record = KeyRecord("r1")
    assert record.set_expiry(START, 2 * SECOND) == START + 2 * SECOND == record.droppable_at
    assert record.expires_at == START


def test_a_key_in_flight_is_dropped_with_its_request_and_a_retained_one_only_if_the_work_never_ran() -> None:
    table = KeyTable()
    table.record(KEY, "r1", START)
    table.drop(KEY, "r2", even_if_retained=True)  # another request
    assert table.find(KEY, START) is not None
    table.drop(KEY, "r1", even_if_retained=False)
    assert table.find(KEY, START) is None
    table.retain(KEY, "r1", START + SECOND, START, ZERO)
    table.drop(KEY, "r1", even_if_retained=False)
    assert table.find(KEY, START) is not None
    table.drop(KEY, "r1", even_if_retained=True)
    assert table.find(KEY, START) is None


def test_a_local_entry_takes_precedence_over_the_report_of_a_sibling() -> None:
    table = KeyTable()
    table.record(KEY, "own", START)
    table.adopt(KEY, KeyRecord("remote"), START, ZERO)
    found = table.find(KEY, START)
    assert found is not None and found.request_id == "own" and not table.drop_remote(KEY, "remote")


def test_a_local_entry_past_its_window_is_replaced_by_new_work_of_a_sibling() -> None:
    # Guards against the work of one key running in both processes. A local entry is kept beyond its window for requests
    # that are read late, and it must not hide the sibling's new work with the same key.
    table = KeyTable()
    table.retain(KEY, "own", START + SECOND, START, 10 * SECOND)
    table.adopt(KEY, KeyRecord("early"), START, ZERO)
    assert table.find(KEY, START) == KeyRecord("own", START + SECOND, droppable_at=START + 11 * SECOND)
    later = START + 2 * SECOND
    assert table.find(KEY, later) is None
    table.adopt(KEY, KeyRecord("remote"), later, ZERO)
    found = table.find(KEY, later)
    assert found is not None and found.request_id == "remote" and found.is_remote


def test_remote_work_with_an_unknown_outcome_stays_known_until_the_given_expiry() -> None:
    table = KeyTable()
    table.adopt(KEY, KeyRecord("remote"), START, ZERO)
    assert table.mark_remote_outcomes_unknown(START + SECOND, START) == [KEY]
    found = table.find(KEY, START)
    assert found is not None and found.finished and found.result is None
    assert table.find(KEY, START + SECOND) is None


def table_with_window(seconds: int) -> KeyTable:
    return KeyTable(IdempotencyWindows([class_with_window("book", seconds)]))


def test_a_longer_window_covers_the_entries_of_its_class_that_have_a_start() -> None:
    table, other_key, fixed_key = (
        table_with_window(1),
        IdempotencyKey("open", "k1"),
        IdempotencyKey("book", "k2"),
    )
    for key in (KEY, other_key):
        table.retain(key, "r1", START + SECOND, START, ZERO, window_starts_at=START)
    table.retain(fixed_key, "r2", START + SECOND, START, ZERO)
    table.apply_windows([class_with_window("book", 2)], START)
    assert table.find(KEY, START + SECOND) is not None and table.find(KEY, START + 2 * SECOND) is None
    assert table.find(other_key, START + SECOND) is None and table.find(fixed_key, START + SECOND) is None


def test_a_shorter_window_does_not_shorten_what_was_promised() -> None:
    table = table_with_window(5)
    table.retain(KEY, "r1", START + 5 * SECOND, START, ZERO, window_starts_at=START)
    table.apply_windows([class_with_window("book", 1)], START + SECOND)
    assert table.find(KEY, START + 4 * SECOND) is not None and table.find(KEY, START + 5 * SECOND) is None


def test_an_entry_stays_for_as_long_as_any_window_that_was_stated_for_its_class() -> None:
    # Guards against an entry that is dropped by its own short window before the class's longer one comes back.
    table = table_with_window(20)
    table.apply_windows([class_with_window("book", 1)], START)
    table.retain(KEY, "r1", START + 2 * SECOND, START + SECOND, ZERO, window_starts_at=START + SECOND)
    later = START + 15 * SECOND
    table.retain(IdempotencyKey("book", "k2"), "r2", later + SECOND, later, ZERO, window_starts_at=later)
    assert table.find(KEY, later) is None
    table.apply_windows([class_with_window("book", 20)], later)
    assert table.find(KEY, later) is not None
    table.retain(IdempotencyKey("book", "k3"), "r3", START + 60 * SECOND, START + 50 * SECOND, ZERO)
    assert len(table) == 1


def test_a_longer_window_is_reported_to_siblings_once_for_each_local_entry() -> None:
    table, reported = table_with_window(1), list[datetime | None]()
    table.retain(KEY, "r1", START + SECOND, START, ZERO, window_starts_at=START)
    table.adopt(IdempotencyKey("book", "k2"), KeyRecord("remote", START + SECOND), START, ZERO)
    table.on_changed = lambda key, record, dropped: reported.append(record.expires_at)
    for _ in range(2):
        table.apply_windows([class_with_window("book", 2)], START)
    assert reported == [START + 2 * SECOND]


def test_the_window_of_reported_work_counts_from_its_first_report() -> None:
    # Guards against a second run where this process states a longer window than the sibling that ran the work.
    table = table_with_window(10)
    table.adopt(KEY, KeyRecord("remote", START + SECOND), START, ZERO)
    table.adopt(KEY, KeyRecord("remote", START + SECOND, b"result", finished=True), START + SECOND, ZERO)
    assert table.find(KEY, START + 9 * SECOND) is not None and table.find(KEY, START + 10 * SECOND) is None


def test_on_changed_is_called_for_local_entries_and_not_for_remote_ones() -> None:
    table, changes = KeyTable(), list[tuple[str, bool]]()
    table.on_changed = lambda key, record, dropped: changes.append((record.request_id, dropped))
    table.adopt(IdempotencyKey("book", "k2"), KeyRecord("remote"), START, ZERO)
    table.record(KEY, "r1", START)
    table.finish(KEY, "r1", b"result")
    table.drop(KEY, "r1", even_if_retained=False)
    assert changes == [("r1", False), ("r1", False), ("r1", True)]
