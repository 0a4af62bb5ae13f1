"""The names of all metrics, with their labels and types, and the words of the counters from which names are made."""

from __future__ import annotations

from pathlib import Path

from tests.golden.files import read_golden
from tests.golden.named import all_words, counted_words, names_of
from tests.golden.shown import every_counter, metrics

NAMES: dict[str, list[str]] = read_golden("metrics.json")
COUNTERS: dict[str, list[str]] = read_golden("counters.json")


def test_a_node_with_every_part_has_the_stored_metrics(tmp_path: Path) -> None:
    assert names_of(metrics(tmp_path)) == NAMES["seen"]


def test_every_counter_has_its_stored_name(tmp_path: Path) -> None:
    assert names_of(every_counter(tmp_path)) == NAMES["every counter"]


def test_the_program_counts_by_the_stored_words() -> None:
    assert sorted(counted_words()) == NAMES["words"]


def test_every_word_of_a_counter_stands_in_the_program() -> None:
    words = all_words()
    made = {
        "leases gained",
        "leases lost",
        "leases regained",
        "leases lapsed",
    }  # of `leases ` and what changed
    for key in {one for keys in COUNTERS.values() for one in keys} - made:
        assert key in words, key
    assert {"leases ", "gained", "lost", "regained", "lapsed"} <= words


def test_the_words_that_are_counted_by_have_their_place_in_the_list() -> None:
    known = {one for keys in COUNTERS.values() for one in keys}
    assert set(NAMES["words"]) - known == set(NAMES["words of drills and traces"])
