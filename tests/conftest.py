"""Accepts the known failures that KNOWN-RED.txt lists, and prints the result of each listed test.

Listed tests run like all others. A line of the file has six fields separated by ` | `: the test's id, a regular
expression for the failure, the seed, the command, what was observed, and the open issue. A failure that the expression
does not match fails the run.
"""

from __future__ import annotations

import re
from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path

import pytest

LIST_PATH = Path(__file__).parents[1] / "KNOWN-RED.txt"
SEPARATOR = " | "


@dataclass(slots=True, frozen=True)
class KnownFailure:
    """One line of the list."""

    test: str
    failure: re.Pattern[str]
    seed: str
    command: str
    seen: str
    issue: str


def parse_known_failures(text: str) -> dict[str, KnownFailure]:
    """Return the listed failures by test id.

    Raises:
        TypeError: a line has fewer or more than six fields.
        ValueError: a line has no separator.
        re.error: the expression of a line is invalid.
    """
    known = {}
    for line in filter(None, text.splitlines()):
        test, failure, *rest = line.split(SEPARATOR)
        known[test] = KnownFailure(test, re.compile(failure), *rest)
    return known


KNOWN_FAILURES = parse_known_failures(LIST_PATH.read_text("utf-8")) if LIST_PATH.exists() else {}


def accept_known_failure(known: dict[str, KnownFailure], report: pytest.TestReport) -> None:
    """Mark the report of a listed failure as an expected failure. Other failures, also in setup or teardown, stay."""
    listed = known.get(report.nodeid)
    if listed and report.when == "call" and report.failed and listed.failure.search(report.longreprtext):
        report.outcome = "skipped"
        report.wasxfail = listed.issue


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.Item, None]:
    """Accept listed failures, in the process that ran the test."""
    outcome = yield
    accept_known_failure(KNOWN_FAILURES, outcome.get_result())  # type: ignore[attr-defined]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the result of each listed test."""
    for outcome in ("passed", "failed", "xfailed"):
        for report in terminalreporter.getreports(outcome):
            if report.nodeid in KNOWN_FAILURES and report.when == "call":
                shown = "failed as listed" if outcome == "xfailed" else outcome
                terminalreporter.write_line(f"known red: {report.nodeid}: {shown}")
                if outcome == "xfailed":
                    terminalreporter.write_line(report.longreprtext)
