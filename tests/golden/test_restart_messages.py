"""Messages between two processes of a node keep their bytes when classes and fields are renamed."""

from __future__ import annotations

from typing import get_args

import pytest

from marlstep.admission.events import Measurements
from marlstep.hot_restart import messages
from tests.golden import checks
from tests.golden.conversation import classes_of, tags_of
from tests.golden.restart_messages import CONVERSATION, MEASUREMENTS, MESSAGES
from tests.support.alternate_settings import RespDriver

each_message = pytest.mark.parametrize("name", checks.names(CONVERSATION))


def test_every_message_has_a_golden_entry() -> None:
    classes, sample_classes = classes_of(messages.CODEC), {type(message) for message in MESSAGES.values()}
    assert classes == set(get_args(messages.Message))
    checks.check_coverage(CONVERSATION, classes, tags_of(messages.CODEC), sample_classes)


@each_message
def test_an_unknown_key_is_refused(name: str) -> None:
    checks.check_refused(CONVERSATION, checks.with_unknown_key(CONVERSATION, name))


def test_an_integer_is_accepted_as_a_capacity_share() -> None:
    assert checks.read_json(CONVERSATION, ["Give", {"share": 1}]) == messages.CapacityGrant(capacity_share=1)


def test_measurements_are_handed_over_under_the_stored_keys() -> None:
    core = RespDriver().core
    assert list(core.measurements()) == list(MEASUREMENTS)
    assert Measurements.from_mapping(MEASUREMENTS) == Measurements(
        limit=12.5,
        least_run_us=900.0,
        usual_call_us=9000.0,
        mean_call_us=9500.0,
        mean_run_us={"temp-history": 300000.0},
    )
