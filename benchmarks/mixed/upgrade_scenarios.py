"""Scenarios of a predecessor of one version and a successor of the other on one passed socket, under load.

The hot restart completes or is aborted, or one of the two processes is killed during it.
"""

from __future__ import annotations

import asyncio
import enum
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from benchmarks.mixed.errors import CheckFailedError
from benchmarks.mixed.front_end import FRONT_END_COUNT, wait_response
from benchmarks.mixed.http_client import JsonObject
from benchmarks.mixed.scenario import Result, run_scenario
from benchmarks.mixed.server_process import ServerProcess
from benchmarks.mixed.upgrade_site import NODE, UpgradeSite, platform_config
from benchmarks.mixed.upgrade_steps import (
    MAX_PREDECESSOR_EXIT_S,
    check_cancellation,
    check_repeats,
    check_serving_state_shared,
    check_site,
    connect,
    repeat,
    send_long_work,
    stop_load_and_node,
    wait_more_responses,
    wait_predecessor_end,
)
from benchmarks.mixed.versions import Version

SCENARIO_TIMEOUT_S = 40.0
STEP_RESPONSES = 60  # responses to wait for between two steps of a scenario
DRAIN_GRACE_US = 800_000
LONGEST_DEADLINE_US = 4_000_000
# After this time the predecessor has reclaimed the capacity of a killed successor: docs/operators/daily.md.
CAPACITY_RETURN_DELAY_S = MAX_PREDECESSOR_EXIT_S + LONGEST_DEADLINE_US / 1e6 + 0.5
READY_REPORT, NOT_READY_REPORT = f"renew {NODE} yes".encode(), f"renew {NODE} no".encode()


class KillPoint(enum.StrEnum):
    """When during the hot restart a process is killed. The values are part of the scenarios' titles."""

    BEFORE_READY = "before the successor is ready"
    BOTH_SERVE = "as both serve"
    HANDING_OVER = "as the predecessor hands over"


@dataclass(slots=True, frozen=True)
class VersionPair:
    """The versions of the two processes."""

    predecessor: Version
    successor: Version

    @property
    def name(self) -> str:
        """The direction of the upgrade, for the report."""
        return f"{self.predecessor.label} to {self.successor.label}"


async def complete_upgrade(result: Result, site: UpgradeSite, pair: VersionPair) -> float | None:
    """Complete an upgrade: no request may be lost, and no work with an effect may run twice."""
    predecessor = await site.launch(pair.predecessor)
    site.load.start()
    await wait_more_responses(site, STEP_RESPONSES)
    predecessor_connection = await connect(site)
    successor = await site.launch(pair.successor)
    await wait_more_responses(site, STEP_RESPONSES)
    await check_serving_state_shared(predecessor, successor)
    await check_cancellation(result, site, predecessor_connection)
    await wait_more_responses(site, FRONT_END_COUNT)
    report_count = len(site.reports.received)
    attempts = send_long_work(site, predecessor_connection)
    await wait_more_responses(site, FRONT_END_COUNT)
    sigterm_at = time.monotonic()
    predecessor.send_signal(signal.SIGTERM)
    await predecessor.wait_state("handing over")
    successor_connection = await connect(site)
    check_repeats(result, attempts, await repeat(successor_connection, attempts))
    await predecessor_connection.close()
    await successor_connection.close()
    await wait_predecessor_end(result, predecessor, sigterm_at)
    await wait_more_responses(site, STEP_RESPONSES)
    new_reports = site.reports.received[report_count:]
    result.check(NOT_READY_REPORT not in new_reports, "the node was reported as not ready during the upgrade")
    result.check(site.reports.received[-1:] == [READY_REPORT], "the node is not reported as ready")
    await stop_load_and_node(result, site, successor)
    return None


async def successor_terminated(result: Result, site: UpgradeSite, pair: VersionPair) -> float | None:
    """Terminate the successor while both serve: the predecessor continues, and no request may be lost."""
    predecessor = await site.launch(pair.predecessor)
    site.load.start()
    await wait_more_responses(site, STEP_RESPONSES)
    successor = await site.launch(pair.successor)
    await wait_more_responses(site, STEP_RESPONSES)
    code = await successor.terminate()
    result.check(code == 0, f"the successor exited with code {code}")
    await wait_more_responses(site, STEP_RESPONSES)
    await predecessor.wait_state("serving")
    result.check(NOT_READY_REPORT not in site.reports.received, "the node was reported as not ready")
    await stop_load_and_node(result, site, predecessor)
    return None


async def predecessor_killed(
    result: Result, site: UpgradeSite, pair: VersionPair, kill_point: KillPoint
) -> float | None:
    """Kill the predecessor: the successor continues alone."""
    predecessor = await site.launch(pair.predecessor)
    site.load.start()
    await wait_more_responses(site, STEP_RESPONSES)
    predecessor_connection = await connect(site)
    if kill_point is KillPoint.BEFORE_READY:
        successor, kernel = await site.launch_without_kernel(pair.successor)
        attempts = send_long_work(site, predecessor_connection)
        await wait_more_responses(site, FRONT_END_COUNT)
        await predecessor.kill()
        kernel.opened.set()
        await successor.wait_ready()
    else:
        successor = await site.launch(pair.successor)
        await wait_more_responses(site, STEP_RESPONSES)
        attempts = send_long_work(site, predecessor_connection)
        await wait_more_responses(site, FRONT_END_COUNT)
        if kill_point is KillPoint.HANDING_OVER:
            predecessor.send_signal(signal.SIGTERM)
            await predecessor.wait_state("handing over")
        await predecessor.kill()
    successor_connection = await connect(site)
    for second in await repeat(successor_connection, attempts):
        result.check(second.status in ("error", "later", "done"), "a repeat after the kill was not answered")
    await wait_more_responses(site, STEP_RESPONSES)
    await successor.wait_state("serving")
    await predecessor_connection.close()
    await successor_connection.close()
    await stop_load_and_node(result, site, successor)
    return predecessor.killed_at


async def successor_killed(
    result: Result, site: UpgradeSite, pair: VersionPair, kill_point: KillPoint
) -> float | None:
    """Kill the successor and complete the upgrade with a second one.

    If the first one had not accepted a connection yet, no request may be lost.
    """
    predecessor = await site.launch(pair.predecessor)
    site.load.start()
    await wait_more_responses(site, STEP_RESPONSES)
    if kill_point is KillPoint.HANDING_OVER:
        return await successor_killed_while_handing_over(result, site, pair, predecessor)
    if kill_point is KillPoint.BEFORE_READY:
        first, _ = await site.launch_without_kernel(pair.successor)
        await wait_more_responses(site, FRONT_END_COUNT)
    else:
        first = await site.launch(pair.successor)
        await wait_more_responses(site, STEP_RESPONSES)
    await first.kill()
    await asyncio.sleep(CAPACITY_RETURN_DELAY_S)
    second = await site.launch(pair.successor)
    await wait_more_responses(site, STEP_RESPONSES)
    sigterm_at = time.monotonic()
    predecessor.send_signal(signal.SIGTERM)
    await wait_predecessor_end(result, predecessor, sigterm_at)
    await wait_more_responses(site, STEP_RESPONSES)
    await second.wait_state("serving")
    result.check(site.reports.received[-1:] == [READY_REPORT], "the node is not reported as ready")
    await stop_load_and_node(result, site, second)
    return None if kill_point is KillPoint.BEFORE_READY else first.killed_at


async def successor_killed_while_handing_over(
    result: Result, site: UpgradeSite, pair: VersionPair, predecessor: ServerProcess
) -> float | None:
    """Kill the successor after the predecessor received SIGTERM, so that the predecessor drains the node.

    Requests that arrive in the grace period are still answered. The node is then started again. Like any new node it
    knows no idempotency keys of earlier work, so no key is sent again.
    """
    predecessor_connection = await connect(site)
    first = await site.launch(pair.successor)
    await wait_more_responses(site, STEP_RESPONSES)
    attempts = send_long_work(site, predecessor_connection)
    await wait_more_responses(site, FRONT_END_COUNT)
    predecessor.send_signal(signal.SIGTERM)
    await predecessor.wait_state("handing over")
    await first.kill()
    for attempt in attempts:
        await wait_response(attempt)
        result.check(attempt.status == "done", f"work in flight was answered {attempt.status or 'nothing'!r}")
    await wait_more_responses(site, FRONT_END_COUNT)
    await site.load.stop()
    code = await predecessor.wait_end()
    result.check(code == 0, f"the predecessor exited with code {code}")
    result.check(
        NOT_READY_REPORT in site.reports.received, "the node left but was never reported as not ready"
    )
    second = await site.launch(pair.successor)
    second_connection = await connect(site)
    await second_connection.close()
    await second.wait_state("serving")
    result.check(site.reports.received[-1:] == [READY_REPORT], "the node is not reported as ready")
    await stop_load_and_node(result, site, second)
    return first.killed_at


def shorten_times(config: JsonObject) -> None:
    """Shorten the grace period and the deadlines, so that the state of a lost process expires soon."""
    settings = config["settings"]
    settings["rules"]["drainGraceUs"] = DRAIN_GRACE_US
    for row in settings["classes"]:
        row["hardLimitUs"] = min(row["hardLimitUs"], LONGEST_DEADLINE_US)


# Runs on a site; returns when a process with connections was killed, in monotonic seconds, or None if none was.
Scenario = Callable[[Result, UpgradeSite, VersionPair], Awaitable[float | None]]


def scenarios_by_title() -> dict[str, Scenario]:
    """Return all scenarios by title."""
    scenarios: dict[str, Scenario] = {"complete": complete_upgrade, "aborted": successor_terminated}
    for kill_point in KillPoint:
        scenarios[f"predecessor killed {kill_point}"] = partial(predecessor_killed, kill_point=kill_point)
        scenarios[f"successor killed {kill_point}"] = partial(successor_killed, kill_point=kill_point)
    return scenarios


async def run_upgrade(
    folder: Path, pair: VersionPair, title: str, scenario: Scenario, config: JsonObject, seed: int
) -> Result:
    """Run one scenario on its own site and return the result.

    Args:
        folder: The folder for the files of the site.
        pair: The versions of the two processes.
        title: The title of the scenario.
        scenario: The scenario.
        config: The platform's configuration.
        seed: The seed of the load.
    """

    async def run_on_site(result: Result) -> None:
        async with asyncio.timeout(SCENARIO_TIMEOUT_S), UpgradeSite(folder, config, seed) as site:
            try:
                killed_at = await scenario(result, site, pair)
            except CheckFailedError as error:
                result.failures.append(str(error))
                await site.load.stop()
                killed_at = next((process.killed_at for process in site.processes if process.killed_at), None)
            check_site(result, site, killed_at)

    return await run_scenario(f"upgrade {pair.name}, {title}", run_on_site)


async def run_upgrades(folder: Path, old: Version, new: Version, seed: int) -> list[Result]:
    """Run all scenarios, first from the old to the new version, then from the new to the old one.

    Raises:
        CannotRunError: A version can't be run from its checkout.
        OSError: A file, socket or process could not be created.
    """
    config = platform_config(new.checkout)
    shorten_times(config)
    results: list[Result] = []
    for pair in (VersionPair(old, new), VersionPair(new, old)):
        for title, scenario in scenarios_by_title().items():
            scenario_folder = folder / f"upgrade-{len(results)}"
            scenario_folder.mkdir()
            results.append(
                await run_upgrade(scenario_folder, pair, title, scenario, config, seed + len(results))
            )
    return results
