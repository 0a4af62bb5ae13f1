"""The invariants of the log, of elections and of leases, checked with sight of all nodes at once.

The simulated cluster reports what its voters do; whatever contradicts an earlier report is raised at that moment.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, ClassVar

from marlstep.consensus.log import LogEntry
from marlstep.fault_injection.effects import (
    Effect,
    overlapping_effects,
    repeated_runs,
    shared_tokens,
    stale_tokens_accepted,
)
from marlstep.fault_injection.errors import InvariantViolationError


class CommittedEntryChangedError(InvariantViolationError):
    """Two nodes committed different entries at one index (State Machine Safety, section 5.4.3 of the Raft paper)."""

    def __init__(self, known: LogEntry, entry: LogEntry, node: str, true_us: int) -> None:
        """`known` was committed first, `entry` by `node` at the simulated time `true_us`, in microseconds."""
        super().__init__(
            f"committed entry {entry.index} differs at {true_us} us on {node}: {known} there, {entry} here"
        )


class TwoLeadersError(InvariantViolationError):
    """Two voters lead in one term (Election Safety, section 5.2 of the Raft paper)."""

    def __init__(self, term: int, known: str, leader: str) -> None:
        """`known` was seen to lead in the term first."""
        super().__init__(f"two lead in term {term}: {known} and {leader}")


class TokenNotIncreasedError(InvariantViolationError):
    """A grant has a fencing token that is not above those of all grants before it."""

    def __init__(self, token: int, index: int) -> None:
        """`index` is that of the grant's entry in the log."""
        super().__init__(f"token {token} at entry {index} is not above all before it")


class UnrequestedGrantError(InvariantViolationError):
    """A lease was granted to a process that never asked for it."""

    def __init__(self, command: Mapping[str, Any]) -> None:
        """`command` is the grant."""
        super().__init__(f"granted what was not asked: {command}")


class TwoHoldersError(InvariantViolationError):
    """Two nodes hold one lease at the same time."""

    def __init__(self, lease: str, true_us: int, holders: Iterable[str]) -> None:
        """`holders` hold it at the simulated time `true_us`, in microseconds."""
        super().__init__(f"two hold {lease} at {true_us} us: {', '.join(holders)}")


class NoProgressError(InvariantViolationError):
    """No task had an effect towards the end of a plan, when all its faults were over."""

    def __init__(self, last_us: int) -> None:
        """`last_us` is the simulated time at which the last effect ended, in microseconds."""
        super().__init__(f"nobody acts any more after {last_us} us, though all faults are over")


class EffectsError(InvariantViolationError):
    """Two effects of one task contradict each other, as the server of the tasks saw them."""

    violation: ClassVar[str]

    def __init__(self, earlier: Effect, later: Effect) -> None:
        """The server of the tasks saw `earlier` first."""
        super().__init__(f"{self.violation}: {earlier} and {later}")
        self.earlier, self.later = earlier, later


class OverlappingEffectsError(EffectsError):
    """Two holders had an effect at the same time."""

    violation = "acts overlap"


class SharedTokenError(EffectsError):
    """Two nodes had an effect under one token."""

    violation = "one token, two nodes"


class RepeatedRunError(EffectsError):
    """A run that must not be repeated had its effect twice."""

    violation = "run twice"


class StaleTokenAcceptedError(InvariantViolationError):
    """The server of the tasks accepted a token below one that it had accepted before."""

    def __init__(self, earlier: Effect, later: Effect) -> None:
        """`later` has the lower token."""
        super().__init__(f"accepted with a falling token: {later} after {earlier}")
        self.earlier, self.later = earlier, later


class LeaseInvariants:
    """Watches elections, the log and the grants of leases.

    Attributes:
        grant_count: How many grants were applied.
    """

    def __init__(self) -> None:
        """Start without any observation."""
        self.grant_count = 0
        self._committed: dict[int, LogEntry] = {}
        self._leaders: dict[int, str] = {}
        self._tokens: dict[int, int] = {}  # of grants, by index in the log
        self._requested: set[tuple[str, str]] = set()  # holder and lease, ever

    def lease_requested(self, holder: str, leases: Iterable[str]) -> None:
        """Note that a process asked for leases."""
        self._requested |= {(holder, lease) for lease in leases}

    def entry_committed(self, node: str, entry: LogEntry, true_us: int) -> None:
        """Check an entry that a node takes for committed.

        Raises:
            CommittedEntryChangedError: Another entry was committed at its index.
        """
        known = self._committed.setdefault(entry.index, entry)
        if known != entry:
            raise CommittedEntryChangedError(known, entry, node, true_us)

    def command_applied(self, index: int, command: Mapping[str, Any], result: Mapping[str, Any]) -> None:
        """Check a command that a voter applied, if it grants a lease; an index is checked once.

        Raises:
            TokenNotIncreasedError: Its token is not above those of all grants before it.
            UnrequestedGrantError: The holder never asked for the lease.
        """
        if index in self._tokens or "granted" not in result:
            return
        token = int(result["token"])
        if any(token <= other for other_index, other in self._tokens.items() if other_index < index):
            raise TokenNotIncreasedError(token, index)
        self._tokens[index] = token
        self.grant_count += 1
        if (str(result["granted"]), command["name"]) not in self._requested:
            raise UnrequestedGrantError(command)

    def leader_elected(self, term: int, identity: str) -> None:
        """Check a voter that leads.

        Raises:
            TwoLeadersError: Another voter led in its term.
        """
        known = self._leaders.setdefault(term, identity)
        if known != identity:
            raise TwoLeadersError(term, known, identity)


def check_effects(effects: list[Effect], non_repeatable_tasks: frozenset[str]) -> None:
    """Check all effects of a run, as the server of the tasks recorded them.

    Raises:
        OverlappingEffectsError: Two holders had an effect at the same time.
        StaleTokenAcceptedError: A token was accepted after a higher one.
        SharedTokenError: Two nodes had an effect under one token.
        RepeatedRunError: A task that must not be repeated ran twice.
    """
    for earlier, later in overlapping_effects(effects):
        raise OverlappingEffectsError(earlier, later)
    for earlier, later in stale_tokens_accepted(effects):
        raise StaleTokenAcceptedError(earlier, later)
    for earlier, later in shared_tokens(effects):
        raise SharedTokenError(earlier, later)
    for earlier, later in repeated_runs(effects, non_repeatable_tasks):
        raise RepeatedRunError(earlier, later)
