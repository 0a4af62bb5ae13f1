"""Judges the history of a soak by the rules on sockets. No I/O.

A request is owed one whole response on its connection, by its deadline, once its last byte is written. It has at most
one. Work with an effect runs at most once, and a result is that of a run. SIGTERM ends a process in time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from marlstep.fault_injection.soak.history import History, RequestRecord

# The slack of the rules: 60 ms of the settings, and 50 ms more on sockets.
RESPONSE_SLACK_US = 110_000
DONE = "done"
MAX_DESCRIPTOR_GROWTH = 8  # from the first idle process to the last


@dataclass(slots=True, frozen=True)
class Violation:
    """A rule that does not hold, and the evidence."""

    kind: str
    evidence: dict[str, Any]


@dataclass(slots=True, frozen=True)
class Limits:
    """What the node may use."""

    memory_kb: int
    descriptors: int


def check_requests(history: History) -> Iterable[Violation]:
    """Check that each request has at most one response, that it has the one it is owed, and that none is late."""
    for request in history.requests:
        if len(request.responses) > 1:
            yield Violation("answered twice", request.to_json())
        elif not request.responses:
            if request.excuse is None:
                yield Violation("lost", request.to_json())
        elif _is_late(history, request):
            yield Violation("late", request.to_json())


def _is_late(history: History, request: RequestRecord) -> bool:
    response = request.responses[0]
    due_us = request.written_us + request.deadline_us + RESPONSE_SLACK_US
    return response.at_us > due_us + history.stalled_us(request.written_us, response.at_us)


def check_runs(
    history: History,
    starts_by_incarnation: Sequence[Mapping[tuple[str, int], int]],
    effect_classes: frozenset[str],
) -> Iterable[Violation]:
    """Check that work with an effect ran at most once in an incarnation, and results are those of runs.

    Args:
        history: The record of the soak.
        starts_by_incarnation: How often each piece of work was started in each incarnation of the node, by class and
            number of the work. The rules ask for one run "within its present life".
        effect_classes: The request classes whose work has an effect.
    """
    for starts in starts_by_incarnation:
        for (request_class, work), count in starts.items():
            if request_class in effect_classes and count > 1:
                requests = [request.to_json() for request in history.requests if request.work == work]
                yield Violation("effect twice", {"work": work, "starts": count, "requests": requests})
    for request in history.requests:
        for response in request.responses:
            if response.status != DONE:
                continue
            ran = any((request.request_class, request.work) in starts for starts in starts_by_incarnation)
            if not ran or not response.body.endswith(b" %d" % request.work):
                yield Violation("result of no run", request.to_json())


def check_processes(history: History) -> Iterable[Violation]:
    """Check that SIGTERM ended each process in time with exit code 0, and that no log shows an unhandled error."""
    for process in history.processes:
        evidence = {"process": process.number, "exit_code": process.exit_code}
        if process.killed_at_stop:
            yield Violation("not ended in time", evidence)
        elif not process.killed_early and process.exit_code != 0:
            yield Violation("exit code", evidence)
        if process.log_faults:
            yield Violation("error in a log", {**evidence, "lines": process.log_faults[:20]})


def check_resources(history: History, limits: Limits) -> Iterable[Violation]:
    """Check the limits of memory and descriptors, and that the descriptors return to the level of the start."""
    for sample in history.samples:
        if sample.memory_kb > limits.memory_kb or sample.descriptors > limits.descriptors:
            yield Violation("over a limit", {"sample": repr(sample), "limits": repr(limits)})
            break
    idle = history.idle_descriptors
    if idle and idle[-1] > idle[0] + MAX_DESCRIPTOR_GROWTH:
        yield Violation("descriptors kept", {"first": idle[0], "last": idle[-1]})


def check_reports(history: History) -> Iterable[Violation]:
    """Check that the name service was not told that the node is drained while it wanted requests."""
    for at_us, word, wanted in history.reports:
        if word == "no" and wanted:
            yield Violation("name service told wrongly", {"at_us": at_us, "word": word})


def count_by_kind(violations: Iterable[Violation]) -> dict[str, int]:
    """Return the number of violations of each kind."""
    return dict(Counter(violation.kind for violation in violations))
