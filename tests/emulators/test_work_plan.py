"""The format of a work plan in a request body."""

from __future__ import annotations

import pytest

from marlstep.emulators.work_plan import WorkPlan, parse_work_plan


def test_plan_is_unchanged_after_encoding_and_parsing() -> None:
    assert parse_work_plan(WorkPlan(7, 1_000, 1).to_body()) == WorkPlan(7, 1_000, 1)


def test_body_has_the_format_that_emulators_of_other_versions_read() -> None:
    assert WorkPlan(7, 1_000, 1).to_body() == b"n=7 work=1000 calls=1"


@pytest.mark.parametrize(
    "body", [b"x", b"", b"n=7 work=1000", b"n=7 work=1000 calls=x", b"n=\xff work=1 calls=0"]
)
def test_parsing_a_body_without_a_valid_plan_returns_none(body: bytes) -> None:
    assert parse_work_plan(body) is None
