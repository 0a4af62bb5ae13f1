"""An elder process of one version and a younger of the other on one passed socket, under load.

The upgrade goes through, is called off, or one of the two is killed in the middle of it.
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
from typing import Any

from benchmarks.mixed.front_end import SENDERS, wait_answer
from benchmarks.mixed.scenario import Result, run_scenario
from benchmarks.mixed.server_process import ServerProcess
from benchmarks.mixed.upgrade_site import NODE, UpgradeSite, platform_config
from benchmarks.mixed.upgrade_steps import (
    ELDER_ENDS_WITHIN_S,
    check_duty_crosses,
    check_repeats,
    check_taken_back,
    connect,
    end_elder,
    end_node,
    judge_site,
    more_answers,
    repeat,
    send_long_work,
)
from benchmarks.mixed.versions import CheckFailed, Version

SCENARIO_TIMEOUT_S = 40.0
STEP_ANSWERS = 60  # between two steps of a scenario
DRAIN_GRACE_US = 800_000
LONGEST_DEADLINE_US = 4_000_000
# After which the elder has the room again that a killed younger process had: docs/operators/daily.md.
ROOM_RETURNS_S = ELDER_ENDS_WITHIN_S + LONGEST_DEADLINE_US / 1e6 + 0.5
STILL_WANTED, NOT_WANTED = f"renew {NODE} yes".encode(), f"renew {NODE} no".encode()


class Moment(enum.StrEnum):
    """Where in the handover a process is killed."""

    BEFORE_READY = "before the younger is ready"
    BOTH_SERVE = "as both serve"
    HANDING_OVER = "as the elder hands over"


@dataclass(slots=True, frozen=True)
class Pair:
    elder: Version
    younger: Version

    @property
    def name(self) -> str:
        return f"{self.elder.label} to {self.younger.label}"


async def complete_upgrade(result: Result, site: UpgradeSite, pair: Pair) -> float | None:
    elder = await site.launch(pair.elder)
    site.load.start()
    await more_answers(site, STEP_ANSWERS)
    at_elder = await connect(site)
    younger = await site.launch(pair.younger)
    await more_answers(site, STEP_ANSWERS)
    await check_duty_crosses(elder, younger)
    await check_taken_back(result, site, at_elder)
    await more_answers(site, SENDERS)
    reported = len(site.reports.received)
    tries = send_long_work(site, at_elder)
    await more_answers(site, SENDERS)
    began = time.monotonic()
    elder.send_signal(signal.SIGTERM)
    await elder.wait_state("handing over")
    at_younger = await connect(site)
    check_repeats(result, tries, await repeat(at_younger, tries))
    await at_elder.close()
    await at_younger.close()
    await end_elder(result, elder, began)
    await more_answers(site, STEP_ANSWERS)
    later = site.reports.received[reported:]
    result.check(NOT_WANTED not in later, "the node was reported as not wanted during the upgrade")
    result.check(site.reports.received[-1:] == [STILL_WANTED], "the node is not reported as wanted")
    await end_node(result, site, younger)
    return None


async def younger_told_to_leave(result: Result, site: UpgradeSite, pair: Pair) -> float | None:
    """The upgrade is called off as both serve: the elder goes on, and no request is lost."""
    elder = await site.launch(pair.elder)
    site.load.start()
    await more_answers(site, STEP_ANSWERS)
    younger = await site.launch(pair.younger)
    await more_answers(site, STEP_ANSWERS)
    code = await younger.terminate()
    result.check(code == 0, f"the younger ended with {code}")
    await more_answers(site, STEP_ANSWERS)
    await elder.wait_state("serving")
    result.check(NOT_WANTED not in site.reports.received, "the node was reported as not wanted")
    await end_node(result, site, elder)
    return None


async def elder_killed(result: Result, site: UpgradeSite, pair: Pair, moment: Moment) -> float | None:
    """The younger goes on alone."""
    elder = await site.launch(pair.elder)
    site.load.start()
    await more_answers(site, STEP_ANSWERS)
    at_elder = await connect(site)
    if moment is Moment.BEFORE_READY:
        younger, kernel = await site.launch_without_kernel(pair.younger)
        tries = send_long_work(site, at_elder)
        await more_answers(site, SENDERS)
        await elder.kill()
        kernel.opened.set()
        await younger.wait_ready()
    else:
        younger = await site.launch(pair.younger)
        await more_answers(site, STEP_ANSWERS)
        tries = send_long_work(site, at_elder)
        await more_answers(site, SENDERS)
        if moment is Moment.HANDING_OVER:
            elder.send_signal(signal.SIGTERM)
            await elder.wait_state("handing over")
        await elder.kill()
    at_younger = await connect(site)
    for one in await repeat(at_younger, tries):
        result.check(one.word in ("error", "later", "done"), "a repeat after the kill was not answered")
    await more_answers(site, STEP_ANSWERS)
    await younger.wait_state("serving")
    await at_elder.close()
    await at_younger.close()
    await end_node(result, site, younger)
    return elder.killed_at


async def younger_killed(result: Result, site: UpgradeSite, pair: Pair, moment: Moment) -> float | None:
    """The upgrade goes through with a second younger process.

    Where the first had taken no connection yet no request may be lost.
    """
    elder = await site.launch(pair.elder)
    site.load.start()
    await more_answers(site, STEP_ANSWERS)
    if moment is Moment.HANDING_OVER:
        return await younger_killed_while_handing_over(result, site, pair, elder)
    if moment is Moment.BEFORE_READY:
        first, _ = await site.launch_without_kernel(pair.younger)
        await more_answers(site, SENDERS)
    else:
        first = await site.launch(pair.younger)
        await more_answers(site, STEP_ANSWERS)
    await first.kill()
    await asyncio.sleep(ROOM_RETURNS_S)
    second = await site.launch(pair.younger)
    await more_answers(site, STEP_ANSWERS)
    began = time.monotonic()
    elder.send_signal(signal.SIGTERM)
    await end_elder(result, elder, began)
    await more_answers(site, STEP_ANSWERS)
    await second.wait_state("serving")
    result.check(site.reports.received[-1:] == [STILL_WANTED], "the node is not reported as wanted")
    await end_node(result, site, second)
    return None if moment is Moment.BEFORE_READY else first.killed_at


async def younger_killed_while_handing_over(
    result: Result, site: UpgradeSite, pair: Pair, elder: ServerProcess
) -> float | None:
    """The elder's SIGTERM is the notice to leave from then on: what comes in the grace is still answered.

    Then the node is started anew. It knows nothing of work before, as any node that comes: no name is sent again.
    """
    at_elder = await connect(site)
    first = await site.launch(pair.younger)
    await more_answers(site, STEP_ANSWERS)
    tries = send_long_work(site, at_elder)
    await more_answers(site, SENDERS)
    elder.send_signal(signal.SIGTERM)
    await elder.wait_state("handing over")
    await first.kill()
    for one in tries:
        await wait_answer(one)
        result.check(one.word == "done", f"work in hand was answered {one.word or 'nothing'!r}")
    await more_answers(site, SENDERS)
    await site.load.stop()
    code = await elder.wait_end()
    result.check(code == 0, f"the elder ended with {code}")
    result.check(NOT_WANTED in site.reports.received, "the node left and was not reported so")
    second = await site.launch(pair.younger)
    at_second = await connect(site)
    await at_second.close()
    await second.wait_state("serving")
    result.check(site.reports.received[-1:] == [STILL_WANTED], "the node is not reported as wanted")
    await end_node(result, site, second)
    return first.killed_at


def shorten_times(config: dict[str, Any]) -> None:
    """So that a lost process is over soon."""
    settings = config["settings"]
    settings["rules"]["drainGraceUs"] = DRAIN_GRACE_US
    for row in settings["classes"]:
        row["hardLimitUs"] = min(row["hardLimitUs"], LONGEST_DEADLINE_US)


# What happens on a site; gives when a process was killed that had connections.
Scenario = Callable[[Result, UpgradeSite, Pair], Awaitable[float | None]]


def scenarios() -> dict[str, Scenario]:
    found: dict[str, Scenario] = {"complete": complete_upgrade, "called off": younger_told_to_leave}
    for moment in Moment:
        found[f"elder killed {moment}"] = partial(elder_killed, moment=moment)
        found[f"younger killed {moment}"] = partial(younger_killed, moment=moment)
    return found


async def run_pair(
    folder: Path, pair: Pair, what: str, scenario: Scenario, config: dict[str, Any], seed: int
) -> Result:
    """One scenario on a site of its own."""

    async def body(result: Result) -> None:
        async with asyncio.timeout(SCENARIO_TIMEOUT_S), UpgradeSite(folder, config, seed) as site:
            try:
                killed_at = await scenario(result, site, pair)
            except CheckFailed as fault:
                result.failures.append(str(fault))
                await site.load.stop()
                killed_at = next((one.killed_at for one in site.processes if one.killed_at), None)
            judge_site(result, site, killed_at)

    return await run_scenario(f"upgrade {pair.name}, {what}", body)


async def run_upgrades(folder: Path, old: Version, new: Version, seed: int) -> list[Result]:
    """All scenarios of both directions, one after the other."""
    config = platform_config(new.checkout)
    shorten_times(config)
    results: list[Result] = []
    for pair in (Pair(old, new), Pair(new, old)):
        for what, scenario in scenarios().items():
            place = folder / f"upgrade-{len(results)}"
            place.mkdir()
            results.append(await run_pair(place, pair, what, scenario, config, seed + len(results)))
    return results
