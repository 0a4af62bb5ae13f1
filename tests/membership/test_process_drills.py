"""Membership and quotas of clusters of processes on the loopback interface."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
from pathlib import Path
from typing import Any

import pytest

from marlstep.cli.drill import run_membership_plan
from marlstep.cli.main import call
from marlstep.fault_injection.document_drill import ListServers
from marlstep.fault_injection.faults import Fault
from marlstep.fault_injection.network_links import Ports
from marlstep.fault_injection.plan import Plan
from marlstep.fault_injection.process_cluster import ProcessCluster, Settings
from marlstep.frontends.uwsgi_wire import write_packet
from marlstep.membership.quota_table import FULL_QUOTA
from tests.membership.support import NODES

ROOT = Path(__file__).parent.parent.parent

CONFIG = ROOT / "deploy" / "node.json"


def test_processes_share_an_allowance_by_demand(tmp_path: Path) -> None:
    """A tenant sends to one node, and to another after the first is killed: each gets most of the allowance in turn.

    The sum of all shares stays within the allowance.
    """
    rules: dict[str, dict[str, Any]] = {"tenants": {"kind": "tenants"}}
    ports, servers = Ports(), ListServers()
    polls: list[dict[str, int]] = []

    async def drill() -> tuple[float, float]:
        await servers.open(ports)
        pool = (f"127.0.0.1:{servers.ports[0]}",)
        config = json.loads(CONFIG.read_text("utf-8"))
        settings = Settings(config, tasks={}, pool=pool, rules=rules, tenants={"riad": 40.0})
        async with ProcessCluster(
            Plan(63, NODES[:5], NODES[:3], 0, (1.0,) * 5, ()), settings, tmp_path
        ) as cluster:

            async def send_request(name: str) -> None:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection("127.0.0.1", cluster.nodes[name].uwsgi)
                    headers = {"HTTP_X_CLASS": "temp-history", "HTTP_X_TENANT": "riad", "CONTENT_LENGTH": "0"}
                    headers |= {"HTTP_X_NODE": name, "HTTP_X_SENT": "0"}
                    writer.write(write_packet(headers))
                    await reader.read(1_000)
                    writer.close()

            async def await_share(name: str, expected_share: float) -> float:
                for _ in range(400):
                    shares = {}
                    for polled_name, node in cluster.nodes.items():
                        with contextlib.suppress(OSError, ValueError):
                            status = await node.call("/v1/fleet/rules")
                            shares[polled_name] = status["parts"].get("riad", 0) if status["lease_ms"] else 0
                    polls.append(shares)
                    if shares.get(name, 0) >= expected_share * FULL_QUOTA:
                        break
                    await asyncio.gather(*(send_request(name) for _ in range(3)), asyncio.sleep(0.05))
                return polls[-1].get(name, 0) / FULL_QUOTA

            first = await await_share("n4", 0.9)
            cluster.nodes["n4"].signal(signal.SIGKILL)
            return first, await await_share("n5", 0.9)

    first, second = asyncio.run(drill())
    servers.close()
    ports.close()
    assert first >= 0.9 and second >= 0.9
    # Nodes are polled one after another, so a share that moves during a poll may be counted twice.
    assert sum(sum(shares.values()) > 1.02 * FULL_QUOTA for shares in polls) <= len(polls) / 4


PLANS = {
    "killed, stopped, cut off, drained": Plan(
        60, NODES, NODES[:3], 16_000, (1.0,) * 12,
        (
            Fault(4_000, 3_000, "kill", "n5"), Fault(4_500, 4_000, "stop", "n9"), Fault(5_000, 5_000, "isolate", "n2"),
            Fault(6_000, 3_000, "mute", "n12"), Fault(7_000, 1_000, "drain", "n7"),
            Fault(9_000, 3_000, "split", "n3", "n4"),
        ),
    ),
    "all restart, and the leader is upgraded": Plan(
        61, NODES, NODES[:3], 14_000, (1.0,) * 12,
        (Fault(4_000, 0, "restart all", "n1"), Fault(9_000, 0, "upgrade", "@leader")),
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", PLANS)
def test_processes_converge_after_faults(name: str) -> None:
    result = run_membership_plan((PLANS[name], str(CONFIG), "", ""))
    result.pop("plan", None)
    assert result["verdict"] == "held", result
    assert result["acts"] > 10 and result["situations"] > 12 and not result["wrongly_removed"]


def test_the_drill_detects_effects_that_a_partition_state_forbids() -> None:
    """A mutation makes nodes ignore their partition state, and the holder of the first lease is isolated."""
    plan = Plan(64, NODES[:5], NODES[:3], 11_000, (1.0,) * 5, (Fault(3_000, 7_000, "isolate", "@holder"),))
    result = run_membership_plan((plan, str(CONFIG), "", "acts-in-any-situation"))
    assert result["verdict"] == "broken" and result["forbidden_acts"], result["situations"]


def test_operators_list_remove_readmit_and_confirm_members(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    settings = Settings(json.loads(CONFIG.read_text("utf-8")), members=True)

    async def drill() -> None:
        async with ProcessCluster(
            Plan(62, NODES[:5], NODES[:3], 0, (1.0,) * 5, ()), settings, tmp_path
        ) as cluster:
            operator = str(cluster.nodes["n1"].folder / "operator.toml")

            async def run_command(*arguments: str) -> int:
                return await asyncio.to_thread(call, ["fleet", *arguments, "--operator", operator])

            async def await_members(expected: set[str]) -> None:
                for _ in range(200):
                    status = await cluster.nodes["n1"].call("/v1/fleet/members")
                    if {row["node"] for row in status["members"] if row["agreed"]} == expected:
                        return
                    await asyncio.sleep(0.1)
                raise AssertionError(status)

            await await_members(set(NODES[:5]))
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_sender:
                for invalid_datagram in (
                    b"",
                    b"x",
                    b"MSD1" + b"\0" * 40,
                    b"MSD1" + (9).to_bytes(4, "big") * 9,
                    b"\xff" * 1_400,
                ):
                    unknown_sender.sendto(invalid_datagram, ("127.0.0.1", cluster.nodes["n1"].fleet))
            assert await run_command("remove", "n5", "--why", "its disk is replaced") == 0
            await await_members(set(NODES[:4]))
            assert await run_command("readmit", "n5") == 0
            await await_members(set(NODES[:5]))
            assert await run_command("believe", "n4") == 0 and await run_command("remove", "nobody") == 2
            for command in (["members"], ["members", "--json"], ["situation"], ["situation", "--json"]):
                assert await run_command(*command) == 0
            status = await cluster.nodes["n1"].call("/v1/fleet")
            assert status["lines"]["corrupt datagrams"] >= 4

    asyncio.run(drill())
    out = capsys.readouterr().out
    assert "all well" in out and "belongs" in out and "alive" in out
