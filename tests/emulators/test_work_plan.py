"""The format of a work plan in a request body."""

from __future__ import annotations

import pytest

from marlstep.emulators.work_plan import WorkPlan, parse_work_plan


def test_plan_survives_the_body_of_a_request() -> None:
    assert parse_work_plan(WorkPlan(7, 1_000, 1).to_body()) == WorkPlan(7, 1_000, 1)


def test_body_has_the_format_that_the_emulators_of_other_versions_read() -> None:
    assert WorkPlan(7, 1_000, 1).to_body() == b"n=7 work=1000 calls=1"


@pytest.mark.parametrize(
    "body", [b"x", b"", b"n=7 work=1000", b"n=7 work=1000 calls=x", b"n=\xff work=1 calls=0"]
)
def test_body_that_holds_no_plan_gives_none(body: bytes) -> None:
    assert parse_work_plan(body) is None
