"""Tests of replays on a simulated clock."""

from __future__ import annotations

import pytest

from marlstep.emulators.machine import Machine, count_runs
from marlstep.traces.mapping import PlannedRequest
from marlstep.traces.replay.campaign import Campaign
from marlstep.traces.replay.virtual import VirtualReplay
from marlstep.traces.retries import Retries
from tests.traces.replay.support import SETTINGS, make_campaign
from tests.traces.support import REQUEST_CLASSES


def run_virtual_replay(
    rows: list[PlannedRequest], retries: Retries, seed: int = 1
) -> tuple[Campaign, VirtualReplay]:
    senders = make_campaign(retries, nodes=2)
    machines = [Machine(SETTINGS.cores, 1.0) for _ in range(senders.nodes)]
    virtual_replay = VirtualReplay(
        SETTINGS, seed, senders, machines, ("cpu", "runq", "memory", "conns"), 20_000
    )
    virtual_replay.run(iter(rows))
    return senders, virtual_replay


@pytest.mark.parametrize("retries", list(Retries))
def test_a_virtual_replay_in_overload_answers_everything_once_and_is_deterministic(retries: Retries) -> None:
    rows = [
        PlannedRequest(
            at * 25_000, REQUEST_CLASSES[at * 7 % 3], f"t{at % 3}", 150_000 + at * 37 % 200_000, at
        )
        for at in range(240)
    ]
    reports = []
    for _ in range(2):
        senders, virtual_replay = run_virtual_replay(rows, retries)
        assert (
            senders.open == 0
            and senders.counts["twice"] == senders.counts["unknown"] == senders.counts["late_answers"] == 0
        )
        assert senders.counts["answered"] == senders.counts["sent"] >= 240
        assert sum(node.core.unanswered for node in virtual_replay.nodes) == 0
        assert count_runs((node.machine for node in virtual_replay.nodes), "setpoint-cmd").ran_twice == 0
        reports.append(senders.metrics.report())
    assert reports[0] == reports[1] and 0.3 < reports[0]["service"] < 0.95
