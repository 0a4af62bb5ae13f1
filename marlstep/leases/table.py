"""Who holds which lease, as the log has it: a machine. It knows no time; who leads proposes when one is over."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

from marlstep.consensus.state_machine import CommandJson, ResultJson
from marlstep.leases.settings import CONFIG_LEASE_PREFIX

MAX_LEASES = 10_000
MAX_NAME_LENGTH = 128  # characters


@dataclass(slots=True)
class Lease:
    holder: str  # node/boot; empty where it is free
    token: int  # of the last grant
    previous_node: str = ""  # node that had it before it became free
    grant_count: int = 0

    @property
    def node(self) -> str:
        return self.holder.partition("/")[0]


class LeaseTable:
    def __init__(self) -> None:
        self.leases: dict[str, Lease] = {}
        self.last_token = 0  # the last that was given out, for any lease
        self.held_counts: Counter[str] = Counter()  # held, by holder

    def holder(self, name: str) -> str:
        lease = self.leases.get(name)
        return lease.holder if lease is not None else ""

    def leases_of(self, holder: str) -> list[tuple[str, int]]:
        return [(name, one.token) for name, one in self.leases.items() if one.holder == holder]

    def apply(self, command: CommandJson) -> ResultJson:
        name = command["name"]
        if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH:
            raise ValueError("a lease's name")
        match command["do"]:
            case "grant":
                return self._grant(name, str(command["holder"]), int(command["most"]))
            case "expire" | "return":
                return self._end(name, int(command["token"]))
        raise ValueError(f"nothing that is done to a lease: {command['do']!r}")

    def _grant(self, name: str, holder: str, most: int) -> ResultJson:
        lease = self.leases.get(name)
        if lease is not None and lease.holder:
            return {"held": lease.holder, "token": lease.token}
        if most and self.held_counts[holder] >= most:
            return {"full": holder}
        if lease is None:
            if len(self.leases) >= MAX_LEASES and not self._evict_free_lease():
                return {"full": "table"}
            lease = self.leases[name] = Lease("", 0)
        self.last_token += 1
        lease.holder, lease.token, lease.grant_count = holder, self.last_token, lease.grant_count + 1
        self._adjust_count(name, holder, 1)
        return {"granted": holder, "token": lease.token}

    def _evict_free_lease(self) -> bool:
        """A free lease's place; nothing is lost with it, as tokens are counted for all together."""
        free = next((name for name, lease in self.leases.items() if not lease.holder), None)
        if free is not None:
            del self.leases[free]
        return free is not None

    def _end(self, name: str, token: int) -> ResultJson:
        lease = self.leases.get(name)
        if lease is None or not lease.holder or lease.token != token:
            return {"ended": False}
        self._adjust_count(name, lease.holder, -1)
        was, lease.previous_node, lease.holder = lease.holder, lease.node, ""
        if name.startswith(CONFIG_LEASE_PREFIX):
            del self.leases[name]  # of one life of one process: it is not wanted again
        return {"ended": True, "holder": was}

    def _adjust_count(self, name: str, holder: str, by: int) -> None:
        """Leases on the rules are no task, and count for nothing."""
        if not name.startswith(CONFIG_LEASE_PREFIX):
            self.held_counts[holder] += by
            if not self.held_counts[holder]:
                del self.held_counts[holder]

    def snapshot(self) -> object:
        rows = [
            [name, one.holder, one.token, one.previous_node, one.grant_count]
            for name, one in self.leases.items()
        ]
        return {"token": self.last_token, "leases": rows}

    def restore(self, told: Any) -> None:
        self.last_token = int(told["token"])
        self.leases = {
            name: Lease(holder, token, last, grants) for name, holder, token, last, grants in told["leases"]
        }
        held = (
            one.holder
            for name, one in self.leases.items()
            if one.holder and not name.startswith(CONFIG_LEASE_PREFIX)
        )
        self.held_counts = Counter(held)
