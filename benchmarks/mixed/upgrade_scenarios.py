"""A predecessor process of one version and a successor of the other on one passed socket, under load.

The upgrade completes, is aborted, or one of the two is killed in the middle of it.
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
from benchmarks.mixed.front_end import SENDERS, wait_response
from benchmarks.mixed.http_client import JsonObject
from benchmarks.mixed.scenario import Result, run_scenario
from benchmarks.mixed.server_process import ServerProcess
from benchmarks.mixed.upgrade_site import NODE, UpgradeSite, platform_config
from benchmarks.mixed.upgrade_steps import (
    PREDECESSOR_ENDS_WITHIN_S,
    check_cancellation,
    check_repeats,
    check_serving_state_shared,
    connect,
    end_node,
    end_predecessor,
    judge_site,
    repeat,
    send_long_work,
    wait_more_responses,
)
from benchmarks.mixed.versions import Version

SCENARIO_TIMEOUT_S = 40.0
STEP_RESPONSES = 60  # between two steps of a scenario
DRAIN_GRACE_US = 800_000
LONGEST_DEADLINE_US = 4_000_000
# After which the predecessor has the capacity again that a killed successor had: docs/operators/daily.md.
CAPACITY_RETURNS_S = PREDECESSOR_ENDS_WITHIN_S + LONGEST_DEADLINE_US / 1e6 + 0.5
READY_REPORT, NOT_READY_REPORT = f"renew {NODE} yes".encode(), f"renew {NODE} no".encode()


class Moment(enum.StrEnum):
    """Where in the hot restart a process is killed."""

    BEFORE_READY = "before the successor is ready"
    BOTH_SERVE = "as both serve"
    HANDING_OVER = "as the predecessor hands over"


@dataclass(slots=True, frozen=True)
class Pair:
    """The versions of the two processes."""

    predecessor: Version
    successor: Version

    @property
    def name(self) -> str:
        """The direction of the upgrade, as the report names it."""
        return f"{self.predecessor.label} to {self.successor.label}"


async def complete_upgrade(result: Result, site: UpgradeSite, pair: Pair) -> float | None:
    """Complete an upgrade: no request is lost, and no work with an effect runs twice."""
    predecessor = await site.launch(pair.predecessor)
    site.load.start()
    await wait_more_responses(site, STEP_RESPONSES)
    at_predecessor = await connect(site)
    successor = await site.launch(pair.successor)
    await wait_more_responses(site, STEP_RESPONSES)
    await check_serving_state_shared(predecessor, successor)
    await check_cancellation(result, site, at_predecessor)
    await wait_more_responses(site, SENDERS)
    reported = len(site.reports.received)
    attempts = send_long_work(site, at_predecessor)
    await wait_more_responses(site, SENDERS)
    began = time.monotonic()
    predecessor.send_signal(signal.SIGTERM)
    await predecessor.wait_state("handing over")
    at_successor = await connect(site)
    check_repeats(result, attempts, await repeat(at_successor, attempts))
    await at_predecessor.close()
    await at_successor.close()
    await end_predecessor(result, predecessor, began)
    await wait_more_responses(site, STEP_RESPONSES)
    later = site.reports.received[reported:]
    result.check(NOT_READY_REPORT not in later, "the node was reported as not ready during the upgrade")
    result.check(site.reports.received[-1:] == [READY_REPORT], "the node is not reported as ready")
    await end_node(result, site, successor)
    return None


async def successor_terminated(result: Result, site: UpgradeSite, pair: Pair) -> float | None:
    """Abort the upgrade as both serve: the predecessor goes on, and no request is lost."""
    predecessor = await site.launch(pair.predecessor)
    site.load.start()
    await wait_more_responses(site, STEP_RESPONSES)
    successor = await site.launch(pair.successor)
    await wait_more_responses(site, STEP_RESPONSES)
    code = await successor.terminate()
    result.check(code == 0, f"the successor ended with {code}")
    await wait_more_responses(site, STEP_RESPONSES)
    await predecessor.wait_state("serving")
    result.check(NOT_READY_REPORT not in site.reports.received, "the node was reported as not ready")
    await end_node(result, site, predecessor)
    return None


async def predecessor_killed(result: Result, site: UpgradeSite, pair: Pair, moment: Moment) -> float | None:
    """Kill the predecessor: the successor goes on alone."""
    predecessor = await site.launch(pair.predecessor)
    site.load.start()
    await wait_more_responses(site, STEP_RESPONSES)
    at_predecessor = await connect(site)
    if moment is Moment.BEFORE_READY:
        successor, kernel = await site.launch_without_kernel(pair.successor)
        attempts = send_long_work(site, at_predecessor)
        await wait_more_responses(site, SENDERS)
        await predecessor.kill()
        kernel.opened.set()
        await successor.wait_ready()
    else:
        successor = await site.launch(pair.successor)
        await wait_more_responses(site, STEP_RESPONSES)
        attempts = send_long_work(site, at_predecessor)
        await wait_more_responses(site, SENDERS)
        if moment is Moment.HANDING_OVER:
            predecessor.send_signal(signal.SIGTERM)
            await predecessor.wait_state("handing over")
        await predecessor.kill()
    at_successor = await connect(site)
    for second in await repeat(at_successor, attempts):
        result.check(second.status in ("error", "later", "done"), "a repeat after the kill was not answered")
    await wait_more_responses(site, STEP_RESPONSES)
    await successor.wait_state("serving")
    await at_predecessor.close()
    await at_successor.close()
    await end_node(result, site, successor)
    return predecessor.killed_at


async def successor_killed(result: Result, site: UpgradeSite, pair: Pair, moment: Moment) -> float | None:
    """Kill the successor: the upgrade completes with a second one.

    Where the first had taken no connection yet no request may be lost.
    """
    predecessor = await site.launch(pair.predecessor)
    site.load.start()
    await wait_more_responses(site, STEP_RESPONSES)
    if moment is Moment.HANDING_OVER:
        return await successor_killed_while_handing_over(result, site, pair, predecessor)
    if moment is Moment.BEFORE_READY:
        first, _ = await site.launch_without_kernel(pair.successor)
        await wait_more_responses(site, SENDERS)
    else:
        first = await site.launch(pair.successor)
        await wait_more_responses(site, STEP_RESPONSES)
    await first.kill()
    await asyncio.sleep(CAPACITY_RETURNS_S)
    second = await site.launch(pair.successor)
    await wait_more_responses(site, STEP_RESPONSES)
    began = time.monotonic()
    predecessor.send_signal(signal.SIGTERM)
    await end_predecessor(result, predecessor, began)
    await wait_more_responses(site, STEP_RESPONSES)
    await second.wait_state("serving")
    result.check(site.reports.received[-1:] == [READY_REPORT], "the node is not reported as ready")
    await end_node(result, site, second)
    return None if moment is Moment.BEFORE_READY else first.killed_at


async def successor_killed_while_handing_over(
    result: Result, site: UpgradeSite, pair: Pair, predecessor: ServerProcess
) -> float | None:
    """Kill the successor after the predecessor's SIGTERM, which then drains the node.

    What comes in the grace period is still answered. Then the node is started anew. It knows nothing of
    earlier work, as any new node: no idempotency key is sent again.
    """
    at_predecessor = await connect(site)
    first = await site.launch(pair.successor)
    await wait_more_responses(site, STEP_RESPONSES)
    attempts = send_long_work(site, at_predecessor)
    await wait_more_responses(site, SENDERS)
    predecessor.send_signal(signal.SIGTERM)
    await predecessor.wait_state("handing over")
    await first.kill()
    for attempt in attempts:
        await wait_response(attempt)
        result.check(attempt.status == "done", f"work in flight was answered {attempt.status or 'nothing'!r}")
    await wait_more_responses(site, SENDERS)
    await site.load.stop()
    code = await predecessor.wait_end()
    result.check(code == 0, f"the predecessor ended with {code}")
    result.check(NOT_READY_REPORT in site.reports.received, "the node left and was not reported so")
    second = await site.launch(pair.successor)
    at_second = await connect(site)
    await at_second.close()
    await second.wait_state("serving")
    result.check(site.reports.received[-1:] == [READY_REPORT], "the node is not reported as ready")
    await end_node(result, site, second)
    return first.killed_at


def shorten_times(config: JsonObject) -> None:
    """Shorten grace period and deadlines, so that a lost process is over soon."""
    settings = config["settings"]
    settings["rules"]["drainGraceUs"] = DRAIN_GRACE_US
    for row in settings["classes"]:
        row["hardLimitUs"] = min(row["hardLimitUs"], LONGEST_DEADLINE_US)


# What happens on a site. Returns when a process was killed that had connections, on the monotonic clock.
Scenario = Callable[[Result, UpgradeSite, Pair], Awaitable[float | None]]


def scenarios() -> dict[str, Scenario]:
    """Return all scenarios by title."""
    found: dict[str, Scenario] = {"complete": complete_upgrade, "aborted": successor_terminated}
    for moment in Moment:
        found[f"predecessor killed {moment}"] = partial(predecessor_killed, moment=moment)
        found[f"successor killed {moment}"] = partial(successor_killed, moment=moment)
    return found


async def run_pair(
    folder: Path, pair: Pair, title: str, scenario: Scenario, config: JsonObject, seed: int
) -> Result:
    """Run one scenario on a site of its own."""

    async def body(result: Result) -> None:
        async with asyncio.timeout(SCENARIO_TIMEOUT_S), UpgradeSite(folder, config, seed) as site:
            try:
                killed_at = await scenario(result, site, pair)
            except CheckFailedError as error:
                result.failures.append(str(error))
                await site.load.stop()
                killed_at = next((process.killed_at for process in site.processes if process.killed_at), None)
            judge_site(result, site, killed_at)

    return await run_scenario(f"upgrade {pair.name}, {title}", body)


async def run_upgrades(folder: Path, old: Version, new: Version, seed: int) -> list[Result]:
    """Run all scenarios of both directions, one after the other. Raises CannotRunError, OSError."""
    config = platform_config(new.checkout)
    shorten_times(config)
    results: list[Result] = []
    for pair in (Pair(old, new), Pair(new, old)):
        for title, scenario in scenarios().items():
            place = folder / f"upgrade-{len(results)}"
            place.mkdir()
            results.append(await run_pair(place, pair, title, scenario, config, seed + len(results)))
    return results
