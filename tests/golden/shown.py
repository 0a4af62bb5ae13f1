"""All that operators are shown as JSON by a node with every part, without sockets and on a clock moved by hand."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest.mock import patch

from marlstep.admin.api import AdminApi
from marlstep.admin.http import HttpRequest
from marlstep.admission.events import Outcome
from marlstep.cli.main import call
from marlstep.cluster import wire
from marlstep.components.admin import AdminComponent
from marlstep.components.health_endpoint import HealthEndpointComponent
from marlstep.membership.messages import Ack
from marlstep.membership.partition_state import PartitionObservation
from marlstep.membership.records import MemberRecord, MemberState
from marlstep.replicated_config.documents import canonical_json
from tests.golden.commands import NODES, Running, acked_by_all, at_stage, leave_open, members, put
from tests.golden.everything import KEY, TOKEN, counted_names
from tests.golden.files import read_golden
from tests.golden.world import Process, World, make_world
from tests.support.node import SETTINGS, CoreDriver

GETS = (
    "health", "counters", "tenants", "tenants/riad", "parts", "fleet", "fleet/leases", "fleet/log", "fleet/members",
    "fleet/situation", "fleet/rules", "fleet/rules/settings", "fleet/rules/tenants", "fleet/rules/servers",
    "fleet/asked",
)  # fmt: skip
SERVERS = {"main": ["127.0.0.1:1", "127.0.0.1:2"], "more": ["127.0.0.1:4"]}


class Shown:
    """A node that votes and follows, in the midst of what goes on in its fleet."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.world: World = make_world(folder)
        self.admin = self._part(AdminComponent).service
        self.door = self._part(HealthEndpointComponent).service

    def _part(self, kind: type[Any]) -> Any:
        return next(part for part in self.world.node.components.values() if isinstance(part, kind))

    def serve(self, method: str, path: str, told: Any = None) -> tuple[int, Any]:
        """As the administration would write it and a client would read it."""
        body = b"" if told is None else json.dumps(told).encode()
        status, found = self.admin.serve(HttpRequest(method, path, b"Bearer " + TOKEN.encode(), body))
        return status, found if isinstance(found, bytes) else json.loads(json.dumps(found))

    def live(self) -> None:
        """The course of a few seconds, which leaves something in every table."""
        world = self.world
        rules = world.fleet.config_driver
        assert rules is not None
        for node in NODES:
            process = Process(node, wants=(f"rules/{node}/b1", "task/sweep", "task/nightly"))
            world.processes[process.holder] = process
        world.pass_time(2_000)
        world.fleet.replica_driver.replica = world.voter
        members(world)
        self._heard_of()
        contents: dict[str, object] = {
            "settings": SETTINGS,
            "tenants": {"tenants": {"riad": {"share": 0.5, "allowance_per_s": 20.0}}},
            "servers": {**SERVERS, "main": [*SERVERS["main"], "127.0.0.1:3"]},
        }
        for name, content in contents.items():
            rules.put(name, canonical_json(content), 0, "n6", "first")
            world.pass_time(500)
            acked_by_all(world, name)
        put(world, "settings", SETTINGS, 1)
        world.order("fleet/rules/withdraw", {"doc": "settings", "version": 2})
        running = Running(world, "sweep", safe=True)
        running.gained()
        running.one()
        world.pass_time(1_000)

    def _heard_of(self) -> None:
        """The detector hears of others, and the node's situation changes."""
        world = self.world
        part = world.fleet.membership
        assert part is not None
        now = world.clock.now()
        for number, state in enumerate(
            (MemberState.ALIVE, MemberState.SUSPECT, MemberState.FAILED, MemberState.LEFT), 2
        ):
            by = "n2" if state in (MemberState.SUSPECT, MemberState.FAILED) else ""
            told = MemberRecord(f"n{number}", "b1", 5, 0, state, f"127.0.0.1:{7000 + number}", "z", by)
            part.detector.receive(
                now, MemberRecord("n2", "b1", 5, 0, MemberState.ALIVE, "127.0.0.1:7002", "z"), Ack(0, (told,))
            )
        some = frozenset({"n1", "n2"})
        for _ in range(2):
            part.partition.observe(now, PartitionObservation(True, some, some, some, frozenset(), True, True))
            world.pass_time(3_000)
            now = world.clock.now()
        world.fleet.context.record_event("something changed", "as a test says so")

    def open_changes(self) -> None:
        leave_open(self.world)
        self.world.pass_time(500)

    def fixed(self) -> None:
        """An operator puts a version in force here alone."""
        world = self.world
        assert self.serve("POST", "/v1/fleet/rules/fix", {"doc": "servers", "content": SERVERS})[0] == 202
        world.pass_time(500)

    def strangers(self) -> None:
        """What comes from strangers is counted."""
        members, framing = self.world.fleet.membership, wire.datagram_framing(KEY.encode())
        assert members is not None
        members.handle_datagram(b"junk")
        members.handle_datagram(framing.write(wire.write_datagram("another", members.detector.local, Ack(0))))
        members.handle_datagram(framing.write(wire.write_datagram("golden", members.detector.local, Ack(0))))

    def metrics(self) -> str:
        status, told = self.serve("GET", "/v1/metrics")
        assert status == 200 and isinstance(told, bytes)
        return told.decode()


def pages(folder: Path) -> dict[str, Any]:
    """Each page of the administration and of the door, and each answer to an order."""

    async def course() -> dict[str, Any]:
        with counted_names():
            shown = Shown(folder)
            found: dict[str, list[Any]] = {}

            def look() -> None:
                for path in GETS:
                    status, told = shown.serve("GET", f"/v1/{path}")
                    assert status == 200
                    found.setdefault(f"GET /v1/{path}", []).append(told)

            look()
            shown.live()
            look()
            shown.open_changes()
            look()
            shown.fixed()
            look()
            for path, told in orders():
                status, answer = shown.serve("POST", f"/v1/fleet/{path}", told)
                assert status == 202, path
                found[f"POST /v1/fleet/{path}"] = [answer]
                shown.world.pass_time(200)
            look()
            allowed = {"allowance_per_s": 7.0}
            found["PUT /v1/tenants/riad"] = [shown.serve("PUT", "/v1/tenants/riad", allowed)[1]]
            for method, path in (("GET", "health"), ("POST", "quiesce"), ("POST", "resume")):
                told = shown.door.serve(HttpRequest(method, f"/admin/{path}", b"", b""))[1]
                found[f"{method} /admin/{path}"] = [json.loads(json.dumps(told))]
            for path, told in counted().items():
                found[path].append(told)
            found["POST /v1/drain"] = [shown.serve("POST", "/v1/drain")[1]]
            return found

    return asyncio.run(course())


def orders() -> Iterator[tuple[str, dict[str, Any]]]:
    yield "rules/part", {"upload": "u", "offset": 0, "data": "{}"}
    yield "rules/put", {"doc": "settings", "upload": "u", "digest": "0", "expect": 9}
    yield "rules/get", {"doc": "settings"}
    yield "rules/go", {"doc": "settings", "version": 9}
    yield "rules/withdraw", {"doc": "settings", "version": 9, "why": "x"}
    yield "rules/standings", {}
    yield "rules/fix", {"doc": "servers", "content": SERVERS}
    yield "rules/unfix", {"doc": "servers"}
    yield "members/remove", {"node": "nobody", "why": "x"}
    yield "members/readmit", {"node": "n5"}
    yield "members/believe", {"nodes": ["n5"]}


def counted() -> dict[str, Any]:
    """The pages that count requests, after some that came to each end that is cheap to have."""
    realms = [{"name": "riad", "portion": 0.5, "allowancePerS": 2.0}]
    driver = CoreDriver(cores=1, realms=realms, overShareWorth=0.1)
    admin = AdminApi(driver.core, driver.clock.timeline, TOKEN, lambda: None)
    driver.core.backend_ready()
    for number in range(1, 4):
        driver.submit(number, tenant="riad")
    driver.end(1)
    driver.end(2, Outcome.ERROR)
    driver.submit(9, late_ms=60_000, tenant="riad")
    driver.core.call_needed("r3", b"ask")
    driver.core.client_disconnected(driver.submit(8, tenant="riad"))
    driver.core.accepts_work = lambda: False
    driver.submit(7, tenant="riad")
    driver.clock.advance(60_000)
    paths = ("/v1/counters", "/v1/tenants")
    return {
        f"GET {path}": admin.serve(HttpRequest("GET", path, b"Bearer " + TOKEN.encode(), b""))[1]
        for path in paths
    }


# The command line, whose calls go to the node without a socket.


class Answer:
    def __init__(self, status: int, body: bytes) -> None:
        self.status, self._body = status, body

    def read(self) -> bytes:
        return self._body


class Connection:
    """In the place of the standard library's: each call is served at once, and time passes."""

    shown: Shown

    def __init__(self, host: str, port: int, timeout: float) -> None:
        self._answer = Answer(500, b"")

    def request(self, method: str, path: str, body: str | None, headers: dict[str, str]) -> None:
        self.shown.world.pass_time(50)
        told = None if body is None else json.loads(body)
        status, found = self.shown.serve(method, path, told)
        self.shown.world.pass_time(50)
        self._answer = Answer(status, json.dumps(found).encode())

    def getresponse(self) -> Answer:
        return self._answer


def commands(folder: Path) -> dict[str, Any]:
    """What each command of `fleet` and `rules` prints as JSON."""

    async def course() -> dict[str, Any]:
        with counted_names(), patch("http.client.HTTPConnection", Connection):
            Connection.shown = shown = Shown(folder)
            shown.live()
            where = ["--admin", "127.0.0.1:1", "--token-file", str(folder / "token"), "--json"]
            found = {}
            for words in lines(folder):
                found[" ".join(words)] = printed([*words, *where])
            at_stage(shown.world, "servers", SERVERS, 2, nodes=["n2"])
            acked_by_all(shown.world, "servers")
            for words in (["rules", "log", "servers"], ["rules", "go", "servers", "5"]):
                found[" ".join(words)] = printed([*words, *where])
            return {name.replace(str(folder), "FOLDER"): told for name, told in found.items()}

    return asyncio.run(course())


def printed(words: list[str]) -> Any:
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        call(words)
    return json.loads(out.getvalue())


ROOT = Path(__file__).parent.parent.parent
PLATFORM = ["--config", str(ROOT / "deploy" / "node.json")]
DRILL = ["--virtual", "--seeds", "1", "--jobs", "1", "--json"]


def other_commands(folder: Path) -> dict[str, Any]:
    """What commands print as JSON that ask no running node."""
    (folder / "key").write_text(KEY)
    operator = folder / "n1.toml"
    operator.write_text(
        f'[fleet]\nname = "f"\nvoters = ["n1"]\nkey_file = "{folder}/key"\nstore = "{folder}/store"\n'
        '[fleet.nodes]\nn1 = "127.0.0.1:7001"\n'
    )
    wrong = folder / "wrong.toml"
    wrong.write_text("colour = 1\n")
    with contextlib.redirect_stdout(io.StringIO()):
        assert call(["fleet", "init", *PLATFORM, "--operator", str(operator)]) == 0
    trace = str(ROOT / "examples" / "traces" / "google-2011.csv")
    return {
        "config check": printed(["config", "check", *PLATFORM, "--operator", str(operator), "--json"]),
        "config check, alone": printed(["config", "check", *PLATFORM, "--json"]),
        "config check, wrong": printed(["config", "check", *PLATFORM, "--operator", str(wrong), "--json"]),
        "fleet recover": printed(
            ["fleet", "recover", *PLATFORM, "--operator", str(operator), "--epoch", "2", "--yes"]
        ),
        "trace inspect": printed(["trace", "inspect", "--format", "google-2011", "--json", trace]),
        "drill leases": printed(["drill", "leases", "--nodes", "3", "--for", "4s", *DRILL]),
        "drill rules": printed(["drill", "rules", "--nodes", "3", "--for", "8s", *DRILL]),
        "drill members": printed(["drill", "members", "--nodes", "5", "--for", "8s", *DRILL]),
    }


def metrics(folder: Path) -> str:
    """The page of all figures, of a node that has seen some of everything."""

    async def course() -> str:
        with counted_names():
            shown = Shown(folder)
            shown.live()
            shown.strangers()
            return shown.metrics()

    return asyncio.run(course())


def every_counter(folder: Path) -> str:
    """The same, after every counter that the figures of a node know has counted."""
    keys = read_golden("counters.json")

    async def course() -> str:
        with counted_names():
            shown = Shown(folder)
            shown.live()
            fleet = shown.world.fleet
            fleet.context.counts.update(dict.fromkeys(keys["fleet"], 1))
            fleet.router.transport.counts.update(dict.fromkeys(keys["lines"], 1))
            shown.world.node.core.counts.update(dict.fromkeys(keys["core"], 1))
            return shown.metrics()

    return asyncio.run(course())


def lines(folder: Path) -> Iterator[list[str]]:
    new = folder / "new.json"
    new.write_text(json.dumps(SERVERS))
    yield ["fleet", "status"]
    yield ["fleet", "leases"]
    yield ["fleet", "log"]
    yield ["fleet", "members"]
    yield ["fleet", "situation"]
    yield ["fleet", "remove", "n7", "--why", "x"]
    yield ["fleet", "readmit", "n7"]
    yield ["fleet", "believe", "n5"]
    yield ["rules", "status"]
    yield ["rules", "status", "--here"]
    yield ["rules", "log", "settings"]
    yield ["rules", "get", "settings"]
    yield ["rules", "get", "settings", "--agreed"]
    yield ["rules", "diff", "servers", "1", str(new)]
    yield ["rules", "put", "servers", str(new), "--expect", "1"]
    yield ["rules", "withdraw", "servers", "2"]
    yield ["rules", "put", "servers", str(new), "--expect", "1", "--force"]
    yield ["rules", "put", "servers", str(new), "--expect", "9"]
    yield ["rules", "withdraw", "servers", "3"]
    yield ["rules", "rollback", "servers", "1", "--expect", "1"]
    yield ["rules", "withdraw", "servers", "4"]
    yield ["rules", "fix", "servers", str(new), "--yes"]
    yield ["rules", "unfix", "servers"]
