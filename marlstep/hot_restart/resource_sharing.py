"""The capacity of one node between its processes: memory, requests and connections, as capacity shares of 1 in all.

"Share" means a capacity share throughout. It is given only by the process that has it, and after that process has
bounded itself to what it keeps. So at no moment do two processes together use more than the node has. Where the
connection between them is lost, each keeps to a half until the other must have ended.
"""

from __future__ import annotations

from datetime import datetime, timedelta

FULL_SHARE, HALF_SHARE = 1.0, 0.5  # of the node's capacity
MIN_DRAINING_SHARE = 0.2  # kept by a draining predecessor until it has finished, for requests that still come
MIN_TRANSFER_SHARE = 0.02  # given at a time, so that a message is worth sending


class ResourceSharing:
    """One process's part of the node's capacity; all of it while there is no other process."""

    def __init__(self) -> None:
        """Begin as the sole process of the node."""
        self._owned_share = FULL_SHARE
        self._granted_share = 0.0  # to the successor
        self._has_predecessor = self._has_successor = False
        self._draining_limit = FULL_SHARE  # in force once this process drains
        self._predecessor_ended_by: datetime | None = None  # set where it is lost
        self._successor_ended_by: datetime | None = None

    @property
    def owned_share(self) -> float:
        """The share, 0 to 1, that no other process may use. It can be more than `limit` until it is given away."""
        return self._owned_share

    @property
    def limit(self) -> float:
        """The share, 0 to 1, that this process may use.

        Rule: all that it owns. Exceptions: with a successor only half of what both have, as the rest is to be given;
        while it drains no more than its requests in flight may need.
        """
        combined_share = self._owned_share + self._granted_share
        limit_beside_successor = combined_share * HALF_SHARE if self._has_successor else FULL_SHARE
        return min(self._owned_share, limit_beside_successor, self._draining_limit)

    @property
    def is_sole_process(self) -> bool:
        """Whether no other process may use a part of the capacity."""
        return not (self._has_predecessor or self._has_successor)

    def predecessor_connected(self) -> None:
        """Own nothing until the predecessor gives a share: it has all."""
        self._has_predecessor, self._owned_share = True, 0.0

    def receive(self, share: float) -> None:
        """Own a share, 0 to 1, that the predecessor gave. One that makes no sense is ignored."""
        if self._has_predecessor and 0 < share <= FULL_SHARE:
            self._owned_share = min(FULL_SHARE - self._granted_share, self._owned_share + share)

    def predecessor_done(self) -> None:
        """Own all that was not given away: the predecessor has ended."""
        self._has_predecessor, self._owned_share = False, FULL_SHARE - self._granted_share

    def predecessor_lost(self, now: datetime, termination_timeout: timedelta) -> None:
        """Keep to a half until the lost predecessor must have ended, `termination_timeout` from now."""
        if self._has_predecessor and self._predecessor_ended_by is None:
            self._predecessor_ended_by = now + termination_timeout
            self._owned_share = max(self._owned_share, HALF_SHARE - self._granted_share)

    def predecessor_unreachable(self, now: datetime, termination_timeout: timedelta) -> None:
        """Own a half until a process that did not answer must have ended, `termination_timeout` from now.

        Called at the start alone, where no predecessor is connected: the process that did not answer may have all.
        """
        self._has_predecessor, self._predecessor_ended_by = True, now + termination_timeout
        self._owned_share = HALF_SHARE

    def unknown_process_connected(self, now: datetime, termination_timeout: timedelta) -> None:
        """Keep to a half until a process that can't be understood must have ended, `termination_timeout` from now.

        Called where no successor is connected: the unknown process may serve beside this one.
        """
        self._has_successor, self._successor_ended_by = True, now + termination_timeout

    def successor_connected(self) -> None:
        """Keep to a half from now on: the rest is the successor's as it becomes free."""
        self._has_successor, self._successor_ended_by = True, None

    def successor_lost(self, now: datetime, termination_timeout: timedelta) -> None:
        """Reclaim what was given once the lost successor must have ended, `termination_timeout` from now."""
        self._draining_limit = FULL_SHARE  # there is nobody to hand over to
        if self._has_successor:
            self._successor_ended_by = now + termination_timeout

    def drain(self, needed_share: float) -> None:
        """Bound this process, which hands over, to what its requests in flight may come to use.

        Args:
            needed_share: that, 0 to 1. It keeps `MIN_DRAINING_SHARE` at least, and never more than before.
        """
        self._draining_limit = min(self.limit, max(MIN_DRAINING_SHARE, needed_share))

    def grant(self, share_in_use: float, all_remaining: bool = False) -> float:
        """Give the successor what is free, and return the share to send; 0 where there is nothing to send.

        Args:
            share_in_use: what this process uses now, 0 to 1.
            all_remaining: give all that is left: this process ends.
        """
        free_share = self._owned_share if all_remaining else self._owned_share - max(self.limit, share_in_use)
        successor_can_receive = self._has_successor and self._successor_ended_by is None
        worth_sending = free_share > 0 and (all_remaining or free_share >= MIN_TRANSFER_SHARE)
        if not (successor_can_receive and worth_sending):
            return 0.0
        self._owned_share -= free_share
        self._granted_share += free_share
        return free_share

    def reclaim_lost_shares(self, now: datetime) -> None:
        """Reclaim what lost processes had, where they must have ended by now."""
        if self._predecessor_ended_by is not None and self._predecessor_ended_by <= now:
            self._predecessor_ended_by = None
            self.predecessor_done()
        if self._successor_ended_by is not None and self._successor_ended_by <= now:
            self._has_successor, self._successor_ended_by = False, None
            self._owned_share, self._granted_share = self._owned_share + self._granted_share, 0.0
