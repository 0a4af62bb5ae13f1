"""Dispatch of the controller's actions to their handlers."""

from __future__ import annotations

from typing import get_args

import pytest

from marlstep.admission.actions import Action, Fail, Run, SkipCall
from marlstep.core.interfaces import Request, ResponseStatus
from tests.support.node import CoreDriver


def test_an_action_that_raises_does_not_stop_the_other_actions_of_its_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    driver = CoreDriver()
    start = driver.backend.start

    def raise_for_first_request(request: Request) -> None:
        if request.id == "r1":
            raise OSError("out of descriptors")
        start(request)

    monkeypatch.setattr(driver.backend, "start", raise_for_first_request)
    driver.submit(1)
    driver.submit(2)
    assert driver.backend.commands == [("start", "r2")]
    driver.clock.advance(2700)
    assert driver.statuses(1) == [ResponseStatus.EXPIRED]


def test_every_type_of_action_has_one_handler() -> None:
    dispatcher = CoreDriver().core._dispatcher
    node, request = dispatcher._node_handlers.keys(), dispatcher._request_handlers.keys()
    assert node | request == set(get_args(Action)) and not node & request


def test_an_action_about_a_released_request_is_ignored() -> None:
    driver = CoreDriver()
    driver.submit(1)
    driver.end(1)
    driver.core._dispatcher.execute_all([Run("r1"), Fail("r1"), SkipCall("r1")])
    assert driver.backend.commands == [("start", "r1")] and len(driver.responses[1]) == 1
