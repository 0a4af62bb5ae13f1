"""Two processes of one node: rooms that add up, work with a name that runs once, and a line that is cut anywhere."""

from __future__ import annotations

import contextlib
from collections import Counter
from dataclasses import replace
from datetime import timedelta
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marlstep.admission.events import Outcome
from marlstep.core.errors import RequestRejectedError
from marlstep.core.interfaces import ResponseStatus, Stage
from marlstep.core.serving_state import ServingPhase
from marlstep.hot_restart import messages
from marlstep.hot_restart.host_adapter import HostAdapter
from marlstep.hot_restart.interfaces import LostProcessTimeouts
from marlstep.hot_restart.key_exchange import KeyAuthority
from marlstep.hot_restart.resource_sharing import FULL_SHARE, HALF_SHARE, MIN_DRAINING_SHARE, ResourceSharing
from marlstep.hot_restart.restart import HotRestart
from marlstep.hot_restart.successor import ACKNOWLEDGE_TIMEOUT, MEETING_TIMEOUT
from marlstep.net.ring import Ring
from marlstep.units import MILLISECOND, SECOND
from tests.frontends.test_parsers import CUTS, FIXED, GARBAGE, pieces
from tests.support.node import SETTINGS, START, Desk, HandClock

WAIT, WINDOW = 7 * SECOND, 11 * SECOND
TIMEOUTS = LostProcessTimeouts(termination=WAIT, retry_window=WINDOW)
CLASSES = [dict(row) for row in SETTINGS["classes"]]
CLASSES[1].update(semantics="deduplicated")
CASES = {"schedule-save": "keyed", "setpoint-cmd": "unsafe"}


class Pipe:
    """One way between two processes: what was sent, and is not delivered yet."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.ring = Ring(2 * messages.MAX_MESSAGE_BYTES)
        self.closed = False

    def send_message(self, message: messages.Message) -> None:
        if not self.closed:
            self.data += messages.write(message)

    def require_prompt_reads(self) -> None:
        pass

    def close(self) -> None:
        self.closed = True


class Process:
    def __init__(self, clock: HandClock, generation: int) -> None:
        self.desk = Desk(cores=1, clock=clock, classes=CLASSES)
        self.opened = self.lost = self.told = False
        self.connected = 0.0
        self.bounds: list[float] = []
        adapter = HostAdapter(self.desk.core, clock.timeline, self)
        self.hot_restart = HotRestart(adapter, generation, generation, TIMEOUTS)
        adapter.watch(self.hot_restart)
        self.dead = False
        self.rights = dict[str, tuple[str, str]]()  # id to the work it names

    # As `NodeCallbacks`.

    def accept_connections(self) -> None:
        self.opened = True

    def successor_lost(self) -> None:
        self.lost = True

    def successor_draining(self) -> None:
        self.told = True

    def limit_capacity(self, share: float) -> None:
        self.bounds.append(share)
        self.desk.core.set_capacity_share(share, 1000)

    def connection_share(self) -> float:
        return self.connected

    def serving_state_changed(self) -> None:
        pass


class Pair:
    """An elder that serves, and a younger that comes."""

    def __init__(self) -> None:
        self.clock = HandClock()
        self.elder = Process(self.clock, 1)
        self.elder.hot_restart.backend_ready(self.clock.now())
        self.younger = Process(self.clock, 2)
        self.up, self.down = Pipe(), Pipe()  # to the elder, to the younger
        self.cut = False
        self.number = 0

    def meet(self, backend_ready: bool = True) -> None:
        self.younger.hot_restart.predecessor_connected(self.up, self.clock.now())
        if backend_ready:
            self.younger.hot_restart.backend_ready(self.clock.now())

    def deliver(self, up: bool, most: int = 1 << 20) -> None:
        """The next so many bytes of one way, to whoever lives there."""
        pipe, now = (self.up, self.clock.now()) if up else (self.down, self.clock.now())
        part, pipe.data = pipe.data[:most], pipe.data[most:]
        pipe.ring.put(bytes(part))
        while not self.cut and (message := messages.read(pipe.ring)) is not None:
            if not up:
                if not self.younger.dead:
                    self.younger.hot_restart.handle_predecessor_message(message, now)
            elif not self.elder.dead:
                if isinstance(message, messages.Hello):
                    self.elder.hot_restart.successor_connected(self.down, message, now)
                else:
                    self.elder.hot_restart.handle_successor_message(message, now)
        self.clock.settle()

    def settle(self, ms: int = 0) -> None:
        for _ in range(max(1, ms // 20)):
            for process in self.living:
                process.hot_restart.tick(self.clock.now())
            for _ in range(4):
                self.deliver(True)
                self.deliver(False)
            self.clock.advance(20 if ms else 0)

    @property
    def living(self) -> list[Process]:
        return [one for one in (self.elder, self.younger) if not one.dead]

    def kill(self, process: Process) -> None:
        """What it had written is still read; then the other sees the end."""
        process.dead = True
        self.cut_line()

    def cut_line(self) -> None:
        self.deliver(True)
        self.deliver(False)
        self.cut = True
        for pipe in (self.up, self.down):
            pipe.close()
        if not self.elder.dead:
            self.elder.hot_restart.successor_lost(self.clock.now())
        if not self.younger.dead:
            self.younger.hot_restart.predecessor_lost(self.clock.now())
        self.clock.settle()

    def submit(self, process: Process, kind: str, once: str | None) -> int:
        self.number += 1
        if once:
            process.rights[f"r{self.number}"] = (kind, once)
        process.desk.submit(self.number, kind, idempotency_key=once)
        return self.number

    def starts(self) -> Counter[tuple[str, str]]:
        told = Counter[tuple[str, str]]()
        for process in (self.elder, self.younger):
            for what, id in process.desk.backend.told:
                if what == "start" and id in process.rights:
                    told[process.rights[id]] += 1
        return told


def ready_pair() -> Pair:
    pair = Pair()
    pair.meet()
    pair.settle(100)
    assert pair.younger.opened and pair.elder.hot_restart.has_serving_successor
    return pair


def test_a_lone_process_serves_at_once_with_all_the_room() -> None:
    process = Process(HandClock(), 1)
    assert process.desk.core.serving_state.phase.value == "starting"
    process.hot_restart.backend_ready(START)
    assert (
        process.opened
        and process.desk.core.serving_state.phase is ServingPhase.SERVING
        and process.hot_restart.is_idle
    )
    assert (
        not process.hot_restart.begin_shutdown(START) and not process.bounds
    )  # SIGTERM is the notice to leave


def test_the_younger_says_yes_only_after_the_elder_knows_that_it_takes_connections() -> None:
    # Guards against a SIGTERM, sent at that yes, which the elder would take for the notice to leave.
    pair = Pair()
    pair.meet(backend_ready=False)
    pair.settle(40)
    assert not pair.younger.opened  # it has all but its kernel
    pair.younger.hot_restart.backend_ready(pair.clock.now())
    assert pair.younger.opened and not pair.younger.desk.core.serving_state.can_serve
    assert not pair.elder.hot_restart.begin_shutdown(pair.clock.now())
    pair.deliver(True)
    pair.deliver(False)
    assert pair.younger.desk.core.serving_state.can_serve and pair.elder.hot_restart.begin_shutdown(
        pair.clock.now()
    )


def test_an_elder_that_hangs_delays_its_successor_for_four_seconds_at_most() -> None:
    pair = Pair()
    pair.meet()
    for span in (MEETING_TIMEOUT, ACKNOWLEDGE_TIMEOUT):
        assert not pair.younger.desk.core.serving_state.can_serve
        pair.clock.advance(span / MILLISECOND)
        pair.younger.hot_restart.tick(pair.clock.now())
    assert pair.younger.opened and pair.younger.desk.core.serving_state.can_serve


def test_room_goes_over_as_the_elder_empties_and_never_adds_up_to_more_than_all() -> None:
    pair = Pair()
    pair.elder.connected = 0.9
    pair.meet()
    pair.settle(40)
    shares = [process.hot_restart.sharing.owned_share for process in pair.living]
    assert shares[1] == pytest.approx(0.1) and pair.elder.hot_restart.sharing.limit == HALF_SHARE
    pair.elder.connected = 0.3
    pair.settle(40)
    assert pair.younger.hot_restart.sharing.limit == pytest.approx(HALF_SHARE)
    assert pair.elder.hot_restart.begin_shutdown(pair.clock.now())
    pair.elder.connected = 0.0
    pair.settle(40)
    assert pair.younger.hot_restart.sharing.limit == pytest.approx(FULL_SHARE - MIN_DRAINING_SHARE)
    pair.elder.hot_restart.finish()
    pair.settle()
    assert pair.younger.hot_restart.sharing.limit == FULL_SHARE and pair.younger.hot_restart.is_idle
    assert pair.younger.desk.core._controller.state.portion == FULL_SHARE


def test_the_module_keeps_to_its_part_of_memory_and_crowd() -> None:
    desk = Desk(cores=2)
    desk.core.set_capacity_share(0.02, 100)  # of a crowd of ten
    for number in range(1, 9):
        desk.submit(number, "temp-history", memory_kb=1.0)
    assert len([id for what, id in desk.backend.told if what == "start"]) == 1
    desk.core.set_capacity_share(0.5, 100)
    desk.clock.advance(100)
    assert len([id for what, id in desk.backend.told if what == "start"]) == 2
    desk.core.set_capacity_share(0.02, 100)
    desk.submit(9, "temp-history", memory_kb=300.0)
    assert desk.verdicts(9) == [ResponseStatus.REJECTED]
    with pytest.raises(RequestRejectedError, match="this process's part"):
        desk.core.set_capacity_share(0.5, 3)
        desk.submit(10)


def test_an_elder_with_a_successor_runs_all_that_still_comes_and_stays_healthy() -> None:
    desk = Desk(cores=2)
    desk.core.backend_ready()
    desk.core.begin_hand_over(desk.clock.now() + 3700 * MILLISECOND)
    assert not desk.stopped  # what has come by now is read first: else it is closed on unread
    desk.clock.settle()
    assert desk.stopped and desk.core.healthy and desk.core.serving_state.phase is ServingPhase.HANDING_OVER
    desk.clock.advance(2_600)
    desk.submit(1)  # over 2.5 s later: this is no drain
    desk.end(1)
    desk.submit(2)
    desk.clock.advance(950)
    assert (desk.verdicts(1), desk.verdicts(2)) == ([ResponseStatus.DONE], [ResponseStatus.EXPIRED])


def test_if_the_successor_dies_the_notice_to_leave_counts_from_then() -> None:
    pair = ready_pair()
    assert pair.elder.hot_restart.begin_shutdown(pair.clock.now())
    pair.kill(pair.younger)
    assert pair.elder.lost and not pair.elder.hot_restart.has_serving_successor
    # What the dead one ran may still be on the cores, so its share comes back later.
    assert pair.elder.hot_restart.sharing.limit == pytest.approx(MIN_DRAINING_SHARE)
    pair.clock.advance(WAIT / MILLISECOND)
    pair.elder.hot_restart.tick(pair.clock.now())
    assert pair.elder.hot_restart.sharing.limit == FULL_SHARE


@pytest.mark.parametrize("first", ["elder", "younger"])
def test_an_elder_whose_successor_leaves_as_well_takes_nothing_up_again(first: str) -> None:
    # Guards against an elder that accepts anew, and for a whole grace, when a successor that was told to leave ends.
    pair = ready_pair()
    younger, elder = pair.younger.hot_restart, pair.elder.hot_restart
    if first == "elder":
        assert elder.begin_shutdown(pair.clock.now())
    assert not younger.begin_shutdown(pair.clock.now())
    pair.settle()
    assert pair.elder.told and not elder.has_serving_successor
    if first == "younger":
        assert not elder.begin_shutdown(pair.clock.now())  # the notice to the node, as nobody comes after
    pair.kill(pair.younger)
    assert not pair.elder.lost


def test_after_new_settings_a_lost_process_is_waited_for_as_long_as_the_longest_of_both_say() -> None:
    # Guards against named work that is run twice: the window in which it may come again was that of the start.
    pair = ready_pair()
    pair.younger.hot_restart.set_timeouts(LostProcessTimeouts(WAIT / 2, 3 * WINDOW))
    pair.kill(pair.elder)
    pair.clock.advance(WAIT / MILLISECOND - 100)
    pair.younger.hot_restart.tick(pair.clock.now())
    assert pair.younger.hot_restart.sharing.limit == HALF_SHARE
    pair.clock.advance(2 * WINDOW / MILLISECOND)
    assert pair.younger.hot_restart.key_authority(pair.clock.now()) is KeyAuthority.NOBODY
    pair.younger.hot_restart.set_timeouts(TIMEOUTS)
    pair.clock.advance(WINDOW / MILLISECOND)
    assert pair.younger.hot_restart.key_authority(pair.clock.now()) is KeyAuthority.THIS_PROCESS


def test_a_third_start_is_sent_on_to_the_second() -> None:
    pair = ready_pair()
    pipe = Pipe()
    assert not pair.elder.hot_restart.successor_connected(pipe, messages.Hello(3, 3), pair.clock.now())
    pipe.ring.put(bytes(pipe.data))
    hello = messages.read(pipe.ring)
    assert isinstance(hello, messages.Hello) and hello.successor_generation == 2 and not hello.learned_state


def test_what_was_learnt_and_a_quiesce_go_over_and_a_resume_comes_back() -> None:
    pair = Pair()
    pair.elder.desk.core.serving_state.quiesce()
    controller = pair.elder.desk.core._controller
    controller.state.statistics.mean_run_us["temp-history"] = 300_000.0
    controller.state.call_latency.usual_us = 9_000.0
    controller.parts.concurrency.limit = 4.0
    pair.meet()
    pair.settle(40)
    learnt = pair.younger.desk.core._controller
    assert learnt.state.statistics.mean_run_us["temp-history"] == 300_000.0
    assert learnt.state.call_latency.usual_us == 9_000.0
    assert 1.0 <= learnt.parts.concurrency.limit <= learnt.state.max_concurrency
    core = pair.younger.desk.core
    assert not core.healthy and core.serving_state.can_serve
    core.serving_state.resume()
    pair.younger.hot_restart.serving_state_changed(True)
    pair.settle()
    assert pair.elder.desk.core.healthy


@pytest.mark.parametrize(
    "learnt", [{}, {"limit": "x", "means_us": 3}, {"base_us": float("nan")}, {"limit": -1}]
)
def test_what_another_version_learnt_and_makes_no_sense_is_left_out(learnt: dict[str, Any]) -> None:
    desk = Desk()
    before = replace(desk.core._controller.measurements())
    desk.core.adopt_measurements({**learnt, "odd": [1]})
    desk.clock.settle()
    assert desk.core._controller.measurements() == before


@pytest.mark.parametrize(("kind", "effect"), CASES.items())
def test_work_that_one_process_has_is_not_run_by_the_other(kind: str, effect: str) -> None:
    pair = ready_pair()
    first = pair.submit(pair.elder, kind, "k")
    second = pair.submit(pair.younger, kind, "k")
    third = pair.submit(pair.younger, kind, "m")
    pair.settle(40)
    fourth = pair.number + 1
    with contextlib.suppress(RequestRejectedError):  # told to the front at once where the effect is unsafe
        pair.submit(pair.elder, kind, "m")
    pair.settle()
    assert pair.starts() == {(kind, "k"): 1, (kind, "m"): 1}
    pair.elder.desk.end(first)
    pair.younger.desk.end(third)
    pair.settle()
    fifth = pair.number + 1
    with contextlib.suppress(RequestRejectedError):
        pair.submit(pair.younger, kind, "k")
    pair.settle()
    wanted, at_once = ([ResponseStatus.DONE],) * 2 if effect == "keyed" else ([ResponseStatus.FAILED], [])
    assert [pair.younger.desk.verdicts(number) for number in (second, fifth)] == [wanted, at_once]
    assert pair.elder.desk.verdicts(fourth) == at_once
    assert pair.starts() == {(kind, "k"): 1, (kind, "m"): 1}


@pytest.mark.parametrize("result", [b"\x00" * 4096, b"\xff" * 4096, b"x" * 40_000])
def test_the_longest_results_go_over_and_longer_ones_fail_a_repeat(result: bytes) -> None:
    # Guards against a message that the other turns down, and with it all that is known.
    pair = ready_pair()
    pair.elder.desk.end(pair.submit(pair.elder, "schedule-save", "w" * 256), result=result)
    pair.settle()
    again = pair.submit(pair.younger, "schedule-save", "w" * 256)
    pair.settle()
    [answer] = pair.younger.desk.answers[again]
    shared = (ResponseStatus.DONE, result) if len(result) <= 4096 else (ResponseStatus.FAILED, b"")
    assert (answer.status, answer.body) == shared and sum(pair.starts().values()) == 1


def test_work_that_was_granted_to_the_younger_is_known_to_the_elder_from_that_moment() -> None:
    pair = ready_pair()
    pair.submit(pair.younger, "setpoint-cmd", "k")
    pair.deliver(True)
    with pytest.raises(RequestRejectedError, match="must not run twice"):
        pair.submit(pair.elder, "setpoint-cmd", "k")
    pair.deliver(False)
    assert pair.starts() == {("setpoint-cmd", "k"): 1}


def test_ids_that_both_processes_use_are_not_taken_for_one_another() -> None:
    # Guards against a hang: a try that waits for itself, as the module finds the other's id in its own ledger.
    pair = ready_pair()
    first = pair.submit(pair.elder, "schedule-save", "k")
    pair.settle()
    pair.number -= 1
    again = pair.submit(pair.younger, "schedule-save", "k")  # under the same id
    pair.submit(pair.younger, "schedule-save", "k")
    pair.settle(100)
    pair.elder.desk.end(first)
    pair.settle(100)
    assert pair.younger.desk.verdicts(again) == pair.younger.desk.verdicts(again + 1) == [ResponseStatus.DONE]


def test_a_name_that_is_told_before_its_claim_is_answered_is_no_repeat() -> None:
    pair = ready_pair()
    number = pair.submit(pair.younger, "schedule-save", "k")
    pair.deliver(True)
    pair.down.data[:0] = messages.write(messages.KeyStatus("schedule-save", "k", f"r{number}"))
    pair.deliver(False)
    assert pair.younger.desk.backend.told == [("start", f"r{number}")]


def test_what_never_ran_at_the_other_may_run_here() -> None:
    pair = ready_pair()
    first = pair.submit(pair.elder, "setpoint-cmd", "k")
    pair.settle()
    pair.elder.desk.end(first, Outcome.NOT_STARTED)
    pair.settle()
    pair.submit(pair.younger, "setpoint-cmd", "k")
    pair.settle()
    assert [what for what, _ in pair.younger.desk.backend.told] == ["start"]


def test_a_claim_whose_request_is_over_by_then_is_given_back() -> None:
    pair = ready_pair()
    number = pair.submit(pair.younger, "setpoint-cmd", "k")
    pair.clock.advance(4_400)  # nobody answers the claim in all its time
    assert pair.younger.desk.verdicts(number) == [ResponseStatus.REJECTED]
    pair.settle()
    pair.submit(pair.elder, "setpoint-cmd", "k")
    assert pair.starts()[("setpoint-cmd", "k")] == 1


def test_after_an_elder_that_is_lost_named_work_is_refused_for_its_window_and_other_work_runs() -> None:
    pair = ready_pair()
    waiting = pair.submit(pair.younger, "setpoint-cmd", "k")
    pair.up.data.clear()  # the claim was never read
    pair.kill(pair.elder)
    assert pair.younger.desk.verdicts(waiting) == [ResponseStatus.REJECTED]
    unsure = pair.submit(pair.younger, "setpoint-cmd", "m")
    free = pair.submit(pair.younger, "setpoint-cmd", None)
    assert pair.younger.desk.verdicts(unsure) == [ResponseStatus.REJECTED]
    assert ("start", f"r{free}") in pair.younger.desk.backend.told
    pair.younger.desk.end(free)
    pair.clock.advance(WINDOW / MILLISECOND)
    later = pair.submit(pair.younger, "setpoint-cmd", "m")
    assert ("start", f"r{later}") in pair.younger.desk.backend.told


def test_an_elder_that_leaves_in_order_leaves_nothing_unsure() -> None:
    pair = ready_pair()
    ran = pair.submit(pair.elder, "setpoint-cmd", "k")
    pair.elder.desk.end(ran)
    waiting = pair.submit(pair.younger, "setpoint-cmd", "m")
    pair.up.data.clear()
    pair.elder.hot_restart.finish()
    pair.settle()
    pair.kill(pair.elder)
    assert ("start", f"r{waiting}") in pair.younger.desk.backend.told
    with pytest.raises(RequestRejectedError, match="must not run twice"):
        pair.submit(pair.younger, "setpoint-cmd", "k")


def test_a_line_cut_at_any_byte_leaves_both_safe_and_serving() -> None:
    whole = Pair()
    for number in range(3):
        whole.submit(whole.elder, "setpoint-cmd", f"k{number}")
    whole.meet()
    whole.deliver(True)
    whole.elder.hot_restart.tick(whole.clock.now())
    for at in range(len(whole.down.data) + 1):
        pair = Pair()
        for number in range(3):
            pair.submit(pair.elder, "setpoint-cmd", f"k{number}")
        pair.meet()
        pair.deliver(True)
        pair.elder.hot_restart.tick(pair.clock.now())
        pair.down.data = pair.down.data[:at]
        pair.kill(pair.elder)
        pair.younger.hot_restart.tick(pair.clock.now())
        assert pair.younger.desk.core.serving_state.can_serve and pair.younger.opened
        assert 0 < pair.younger.hot_restart.sharing.limit <= HALF_SHARE
        for number in range(3):
            with contextlib.suppress(RequestRejectedError):
                pair.submit(pair.younger, "setpoint-cmd", f"k{number}")
        assert not pair.younger.desk.backend.told


STEPS = st.one_of(
    st.tuples(
        st.just("submit"), st.integers(0, 1), st.sampled_from([*CASES, "temp-history"]), st.integers(0, 2)
    ),
    st.tuples(st.just("end"), st.integers(0, 1), st.sampled_from(list(Outcome)), st.integers(0, 9)),
    st.tuples(st.just("deliver"), st.integers(0, 1), st.just(""), st.sampled_from([1, 60, 400, 9000])),
    st.tuples(st.just("tick"), st.integers(0, 1), st.just(""), st.just(0)),
    st.tuples(st.just("advance"), st.just(0), st.just(""), st.sampled_from([1, 30, 400, 2500])),
    st.tuples(st.just("connected"), st.integers(0, 1), st.just(""), st.integers(0, 10)),
    st.tuples(st.just("meet"), st.just(0), st.just(""), st.just(0)),
    st.tuples(st.just("leave"), st.just(0), st.just(""), st.just(0)),
    st.tuples(st.just("kill"), st.integers(0, 1), st.just(""), st.just(0)),
    st.tuples(st.just("cut"), st.just(0), st.just(""), st.just(0)),
)


class Play(Pair):
    def __init__(self) -> None:
        super().__init__()
        self.met = False
        self.read: list[tuple[Process, int]] = []
        self.window_over = START + WINDOW

    def step(self, what: str, which: int, choice: Any, number: int) -> None:
        process = (self.elder, self.younger)[which]
        core = process.desk.core
        match what:
            case "meet" if not self.met and not self.elder.dead:
                self.met = True
                self.meet()
            case "cut" if self.met and not self.cut:
                self.cut_line()
            case "kill" if not process.dead and self.met and not self.cut:
                self.kill(process)
            case "deliver":
                self.deliver(bool(which), number)
            case "advance":
                self.clock.advance(number)
            case _ if process.dead:
                pass
            case "submit" if process is self.elder or process.opened:
                once = f"k{number}" if choice in CASES else None
                with contextlib.suppress(RequestRejectedError):
                    self.submit(process, choice, once)
                    self.read.append((process, self.number))
            case "end":
                live = [one for one in core._requests if one.may_have_run and one.stage is not Stage.PAUSED]
                if live:
                    request = live[number % len(live)]
                    if choice.never_ran and not request.known_to_have_run:
                        process.rights.pop(request.id, None)  # it proves that the work may come again
                    core.run_ended(request.id, choice, SECOND, b"result")
            case "tick":
                process.hot_restart.tick(self.clock.now())
            case "connected" if process is self.elder or process.opened:
                # A process opens none beyond its bound; what is open already may stay above it.
                most = process.hot_restart.sharing.limit
                process.connected = min(number / 10, max(most, process.connected))
            case "leave" if process.hot_restart.begin_shutdown(self.clock.now()):
                core.begin_hand_over(self.clock.now() + 3700 * MILLISECOND)
        self.clock.settle()
        self.check()

    def check(self) -> None:
        if self.met and len(self.living) == 2:
            in_use = 0 if self.cut else 1  # after a cut each can do no more than bound itself
            used = [max(one.hot_restart.sharing.limit, in_use * one.connected) for one in self.living]
            assert sum(used) <= FULL_SHARE + 1e-6
        starts = self.starts()
        assert all(count <= 1 for count in starts.values()), starts


@settings(derandomize=True, max_examples=400, deadline=None, database=None)
@given(st.lists(STEPS, max_size=60), st.booleans())
def test_whatever_comes_in_between_no_work_runs_twice_and_each_request_has_one_answer(
    steps: list[tuple[str, int, Any, int]], met: bool
) -> None:
    play = Play()
    if met:
        play.step("meet", 0, "", 0)
        play.settle(100)
    for step in steps:
        if play.clock.now() - START < WINDOW - 3 * SECOND:  # afterwards a repeat is new work
            play.step(*step)
    if not play.cut and play.met:
        play.cut_line()
    play.clock.advance(10_000)
    for process, number in play.read:
        if not process.dead:
            assert len(process.desk.verdicts(number)) == 1, number


GIVES = st.lists(
    st.tuples(st.sampled_from(["give", "rest", "leave", "wait", "lost"]), st.floats(0, 1)), max_size=12
)


@FIXED
@given(GIVES)
def test_shares_add_up_to_all_at_the_most(steps: list[tuple[str, float]]) -> None:
    elder, younger, now = ResourceSharing(), ResourceSharing(), START
    younger.predecessor_connected()
    elder.successor_connected()
    lost = False
    for what, figure in steps:
        match what:
            case "give" | "rest" if not lost:
                younger.receive(elder.give(figure, rest=what == "rest"))
            case "leave" if not lost:
                elder.drain(figure)
            case "lost" if not lost:
                lost = True
                elder.successor_lost(now, WAIT)
                younger.predecessor_lost(now, WAIT)
            case "wait":
                now += timedelta(seconds=figure)
                elder.pass_time(now)
                younger.pass_time(now)
        if now < START + WAIT:
            assert elder.limit + younger.limit <= FULL_SHARE + 1e-9
    if lost:
        younger.pass_time(now + WAIT)
        assert younger.limit == pytest.approx(FULL_SHARE) and younger.is_sole_process


MESSAGES = (
    messages.Hello(2, 77, False, 0, {"limit": 3.5, "means_us": {"a": 1}}),
    messages.KeyStatus("setpoint-cmd", "k", "id", 1_700_000_000_000_000, "r\u00ff\x00", True),
    messages.KeyReleased("a", "b", "c"),
    messages.SnapshotComplete(),
    messages.ClaimRequest(3, "a", "b", "c"),
    messages.ClaimResponse(3, True),
    messages.GrantShare(0.25),
    messages.SuccessorReady(),
    messages.ServingStateChanged(False),
    messages.PredecessorDone(),
)


@FIXED
@given(CUTS)
def test_messages_come_whole_out_of_any_pieces(cuts: list[int]) -> None:
    ring, came = Ring(4096), []
    for part in pieces(b"".join(messages.write(one) for one in MESSAGES), cuts):
        ring.put(part)
        while (message := messages.read(ring)) is not None:
            came.append(message)
    assert tuple(came) == MESSAGES and not ring.used


@FIXED
@given(GARBAGE, st.integers(0, 200), st.sampled_from(MESSAGES))
def test_garbage_and_single_wrong_bits_are_told_as_corrupt(
    garbage: bytes, bit: int, message: messages.Message
) -> None:
    ring = Ring(8192)
    ring.put(garbage[:4000])
    with contextlib.suppress(messages.CorruptError):
        while messages.read(ring) is not None:
            pass
    data = bytearray(messages.write(message))
    data[bit // 8 % len(data)] ^= 1 << bit % 8
    ring = Ring(8192)
    ring.put(bytes(data))
    with contextlib.suppress(messages.CorruptError):
        assert messages.read(ring) is None  # a longer length: more has to come


@pytest.mark.parametrize(
    "body",
    [b"[]", b"{}", b'["No", {}]', b'["Give", {}]', b'["Give", {"share": true}]', b'["Whole", {"x": 1}]'],
)
def test_a_message_with_a_good_checksum_and_no_sense_is_corrupt(body: bytes) -> None:

    ring = Ring(4096)
    ring.put(messages.FRAMING.write(body))
    with pytest.raises(messages.CorruptError):
        messages.read(ring)


def test_another_version_is_known_by_its_first_bytes() -> None:
    ring = Ring(4096)
    ring.put(b"MSH2")
    with pytest.raises(messages.CorruptError, match="no frame of this version"):
        messages.read(ring)
    pair = Pair()
    pair.elder.hot_restart.unknown_process_connected(pair.clock.now())
    pair.younger.hot_restart.sharing.predecessor_connected()
    pair.younger.hot_restart.sharing.predecessor_lost(pair.clock.now(), WAIT)
    assert pair.elder.hot_restart.sharing.limit + pair.younger.hot_restart.sharing.limit == FULL_SHARE
