"""Invariants of the replicated log, elections and leases, checked across all nodes of a simulated cluster.

The cluster reports the actions of its voters; an error is raised as soon as one contradicts an earlier report.
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
    """Two nodes committed different entries at the same index (State Machine Safety, Raft paper, section 5.4.3)."""

    def __init__(self, known: LogEntry, entry: LogEntry, node: str, true_us: int) -> None:
        """Initialize the error.

        Args:
            known: The entry that was committed first.
            entry: The different entry that was committed later.
            node: The node that committed `entry`.
            true_us: The simulated time at which it did, in microseconds.
        """
        super().__init__(
            f"committed entry {entry.index} differs at {true_us} us on {node}: {known} there, {entry} here"
        )


class TwoLeadersError(InvariantViolationError):
    """Two voters are leaders in the same term (Election Safety, Raft paper, section 5.2)."""

    def __init__(self, term: int, known: str, leader: str) -> None:
        """`known` was reported first as the leader of the term, `leader` later."""
        super().__init__(f"two lead in term {term}: {known} and {leader}")


class TokenNotIncreasedError(InvariantViolationError):
    """The fencing token of a grant is not higher than those of all earlier grants."""

    def __init__(self, token: int, index: int) -> None:
        """`token` was granted by the log entry at `index`."""
        super().__init__(f"token {token} at entry {index} is not above all before it")


class UnrequestedGrantError(InvariantViolationError):
    """A lease was granted to a process that never requested it."""

    def __init__(self, command: Mapping[str, Any]) -> None:
        """`command` is the command that granted the lease."""
        super().__init__(f"granted what was not asked: {command}")


class TwoHoldersError(InvariantViolationError):
    """Two nodes hold the same lease at the same time."""

    def __init__(self, lease: str, true_us: int, holders: Iterable[str]) -> None:
        """`holders` all hold `lease` at the simulated time `true_us`, in microseconds."""
        super().__init__(f"two hold {lease} at {true_us} us: {', '.join(holders)}")


class NoProgressError(InvariantViolationError):
    """No task had an effect near the end of a plan, although all its faults were over."""

    def __init__(self, last_us: int) -> None:
        """`last_us` is the simulated time at which the last effect ended, in microseconds."""
        super().__init__(f"nobody acts any more after {last_us} us, though all faults are over")


class EffectsError(InvariantViolationError):
    """Two effects of one task, as recorded by the task server, contradict each other."""

    violation: ClassVar[str]

    def __init__(self, earlier: Effect, later: Effect) -> None:
        """`earlier` reached the task server before `later`."""
        super().__init__(f"{self.violation}: {earlier} and {later}")
        self.earlier, self.later = earlier, later


class OverlappingEffectsError(EffectsError):
    """Effects of two holders overlap in time."""

    violation = "acts overlap"


class SharedTokenError(EffectsError):
    """Two nodes had effects with the same fencing token."""

    violation = "one token, two nodes"


class RepeatedRunError(EffectsError):
    """A run of a task that must not be repeated had more than one effect."""

    violation = "run twice"


class StaleTokenAcceptedError(InvariantViolationError):
    """The task server accepted a token below one that it had accepted before."""

    def __init__(self, earlier: Effect, later: Effect) -> None:
        """`later` was accepted after `earlier`, although its token is lower."""
        super().__init__(f"accepted with a falling token: {later} after {earlier}")
        self.earlier, self.later = earlier, later


class LeaseInvariants:
    """Checks elections, committed log entries and lease grants.

    Attributes:
        grant_count: The number of distinct grants that were applied.
    """

    def __init__(self) -> None:
        """Initialize the checker with no reports."""
        self.grant_count = 0
        self._committed: dict[int, LogEntry] = {}
        self._leaders: dict[int, str] = {}
        self._tokens: dict[int, int] = {}  # fencing tokens of grants, by log index
        self._requested: set[tuple[str, str]] = set()  # all (holder, lease) pairs requested so far

    def lease_requested(self, holder: str, leases: Iterable[str]) -> None:
        """Record that a process requested leases."""
        self._requested |= {(holder, lease) for lease in leases}

    def entry_committed(self, node: str, entry: LogEntry, true_us: int) -> None:
        """Check an entry that a node considers committed.

        Raises:
            CommittedEntryChangedError: A different entry was committed at the same index before.
        """
        known = self._committed.setdefault(entry.index, entry)
        if known != entry:
            raise CommittedEntryChangedError(known, entry, node, true_us)

    def command_applied(self, index: int, command: Mapping[str, Any], result: Mapping[str, Any]) -> None:
        """Check a command that a voter applied, if it granted a lease. Each log index is checked only once.

        Raises:
            TokenNotIncreasedError: The token is not higher than those of all earlier grants.
            UnrequestedGrantError: The holder never requested the lease.
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
        """Check a voter that became leader.

        Raises:
            TwoLeadersError: Another voter was the leader of the term before.
        """
        known = self._leaders.setdefault(term, identity)
        if known != identity:
            raise TwoLeadersError(term, known, identity)


def check_effects(effects: list[Effect], non_repeatable_tasks: frozenset[str]) -> None:
    """Check all effects that the task server recorded.

    Raises:
        OverlappingEffectsError: Effects of two holders overlap in time.
        StaleTokenAcceptedError: A token was accepted after a higher one.
        SharedTokenError: Two nodes had effects with the same token.
        RepeatedRunError: A run of a task that must not be repeated had more than one effect.
    """
    for earlier, later in overlapping_effects(effects):
        raise OverlappingEffectsError(earlier, later)
    for earlier, later in stale_tokens_accepted(effects):
        raise StaleTokenAcceptedError(earlier, later)
    for earlier, later in shared_tokens(effects):
        raise SharedTokenError(earlier, later)
    for earlier, later in repeated_runs(effects, non_repeatable_tasks):
        raise RepeatedRunError(earlier, later)
