"""The evaluation of canary rollouts by the leader."""

from __future__ import annotations

from tests.replicated_config.support import Staged


def test_a_stage_goes_on_after_its_time_when_it_did_no_worse() -> None:
    one = Staged()
    assert not one.look(0, acts=False) and not one.look(1500, acts=False)
    assert not one.look(500)  # its time counts from here
    assert not one.look(1900, a=(200, 4, 0), b=(150, 3, 1), c=(100, 2, 0))
    [(goes_on, why)] = one.look(200)
    assert goes_on and "3 refused and 1 failed of 150 there, 6 refused and 0 failed of 300 elsewhere" in why


def test_a_stage_that_is_over_waits_for_who_came_meanwhile_without_a_word_in_the_log() -> None:
    one = Staged(least=0)
    one.look(0)
    one.log.join("d/1")
    assert not one.look(2_100) and not one.look(100)  # else it would be proposed at every turn
    one.log.ack("d/1")
    assert one.look(100)[0][0]


def test_a_stage_goes_back_at_once_where_it_does_worse_than_chance_explains() -> None:
    one = Staged()
    one.look(0)
    assert not one.look(100, a=(500, 5, 0), b=(60, 30, 0))  # too little was seen
    [(goes_on, why)] = one.look(100, a=(500, 5, 0), b=(60, 20, 10))
    assert not goes_on and "do worse" in why
    few = Staged(least=20)
    few.look(0)
    assert not few.look(100, a=(40, 1, 0), b=(20, 2, 0))  # 10% beside 2.5%: chance does that


def test_a_stage_goes_back_when_its_process_ends_or_nothing_is_seen_or_nobody_acts() -> None:
    one = Staged()
    one.look(0)
    one.log.gone("b/1")
    assert "b/1 has ended" in one.look(100)[0][1]
    idle = Staged()
    idle.look(0)
    assert "only 0 requests" in idle.look(2100)[0][1]
    deaf = Staged()
    deaf.look(0, acts=False)
    assert "b did not act" in deaf.look(12_100, acts=False)[0][1]
    deaf.watch.become_leader()  # who comes to lead counts anew
    assert not deaf.look(100, acts=False)
