"""KNOWN-RED.txt accepts the failures that it lists, and no others."""

from __future__ import annotations

from typing import Literal

import pytest

from tests.conftest import accept_known_failure, parse_known_failures

KNOWN = parse_known_failures(
    'tests/test_a.py::test_a[b c] | "lost": | 34 | pytest | a lost answer | issue "A"\n'
)
Phase = Literal["setup", "call", "teardown"]


def report_of(test: str, when: Phase, text: str) -> pytest.TestReport:
    return pytest.TestReport(test, ("tests/test_a.py", 1, test), {}, "failed", text, when)


def test_a_listed_failure_is_accepted() -> None:
    report = report_of("tests/test_a.py::test_a[b c]", "call", 'AssertionError: {"lost": ["w1"]}')
    accept_known_failure(KNOWN, report)
    assert report.outcome == "skipped" and report.wasxfail == 'issue "A"'


@pytest.mark.parametrize(
    ("test", "when", "text"),
    [
        ("tests/test_a.py::test_a[b c]", "call", "AssertionError: another failure"),
        ("tests/test_a.py::test_a[b c]", "setup", '"lost": ["w1"]'),
        ("tests/test_a.py::test_a[d]", "call", '"lost": ["w1"]'),
    ],
)
def test_any_other_failure_stays_one(test: str, when: Phase, text: str) -> None:
    report = report_of(test, when, text)
    accept_known_failure(KNOWN, report)
    assert report.failed and not hasattr(report, "wasxfail")
