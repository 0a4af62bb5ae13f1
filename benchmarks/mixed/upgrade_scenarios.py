"""An elder process of one version and a younger of the other on one passed socket, under load.

Either the upgrade goes through, or one of the two is killed in the middle of it.
"""

from __future__ import annotations

import asyncio
import enum
import signal
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.mixed.front_end import CLASS_BY_NAME, SENDERS, Connection, Try, judge, wait_answer
from benchmarks.mixed.scenario import Result, run_scenario
from benchmarks.mixed.server_process import ServerProcess, wait_until
from benchmarks.mixed.upgrade_site import NODE, UpgradeSite, platform_config
from benchmarks.mixed.versions import CheckFailed, Version

SCENARIO_TIMEOUT_S = 40.0
ANSWERS_WITHIN_S = 10.0
STEP_ANSWERS = 60  # between two steps of a scenario
ELDER_ENDS_WITHIN_S = 3.7  # from SIGTERM, where a successor serves
LONG_WORK_US = 300_000  # still runs when the elder hands over
LONG_WORKS = 3  # of each class with an effect
DRAIN_GRACE_US = 800_000
LONGEST_DEADLINE_US = 4_000_000
# After which the elder has the room again that a killed younger process had: docs/operators/daily.md.
ROOM_RETURNS_S = ELDER_ENDS_WITHIN_S + LONGEST_DEADLINE_US / 1e6 + 0.5
STILL_WANTED, NOT_WANTED = f"renew {NODE} yes".encode(), f"renew {NODE} no".encode()


class Victim(enum.StrEnum):
    ELDER = "elder"
    YOUNGER = "younger"


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


async def more_answers(site: UpgradeSite, count: int) -> None:
    wanted = site.load.record.answer_count + count

    async def reached() -> bool:
        return site.load.record.answer_count >= wanted

    await wait_until(f"{count} more answers", reached, ANSWERS_WITHIN_S)


async def connect(site: UpgradeSite) -> Connection:
    """A connection that a process has taken: it has answered a request."""
    connection = await Connection.open(site.load.record, site.load.port)
    await wait_answer(connection.send(site.load.record.new_work(CLASS_BY_NAME["schedule-save"])))
    return connection


def send_long_work(site: UpgradeSite, connection: Connection) -> list[Try]:
    record = site.load.record
    kinds = [kind for kind in CLASS_BY_NAME.values() if kind.has_effect]
    works = [record.new_work(kind, LONG_WORK_US) for kind in kinds for _ in range(LONG_WORKS)]
    return [connection.send(work) for work in works]


async def repeat(connection: Connection, tries: list[Try]) -> list[Try]:
    """The same work once more, elsewhere; returns when all of it is answered."""
    repeats = [connection.send(one.work) for one in tries]
    for one in [*tries, *repeats]:
        await wait_answer(one)
    return repeats


def check_repeats(result: Result, tries: list[Try], repeats: list[Try]) -> None:
    """The first tries ran at the elder; what came back at the younger must say so."""
    for first, second in zip(tries, repeats, strict=True):
        what = f"long {first.work.kind.name} {first.work.number}"
        result.check(first.word == "done", f"{what} was answered {first.word or 'nothing'!r}")
        if first.work.kind.shares_result:
            same = second.word == "done" and second.answers[0].body == first.answers[0].body
            result.check(same, f"the repeat of {what} did not share its result: {second.word!r}")
        else:
            result.check(second.word == "error", f"the repeat of {what} was answered {second.word!r}")


async def end_elder(result: Result, elder: ServerProcess, began: float) -> None:
    code = await elder.wait_end()
    took = time.monotonic() - began
    result.counts["elder_gone_s"] = round(took, 2)
    result.check(code == 0, f"the elder ended with {code}")
    result.check(took < ELDER_ENDS_WITHIN_S, f"the elder took {took:.1f} s to end")


async def end_node(result: Result, site: UpgradeSite, last: ServerProcess) -> None:
    """The load stops, the last process is told to leave, and all that was seen is judged."""
    await site.load.stop()
    result.check(site.load.record.no_connection == 0, "the passed socket refused a connection")
    code = await last.terminate()
    result.check(code == 0, f"the last process ended with {code}")
    left = len(list(site.meeting_folder.iterdir()))
    killed = sum(process.killed_at is not None for process in site.processes)
    result.check(left <= killed, "a process that was not killed left its meeting socket behind")


def judge_site(result: Result, site: UpgradeSite, killed_at: float | None) -> None:
    verdict = judge(site.load.record, site.runs(), killed_at)
    result.failures += verdict.failures
    result.counts |= verdict.counts
    result.check_processes(site.processes, site.logs())


async def check_duty_crosses(elder: ServerProcess, younger: ServerProcess) -> None:
    """Quiesced at one door and resumed at the other: both say the same."""
    await elder.launch.door.call("/admin/quiesce", method="POST")
    await younger.wait_state("quiesced")
    await younger.launch.door.call("/admin/resume", method="POST")
    await elder.wait_state("serving")


async def complete_upgrade(result: Result, site: UpgradeSite, pair: Pair) -> None:
    elder = await site.launch(pair.elder)
    site.load.start()
    await more_answers(site, STEP_ANSWERS)
    at_elder = await connect(site)
    younger = await site.launch(pair.younger)
    await more_answers(site, STEP_ANSWERS)
    await check_duty_crosses(elder, younger)
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


async def elder_killed(result: Result, site: UpgradeSite, pair: Pair, moment: Moment) -> float:
    """The younger goes on alone; when the elder was killed."""
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
    assert elder.killed_at is not None
    return elder.killed_at


async def younger_killed(result: Result, site: UpgradeSite, pair: Pair, moment: Moment) -> float | None:
    """The upgrade goes through with a second younger process; when the first was killed.

    None where the first had taken no connection yet: then no request may be lost.
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


async def run_pair(
    folder: Path, pair: Pair, checkout: Path, seed: int, killed: tuple[Victim, Moment] | None
) -> Result:
    """One scenario on a site of its own."""
    config = platform_config(checkout)
    shorten_times(config)

    async def body(result: Result) -> None:
        async with asyncio.timeout(SCENARIO_TIMEOUT_S), UpgradeSite(folder, config, seed) as site:
            killed_at = None
            try:
                if killed is None:
                    await complete_upgrade(result, site, pair)
                elif killed[0] is Victim.ELDER:
                    killed_at = await elder_killed(result, site, pair, killed[1])
                else:
                    killed_at = await younger_killed(result, site, pair, killed[1])
            except CheckFailed as fault:
                result.failures.append(str(fault))
                await site.load.stop()
                killed_at = next((one.killed_at for one in site.processes if one.killed_at), None)
            judge_site(result, site, killed_at)

    what = "complete" if killed is None else f"{killed[0]} killed {killed[1]}"
    return await run_scenario(f"upgrade {pair.name}, {what}", body)


async def run_upgrades(folder: Path, old: Version, new: Version, seed: int) -> list[Result]:
    """All scenarios of both directions, one after the other."""
    kills = [(victim, moment) for victim in Victim for moment in Moment]
    results: list[Result] = []
    for pair in (Pair(old, new), Pair(new, old)):
        for killed in (None, *kills):
            place = folder / f"upgrade-{len(results)}"
            place.mkdir()
            results.append(await run_pair(place, pair, new.checkout, seed + len(results), killed))
    return results
