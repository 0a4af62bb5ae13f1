"""Rejections at intake."""

from __future__ import annotations

import pytest

from marlstep.core.errors import RequestRejectedError
from tests.support.node import CoreDriver


def test_an_unknown_class_and_an_id_in_flight_are_rejected_at_intake() -> None:
    driver = CoreDriver()
    with pytest.raises(RequestRejectedError):
        driver.submit(1, "no-such")
    driver.submit(2)
    with pytest.raises(RequestRejectedError):
        driver.submit(2)
    assert driver.core.unanswered == 1
