"""At-most-once work without a key that comes again under its id, at the same process or at the other one of a node."""

from __future__ import annotations

import itertools

import pytest

from marlstep.admission.events import Outcome
from marlstep.core.errors import RepeatedWorkError
from marlstep.core.interfaces import ResponseStatus
from marlstep.core.key_memory import KEY_MEMORY
from tests.support.node import CoreDriver
from tests.support.restart_pair import ProcessPair, SimulatedProcess, serving_pair

AT_MOST_ONCE = "setpoint-cmd"


def submit(process: SimulatedProcess) -> int:
    return process.driver.submit(1, AT_MOST_ONCE, id_chosen_by_client=True)


def start_count(pair: ProcessPair) -> int:
    commands = (process.driver.backend.commands for process in (pair.predecessor, pair.successor))
    return [command for command, _ in itertools.chain(*commands)].count("start")


@pytest.mark.parametrize("ends", [False, True], ids=["runs", "has ended"])
@pytest.mark.parametrize("direction", ["to the successor", "to the predecessor", "same process"])
def test_a_request_that_comes_again_after_its_client_left_does_not_run_again(
    direction: str, ends: bool
) -> None:
    # Guards against an effect that happens twice, at one process or in an upgrade.
    pair = serving_pair()
    first, second = {
        "to the successor": (pair.predecessor, pair.successor),
        "to the predecessor": (pair.successor, pair.predecessor),
        "same process": (pair.successor, pair.successor),
    }[direction]
    handle = submit(first)
    first.driver.core.client_disconnected(handle)
    if ends:
        first.driver.end(1)
    pair.exchange()
    with pytest.raises(RepeatedWorkError):
        submit(second)
    pair.run_for(200)
    assert start_count(pair) == 1


def test_new_work_is_not_claimed_at_the_other_process() -> None:
    # Guards against work that waits for, or fails with, a process that need not be asked: its id is new.
    pair = serving_pair()
    submit(pair.successor)
    assert start_count(pair) == 1


def test_a_request_that_never_ran_may_come_again_under_its_id() -> None:
    driver = CoreDriver()
    driver.submit(1, AT_MOST_ONCE, id_chosen_by_client=True)
    driver.end(1, Outcome.NOT_STARTED)
    assert driver.statuses(1) == [ResponseStatus.REJECTED]
    driver.submit(1, AT_MOST_ONCE, id_chosen_by_client=True)
    driver.end(1)
    assert driver.statuses(1) == [ResponseStatus.REJECTED, ResponseStatus.DONE]


def test_without_memory_for_its_id_work_runs_unrecorded() -> None:
    # Guards against ids that leave no memory for the keys of other work, which would then be rejected.
    driver = CoreDriver(cores=8)
    driver.core.limit_key_memory(8 * KEY_MEMORY)
    for number in range(1, 10):
        driver.submit(number, AT_MOST_ONCE, id_chosen_by_client=True)
        driver.end(number)
    assert [driver.statuses(number) for number in range(1, 10)] == [[ResponseStatus.DONE]] * 9
    assert driver.core._key_memory.max_keys == 7 and len(driver.core.idempotency_keys) == 4
