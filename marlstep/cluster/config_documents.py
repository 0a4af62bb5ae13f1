"""Documents on a node: what the follower decides is carried out here, between two turns of the core."""

from __future__ import annotations

import json
import logging
import secrets
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any, Protocol

from marlstep.config.fleet import RulesConfig
from marlstep.leases.holder import HeartbeatReport
from marlstep.leases.messages import RequestCounts
from marlstep.leases.settings import CONFIG_LEASE_PREFIX
from marlstep.membership.quotas import Demand, Using, unsharable
from marlstep.net.codec import write_fields
from marlstep.replicated_config.documents import PIECE, CutOff, Kind, Named, canonical, differences, digest_of
from marlstep.replicated_config.follower import Ack, Act, Check, Do, Follower, Found, State, Stop
from marlstep.replicated_config.messages import Fetch, Piece
from marlstep.units import MILLISECOND

if TYPE_CHECKING:
    from marlstep.cluster.node import Fleet

log = logging.getLogger(__name__)

KEPT_ANSWERS = 64  # to what operators asked for


class Documents(Protocol):
    """The node, as far as documents govern it."""

    def local(self, kind: str) -> Any:
        """What its own files say."""

    def check(self, kind: str, content: str) -> str:
        """Why it can't act on that; empty where it can."""

    def act(self, kind: str, version: int, content: str) -> None:
        """From now on. Raises ValueError."""

    def narrow(self) -> None:
        """The lesser of the allowances that it knows of."""

    def figures(self) -> RequestCounts:
        """Requests that were read, of them refused, and failed or late."""

    def asked(self) -> dict[str, int]:
        """Requests that were read, of each tenant that has an allowance."""

    def share(self, tenant: str, part: float) -> None:
        """That tenant's allowance here is this part of the whole."""


@dataclass(slots=True)
class Upload:
    """A document on its way into the log, piece by piece."""

    name: str
    content: str
    put: dict[str, Any]
    upload: str
    offset: int = 0
    number: int | None = None
    put_out: bool = False


class FleetRules:
    def __init__(self, fleet: Fleet, config: RulesConfig, documents: Documents) -> None:
        self._fleet, self._config, self._documents = fleet, config, documents
        self.using = Using()
        self._demand = Demand()
        self._given: dict[int, str] = {}
        self.follower = Follower(config.documents, fleet.config.node)
        self.named = {one.name: one for one in config.documents}
        self.lease = CONFIG_LEASE_PREFIX + fleet.participant.holder.name
        fleet.participant.holder.report = self._report
        self._acks: dict[int, Ack] = {}
        self._orders: dict[int, str] = {}
        self._uploads: list[Upload] = []
        self.answers = fleet.answers
        for do in self.follower.boot():
            self._carry_out(do, fleet.steady.now())

    def left(self, now: datetime) -> timedelta:
        return self._fleet.participant.holder.time_left(self.lease, now)

    def _report(self, now: datetime) -> HeartbeatReport:
        """What each beat tells the group of this process."""
        demand = () if not self._config.shares else self._demand.look(now, self._documents.asked())
        return self.follower.acts(now), self._documents.figures(), demand

    def may_take(self) -> bool:
        """Asked by the core for each new request, by the clock: a stopped process may not know yet that time passed."""
        return self.follower.may_take(self.left(self._fleet.steady.now()))

    # What comes.

    def heard(self, now: datetime) -> None:
        holder = self._fleet.participant.holder
        news, holder.documents = holder.documents, None
        if self._config.shares:
            for tenant, to in self.using.told(holder.quota_shares):
                self._share(tenant)  # used no more, before that is said
                told = {"m": "shares", "do": "gave", "tenant": tenant, "holder": holder.name, "to": to}
                number = self._fleet.participant.propose(now, told)
                if number is None:
                    self.using.lost(tenant)
                else:
                    self._given[number] = tenant
            for tenant in self.using.parts:
                self._share(tenant)
        if news is not None:
            self._do(self.follower.told(now, news, self.left(now)), now)

    def got(self, now: datetime, piece: Piece) -> None:
        self._do(self.follower.piece(now, piece, self.left(now)), now)

    def look(self, now: datetime) -> None:
        """In every turn of the fleet's part, and when the lease is over."""
        participant = self._fleet.participant
        for number in list(self._acks):
            if (result := participant.take_result(number)) is not None:
                ack = self._acks.pop(number)
                if "refused" in result:
                    self.follower.ack_lost(ack.name, ack.version)
        for number in list(self._given):
            if (result := participant.take_result(number)) is not None:
                tenant = self._given.pop(number)
                if "refused" in result:
                    self.using.lost(tenant)
        for number in list(self._orders):
            if (result := participant.take_result(number)) is not None:
                self._answer(number, {"what": self._orders.pop(number), **result})
        for upload in list(self._uploads):
            self._push(upload, now)
        self._do(self.follower.look(now, self.left(now)), now)

    # What is to be done.

    def _do(self, done: list[Do], now: datetime) -> None:
        queue = list(done)
        while queue:
            queue += self._carry_out(queue.pop(0), now)

    def _carry_out(self, do: Do, now: datetime) -> list[Do]:
        fleet, participant = self._fleet, self._fleet.participant
        match do:
            case Check():
                why = self._check(self.named[do.name], do.content)
                if why:
                    log.error("fleet: version %d of %s can't be taken here: %s", do.version, do.name, why)
                return self.follower.checked(now, do, why, self.left(now))
            case Ack():
                told: dict[str, Any] = {"m": "rules", "do": "ack", "doc": do.name, "version": do.version}
                told |= {"digest": do.digest, "holder": participant.holder.name, "why": do.why}
                number = participant.propose(now, told)
                if number is None:
                    self.follower.ack_lost(do.name, do.version)
                else:
                    self._acks[number] = do
                    fleet.on_step("said")
            case Fetch():
                fleet.ask_leader(do)
            case Act():
                self._act(do)
            case Stop():
                self._stop(do)
            case Found():
                if not fleet.conduct.proposes:
                    return []
                local = self._documents.local(self.named[do.name].kind.value)
                log.info("fleet: the group has no %s yet: this node's file is proposed as its first", do.name)
                self.put(now, do.name, canonical(local), 0, fleet.config.node, "from the files of this node")
        return []

    def _act(self, do: Act) -> None:
        named = self.named[do.name]
        try:
            self._documents.act(named.kind.value, do.version, do.content)
        except ValueError as fault:  # it was checked: this is a fault of our own
            log.exception("fleet: version %d of %s was not taken over: %s", do.version, do.name, fault)
            return
        if self._config.shares and named.kind is Kind.TENANTS:
            for tenant in self._documents.asked():
                self._share(tenant)
        self._fleet.on_step("following")
        log.info("fleet: acts on version %d of %s", do.version, do.name)
        self._fleet.note(f"acts on version {do.version} of {do.name}", "it is in force")

    def _check(self, named: Named, content: str) -> str:
        """Why this node can't act on that; empty where it can."""
        why = self._documents.check(named.kind.value, content)
        if not why and self._config.shares and named.kind is Kind.TENANTS:
            why = unsharable(json.loads(content).get("tenants", {}))
        return why

    def _share(self, tenant: str) -> None:
        self._documents.share(tenant, self.using.part(tenant))

    def _stop(self, do: Stop) -> None:
        how = {
            CutOff.STOP: "new work is refused",
            CutOff.NARROW: "the lesser of what is known counts",
            CutOff.KEEP: "goes on, and may contradict the others",
        }[do.how]
        log.warning("fleet: no lease on %s: %s (%s)", do.name, how, do.why)
        self._fleet.note(f"no lease on {do.name}: {how}", do.why)
        self._fleet.counts["rules stopped"] += 1
        if do.how is CutOff.NARROW:
            self._documents.narrow()

    # Putting a version into the log.

    def put(
        self, now: datetime, name: str, content: str, expect: int, author: str, note: str, **how: Any
    ) -> None:
        """In pieces, and then the change itself."""
        named = self.named[name]
        upload = secrets.token_hex(8)
        put: dict[str, Any] = {
            "m": "rules",
            "do": "put",
            "doc": name,
            "kind": named.kind.value,
            "strict": named.strict,
        }
        put |= {"upload": upload, "digest": digest_of(content), "expect": expect}
        put |= {"author": author, "note": note}
        put |= {"at": self._fleet.wall().isoformat(timespec="seconds"), **how}
        self._uploads.append(Upload(name, content, put, upload))
        self._fleet.drive_soon()

    def _push(self, one: Upload, now: datetime) -> None:
        participant = self._fleet.participant
        if one.number is not None:
            result = participant.take_result(one.number)
            if result is None:
                return
            if one.put_out or "taken" not in result:
                self._uploads.remove(one)
                self._answer(one.number, {"what": f"put {one.name}", **result})
                log.info("fleet: put of %s: %s", one.name, result)
                return
            one.offset, one.number = int(result["taken"]), None
        data = one.content[one.offset : one.offset + PIECE]
        one.put_out = not data
        self._fleet.on_step("put" if one.put_out else "uploading")
        piece = {"m": "rules", "do": "part", "upload": one.upload, "offset": one.offset, "data": data}
        one.number = participant.propose(now, one.put if one.put_out else piece)

    def _answer(self, number: int, answer: dict[str, Any]) -> None:
        self.answers[number] = answer
        while len(self.answers) > KEPT_ANSWERS:
            self.answers.popitem(last=False)

    # Operators.

    def order(self, what: str, told: dict[str, Any]) -> dict[str, Any]:
        """Raises ValueError, KeyError, TypeError."""
        now, participant = self._fleet.steady.now(), self._fleet.participant
        if what == "part":
            piece = {"m": "rules", "do": "part", "upload": str(told["upload"])}
            command = {**piece, "offset": int(told["offset"]), "data": str(told["data"])}
            self._fleet.on_step("uploading")
        elif what == "standings":
            command = {"m": "standings", "from": int(told.get("from", 0))}
        else:
            named = self._named(told)
            match what:
                case "put":
                    command = {"m": "rules", "do": "put", "doc": named.name, "kind": named.kind.value}
                    command |= {"strict": named.strict, "upload": str(told["upload"])}
                    command |= {"digest": str(told["digest"])}
                    command |= {"expect": int(told["expect"]), "author": str(told.get("author", ""))}
                    command |= {"note": str(told.get("note", ""))}
                    command |= {"at": self._fleet.wall().isoformat(timespec="seconds")}
                    command |= {"hold_out": bool(told.get("hold_out")), "force": bool(told.get("force"))}
                    if (stage := told.get("stage")) is not None:
                        command["stage"] = stage_of(stage)
                    self._fleet.on_step("put")
                case "get":
                    command = {"m": "rules", "do": "get", "doc": named.name}
                case "go":
                    command = {"m": "rules", "do": "commit", "doc": named.name, "whole": True}
                    command |= {"version": int(told["version"])}
                case "withdraw":
                    command = {"m": "rules", "do": "withdraw", "doc": named.name}
                    command |= {"version": int(told["version"]), "why": str(told.get("why", "an operator"))}
                case "fix" | "unfix":
                    return self._fixed(named, what, told, now)
                case _:
                    raise ValueError(f"there is nothing like {what[:32]}")
        number = participant.propose(now, command)
        if number is None:
            raise ValueError("too much is asked for already")
        self._orders[number] = what
        self._fleet.drive_soon()
        return {"asked": number}

    def _named(self, told: dict[str, Any]) -> Named:
        named = self.named.get(str(told["doc"]))
        if named is None:
            raise ValueError(f"no document {str(told['doc'])[:64]!r}: {', '.join(self.named)}")
        return named

    def _fixed(self, named: Named, what: str, told: dict[str, Any], now: datetime) -> dict[str, Any]:
        if what == "unfix":
            return self._unfixed(named, now)
        content = canonical(told["content"])
        if why := self._check(named, content):
            raise ValueError(why)
        log.warning("fleet: %s: an operator's fixed version is in force on this node alone", named.name)
        self._do(self.follower.fix(now, named.name, content), now)
        return {"fixed": True}

    def _unfixed(self, named: Named, now: datetime) -> dict[str, Any]:
        """Nothing is merged: what the group has counts, and how the two differed is said."""
        one = self.follower.standings[named.name]
        if one.state is not State.FIXED:
            return {"fixed": False, "differed": []}
        differed = self._against_group(named.name)
        log.warning("fleet: %s: the fixed version is taken back by an operator", named.name)
        for line in ["not known, as the group was not heard"] if differed is None else differed:
            log.warning("fleet: %s: the group's version against the fixed one: %s", named.name, line)
            self._fleet.note(f"the fixed version of {named.name} differed", line)
        self._do(self.follower.unfix(named.name), now)
        return {"fixed": False, "differed": differed}

    def _against_group(self, name: str) -> list[str] | None:
        """What the group's version in force has otherwise than the one fixed here; None where that is not known."""
        theirs = self.follower.against_group(name)
        if theirs is None:
            return None
        mine = self.follower.standings[name].content
        return list(differences(json.loads(mine), json.loads(theirs)))[:20]

    def call(self, rest: list[str]) -> dict[str, Any] | None:
        match rest:
            case ["rules"]:
                return self.status()
            case ["asked"]:
                return self._fleet.told_orders()
            case ["rules", name] if name in self.named:
                return self._versions(name)
        return None

    def status(self) -> dict[str, Any]:
        now = self._fleet.steady.now()
        rows = []
        for one in self.follower.standings.values():
            target = one.target
            rows.append(
                {
                    "name": one.named.name,
                    "kind": one.named.kind.value,
                    "strict": one.named.strict,
                    "cut_off": one.named.cut_off.value,
                    "state": one.state.value,
                    "version": one.version,
                    "in_force": None if target is None else target.version,
                    "preparing": None if target is None else target.prepared_version or None,
                    "against_group": self._against_group(one.named.name)
                    if one.state is State.FIXED
                    else None,
                    "differs": [] if not one.content else self._differs(one.named, one.content),
                }
            )
        return {
            "node": self._fleet.config.node,
            "lease_ms": self.left(now) // MILLISECOND,
            "agree_within_ms": self._config.agree_within // MILLISECOND,
            "takes_work": self.may_take(),
            "acts": [list(row) for row in self.follower.acts(now)],
            "parts": self.using.parts if self._config.shares else None,
            "documents": rows,
        }

    def _differs(self, named: Named, content: str) -> list[str]:
        """How this node's own files differ from what is in force."""
        return list(differences(json.loads(content), self._documents.local(named.kind.value)))[:20]

    def _versions(self, name: str) -> dict[str, Any]:
        """All that the log has of it, where this node votes; else what is in force here."""
        voter, mine = self._fleet.voter, self.follower.standings[name]
        book = None if voter is None else voter.config_store
        document = None if book is None else book.documents.get(name)
        if book is None or document is None:
            return {"name": name, "versions": [{"version": mine.version, "content": mine.content}]}
        pending = document.pending
        return {
            "name": name,
            "in_force": document.number,
            "versions": [
                {
                    "version": one.version,
                    "author": one.author,
                    "note": one.note,
                    "at": one.at,
                    "content": one.content,
                }
                for one in document.versions
            ],
            "preparing": None if pending is None else pending.version.version,
            "stage": None if pending is None or pending.stage is None else write_fields(pending.stage),
            "waits_for": book.waits_for(document),
            "held_out": document.held_out,
            "turned_down": document.turned_down,
        }


def stage_of(told: Any) -> dict[str, Any]:
    """As an operator asks for it. Raises ValueError, KeyError, TypeError."""
    stage: dict[str, Any] = {"for_ms": int(told["for_ms"]), "worse": float(told["worse"])}
    stage["least"] = int(told["least"])
    if "share" in told:
        return {**stage, "share": float(told["share"])}
    return {**stage, "nodes": [str(one) for one in told["nodes"]]}
