"""Operators' commands on a cluster of real processes, and its handling of foreign frames."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from pathlib import Path

import pytest

from marlstep.cli.main import call
from marlstep.cluster import wire
from marlstep.consensus.messages import RequestVote
from marlstep.fault_injection.process_cluster import ProcessCluster, Settings
from marlstep.net.framing import Framing, keyed
from tests.cluster.support import CONFIG, make_plan


def test_operator_commands_succeed_and_foreign_frames_are_counted_without_effect(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Frames that no node of the cluster has sent are dropped and counted, and do not change its state."""
    settings = Settings(json.loads(CONFIG.read_text("utf-8")))

    async def drill() -> None:
        async with ProcessCluster(make_plan(21, 2_000), settings, tmp_path) as rig:
            await rig.run()
            port = rig.nodes["n1"].fleet
            before = await rig.nodes["n1"].call("/v1/fleet")
            key = (rig.folder / "key").read_bytes()
            await asyncio.to_thread(send_foreign_frames, port, key, before["group"])
            await asyncio.sleep(0.3)
            after = await rig.nodes["n1"].call("/v1/fleet")
            assert after["voter"]["term"] == before["voter"]["term"]
            assert after["lines"]["corrupt"] >= 4 and after["lines"]["another fleet"] >= 1
            assert after["lines"]["another group"] >= 1
            operator = str(rig.nodes["n1"].folder / "operator.toml")
            for command in ("status", "leases", "log"):
                for extra in ([], ["--json"]):
                    arguments = ["fleet", command, "--operator", operator, *extra]
                    assert await asyncio.to_thread(call, arguments) == 0
            metrics = await asyncio.to_thread(fetch, rig.nodes["n1"].admin, "/v1/metrics", rig.token)
            assert b"# TYPE marlstep_fleet_term gauge" in metrics
            assert b"marlstep_fleet_line_corrupt_total" in metrics

    asyncio.run(drill())
    out = capsys.readouterr().out
    assert "of fleet drill" in out and "task/sweep" in out and "leader is" in out


def fetch(port: int, path: str, token: str) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=3) as connection:
        connection.sendall(f"GET {path} HTTP/1.1\r\nAuthorization: Bearer {token}\r\n\r\n".encode())
        return b"".join(iter(lambda: connection.recv(65536), b""))


def send_foreign_frames(port: int, key: bytes, group: str) -> None:
    request = RequestVote(999, False, True, 999, 999)
    valid = wire.write_envelope(wire.Envelope("drill", group, "n2#x", "n1", request))
    frames = [
        wire.stream_framing(b"k" * 32).write(valid),  # another key
        Framing(b"MSF9", 1 << 16, keyed(key)).write(valid),  # another version
        b"GET / HTTP/1.1\r\n\r\n",
        b"\0" * 4096,
        b"MSF1" + (3 << 30).to_bytes(4, "big") + b"\0" * 64,  # announces a frame of 3 GB
        wire.stream_framing(key).write(
            wire.write_envelope(wire.Envelope("other", group, "n2#x", "n1", request))
        ),
        wire.stream_framing(key).write(
            wire.write_envelope(wire.Envelope("drill", "1.feedbeef", "n2#x", "n1", request))
        ),
        wire.stream_framing(key).write(b'["drill", 1, 2]'),
        wire.stream_framing(key).write(valid)[:-3],  # truncated
    ]
    for frame in frames:
        with (
            socket.create_connection(("127.0.0.1", port), timeout=3) as connection,
            contextlib.suppress(OSError),
        ):
            connection.sendall(frame)
            connection.shutdown(socket.SHUT_WR)
            connection.recv(100)
