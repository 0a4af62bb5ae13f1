"""Tests of making, retrying and skipping downstream calls."""

from __future__ import annotations

from marlstep.admission.actions import Call
from marlstep.admission.events import CallEnded, CallNeeded, Outcome, PortionChanged, SettingsChanged
from marlstep.admission.settings import Downstream, Effect
from tests.support.helpers import MS, START, ControllerDriver, request_class


def test_a_call_that_can_be_skipped_is_skipped_in_time_for_the_objective() -> None:
    server = ControllerDriver(
        classes=(request_class("low", makes_calls=True, skipped_call_factor=0.5),),
        dependency=Downstream.SHARED,
        mean_calls_in_flight=4.0,
    )
    server.arrive("a")
    server.step(CallNeeded("a"))
    [call] = server.actions_of(Call)
    assert call.until_us < START + 2_000 * MS
    assert server.step(CallEnded("a", Outcome.TIMEOUT, 1_900 * MS), after_ms=1950) == [("SkipCall", "a")]


def test_while_calls_are_slow_only_one_is_made_at_a_time_and_others_are_skipped() -> None:
    server = ControllerDriver(
        classes=(request_class("low", makes_calls=True, skipped_call_factor=0.5),),
        dependency=Downstream.SHARED,
        mean_calls_in_flight=4.0,
    )
    for index in range(10):
        server.arrive(f"r{index}")
        server.step(CallNeeded(f"r{index}"))
        server.step(CallEnded(f"r{index}", Outcome.OK, 1_500 * MS))
        server.end(f"r{index}")
    server.arrive("a")
    server.arrive("b")
    assert server.step(CallNeeded("a")) == [("Call", "a")]
    assert server.step(CallNeeded("b"), after_ms=1) == [("SkipCall", "b")]


def test_a_call_is_abandoned_early_only_if_it_can_be_retried() -> None:
    # Guards against lost replies: without a timeout, a run waited until only a response without the call was possible.
    low, unsafe = (
        request_class("low", makes_calls=True, skipped_call_factor=0.5),
        request_class("set", effect=Effect.AT_MOST_ONCE),
    )
    server = ControllerDriver(classes=(low, unsafe))
    server.arrive("a")
    server.arrive("b", "set")
    server.step(CallNeeded("a"), CallNeeded("b"))
    again, once = (call.until_us for call in sorted(server.actions_of(Call), key=lambda call: call.id))
    assert again < START + 1_500 * MS < once
    server.step(CallEnded("a", Outcome.TIMEOUT, again - START), after_ms=(again - START) / MS)
    assert server.tick(after_ms=100) == [("Call", "a")]


def test_a_call_that_never_ran_is_attempted_again_with_growing_backoff() -> None:
    server = ControllerDriver(classes=(request_class("set", effect=Effect.AT_MOST_ONCE, makes_calls=True),))
    server.arrive("a", "set")
    assert server.step(CallNeeded("a")) == [("Call", "a")]
    waits = []
    for _ in range(5):
        server.step(CallEnded("a", Outcome.CONNECT_FAILED, 0))
        since = server.now
        while ("Call", "a") not in server.tick(after_ms=5):
            pass
        waits.append(server.now - since)
    assert waits == sorted(waits) and waits[-1] > 10 * waits[0]
    assert server.step(CallEnded("a", Outcome.CONNECT_FAILED, 0)) == [("Fail", "a")]


def test_the_call_reserve_follows_the_portion_of_this_process_and_new_settings() -> None:
    # Guards against an upgrade in which both processes have the whole server's reserve of call time.
    server = ControllerDriver(dependency=Downstream.SHARED, mean_calls_in_flight=10.0)
    reserve = server.controller.state.call_reserve
    whole_rate, whole_us = reserve.rate, reserve.capacity_us
    server.step(PortionChanged(0.25))
    assert (reserve.rate, reserve.capacity_us) == (whole_rate / 4, whole_us / 4)
    server.step(SettingsChanged(server.settings))
    assert (reserve.rate, reserve.capacity_us) == (whole_rate / 4, whole_us / 4)
    available_us = reserve.available_us
    server.step(PortionChanged(1.0))
    assert (reserve.rate, reserve.capacity_us) == (whole_rate, whole_us)
    assert reserve.available_us == available_us
