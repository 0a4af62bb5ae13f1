"""All JSON that a node with every component shows to operators, without sockets and on a manual clock."""

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
from tests.golden.commands import (
    NODES,
    LeasedTaskRunner,
    acknowledge_on_all_nodes,
    leave_changes_pending,
    members,
    put,
    put_with_rollout,
)
from tests.golden.everything import KEY, TOKEN, deterministic_tokens
from tests.golden.files import read_golden
from tests.golden.world import ClusterHarness, HeartbeatSender, make_cluster
from tests.support.node import SETTINGS, CoreDriver

GETS = (
    "health", "counters", "tenants", "tenants/riad", "parts", "fleet", "fleet/leases", "fleet/log", "fleet/members",
    "fleet/situation", "fleet/rules", "fleet/rules/settings", "fleet/rules/tenants", "fleet/rules/servers",
    "fleet/asked",
)  # fmt: skip
SERVERS = {"main": ["127.0.0.1:1", "127.0.0.1:2"], "more": ["127.0.0.1:4"]}


class AdminHarness:
    """A node that is both voter and client, in a fleet with ongoing changes, with its services for operators."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.cluster: ClusterHarness = make_cluster(folder)
        self.admin = self._part(AdminComponent).service
        self.health_endpoint = self._part(HealthEndpointComponent).service

    def _part(self, component_type: type[Any]) -> Any:
        return next(
            part for part in self.cluster.node.components.values() if isinstance(part, component_type)
        )

    def serve(self, method: str, path: str, content: Any = None) -> tuple[int, Any]:
        """Serve a request to the administration API; return the status and the body as a client decodes it."""
        body = b"" if content is None else json.dumps(content).encode()
        status, response = self.admin.serve(HttpRequest(method, path, b"Bearer " + TOKEN.encode(), body))
        return status, response if isinstance(response, bytes) else json.loads(json.dumps(response))

    def run_scenario(self) -> None:
        """Run a fixed scenario of a few seconds that leaves rows in every table."""
        cluster = self.cluster
        rules = cluster.fleet.config_driver
        assert rules is not None
        for node in NODES:
            process = HeartbeatSender(node, wanted_leases=(f"rules/{node}/b1", "task/sweep", "task/nightly"))
            cluster.processes[process.holder] = process
        cluster.pass_time(2_000)
        cluster.fleet.replica_driver.replica = cluster.voter
        members(cluster)
        self._add_member_records()
        contents: dict[str, object] = {
            "settings": SETTINGS,
            "tenants": {"tenants": {"riad": {"share": 0.5, "allowance_per_s": 20.0}}},
            "servers": {**SERVERS, "main": [*SERVERS["main"], "127.0.0.1:3"]},
        }
        for name, content in contents.items():
            rules.put(name, canonical_json(content), 0, "n6", "first")
            cluster.pass_time(500)
            acknowledge_on_all_nodes(cluster, name)
        put(cluster, "settings", SETTINGS, 1)
        cluster.run_order("fleet/rules/withdraw", {"doc": "settings", "version": 2})
        runner = LeasedTaskRunner(cluster, "sweep", safe=True)
        runner.acquire()
        runner.run_next_command()
        cluster.pass_time(1_000)

    def _add_member_records(self) -> None:
        """Let the failure detector receive records of other members, and change the node's partition state."""
        cluster = self.cluster
        part = cluster.fleet.membership
        assert part is not None
        now = cluster.clock.now()
        for number, state in enumerate(
            (MemberState.ALIVE, MemberState.SUSPECT, MemberState.FAILED, MemberState.LEFT), 2
        ):
            observer = "n2" if state in (MemberState.SUSPECT, MemberState.FAILED) else ""
            record = MemberRecord(
                f"n{number}", "b1", 5, 0, state, f"127.0.0.1:{7000 + number}", "z", observer
            )
            part.detector.receive(
                now,
                MemberRecord("n2", "b1", 5, 0, MemberState.ALIVE, "127.0.0.1:7002", "z"),
                Ack(0, (record,)),
            )
        nodes = frozenset({"n1", "n2"})
        for _ in range(2):
            part.partition.observe(
                now, PartitionObservation(True, nodes, nodes, nodes, frozenset(), True, True)
            )
            cluster.pass_time(3_000)
            now = cluster.clock.now()
        cluster.fleet.context.record_event("something changed", "as a test says so")

    def start_changes(self) -> None:
        leave_changes_pending(self.cluster)
        self.cluster.pass_time(500)

    def pin_servers(self) -> None:
        """Pin a version of `servers` on this node alone, as an operator does."""
        cluster = self.cluster
        assert self.serve("POST", "/v1/fleet/rules/fix", {"doc": "servers", "content": SERVERS})[0] == 202
        cluster.pass_time(500)

    def receive_datagrams(self) -> None:
        """Receive datagrams that are corrupt, of another fleet, and of this fleet, so that each is counted."""
        members, framing = self.cluster.fleet.membership, wire.datagram_framing(KEY.encode())
        assert members is not None
        members.handle_datagram(b"junk")
        members.handle_datagram(framing.write(wire.write_datagram("another", members.detector.local, Ack(0))))
        members.handle_datagram(framing.write(wire.write_datagram("golden", members.detector.local, Ack(0))))

    def metrics(self) -> str:
        status, page = self.serve("GET", "/v1/metrics")
        assert status == 200 and isinstance(page, bytes)
        return page.decode()


def pages(folder: Path) -> dict[str, Any]:
    """Return each page of the administration and the health endpoint, and the response to each order.

    The pages of the administration are read at several times of the scenario.
    """

    async def collect() -> dict[str, Any]:
        with deterministic_tokens():
            harness = AdminHarness(folder)
            results: dict[str, list[Any]] = {}

            def get_pages() -> None:
                for path in GETS:
                    status, content = harness.serve("GET", f"/v1/{path}")
                    assert status == 200
                    results.setdefault(f"GET /v1/{path}", []).append(content)

            get_pages()
            harness.run_scenario()
            get_pages()
            harness.start_changes()
            get_pages()
            harness.pin_servers()
            get_pages()
            for path, content in order_requests():
                status, response = harness.serve("POST", f"/v1/fleet/{path}", content)
                assert status == 202, path
                results[f"POST /v1/fleet/{path}"] = [response]
                harness.cluster.pass_time(200)
            get_pages()
            quota = {"allowance_per_s": 7.0}
            results["PUT /v1/tenants/riad"] = [harness.serve("PUT", "/v1/tenants/riad", quota)[1]]
            for method, path in (("GET", "health"), ("POST", "quiesce"), ("POST", "resume")):
                content = harness.health_endpoint.serve(HttpRequest(method, f"/admin/{path}", b"", b""))[1]
                results[f"{method} /admin/{path}"] = [json.loads(json.dumps(content))]
            for path, content in counter_pages().items():
                results[path].append(content)
            results["POST /v1/drain"] = [harness.serve("POST", "/v1/drain")[1]]
            return results

    return asyncio.run(collect())


def order_requests() -> Iterator[tuple[str, dict[str, Any]]]:
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


def counter_pages() -> dict[str, Any]:
    """Return the pages that count requests, after requests with various outcomes."""
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


class FakeHttpResponse:
    """Replaces `http.client.HTTPResponse`."""

    def __init__(self, status: int, body: bytes) -> None:
        self.status, self._body = status, body

    def read(self) -> bytes:
        return self._body


class FakeHttpConnection:
    """Replaces `http.client.HTTPConnection`: `harness` serves each request at once, and 100 ms pass for each."""

    harness: AdminHarness

    def __init__(self, host: str, port: int, timeout: float) -> None:
        self._response = FakeHttpResponse(500, b"")

    def request(self, method: str, path: str, body: str | None, headers: dict[str, str]) -> None:
        self.harness.cluster.pass_time(50)
        content = None if body is None else json.loads(body)
        status, response = self.harness.serve(method, path, content)
        self.harness.cluster.pass_time(50)
        self._response = FakeHttpResponse(status, json.dumps(response).encode())

    def getresponse(self) -> FakeHttpResponse:
        return self._response


def commands(folder: Path) -> dict[str, Any]:
    """Return the JSON that each `fleet` and `rules` command prints."""

    async def collect() -> dict[str, Any]:
        with deterministic_tokens(), patch("http.client.HTTPConnection", FakeHttpConnection):
            FakeHttpConnection.harness = harness = AdminHarness(folder)
            harness.run_scenario()
            client_options = ["--admin", "127.0.0.1:1", "--token-file", str(folder / "token"), "--json"]
            results = {}
            for arguments in command_lines(folder):
                results[" ".join(arguments)] = run_json_command([*arguments, *client_options])
            put_with_rollout(harness.cluster, "servers", SERVERS, 2, nodes=["n2"])
            acknowledge_on_all_nodes(harness.cluster, "servers")
            for arguments in (["rules", "log", "servers"], ["rules", "go", "servers", "5"]):
                results[" ".join(arguments)] = run_json_command([*arguments, *client_options])
            return {name.replace(str(folder), "FOLDER"): output for name, output in results.items()}

    return asyncio.run(collect())


def run_json_command(arguments: list[str]) -> Any:
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        call(arguments)
    return json.loads(out.getvalue())


ROOT = Path(__file__).parent.parent.parent
PLATFORM = ["--config", str(ROOT / "deploy" / "node.json")]
DRILL = ["--virtual", "--seeds", "1", "--jobs", "1", "--json"]


def other_commands(folder: Path) -> dict[str, Any]:
    """Return the JSON that commands print which do not contact a running node."""
    (folder / "key").write_text(KEY)
    operator = folder / "n1.toml"
    operator.write_text(
        f'[fleet]\nname = "f"\nvoters = ["n1"]\nkey_file = "{folder}/key"\nstore = "{folder}/store"\n'
        '[fleet.nodes]\nn1 = "127.0.0.1:7001"\n'
    )
    invalid = folder / "wrong.toml"
    invalid.write_text("colour = 1\n")
    with contextlib.redirect_stdout(io.StringIO()):
        assert call(["fleet", "init", *PLATFORM, "--operator", str(operator)]) == 0
    trace = str(ROOT / "examples" / "traces" / "google-2011.csv")
    return {
        "config check": run_json_command(
            ["config", "check", *PLATFORM, "--operator", str(operator), "--json"]
        ),
        "config check, alone": run_json_command(["config", "check", *PLATFORM, "--json"]),
        "config check, wrong": run_json_command(
            ["config", "check", *PLATFORM, "--operator", str(invalid), "--json"]
        ),
        "fleet recover": run_json_command(
            ["fleet", "recover", *PLATFORM, "--operator", str(operator), "--epoch", "2", "--yes"]
        ),
        "trace inspect": run_json_command(["trace", "inspect", "--format", "google-2011", "--json", trace]),
        "drill leases": run_json_command(["drill", "leases", "--nodes", "3", "--for", "4s", *DRILL]),
        "drill rules": run_json_command(["drill", "rules", "--nodes", "3", "--for", "8s", *DRILL]),
        "drill members": run_json_command(["drill", "members", "--nodes", "5", "--for", "8s", *DRILL]),
    }


def metrics(folder: Path) -> str:
    """Return the metrics page of a node after the scenario and after invalid datagrams."""

    async def collect() -> str:
        with deterministic_tokens():
            harness = AdminHarness(folder)
            harness.run_scenario()
            harness.receive_datagrams()
            return harness.metrics()

    return asyncio.run(collect())


def every_counter(folder: Path) -> str:
    """Return the metrics page after every counter in `counters.json` was incremented."""
    keys = read_golden("counters.json")

    async def collect() -> str:
        with deterministic_tokens():
            harness = AdminHarness(folder)
            harness.run_scenario()
            fleet = harness.cluster.fleet
            fleet.context.counts.update(dict.fromkeys(keys["fleet"], 1))
            fleet.router.transport.counts.update(dict.fromkeys(keys["lines"], 1))
            harness.cluster.node.core.counts.update(dict.fromkeys(keys["core"], 1))
            return harness.metrics()

    return asyncio.run(collect())


def command_lines(folder: Path) -> Iterator[list[str]]:
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
