"""All metrics keep their names, labels and types, and counters keep the keys that metric names are made of."""

from __future__ import annotations

import dataclasses
from pathlib import Path

from marlstep.upstreams.server_pool import STATISTICS_KEYS, PoolStatistics
from tests.golden.files import read_golden
from tests.golden.named import counted_attributes, counter_keys, metric_names, string_constants
from tests.golden.shown import every_counter, metrics

NAMES: dict[str, list[str]] = read_golden("metrics.json")
COUNTERS: dict[str, list[str]] = read_golden("counters.json")


def test_a_node_with_every_part_has_the_stored_metrics(tmp_path: Path) -> None:
    assert metric_names(metrics(tmp_path)) == NAMES["seen"]


def test_every_counter_has_its_stored_name(tmp_path: Path) -> None:
    assert metric_names(every_counter(tmp_path)) == NAMES["every counter"]


# Fields of a typed counter whose keys were string constants in the source when the golden file was written.
TYPED_COUNTERS = ("attempts", "retries", "no_capacity")


def test_the_source_adds_to_exactly_the_stored_counter_keys() -> None:
    keys = counter_keys() | {STATISTICS_KEYS[name] for name in TYPED_COUNTERS}
    assert sorted(keys) == NAMES["words"]


def test_a_typed_counter_has_a_stored_key_for_each_field_and_adds_to_it() -> None:
    assert list(STATISTICS_KEYS) == [field.name for field in dataclasses.fields(PoolStatistics)]
    assert set(STATISTICS_KEYS) <= counted_attributes()
    assert PoolStatistics().to_json() == dict.fromkeys(STATISTICS_KEYS.values(), 0)


def test_every_counter_key_is_a_string_constant_of_the_program() -> None:
    constants = string_constants()
    composed = {
        "leases gained",
        "leases lost",
        "leases regained",
        "leases lapsed",
    }  # composed of `leases ` and the kind of change
    for key in {word for keys in COUNTERS.values() for word in keys} - composed:
        assert key in constants, key
    assert {"leases ", "gained", "lost", "regained", "lapsed"} <= constants


def test_counter_keys_outside_the_node_are_those_of_drills_and_traces() -> None:
    known = {key for keys in COUNTERS.values() for key in keys}
    assert set(NAMES["words"]) - known == set(NAMES["words of drills and traces"])
