"""The names of all metrics, with their labels and types, and the words of the counters from which names are made."""

from __future__ import annotations

import dataclasses
from pathlib import Path

from marlstep.upstreams.server_pool import STATISTICS_KEYS, PoolStatistics
from tests.golden.files import read_golden
from tests.golden.named import all_words, counted_attributes, counted_words, names_of
from tests.golden.shown import every_counter, metrics

NAMES: dict[str, list[str]] = read_golden("metrics.json")
COUNTERS: dict[str, list[str]] = read_golden("counters.json")


def test_a_node_with_every_part_has_the_stored_metrics(tmp_path: Path) -> None:
    assert names_of(metrics(tmp_path)) == NAMES["seen"]


def test_every_counter_has_its_stored_name(tmp_path: Path) -> None:
    assert names_of(every_counter(tmp_path)) == NAMES["every counter"]


# Fields of a typed counter that were words in the program's text when the golden file was written.
TYPED_COUNTERS = ("attempts", "retries", "no_capacity")


def test_the_program_counts_by_the_stored_words() -> None:
    words = counted_words() | {STATISTICS_KEYS[name] for name in TYPED_COUNTERS}
    assert sorted(words) == NAMES["words"]


def test_a_typed_counter_has_a_stored_word_for_each_field_and_adds_to_it() -> None:
    assert list(STATISTICS_KEYS) == [part.name for part in dataclasses.fields(PoolStatistics)]
    assert set(STATISTICS_KEYS) <= counted_attributes()
    assert PoolStatistics().to_json() == dict.fromkeys(STATISTICS_KEYS.values(), 0)


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
