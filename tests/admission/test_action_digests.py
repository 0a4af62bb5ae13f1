"""Regression tests: the controller's actions on 3000 random event sequences match the stored digests."""

from __future__ import annotations

import json

import pytest

from tests.admission.random_server import STORED_NAMES, RandomServer, variants
from tests.admission.record import DIGESTS, SEEDS_PER_DIGEST, SEEDS_PER_VARIANT, digests_of

STORED: dict[str, list[str]] = json.loads(DIGESTS.read_text("utf-8"))


@pytest.mark.parametrize("variant", list(variants()))
def test_actions_on_random_sequences_match_the_stored_digests(variant: str) -> None:
    assert digests_of(variant) == STORED[variant]


def test_every_variant_has_all_its_digests() -> None:
    assert STORED.keys() == variants().keys()
    for rows in STORED.values():
        assert len(rows) == SEEDS_PER_VARIANT // SEEDS_PER_DIGEST
        assert all(len(row) == 6 * SEEDS_PER_DIGEST for row in rows)


def test_the_random_sequences_produce_every_action_except_log() -> None:
    played = set()
    for settings in variants().values():
        for seed in range(SEEDS_PER_DIGEST):
            server = RandomServer(settings, seed)
            server.play()
            played |= server.actions_seen
    assert played == set(STORED_NAMES.values()) - {"log"}  # the controller writes no log
