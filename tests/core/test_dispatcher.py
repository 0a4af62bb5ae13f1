"""The controller's actions."""

from __future__ import annotations

import pytest

from marlstep.core.interfaces import Request, ResponseStatus
from tests.support.node import Desk


def test_an_action_that_raises_stops_no_other_action_of_its_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    desk = Desk()
    start = desk.backend.start

    def fail_for_the_first(request: Request) -> None:
        if request.id == "r1":
            raise OSError("out of descriptors")
        start(request)

    monkeypatch.setattr(desk.backend, "start", fail_for_the_first)
    desk.submit(1)
    desk.submit(2)
    assert desk.backend.told == [("start", "r2")]
    desk.clock.advance(2700)
    assert desk.verdicts(1) == [ResponseStatus.EXPIRED]
