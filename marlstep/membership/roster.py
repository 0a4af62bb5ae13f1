"""Who belongs to the fleet, as the log has it: a machine, and the leader's side that says when it changes.

A node is taken out only when enough others hear it as failed *and* no lease is its any more; it comes in again after a
probation, which doubles each time that it was taken out of late. Where too many seem to fail at once nobody is taken
out, as that is more likely the leader's own view, until operators say that they believe it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any

from marlstep.consensus.state_machine import Command, Result
from marlstep.net.codec import BOOLEAN, INTEGER, TEXT, read_fields, wire, write_fields
from marlstep.units import SECOND

MOST_NODES = 2_000
KEPT_OUT = 500  # names that were taken out, the last
MOST_SHIFT = 6  # times that a probation doubles


@dataclass(slots=True)
class Belongs:
    there: bool = field(metadata=wire("there", BOOLEAN))
    taken_out: int = field(metadata=wire("taken_out", INTEGER), default=0)  # times
    why: str = field(metadata=wire("why", TEXT), default="")
    held_off: bool = field(
        metadata=wire("held_off", BOOLEAN), default=False
    )  # by an operator: not taken in again without `readmit`


class Agreed:
    """Deterministic; the leader proposes, operators order."""

    def __init__(self) -> None:
        self.nodes: dict[str, Belongs] = {}
        self.believed: list[str] = []  # names that operators believe to have failed: the guard lets them go

    def members(self) -> frozenset[str]:
        return frozenset(name for name, one in self.nodes.items() if one.there)

    def apply(self, command: Command) -> Result:
        what = command["do"]
        if what == "believe":
            self.believed = sorted({str(one)[:64] for one in command["nodes"]})[:MOST_NODES]
            return {"believed": self.believed}
        name = command["node"]
        if not isinstance(name, str) or not 0 < len(name) <= 64:
            raise ValueError("a node's name")
        match what:
            case "admit":
                return self._admit(name)
            case "remove":
                return self._remove(name, str(command["why"])[:200], bool(command.get("held_off")))
            case "readmit":
                return self._readmit(name)
        raise ValueError(f"nothing that is done to a member: {what!r}")

    def _admit(self, name: str) -> Result:
        one = self.nodes.get(name)
        if one is None:
            if len(self.members()) >= MOST_NODES:
                return {"refused": f"a fleet has {MOST_NODES} nodes at the most"}
            one = self.nodes[name] = Belongs(False)
        if one.there or one.held_off:
            return {"refused": "it belongs already" if one.there else "operators took it out"}
        one.there, one.why = True, ""
        return {"admitted": name}

    def _remove(self, name: str, why: str, held_off: bool) -> Result:
        one = self.nodes.get(name)
        if one is None:
            return {"refused": "nobody of that name"}
        if not one.there and not held_off:
            return {"refused": "it does not belong"}
        one.taken_out += one.there
        one.there, one.why, one.held_off = False, why, held_off
        self.believed = [other for other in self.believed if other != name]
        out = [other for other, row in self.nodes.items() if not row.there and not row.held_off]
        for other in out[:-KEPT_OUT]:
            del self.nodes[other]
        return {"removed": name}

    def _readmit(self, name: str) -> Result:
        one = self.nodes.get(name)
        if one is None:
            return {"refused": "nobody of that name"}
        one.held_off, one.taken_out = False, 0
        return {"readmitted": name}

    def snapshot(self) -> object:
        return {
            "nodes": [[name, write_fields(one)] for name, one in self.nodes.items()],
            "believed": self.believed,
        }

    def restore(self, told: Any) -> None:
        self.nodes = {name: read_fields(Belongs, row) for name, row in told["nodes"]}
        self.believed = list(told["believed"])


@dataclass(slots=True, frozen=True)
class KeepingSettings:
    probation: timedelta = 2 * SECOND
    forgiven: timedelta = 600 * SECOND  # after which an earlier removal lengthens no probation
    guard: float = 0.3  # share of the fleet that is not believed to fail at once
    window: timedelta = 30 * SECOND  # of "at once"


@dataclass(slots=True, frozen=True)
class Word:
    """What one process's last beat says: whom it hears as failed."""

    node: str
    at: datetime
    failed: frozenset[str]


class Keeping:
    """The leader's side. All is counted anew by one that comes to lead."""

    def __init__(self, settings: KeepingSettings) -> None:
        self.settings = settings
        self._led_since: datetime | None = None
        self._well_since: dict[str, datetime] = {}
        self._last_out: dict[str, datetime] = {}
        self._removed: dict[str, datetime] = {}  # of late
        self._proposed: dict[str, datetime] = {}
        self.guarded: list[str] = []  # that would be taken out if it were believed

    def lead(self, now: datetime) -> None:
        self._led_since = now
        self._well_since.clear()
        self._removed.clear()
        self._proposed.clear()
        self.guarded = []

    def look(
        self, now: datetime, agreed: Agreed, words: Mapping[str, Word], holds: frozenset[str], term: timedelta
    ) -> list[Command]:
        """What is to be proposed. `words` by process; `holds` are the nodes that have any lease; `term` the longest."""
        if self._led_since is None or now < self._led_since + term:
            return []  # not all have been heard yet
        fresh = [one for one in words.values() if one.at >= now - term]
        heard = {one.node for one in fresh}
        commands: list[Command] = self._admits(now, agreed, heard, fresh)
        self._proposed = {one: at for one, at in self._proposed.items() if at >= now - term}
        failed = [one for one in self._failed(agreed, heard, fresh) if one not in self._proposed]
        over = sorted(name for name in failed if name not in holds)
        self._removed = {one: at for one, at in self._removed.items() if at >= now - self.settings.window}
        most = max(1, int(self.settings.guard * len(agreed.members())))
        doubted = len({*failed, *self._removed}) > most
        self.guarded = [name for name in over if doubted and name not in agreed.believed]
        for name in over:
            if name in self.guarded:
                continue
            self._removed[name] = self._last_out[name] = self._proposed[name] = now
            self._well_since.pop(name, None)
            said = sum(name in one.failed for one in fresh)
            why = f"failed for {said} of {len(fresh)} that were heard, and without a lease"
            commands.append({"m": "members", "do": "remove", "node": name, "why": why})
        return commands

    @staticmethod
    def _failed(agreed: Agreed, heard: set[str], fresh: list[Word]) -> list[str]:
        """Those that more than half of all who were heard of late hear as failed; at least two of them."""
        found = []
        for name in agreed.members() - heard:
            say = {one.node for one in fresh if name in one.failed}
            if len(say) * 2 > len(heard) and (len(say) >= 2 or len(heard) == 1):
                found.append(name)
        return found

    def _admits(self, now: datetime, agreed: Agreed, heard: set[str], fresh: list[Word]) -> list[Command]:
        """Who is heard without a break for its probation."""
        doubted = {name for one in fresh for name in one.failed}
        for name in [one for one in self._well_since if one not in heard or one in doubted]:
            del self._well_since[name]
        commands: list[Command] = []
        for name in sorted(heard - agreed.members() - doubted):
            since = self._well_since.setdefault(name, now)
            row = agreed.nodes.get(name)
            if row is not None and row.held_off:
                continue
            last = self._last_out.get(name)
            times = row.taken_out if row is not None else 0
            if last is None or now >= last + self.settings.forgiven:
                times = min(times, 1)
            if now >= since + self.settings.probation * 2 ** min(times, MOST_SHIFT):
                del self._well_since[name]
                commands.append({"m": "members", "do": "admit", "node": name})
        return commands
