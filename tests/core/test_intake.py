"""Rejections at intake."""

from __future__ import annotations

import pytest

from marlstep.core.errors import RequestRejectedError
from tests.support.node import Desk


def test_an_unknown_class_and_an_id_in_flight_are_rejected_at_intake() -> None:
    desk = Desk()
    with pytest.raises(RequestRejectedError):
        desk.submit(1, "no-such")
    desk.submit(2)
    with pytest.raises(RequestRejectedError):
        desk.submit(2)
    assert desk.core.unanswered == 1
