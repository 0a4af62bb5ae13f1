"""Invariants of elections, the log, grants and effects: each violation raises its own error."""

from __future__ import annotations

import pytest

from marlstep.consensus.log import EntryType, LogEntry
from marlstep.fault_injection.effects import Effect
from marlstep.fault_injection.lease_invariants import (
    CommittedEntryChangedError,
    LeaseInvariants,
    OverlappingEffectsError,
    RepeatedRunError,
    SharedTokenError,
    StaleTokenAcceptedError,
    TokenNotIncreasedError,
    TwoLeadersError,
    UnrequestedGrantError,
    check_effects,
)

LEASE = "task/sweep"


def grant(invariants: LeaseInvariants, index: int, token: int, holder: str = "n1/b1") -> None:
    invariants.command_applied(index, {"name": LEASE}, {"granted": holder, "token": token})


@pytest.fixture
def invariants() -> LeaseInvariants:
    """Return invariants for which n1/b1 has requested the lease."""
    invariants = LeaseInvariants()
    invariants.lease_requested("n1/b1", [LEASE])
    return invariants


def test_only_one_leader_per_term_is_allowed(invariants: LeaseInvariants) -> None:
    for term, leader in ((1, "n1#a"), (1, "n1#a"), (2, "n2#a")):
        invariants.leader_elected(term, leader)
    with pytest.raises(TwoLeadersError):
        invariants.leader_elected(1, "n2#a")


def test_a_committed_entry_is_the_same_on_every_node(invariants: LeaseInvariants) -> None:
    entry = LogEntry(1, 1, EntryType.NOOP, "")
    invariants.entry_committed("n1", entry, 10)
    invariants.entry_committed("n2", entry, 20)
    with pytest.raises(CommittedEntryChangedError, match="committed entry 1 differs at 30 us on n3"):
        invariants.entry_committed("n3", LogEntry(1, 2, EntryType.NOOP, ""), 30)


def test_a_token_is_above_those_of_all_earlier_entries(invariants: LeaseInvariants) -> None:
    grant(invariants, index=4, token=7)
    grant(invariants, index=2, token=5)  # reported later by another voter, at an earlier log index
    grant(invariants, index=4, token=1)  # each log index is checked only once
    assert invariants.grant_count == 2
    with pytest.raises(TokenNotIncreasedError):
        grant(invariants, index=5, token=7)


def test_a_grant_to_a_process_that_did_not_request_it_is_a_violation(invariants: LeaseInvariants) -> None:
    with pytest.raises(UnrequestedGrantError):
        grant(invariants, index=1, token=1, holder="n1/b2")


def test_a_command_that_grants_nothing_is_not_counted(invariants: LeaseInvariants) -> None:
    invariants.command_applied(1, {"name": LEASE}, {"refused": "held"})
    assert invariants.grant_count == 0


def effect(node: str, token: int, began_us: int, run: int = 0) -> Effect:
    return Effect("sweep", node, token, run or token, began_us, began_us + 10, accepted=True)


@pytest.mark.parametrize(
    ("effects", "error"),
    [
        ([effect("n1", 1, 0), effect("n2", 2, 5)], OverlappingEffectsError),
        ([effect("n1", 2, 0), effect("n2", 1, 20)], StaleTokenAcceptedError),
        ([effect("n1", 1, 0), effect("n2", 1, 20)], SharedTokenError),
        ([effect("n1", 1, 0, run=9), effect("n1", 2, 20, run=9)], RepeatedRunError),
    ],
)
def test_each_kind_of_contradicting_effects_raises_its_own_error(
    effects: list[Effect], error: type[Exception]
) -> None:
    with pytest.raises(error):
        check_effects(effects, frozenset(("sweep",)))


def test_consecutive_effects_with_increasing_tokens_are_allowed() -> None:
    check_effects([effect("n1", 1, 0), effect("n2", 2, 10), effect("n1", 3, 20)], frozenset(("sweep",)))
