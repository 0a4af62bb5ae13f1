"""The predecessor's state machine: the effects of SIGTERM and of the end of the successor."""

from __future__ import annotations

import pytest

from marlstep.hot_restart import messages
from marlstep.hot_restart.predecessor import TRANSITIONS, Effect, Event, State, shutdown_hands_over
from marlstep.hot_restart.resource_sharing import FULL_SHARE, MIN_HANDOVER_SHARE
from marlstep.units import MILLISECOND
from tests.support.restart_pair import TERMINATION_TIMEOUT, MessagePipe, serving_pair


def test_a_predecessor_whose_successor_is_killed_after_sigterm_drains_from_then() -> None:
    pair = serving_pair()
    assert pair.predecessor.hot_restart.begin_shutdown(pair.clock.now())
    pair.kill(pair.successor)
    assert pair.predecessor.saw_successor_lost and not pair.predecessor.hot_restart.has_serving_successor
    # Runs of the killed successor may still use the cores, so its share is reclaimed later.
    assert pair.predecessor.hot_restart.sharing.limit == pytest.approx(MIN_HANDOVER_SHARE)
    pair.clock.advance(TERMINATION_TIMEOUT / MILLISECOND)
    pair.predecessor.hot_restart.tick(pair.clock.now())
    assert pair.predecessor.hot_restart.sharing.limit == FULL_SHARE


@pytest.mark.parametrize("first", ["predecessor", "successor"])
def test_a_predecessor_does_not_accept_again_if_its_successor_drains_too(first: str) -> None:
    # Guards against a predecessor that accepts connections again, for a whole grace period, when a draining successor
    # ends.
    pair = serving_pair()
    successor, predecessor = pair.successor.hot_restart, pair.predecessor.hot_restart
    if first == "predecessor":
        assert predecessor.begin_shutdown(pair.clock.now())
    assert not successor.begin_shutdown(pair.clock.now())
    pair.exchange()
    assert pair.predecessor.saw_successor_draining and not predecessor.has_serving_successor
    if first == "successor":
        assert not predecessor.begin_shutdown(pair.clock.now())  # the node drains: no successor serves
    pair.kill(pair.successor)
    assert not pair.predecessor.saw_successor_lost


def test_a_third_process_is_redirected_to_the_second() -> None:
    pair = serving_pair()
    pipe = MessagePipe()
    assert not pair.predecessor.hot_restart.successor_connected(pipe, messages.Hello(3, 3), pair.clock.now())
    pipe.ring.put(bytes(pipe.data))
    hello = messages.read(pipe.ring)
    assert isinstance(hello, messages.Hello) and hello.successor_generation == 2 and not hello.measurements


@pytest.mark.parametrize("state", State)
def test_sigterm_hands_over_only_while_a_successor_or_its_own_successor_accepts_connections(
    state: State,
) -> None:
    serves_elsewhere = state in (State.SUCCESSOR_ACCEPTING, State.SUCCESSOR_REPLACED)
    assert shutdown_hands_over(state) is serves_elsewhere
    transition = TRANSITIONS[state][Event.SHUTDOWN_REQUESTED]
    assert transition.next_state is state and transition.effect is (
        Effect.HAND_OVER if serves_elsewhere else Effect.DRAIN
    )


@pytest.mark.parametrize("state", [state for state in State if state is not State.NO_SUCCESSOR])
def test_capacity_of_a_lost_successor_is_reclaimed_and_its_loss_reported_unless_it_was_draining(
    state: State,
) -> None:
    transition = TRANSITIONS[state][Event.SUCCESSOR_LOST]
    was_draining = state in (State.SUCCESSOR_REPLACED, State.SUCCESSOR_DRAINING)
    assert transition.next_state is State.NO_SUCCESSOR
    assert transition.effect is (
        Effect.RECLAIM_CAPACITY if was_draining else Effect.RECLAIM_CAPACITY_AND_REPORT_LOSS
    )


@pytest.mark.parametrize("state", [state for state in State if state is not State.NO_SUCCESSOR])
def test_a_successor_that_is_ready_is_acknowledged_in_every_state(state: State) -> None:
    transition = TRANSITIONS[state][Event.SUCCESSOR_READY]
    assert transition.effect is Effect.ACKNOWLEDGE and shutdown_hands_over(transition.next_state)


def test_without_a_successor_only_a_connection_and_sigterm_have_a_transition() -> None:
    assert set(TRANSITIONS[State.NO_SUCCESSOR]) == {Event.SUCCESSOR_CONNECTED, Event.SHUTDOWN_REQUESTED}
