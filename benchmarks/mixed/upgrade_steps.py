"""Steps that the scenarios of an upgrade have in common, and their checks."""

from __future__ import annotations

import time

from benchmarks.mixed.front_end import CLASS_BY_NAME, Connection, Try, judge, wait_answer
from benchmarks.mixed.scenario import Result
from benchmarks.mixed.server_process import ServerProcess, wait_until
from benchmarks.mixed.upgrade_site import UpgradeSite

ANSWERS_WITHIN_S = 10.0
ELDER_ENDS_WITHIN_S = 3.7  # from SIGTERM, where a successor serves
LONG_WORK_US = 300_000  # still runs when the elder hands over
LONG_WORKS = 3  # of each class with an effect
CROWD = 20  # more work than the cores take at once: the rest is held
TAKEN_BACK = 10  # of it


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


async def check_taken_back(result: Result, site: UpgradeSite, connection: Connection) -> None:
    """Work is taken back at one process before it runs: it may be sent again, and to any process."""
    record, kind = site.load.record, CLASS_BY_NAME["meter-reading"]
    tries = [connection.send(record.new_work(kind, LONG_WORK_US)) for _ in range(CROWD)]
    taken_back = tries[-TAKEN_BACK:]
    for one in taken_back:
        connection.take_back(one)
    again = await connect(site)
    repeats = [again.send(one.work) for one in taken_back]
    for one in tries[:-TAKEN_BACK]:
        await wait_answer(one)
        result.check(one.word == "done", f"work in a crowd was answered {one.word or 'nothing'!r}")
    for one in repeats:  # an error where the first try had begun: its result was given up with it
        await wait_answer(one)
        result.check(one.word in ("done", "error"), f"after a take-back came {one.word or 'nothing'!r}")
    result.check(any(one.word == "done" for one in repeats), "no work that was taken back ran later")
    await again.close()
