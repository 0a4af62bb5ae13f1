"""Documents on a node: what the follower decides is carried out here, between two turns of the core."""

from __future__ import annotations

import json
import logging
import secrets
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any, Protocol

from marlstep.config.fleet import ReplicatedConfigSettings
from marlstep.leases.holder import HeartbeatReport
from marlstep.leases.messages import RequestCounts
from marlstep.leases.settings import CONFIG_LEASE_PREFIX
from marlstep.membership.quotas import DemandEstimator, QuotaLease, quota_limit_violation
from marlstep.net.codec import write_fields
from marlstep.replicated_config.comparison import differences
from marlstep.replicated_config.documents import (
    CHUNK_CHARACTERS,
    DisconnectPolicy,
    DocumentDefinition,
    Kind,
    canonical_json,
    content_digest,
)
from marlstep.replicated_config.followed_document import FollowerState
from marlstep.replicated_config.follower import ConfigFollower
from marlstep.replicated_config.follower_actions import (
    AcknowledgeVersion,
    ActivateVersion,
    CheckVersion,
    FollowerAction,
    ProposeFirstVersion,
    SuspendDocument,
)
from marlstep.replicated_config.messages import DocumentChunk, FetchChunk
from marlstep.units import MILLISECOND

if TYPE_CHECKING:
    from marlstep.cluster.node import ClusterNode

log = logging.getLogger(__name__)

KEPT_ANSWERS = 64  # to what operators asked for


class ConfigDocuments(Protocol):
    """The node, as far as documents govern it."""

    def local_content(self, kind: str) -> Any:
        """What its own files say."""

    def check(self, kind: str, content: str) -> str:
        """Why it can't act on that; empty where it can."""

    def activate(self, kind: str, version: int, content: str) -> None:
        """From now on. Raises ValueError."""

    def restrict(self) -> None:
        """The lesser of the allowances that it knows of."""

    def request_counts(self) -> RequestCounts:
        """Requests that were read, of them refused, and failed or late."""

    def tenant_counts(self) -> dict[str, int]:
        """Requests that were read, of each tenant that has an allowance."""

    def set_quota_share(self, tenant: str, part: float) -> None:
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


class ConfigDriver:
    def __init__(
        self, fleet: ClusterNode, config: ReplicatedConfigSettings, documents: ConfigDocuments
    ) -> None:
        self._fleet, self._config, self._documents = fleet, config, documents
        self.quota_lease = QuotaLease()
        self._demand = DemandEstimator()
        self._quota_reports: dict[int, str] = {}
        self.follower = ConfigFollower(config.documents, fleet.config.node)
        self.definitions = {one.name: one for one in config.documents}
        self.lease = CONFIG_LEASE_PREFIX + fleet.client.holder.name
        fleet.client.holder.report = self._report
        self._acks: dict[int, AcknowledgeVersion] = {}
        self._orders: dict[int, str] = {}
        self._uploads: list[Upload] = []
        self.answers = fleet.answers
        for do in self.follower.start():
            self._carry_out(do, fleet.steady.now())

    def lease_time_left(self, now: datetime) -> timedelta:
        return self._fleet.client.holder.time_left(self.lease, now)

    def _report(self, now: datetime) -> HeartbeatReport:
        """What each beat tells the group of this process."""
        demand = (
            ()
            if not self._config.quotas_shared
            else self._demand.estimate(now, self._documents.tenant_counts())
        )
        return self.follower.document_states(now), self._documents.request_counts(), demand

    def accepts_work(self) -> bool:
        """Asked by the core for each new request, by the clock: a stopped process may not know yet that time passed."""
        return self.follower.accepts_work(self.lease_time_left(self._fleet.steady.now()))

    # What comes.

    def handle_heartbeat_response(self, now: datetime) -> None:
        holder = self._fleet.client.holder
        news, holder.documents = holder.documents, None
        if self._config.quotas_shared:
            for tenant, to in self.quota_lease.update(holder.quota_shares):
                self._share(tenant)  # used no more, before that is said
                told = {"m": "shares", "do": "gave", "tenant": tenant, "holder": holder.name, "to": to}
                number = self._fleet.client.propose(now, told)
                if number is None:
                    self.quota_lease.report_lost(tenant)
                else:
                    self._quota_reports[number] = tenant
            for tenant in self.quota_lease.shares:
                self._share(tenant)
        if news is not None:
            self._do(self.follower.handle_statuses(now, news, self.lease_time_left(now)), now)

    def handle_chunk(self, now: datetime, piece: DocumentChunk) -> None:
        self._do(self.follower.handle_chunk(now, piece, self.lease_time_left(now)), now)

    def tick(self, now: datetime) -> None:
        """In every turn of the fleet's part, and when the lease is over."""
        participant = self._fleet.client
        for number in list(self._acks):
            if (result := participant.take_result(number)) is not None:
                ack = self._acks.pop(number)
                if "refused" in result:
                    self.follower.acknowledgement_lost(ack.name, ack.version)
        for number in list(self._quota_reports):
            if (result := participant.take_result(number)) is not None:
                tenant = self._quota_reports.pop(number)
                if "refused" in result:
                    self.quota_lease.report_lost(tenant)
        for number in list(self._orders):
            if (result := participant.take_result(number)) is not None:
                self._answer(number, {"what": self._orders.pop(number), **result})
        for upload in list(self._uploads):
            self._push(upload, now)
        self._do(self.follower.tick(now, self.lease_time_left(now)), now)

    # What is to be done.

    def _do(self, done: list[FollowerAction], now: datetime) -> None:
        queue = list(done)
        while queue:
            queue += self._carry_out(queue.pop(0), now)

    def _carry_out(self, do: FollowerAction, now: datetime) -> list[FollowerAction]:
        fleet, participant = self._fleet, self._fleet.client
        match do:
            case CheckVersion():
                why = self._check(self.definitions[do.name], do.content)
                if why:
                    log.error("fleet: version %d of %s can't be taken here: %s", do.version, do.name, why)
                return self.follower.handle_check_result(now, do, why, self.lease_time_left(now))
            case AcknowledgeVersion():
                told: dict[str, Any] = {"m": "rules", "do": "ack", "doc": do.name, "version": do.version}
                told |= {"digest": do.digest, "holder": participant.holder.name, "why": do.rejection}
                number = participant.propose(now, told)
                if number is None:
                    self.follower.acknowledgement_lost(do.name, do.version)
                else:
                    self._acks[number] = do
                    fleet.on_step("said")
            case FetchChunk():
                fleet.ask_leader(do)
            case ActivateVersion():
                self._act(do)
            case SuspendDocument():
                self._stop(do)
            case ProposeFirstVersion():
                if not fleet.capabilities.proposes:
                    return []
                local = self._documents.local_content(self.definitions[do.name].kind.value)
                log.info("fleet: the group has no %s yet: this node's file is proposed as its first", do.name)
                self.put(
                    now, do.name, canonical_json(local), 0, fleet.config.node, "from the files of this node"
                )
        return []

    def _act(self, do: ActivateVersion) -> None:
        named = self.definitions[do.name]
        try:
            self._documents.activate(named.kind.value, do.version, do.content)
        except ValueError as fault:  # it was checked: this is a fault of our own
            log.exception("fleet: version %d of %s was not taken over: %s", do.version, do.name, fault)
            return
        if self._config.quotas_shared and named.kind is Kind.TENANTS:
            for tenant in self._documents.tenant_counts():
                self._share(tenant)
        self._fleet.on_step("following")
        log.info("fleet: acts on version %d of %s", do.version, do.name)
        self._fleet.note(f"acts on version {do.version} of {do.name}", "it is in force")

    def _check(self, named: DocumentDefinition, content: str) -> str:
        """Why this node can't act on that; empty where it can."""
        why = self._documents.check(named.kind.value, content)
        if not why and self._config.quotas_shared and named.kind is Kind.TENANTS:
            why = quota_limit_violation(json.loads(content).get("tenants", {}))
        return why

    def _share(self, tenant: str) -> None:
        self._documents.set_quota_share(tenant, self.quota_lease.share_of(tenant))

    def _stop(self, do: SuspendDocument) -> None:
        how = {
            DisconnectPolicy.STOP: "new work is refused",
            DisconnectPolicy.NARROW: "the lesser of what is known counts",
            DisconnectPolicy.KEEP: "goes on, and may contradict the others",
        }[do.policy]
        log.warning("fleet: no lease on %s: %s (%s)", do.name, how, do.reason)
        self._fleet.note(f"no lease on {do.name}: {how}", do.reason)
        self._fleet.counts["rules stopped"] += 1
        if do.policy is DisconnectPolicy.NARROW:
            self._documents.restrict()

    # Putting a version into the log.

    def put(
        self, now: datetime, name: str, content: str, expect: int, author: str, note: str, **how: Any
    ) -> None:
        """In pieces, and then the change itself."""
        named = self.definitions[name]
        upload = secrets.token_hex(8)
        put: dict[str, Any] = {
            "m": "rules",
            "do": "put",
            "doc": name,
            "kind": named.kind.value,
            "strict": named.strict,
        }
        put |= {"upload": upload, "digest": content_digest(content), "expect": expect}
        put |= {"author": author, "note": note}
        put |= {"at": self._fleet.wall().isoformat(timespec="seconds"), **how}
        self._uploads.append(Upload(name, content, put, upload))
        self._fleet.drive_soon()

    def _push(self, one: Upload, now: datetime) -> None:
        participant = self._fleet.client
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
        data = one.content[one.offset : one.offset + CHUNK_CHARACTERS]
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
        now, participant = self._fleet.steady.now(), self._fleet.client
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
                        command["stage"] = parse_rollout(stage)
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

    def _named(self, told: dict[str, Any]) -> DocumentDefinition:
        named = self.definitions.get(str(told["doc"]))
        if named is None:
            raise ValueError(f"no document {str(told['doc'])[:64]!r}: {', '.join(self.definitions)}")
        return named

    def _fixed(
        self, named: DocumentDefinition, what: str, told: dict[str, Any], now: datetime
    ) -> dict[str, Any]:
        if what == "unfix":
            return self._unfixed(named, now)
        content = canonical_json(told["content"])
        if why := self._check(named, content):
            raise ValueError(why)
        log.warning("fleet: %s: an operator's fixed version is in force on this node alone", named.name)
        self._do(self.follower.pin(now, named.name, content), now)
        return {"fixed": True}

    def _unfixed(self, named: DocumentDefinition, now: datetime) -> dict[str, Any]:
        """Nothing is merged: what the group has counts, and how the two differed is said."""
        one = self.follower.documents[named.name]
        if one.state is not FollowerState.PINNED:
            return {"fixed": False, "differed": []}
        differed = self._against_group(named.name)
        log.warning("fleet: %s: the fixed version is taken back by an operator", named.name)
        for line in ["not known, as the group was not heard"] if differed is None else differed:
            log.warning("fleet: %s: the group's version against the fixed one: %s", named.name, line)
            self._fleet.note(f"the fixed version of {named.name} differed", line)
        self._do(self.follower.unpin(named.name), now)
        return {"fixed": False, "differed": differed}

    def _against_group(self, name: str) -> list[str] | None:
        """What the group's version in force has otherwise than the one fixed here; None where that is not known."""
        theirs = self.follower.group_content(name)
        if theirs is None:
            return None
        mine = self.follower.documents[name].content
        return list(differences(json.loads(mine), json.loads(theirs)))[:20]

    def call(self, rest: list[str]) -> dict[str, Any] | None:
        match rest:
            case ["rules"]:
                return self.status()
            case ["asked"]:
                return self._fleet.told_orders()
            case ["rules", name] if name in self.definitions:
                return self._versions(name)
        return None

    def status(self) -> dict[str, Any]:
        now = self._fleet.steady.now()
        rows = []
        for one in self.follower.documents.values():
            target = one.target
            rows.append(
                {
                    "name": one.definition.name,
                    "kind": one.definition.kind.value,
                    "strict": one.definition.strict,
                    "cut_off": one.definition.disconnect_policy.value,
                    "state": one.state.description,
                    "version": one.version,
                    "in_force": None if target is None else target.version,
                    "preparing": None if target is None else target.prepared_version or None,
                    "against_group": self._against_group(one.definition.name)
                    if one.state is FollowerState.PINNED
                    else None,
                    "differs": [] if not one.content else self._differs(one.definition, one.content),
                }
            )
        return {
            "node": self._fleet.config.node,
            "lease_ms": self.lease_time_left(now) // MILLISECOND,
            "agree_within_ms": self._config.agree_within // MILLISECOND,
            "takes_work": self.accepts_work(),
            "acts": [list(row) for row in self.follower.document_states(now)],
            "parts": self.quota_lease.shares if self._config.quotas_shared else None,
            "documents": rows,
        }

    def _differs(self, named: DocumentDefinition, content: str) -> list[str]:
        """How this node's own files differ from what is in force."""
        return list(differences(json.loads(content), self._documents.local_content(named.kind.value)))[:20]

    def _versions(self, name: str) -> dict[str, Any]:
        """All that the log has of it, where this node votes; else what is in force here."""
        voter, mine = self._fleet.replica, self.follower.documents[name]
        book = None if voter is None else voter.config_store
        document = None if book is None else book.documents.get(name)
        if book is None or document is None:
            return {"name": name, "versions": [{"version": mine.version, "content": mine.content}]}
        pending = document.prepared
        return {
            "name": name,
            "in_force": document.active_number,
            "versions": [
                {
                    "version": one.number,
                    "author": one.author,
                    "note": one.note,
                    "at": one.at,
                    "content": one.content,
                }
                for one in document.versions
            ],
            "preparing": None if pending is None else pending.version.number,
            "stage": None if pending is None or pending.rollout is None else write_fields(pending.rollout),
            "waits_for": book.missing_acknowledgements(document),
            "held_out": document.excluded,
            "turned_down": document.rejected_versions,
        }


def parse_rollout(told: Any) -> dict[str, Any]:
    """As an operator asks for it. Raises ValueError, KeyError, TypeError."""
    stage: dict[str, Any] = {"for_ms": int(told["for_ms"]), "worse": float(told["worse"])}
    stage["least"] = int(told["least"])
    if "share" in told:
        return {**stage, "share": float(told["share"])}
    return {**stage, "nodes": [str(one) for one in told["nodes"]]}
