"""Plays the script of one soak, and judges what happened."""

from __future__ import annotations

import asyncio
import random
import tempfile
from pathlib import Path
from typing import Any

from marlstep.fault_injection.effect_recorder import clock_us
from marlstep.fault_injection.soak import checks
from marlstep.fault_injection.soak.clients import (
    Crowd,
    RequestClass,
    Traffic,
    run_resp_client,
    run_uwsgi_client,
)
from marlstep.fault_injection.soak.history import History
from marlstep.fault_injection.soak.platform import (
    DESCRIPTORS,
    KEY_WINDOW_US,
    MEMORY_MB,
    SoakPlatform,
)
from marlstep.fault_injection.soak.script import Script
from marlstep.fault_injection.soak.steps import ProcessNotReadyError, Soak

RESP_CLIENTS, UWSGI_CLIENTS = 12, 4
# Front ends open connections up to half of the descriptors; 24 are left for the clients.
CROWD_SIZE = DESCRIPTORS // 2 - 24
SAMPLE_INTERVAL_S = 0.2
STALL_POLL_S, STALL_US = 0.01, 20_000
LAST_RESPONSES_S = 14.0


async def _watch_stalls(history: History) -> None:
    """Record when this event loop ran late, so that its own lateness is not taken for the node's."""
    while True:
        before = clock_us()
        await asyncio.sleep(STALL_POLL_S)
        late_us = clock_us() - before - round(STALL_POLL_S * 1e6)
        if late_us > STALL_US:
            history.stalls.append((clock_us(), late_us))


async def _sample_resources(platform: SoakPlatform) -> None:
    while True:
        platform.sample()
        await asyncio.sleep(SAMPLE_INTERVAL_S)


async def _end_clients(traffic: Traffic, clients: list[asyncio.Task[None]]) -> None:
    """Let the clients end; those that still wait for a response after `LAST_RESPONSES_S` get none."""
    traffic.stopped.set()
    traffic.may_connect.set()
    await asyncio.wait(clients, timeout=LAST_RESPONSES_S)
    for client in clients:
        client.cancel()


async def run_soak(
    script: Script, config: dict[str, Any], mutation: str = "", logs: Path | None = None
) -> dict[str, Any]:
    """Play a script, and return its report; `broken` lists the rules that did not hold.

    Args:
        script: What happens.
        config: The node's configuration, as JSON.
        mutation: Name of a planted fault of `mutated_node`; empty for none.
        logs: Folder to which the logs of the node's processes are copied; None to drop them.

    Raises:
        OSError: A port, a file or a process could not be opened.
    """
    history = History()
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        platform = SoakPlatform(Path(folder), config, history, script.has_operator_file, mutation)
        classes = _request_classes(platform)
        traffic = Traffic(history, classes, platform.port, platform.uwsgi_port, KEY_WINDOW_US // 2)
        watchers: list[asyncio.Task[Any]] = []
        try:
            await platform.open()
            watchers = [
                asyncio.create_task(_watch_stalls(history)),
                asyncio.create_task(_sample_resources(platform)),
            ]
            not_played = await _play(script, platform, traffic)
        finally:
            for watcher in watchers:
                watcher.cancel()
            await platform.close()
            for process in platform.processes:
                process.finish(logs)
        return _report(script, platform, history, not_played, classes)


def _request_classes(platform: SoakPlatform) -> list[RequestClass]:
    return [
        RequestClass(row["name"], row["hardLimitUs"], row["semantics"] != "idempotent")
        for row in platform.config["settings"]["classes"]
    ]


async def _play(script: Script, platform: SoakPlatform, traffic: Traffic) -> str:
    """Run the clients and the steps; return why the script could not be played to its end, empty if it was."""
    clients = _start_clients(script, traffic)
    soak = Soak(script, platform, traffic)
    try:
        await soak.play()
        await _end_clients(traffic, clients)
        await soak.finish()
    except ProcessNotReadyError as error:
        return str(error)
    return ""


def _start_clients(script: Script, traffic: Traffic) -> list[asyncio.Task[None]]:
    chance = random.Random(f"soak clients {script.seed}")
    clients = [run_resp_client(traffic, random.Random(chance.random())) for _ in range(RESP_CLIENTS)]
    if script.has_operator_file:
        clients += [run_uwsgi_client(traffic, random.Random(chance.random())) for _ in range(UWSGI_CLIENTS)]
    if script.has_crowd:
        clients.append(Crowd(traffic, CROWD_SIZE, random.Random(chance.random())).run())
    return [asyncio.create_task(client) for client in clients]


def _report(
    script: Script, platform: SoakPlatform, history: History, not_played: str, classes: list[RequestClass]
) -> dict[str, Any]:
    effect_classes = frozenset(item.name for item in classes if item.has_key)
    violations = [
        *checks.check_requests(history),
        *checks.check_runs(history, platform.starts_by_incarnation(), effect_classes),
        *checks.check_processes(history),
        *checks.check_resources(history, checks.Limits(MEMORY_MB * 1024, DESCRIPTORS)),
        *checks.check_reports(history),
    ]
    if not_played:
        violations.append(checks.Violation("not ready", {"what": not_played}))
    broken = [{"kind": item.kind, **item.evidence} for item in violations]
    return {
        "seed": script.seed,
        "requests": sum(bool(request.written_us) for request in history.requests),
        "upgrades": history.upgrades,
        "kills": history.kills,
        "excused": sum(
            1
            for request in history.requests
            if request.excuse and request.written_us and not request.responses
        ),
        "by_kind": checks.count_by_kind(violations),
        "broken": broken,
        "events": history.events if broken else [],
    }
