"""Steps and checks that the upgrade scenarios share."""

from __future__ import annotations

import asyncio
import os
import time

from benchmarks.mixed.front_end import CLASS_BY_NAME, Attempt, Connection, check_record, wait_response
from benchmarks.mixed.scenario import Result
from benchmarks.mixed.server_process import ServerProcess, wait_until
from benchmarks.mixed.upgrade_site import UpgradeSite

LOAD_PROGRESS_TIMEOUT_S = 10.0
MAX_PREDECESSOR_EXIT_S = 3.7  # from SIGTERM, if a successor serves
LONG_WORK_US = 300_000  # still runs when the predecessor hands over
LONG_WORK_PER_CLASS = 3  # of each class with an effect
OVERLOAD_REQUESTS = 20  # more than the cores run at once, so that some requests are queued
CANCELLED_REQUESTS = 10  # of the overload requests, the last ones sent


async def wait_more_responses(site: UpgradeSite, count: int) -> None:
    """Wait until the load has received `count` more responses.

    Raises:
        WaitTimeoutError: It did not in time.
    """
    wanted = site.load.record.response_count + count

    async def reached() -> bool:
        return site.load.record.response_count >= wanted

    await wait_until(f"{count} more responses", reached, LOAD_PROGRESS_TIMEOUT_S)


async def connect(site: UpgradeSite) -> Connection:
    """Open a connection and wait for the response to a request on it, so that a process has accepted it."""
    connection = await Connection.open(site.load.record, site.load.port)
    await wait_response(connection.send(site.load.record.add_work_item(CLASS_BY_NAME["schedule-save"])))
    return connection


def send_long_work(site: UpgradeSite, connection: Connection) -> list[Attempt]:
    """Send work of each class with an effect that still runs when the predecessor hands over."""
    record = site.load.record
    classes = [request_class for request_class in CLASS_BY_NAME.values() if request_class.has_effect]
    work_items = [
        record.add_work_item(request_class, LONG_WORK_US)
        for request_class in classes
        for _ in range(LONG_WORK_PER_CLASS)
    ]
    return [connection.send(work) for work in work_items]


async def repeat(connection: Connection, attempts: list[Attempt]) -> list[Attempt]:
    """Repeat the work of all attempts on another connection, wait for all responses and return the repeats."""
    repeats = [connection.send(attempt.work) for attempt in attempts]
    for attempt in [*attempts, *repeats]:
        await wait_response(attempt)
    return repeats


def check_repeats(result: Result, attempts: list[Attempt], repeats: list[Attempt]) -> None:
    """Check the responses to first attempts at the predecessor and to their repeats at the successor."""
    for first, second in zip(attempts, repeats, strict=True):
        label = f"long {first.work.request_class.name} {first.work.number}"
        result.check(first.status == "done", f"{label} was answered {first.status or 'nothing'!r}")
        if first.work.request_class.shares_result:
            same = second.status == "done" and second.responses[0].body == first.responses[0].body
            result.check(same, f"the repeat of {label} did not share its result: {second.status!r}")
        else:
            result.check(second.status == "error", f"the repeat of {label} was answered {second.status!r}")


async def wait_predecessor_end(result: Result, predecessor: ServerProcess, sigterm_at: float) -> None:
    """Wait until the predecessor exits, and check its exit code and how long that took.

    Args:
        result: The result of the scenario.
        predecessor: The process.
        sigterm_at: When SIGTERM was sent to it, in monotonic seconds.

    Raises:
        StillRunningError: It did not exit in time.
    """
    code = await predecessor.wait_end()
    duration_s = time.monotonic() - sigterm_at
    result.counts["elder_gone_s"] = round(duration_s, 2)
    result.check(code == 0, f"the predecessor exited with code {code}")
    result.check(duration_s < MAX_PREDECESSOR_EXIT_S, f"the predecessor took {duration_s:.1f} s to exit")


async def stop_load_and_node(result: Result, site: UpgradeSite, last: ServerProcess) -> None:
    """Stop the load and terminate the last process.

    Check that no connection was refused and that only killed processes left their restart sockets behind.

    Raises:
        StillRunningError: The process did not exit in time.
    """
    await site.load.stop()
    result.check(site.load.record.refused_connections == 0, "the passed socket refused a connection")
    code = await last.terminate()
    result.check(code == 0, f"the last process exited with code {code}")
    socket_count = len(await asyncio.to_thread(os.listdir, site.temporary_folder))
    killed_count = sum(process.killed_at is not None for process in site.processes)
    result.check(socket_count <= killed_count, "a process that was not killed left its restart socket behind")


def check_site(result: Result, site: UpgradeSite, killed_at: float | None) -> None:
    """Check the record of the load and the logs of all processes."""
    # The first process decides on keys until it has handed over.
    keys_lost_at = site.processes[0].killed_at if site.processes else None
    verdict = check_record(site.load.record, site.count_runs(), killed_at, keys_lost_at)
    result.failures += verdict.failures
    result.counts |= verdict.counts
    result.check_processes(site.processes, site.read_logs())


async def check_serving_state_shared(predecessor: ServerProcess, successor: ServerProcess) -> None:
    """Quiesce the node at one process's health endpoint and resume it at the other's; both must report each change.

    Raises:
        WaitTimeoutError: A process did not report the state in time.
        CallFailedError: A call failed.
    """
    await predecessor.launch.health_endpoint.call("/admin/quiesce", method="POST")
    await successor.wait_state("quiesced")
    await successor.launch.health_endpoint.call("/admin/resume", method="POST")
    await predecessor.wait_state("serving")


async def check_cancellation(result: Result, site: UpgradeSite, connection: Connection) -> None:
    """Cancel requests at one process and repeat their work at any process: it may run again if it had not run."""
    record, request_class = site.load.record, CLASS_BY_NAME["meter-reading"]
    attempts = [
        connection.send(record.add_work_item(request_class, LONG_WORK_US)) for _ in range(OVERLOAD_REQUESTS)
    ]
    cancelled = attempts[-CANCELLED_REQUESTS:]
    for attempt in cancelled:
        connection.cancel(attempt)
    second_connection = await connect(site)
    repeats = [second_connection.send(attempt.work) for attempt in cancelled]
    for attempt in attempts[:-CANCELLED_REQUESTS]:
        await wait_response(attempt)
        result.check(
            attempt.status == "done", f"work under overload was answered {attempt.status or 'nothing'!r}"
        )
    for attempt in repeats:  # error if the first attempt had started: its result was dropped
        await wait_response(attempt)
        status = attempt.status
        result.check(
            status in ("done", "error"),
            f"the repeat of a cancelled request was answered {status or 'nothing'!r}",
        )
    result.check(any(attempt.status == "done" for attempt in repeats), "no repeat of a cancelled request ran")
    await second_connection.close()
