"""`[fleet]` of the operator's file: the nodes that know each other, who votes, and the tasks that they do once."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING

from marlstep.config.readers import (
    Address,
    ConfigError,
    Table,
    address,
    known,
    number,
    table,
    whole,
    word,
    words,
)
from marlstep.units import MILLISECOND, SECOND, ZERO

if TYPE_CHECKING:
    from marlstep.leases.settings import LeaseSettings
    from marlstep.membership.detector_settings import DetectorSettings
    from marlstep.membership.roster_controller import RosterSettings
    from marlstep.replicated_config.documents import DocumentDefinition
    from marlstep.scheduled_tasks.runner import TaskPlan

MOST_NODES = 500
LEAST_KEY = 32  # bytes
KEYS = (
    "name", "listen", "voters", "key_file", "store", "term_ms", "drift", "most_leases", "beat_ms",
    "patience_ms", "nodes", "tasks", "probes", "rules", "members",
)  # fmt: skip
LATE = 500 * MILLISECOND  # that a node's loop may be, from the news to the turn in which it counts
TASK_KEYS = ("every_ms", "at", "class", "longest_ms", "missed", "vars")
DAY = timedelta(days=1)


@dataclass(slots=True, frozen=True)
class TaskConfig:
    plan: TaskPlan
    variables: Mapping[str, str]  # of its uwsgi request


@dataclass(slots=True, frozen=True)
class ReplicatedConfigSettings:
    """Documents on which the nodes agree."""

    documents: tuple[DocumentDefinition, ...]
    agree_within: timedelta  # no two act on contradicting versions for longer
    quotas_shared: bool = False  # a tenant's allowance is for the whole service, in parts


@dataclass(slots=True, frozen=True)
class MembershipConfig:
    """How this node finds out who is there."""

    detector: DetectorSettings
    roster: RosterSettings
    zone: str
    seeds: tuple[str, ...]  # nodes that are asked first


@dataclass(slots=True, frozen=True)
class ClusterConfig:
    name: str
    node: str
    listen: Address
    nodes: Mapping[str, Address]
    voters: tuple[str, ...]
    key: bytes = field(repr=False)
    store: Path | None
    leases: LeaseSettings
    heartbeat_interval: timedelta
    election_timeout: timedelta
    tasks: tuple[TaskConfig, ...]
    replicated_config: ReplicatedConfigSettings | None = None
    membership: MembershipConfig | None = None
    shared_health_checks: bool = False  # one node finds out for all whether an ejected server is back

    @property
    def votes(self) -> bool:
        return self.node in self.voters


def read_cluster(
    operator: Table, node: str, classes: Mapping[str, bool], uwsgi: bool
) -> ClusterConfig | None:
    """`classes` says of each class whether it is safe to repeat. Raises ConfigError."""
    if "fleet" not in operator:
        return None
    from marlstep.leases.settings import (
        LeaseSettings,  # a node that is told nothing of a fleet does not load it
    )

    raw = table(operator, "fleet", "fleet")
    known(raw, "fleet", KEYS)
    name = word(raw, "name", "fleet.name")
    rows = table(raw, "nodes", "fleet.nodes")
    if not 1 <= len(rows) <= MOST_NODES:
        raise ConfigError(f"fleet.nodes must name 1 to {MOST_NODES} nodes")
    for one in rows:
        if any(mark in one for mark in "#/ ") or not one.isprintable():
            raise ConfigError(f"fleet.nodes.{one}: a node's name has no #, / or blank")
    nodes = {one: address(rows, one, f"fleet.nodes.{one}") for one in rows}
    if node not in nodes:
        raise ConfigError(f"fleet.nodes must name this node, {node}")
    voters = tuple(words(raw, "voters", "fleet.voters"))
    if len(voters) not in (1, 3, 5, 7) or len(set(voters)) < len(voters):
        raise ConfigError("fleet.voters must name 1, 3, 5 or 7 nodes, each once")
    for one in voters:
        if one not in nodes:
            raise ConfigError(f"fleet.voters: {one} is not in fleet.nodes")
    store = Path(word(raw, "store", "fleet.store")) if node in voters else None
    term = whole(raw, "term_ms", "fleet.term_ms", 500, 600_000, 3_000) * MILLISECOND
    beat = whole(raw, "beat_ms", "fleet.beat_ms", 10, 10_000, 100) * MILLISECOND
    patience = whole(raw, "patience_ms", "fleet.patience_ms", 50, 60_000, 500) * MILLISECOND
    if patience < 3 * beat:
        raise ConfigError("fleet.patience_ms must be at least three times fleet.beat_ms")
    if term < 2 * patience:
        raise ConfigError(
            "fleet.term_ms must be at least twice fleet.patience_ms: an election must not end it"
        )
    leases = LeaseSettings(
        term=term,
        drift=number(raw, "drift", "fleet.drift", 0.0001, 0.2, 0.01),
        max_per_node=whole(raw, "most_leases", "fleet.most_leases", 0, 10_000, 0),
    )
    rules = _rules(raw, beat, uwsgi)
    if rules is not None:
        leases = replace(leases, config_term=rules[1])
        if leases.config_term < 2 * patience:
            raise ConfigError("fleet.rules.lease_ms must be at least twice fleet.patience_ms")
    listen = address(raw, "listen", "fleet.listen") if "listen" in raw else nodes[node]
    tasks = _tasks(raw, classes, uwsgi, term)
    probes = raw.get("probes", False)
    if not isinstance(probes, bool):
        raise ConfigError("fleet.probes must be true or false")
    if probes and not uwsgi:
        raise ConfigError("fleet.probes needs [uwsgi]: it is about the servers of its pools")
    key = _key(raw)
    return ClusterConfig(
        name=name,
        node=node,
        listen=listen,
        nodes=nodes,
        voters=voters,
        key=key,
        store=store,
        leases=leases,
        heartbeat_interval=beat,
        election_timeout=patience,
        tasks=tasks,
        replicated_config=None if rules is None else rules[0],
        membership=_members(raw, nodes, voters),
        shared_health_checks=probes,
    )


def _rules(raw: Table, beat: timedelta, uwsgi: bool) -> tuple[ReplicatedConfigSettings, timedelta] | None:
    """With the term of the leases under which nodes act on documents."""
    if "rules" not in raw:
        return None
    from marlstep.replicated_config.documents import DisconnectPolicy, DocumentDefinition, Kind

    path = "fleet.rules"
    told = table(raw, "rules", path)
    known(told, path, ("lease_ms", "agree_within_ms", "documents", "shares"))
    lease = whole(told, "lease_ms", f"{path}.lease_ms", 500, 60_000, 2_000) * MILLISECOND
    within = whole(told, "agree_within_ms", f"{path}.agree_within_ms", 500, 120_000, 3_000) * MILLISECOND
    least = lease + 2 * beat + LATE
    if within < least:
        raise ConfigError(
            f"{path}.agree_within_ms must be at least {least // MILLISECOND}: the lease, two beats of the leader, "
            f"and {LATE // MILLISECOND} ms that a node may be late"
        )
    rows = table(told, "documents", f"{path}.documents")
    found = []
    for name in rows:
        here = f"{path}.documents.{name}"
        row = table(rows, name, here)
        known(row, here, ("kind", "strict", "cut_off"))
        try:
            kind = Kind(word(row, "kind", f"{here}.kind"))
            strict = row.get("strict", kind is Kind.TENANTS)
            cut_off = DisconnectPolicy(word(row, "cut_off", f"{here}.cut_off", "stop" if strict else "keep"))
        except ValueError as fault:
            raise ConfigError(f"{here}: {fault}") from fault
        if not isinstance(strict, bool):
            raise ConfigError(f"{here}.strict must be true or false")
        if cut_off is DisconnectPolicy.NARROW and kind is not Kind.TENANTS:
            raise ConfigError(f"{here}.cut_off: narrow is for tenants alone")
        if kind is Kind.SERVERS and not uwsgi:
            raise ConfigError(f"{here}.kind: servers needs [uwsgi]")
        found.append(DocumentDefinition(name, kind, strict, cut_off))
    if len({one.kind for one in found}) < len(found):
        raise ConfigError(f"{path}.documents: there is one document of a kind at the most")
    shares = told.get("shares", False)
    if not isinstance(shares, bool):
        raise ConfigError(f"{path}.shares must be true or false")
    if shares and not any(one.kind is Kind.TENANTS for one in found):
        raise ConfigError(f"{path}.shares needs a document of kind tenants: it has the allowances")
    return ReplicatedConfigSettings(tuple(found), within, shares), lease


def _members(raw: Table, nodes: Mapping[str, Address], voters: tuple[str, ...]) -> MembershipConfig | None:
    if "members" not in raw:
        return None
    from marlstep.membership.detector_settings import DetectorSettings
    from marlstep.membership.records import MAX_NAME_LENGTH
    from marlstep.membership.roster_controller import RosterSettings

    path = "fleet.members"
    told = table(raw, "members", path)
    known(told, path, ("period_ms", "answer_ms", "probation_ms", "guard", "zone", "seeds"))
    period = whole(told, "period_ms", f"{path}.period_ms", 100, 60_000, 500)
    answer = whole(told, "answer_ms", f"{path}.answer_ms", 10, 20_000, 150)
    if answer * 3 > period:
        raise ConfigError(
            f"{path}.answer_ms must be at most a third of period_ms: others are asked in the rest"
        )
    probation = whole(told, "probation_ms", f"{path}.probation_ms", 0, 600_000, 2_000)
    seeds = tuple(words(told, "seeds", f"{path}.seeds")) if "seeds" in told else voters
    for one in seeds:
        if one not in nodes:
            raise ConfigError(f"{path}.seeds: {one} is not in fleet.nodes")
    for one in nodes:
        if len(one) > MAX_NAME_LENGTH:
            raise ConfigError(
                f"fleet.nodes.{one[:80]}: with {path} a node's name has {MAX_NAME_LENGTH} characters at most"
            )
    zone = word(told, "zone", f"{path}.zone") if "zone" in told else ""
    if len(zone) > MAX_NAME_LENGTH:
        raise ConfigError(f"{path}.zone has {MAX_NAME_LENGTH} characters at the most")
    guard = number(told, "guard", f"{path}.guard", 0.05, 1.0, 0.3)
    return MembershipConfig(
        DetectorSettings(probe_interval=period * MILLISECOND, probe_timeout=answer * MILLISECOND),
        RosterSettings(probation=probation * MILLISECOND, max_failed_share=guard),
        zone,
        seeds,
    )


def _key(raw: Table) -> bytes:
    path = word(raw, "key_file", "fleet.key_file")
    try:
        key = Path(path).read_bytes().strip()
    except OSError as fault:
        raise ConfigError(f"fleet.key_file: {path} can't be read: {fault.strerror}") from fault
    if len(key) < LEAST_KEY:
        raise ConfigError(f"fleet.key_file: {path} must hold at least {LEAST_KEY} bytes")
    return key


def _tasks(raw: Table, classes: Mapping[str, bool], uwsgi: bool, term: timedelta) -> tuple[TaskConfig, ...]:
    rows = table(raw, "tasks", "fleet.tasks", {})
    if rows and not uwsgi:
        raise ConfigError("fleet.tasks needs [uwsgi]: a task is a request to its servers")
    return tuple(_task(rows, name, classes, term) for name in rows)


def _task(rows: Table, name: str, classes: Mapping[str, bool], term: timedelta) -> TaskConfig:
    from marlstep.scheduled_tasks.runner import TaskPlan
    from marlstep.scheduled_tasks.schedule import MissedRunPolicy, Schedule

    path = f"fleet.tasks.{name}"
    row = table(rows, name, path)
    known(row, path, TASK_KEYS)
    if len(name) > 100 or not name.isprintable():
        raise ConfigError(f"{path}: a task's name has 100 characters at the most")
    kind = word(row, "class", f"{path}.class")
    if kind not in classes:
        raise ConfigError(f"{path}.class must be one of {', '.join(sorted(classes))}")
    if ("every_ms" in row) == ("at" in row):
        raise ConfigError(f"{path} must have either every_ms or at")
    every, at = DAY, ZERO
    if "at" in row:
        at = _time_of_day(word(row, "at", f"{path}.at"), f"{path}.at")
    else:
        every = whole(row, "every_ms", f"{path}.every_ms", 100, 86_400_000) * MILLISECOND
    longest = whole(row, "longest_ms", f"{path}.longest_ms", 10, 600_000, 1_000) * MILLISECOND
    if longest > term / 2:
        raise ConfigError(
            f"{path}.longest_ms must be at most half of fleet.term_ms: an act has to end within it"
        )
    try:
        missed = MissedRunPolicy(word(row, "missed", f"{path}.missed", "skip"))
    except ValueError as fault:
        raise ConfigError(f"{path}.missed must be skip or once") from fault
    variables = table(row, "vars", f"{path}.vars", {})
    for key, value in variables.items():
        if not isinstance(value, str):
            raise ConfigError(f"{path}.vars.{key} must be text")
    plan = TaskPlan(name, Schedule(every, at, missed), kind, classes[kind], longest)
    return TaskConfig(plan, {key: str(value) for key, value in variables.items()})


def _time_of_day(text: str, path: str) -> timedelta:
    hours, _, minutes = text.partition(":")
    if not (hours.isdigit() and minutes.isdigit() and int(hours) < 24 and int(minutes) < 60):
        raise ConfigError(f"{path} must be a time of day in UTC, as 03:30")
    return int(hours) * 3_600 * SECOND + int(minutes) * 60 * SECOND
