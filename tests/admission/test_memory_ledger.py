"""Tests of the memory limits."""

from __future__ import annotations

from marlstep.admission.controller_state import ControllerState
from marlstep.admission.memory_ledger import MAX_MEMORY_FRACTION, MAX_QUEUE_MEMORY_FRACTION, MemoryLedger
from tests.admission.entries import queued_entry
from tests.support import helpers
from tests.support.helpers import KEYED, START

MEMORY_KB = 1_000.0
KEY_KB = 5.0


def ledger() -> MemoryLedger:
    return MemoryLedger(ControllerState(helpers.settings(memory_kb=MEMORY_KB, idempotency_key_kb=KEY_KB)))


def test_a_start_fits_up_to_a_fraction_of_the_memory() -> None:
    assert ledger().fits(MAX_MEMORY_FRACTION * MEMORY_KB)
    assert not ledger().fits(MAX_MEMORY_FRACTION * MEMORY_KB + 1)


def test_a_request_could_run_if_its_running_memory_fits_alone() -> None:
    factor = helpers.settings().running_memory_factor
    assert ledger().could_ever_run(queued_entry(memory_kb=MAX_MEMORY_FRACTION * MEMORY_KB / factor))
    assert not ledger().could_ever_run(queued_entry(memory_kb=MEMORY_KB / factor))


def test_the_queue_limit_leaves_room_for_a_key_unless_the_arrival_takes_one_over() -> None:
    limit_kb = MAX_QUEUE_MEMORY_FRACTION * MEMORY_KB
    with_key, without_key = queued_entry(KEYED, key_kept_until=START + 1), queued_entry(KEYED)
    assert ledger().queue_limit_kb(queued_entry(), None) == limit_kb
    assert ledger().queue_limit_kb(queued_entry(KEYED), None) == limit_kb - KEY_KB
    assert ledger().queue_limit_kb(queued_entry(KEYED), without_key) == limit_kb - KEY_KB
    assert ledger().queue_limit_kb(queued_entry(KEYED), with_key) == limit_kb
