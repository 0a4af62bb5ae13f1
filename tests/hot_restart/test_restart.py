"""Both sides of a hot restart: arbitrary orders of events, and a connection cut at any byte."""

from __future__ import annotations

import contextlib
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from marlstep.admission.events import Outcome
from marlstep.core.errors import RequestRejectedError
from marlstep.core.interfaces import Stage
from marlstep.hot_restart.key_exchange import KeyAuthority
from marlstep.hot_restart.resource_sharing import FULL_SHARE, HALF_SHARE
from marlstep.hot_restart.timeouts import LostProcessTimeouts
from marlstep.units import MILLISECOND, SECOND
from tests.support.node import START
from tests.support.restart_pair import (
    EFFECTS,
    RETRY_WINDOW,
    TERMINATION_TIMEOUT,
    TIMEOUTS,
    ProcessPair,
    SimulatedProcess,
    serving_pair,
)


def test_after_a_process_is_lost_the_longest_timeouts_since_the_start_apply() -> None:
    # Guards against a second run of a key: the retry window in force was the one of the start, although a reload had
    # made it longer.
    pair = serving_pair()
    pair.successor.hot_restart.set_timeouts(LostProcessTimeouts(TERMINATION_TIMEOUT / 2, 3 * RETRY_WINDOW))
    pair.kill(pair.predecessor)
    pair.clock.advance(TERMINATION_TIMEOUT / MILLISECOND - 100)
    pair.successor.hot_restart.tick(pair.clock.now())
    assert pair.successor.hot_restart.sharing.limit == HALF_SHARE
    pair.clock.advance(2 * RETRY_WINDOW / MILLISECOND)
    assert pair.successor.hot_restart.key_authority(pair.clock.now()) is KeyAuthority.NOBODY
    pair.successor.hot_restart.set_timeouts(TIMEOUTS)
    pair.clock.advance(RETRY_WINDOW / MILLISECOND)
    assert pair.successor.hot_restart.key_authority(pair.clock.now()) is KeyAuthority.THIS_PROCESS


def test_a_connection_cut_at_any_byte_leaves_both_safe_and_serving() -> None:
    uncut = ProcessPair()
    for number in range(3):
        uncut.submit(uncut.predecessor, "setpoint-cmd", f"k{number}")
    uncut.connect()
    uncut.deliver_to_predecessor()
    uncut.predecessor.hot_restart.tick(uncut.clock.now())
    for cut_at in range(len(uncut.to_successor.data) + 1):
        pair = ProcessPair()
        for number in range(3):
            pair.submit(pair.predecessor, "setpoint-cmd", f"k{number}")
        pair.connect()
        pair.deliver_to_predecessor()
        pair.predecessor.hot_restart.tick(pair.clock.now())
        pair.to_successor.data = pair.to_successor.data[:cut_at]
        pair.kill(pair.predecessor)
        pair.successor.hot_restart.tick(pair.clock.now())
        assert pair.successor.driver.core.serving_state.can_serve and pair.successor.accepts_connections
        assert 0 < pair.successor.hot_restart.sharing.limit <= HALF_SHARE
        for number in range(3):
            with contextlib.suppress(RequestRejectedError):
                pair.submit(pair.successor, "setpoint-cmd", f"k{number}")
        assert not pair.successor.driver.backend.commands


# The arguments of `RandomSteps.step`.
STEPS = st.one_of(
    st.tuples(
        st.just("submit"), st.integers(0, 1), st.sampled_from([*EFFECTS, "temp-history"]), st.integers(0, 2)
    ),
    st.tuples(st.just("end"), st.integers(0, 1), st.sampled_from(list(Outcome)), st.integers(0, 9)),
    st.tuples(st.just("deliver"), st.integers(0, 1), st.just(""), st.sampled_from([1, 60, 400, 9000])),
    st.tuples(st.just("tick"), st.integers(0, 1), st.just(""), st.just(0)),
    st.tuples(st.just("advance"), st.just(0), st.just(""), st.sampled_from([1, 30, 400, 2500])),
    st.tuples(st.just("use connections"), st.integers(0, 1), st.just(""), st.integers(0, 10)),
    st.tuples(st.just("connect"), st.just(0), st.just(""), st.just(0)),
    st.tuples(st.just("shut down"), st.just(0), st.just(""), st.just(0)),
    st.tuples(st.just("kill"), st.integers(0, 1), st.just(""), st.just(0)),
    st.tuples(st.just("cut"), st.just(0), st.just(""), st.just(0)),
)


class RandomSteps(ProcessPair):
    """A pair of processes that executes random steps and checks its invariants after each."""

    def __init__(self) -> None:
        super().__init__()
        self.is_connected = False
        self.accepted: list[tuple[SimulatedProcess, int]] = []

    def step(self, kind: str, process_index: int, choice: Any, number: int) -> None:
        process = (self.predecessor, self.successor)[process_index]
        core = process.driver.core
        match kind:
            case "connect" if not self.is_connected and not self.predecessor.is_killed:
                self.is_connected = True
                self.connect()
            case "cut" if self.is_connected and not self.is_cut:
                self.cut_connection()
            case "kill" if not process.is_killed and self.is_connected and not self.is_cut:
                self.kill(process)
            case "deliver":
                (self.deliver_to_predecessor if process_index else self.deliver_to_successor)(number)
            case "advance":
                self.clock.advance(number)
            case _ if process.is_killed:
                pass
            case "submit" if process is self.predecessor or process.accepts_connections:
                idempotency_key = f"k{number}" if choice in EFFECTS else None
                with contextlib.suppress(RequestRejectedError):
                    self.submit(process, choice, idempotency_key)
                    self.accepted.append((process, self.last_number))
            case "end":
                running = [
                    request
                    for request in core._requests
                    if request.may_have_run and request.stage is not Stage.PAUSED
                ]
                if running:
                    request = running[number % len(running)]
                    if choice.never_ran and not request.known_to_have_run:
                        process.keyed_requests.pop(request.id, None)  # it never ran, so the key may run again
                    core.run_ended(request.id, choice, SECOND, b"result")
            case "tick":
                process.hot_restart.tick(self.clock.now())
            case "use connections" if process is self.predecessor or process.accepts_connections:
                # A process accepts no connection above its limit, but open ones may stay above it.
                limit = process.hot_restart.sharing.limit
                process.connections_in_use = min(number / 10, max(limit, process.connections_in_use))
            case "shut down" if process.hot_restart.begin_shutdown(self.clock.now()):
                core.begin_hand_over(self.clock.now() + 3700 * MILLISECOND)
        self.clock.settle()
        self.check()

    def check(self) -> None:
        if self.is_connected and len(self.living) == 2:
            counts_connections = not self.is_cut  # after a cut each process can only apply its own limit
            used = [
                max(process.hot_restart.sharing.limit, process.connections_in_use * counts_connections)
                for process in self.living
            ]
            assert sum(used) <= FULL_SHARE + 1e-6
        run_counts = self.run_counts()
        assert all(count <= 1 for count in run_counts.values()), run_counts


@settings(derandomize=True, max_examples=400, deadline=None, database=None)
@given(st.lists(STEPS, max_size=60), st.booleans())
def test_in_any_order_of_events_no_key_runs_twice_and_each_request_has_one_response(
    steps: list[tuple[str, int, Any, int]], connected: bool
) -> None:
    pair = RandomSteps()
    if connected:
        pair.step("connect", 0, "", 0)
        pair.run_for(100)
    for step in steps:
        # After the window a retry counts as a new request.
        if pair.clock.now() - START < RETRY_WINDOW - 3 * SECOND:
            pair.step(*step)
    if not pair.is_cut and pair.is_connected:
        pair.cut_connection()
    pair.clock.advance(10_000)
    for process, number in pair.accepted:
        if not process.is_killed:
            assert len(process.driver.statuses(number)) == 1, number


def test_a_successor_that_replaces_a_killed_one_gets_a_share_before_the_killed_one_must_have_ended() -> None:
    # Guards against a replacement that accepts connections without capacity.
    pair = serving_pair()
    pair.kill(pair.successor)
    pair.connect_replacement()
    pair.run_for(100)
    predecessor, replacement = pair.predecessor.hot_restart, pair.successor.hot_restart
    assert replacement.sharing.limit == predecessor.sharing.limit == 0.25
    assert pair.successor.accepts_connections and predecessor.has_serving_successor
    pair.run_for(TERMINATION_TIMEOUT // MILLISECOND)
    assert replacement.sharing.limit == predecessor.sharing.limit == 0.5


def test_a_successor_that_serves_announces_itself_to_a_predecessor_that_it_is_redirected_to() -> None:
    # Guards against a predecessor that drains the node at SIGTERM although its successor serves.
    pair = ProcessPair()
    pair.successor.hot_restart.backend_ready(pair.clock.now())
    assert pair.successor.accepts_connections
    pair.connect()
    pair.run_for(100)
    assert pair.predecessor.hot_restart.has_serving_successor
    assert pair.predecessor.hot_restart.begin_shutdown(pair.clock.now())


def test_a_process_that_connects_to_a_draining_predecessor_wants_traffic() -> None:
    # Guards against a process that takes the drain of its predecessor for an operator's quiesce, and stays quiesced.
    pair = serving_pair()
    pair.kill(pair.successor)
    pair.predecessor.driver.core.drain(pair.clock.now() + 3 * SECOND)
    pair.connect_replacement()
    pair.run_for(100)
    assert pair.successor.driver.core.serving_state.wants_traffic
    assert not pair.predecessor.driver.core.serving_state.wants_traffic


def test_a_process_that_connects_to_a_quiesced_predecessor_is_quiesced() -> None:
    pair = ProcessPair()
    pair.predecessor.driver.core.serving_state.quiesce()
    pair.connect()
    pair.run_for(100)
    assert not pair.successor.driver.core.serving_state.wants_traffic


def test_a_draining_process_learns_that_the_one_that_replaces_its_lost_successor_serves() -> None:
    # Guards against a draining process that goes on to accept connections, for which it has little capacity.
    pair = serving_pair()
    assert pair.predecessor.hot_restart.begin_shutdown(pair.clock.now())
    pair.predecessor.saw_successor_serve = False
    pair.kill(pair.successor)
    assert pair.predecessor.saw_successor_lost
    pair.connect_replacement()
    pair.run_for(100)
    assert pair.predecessor.saw_successor_serve
