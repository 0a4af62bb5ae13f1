"""The ordinary path: each step of pre-emptive resume by class."""

from marlstep.admission.actions import Advertise, Call, Health, IdleLimit, SetTimer
from marlstep.admission.controller import Controller
from marlstep.admission.events import Arrival, CallEnded, CallNeeded, Event, Outcome, TimerDue
from marlstep.admission.settings import Downstream, Effect, LoadSignal
from tests.support.helpers import MS, START, Server, a_class, settings


def test_the_first_turn_reports_good_health_and_asks_for_no_timer() -> None:
    server = Server()
    assert server.find(Health) == [Health(stored=True, good=True)]
    assert server.find(SetTimer) == []


def timers_in_a_second(*kinds: str) -> int:
    server = Server(cores=2)
    asked = 0
    for kind in kinds:
        server.arrive(kind, kind)
        asked += len(server.find(SetTimer))
    for _ in range(200):
        server.now += 5 * MS
        if server.controller.timer.armed_at <= server.now:
            server.tick()
            asked += len(server.find(SetTimer))
    return asked


def test_timers_are_asked_for_only_while_something_waits() -> None:
    assert timers_in_a_second("low") <= 2
    assert timers_in_a_second("low", "high") <= 2
    assert timers_in_a_second("low", "high", "keyed") > 10


def test_an_arrival_starts_while_the_running_set_has_room() -> None:
    server = Server()
    assert server.arrive("a") == [("Run", "a")]
    assert server.arrive("b") == [("Run", "b")]
    assert server.arrive("c") == []


def test_an_arrival_that_outranks_a_run_pauses_the_lowest_and_latest() -> None:
    server = Server()
    server.arrive("old")
    server.arrive("new")
    assert server.arrive("top", "high") == [("Preempt", "new"), ("Run", "top")]


def test_an_arrival_does_not_pause_its_own_class() -> None:
    server = Server()
    for id in ("a", "b", "c"):
        server.arrive(id, "high")
    assert ("Preempt", "a") not in server.done and ("Run", "c") not in server.done


def test_held_requests_start_by_worth_then_by_age() -> None:
    server = Server(cores=1)
    server.arrive("run", "high")
    for id, kind in (("low1", "low"), ("high1", "high"), ("low2", "low"), ("high2", "high")):
        server.arrive(id, kind, after_ms=1)
    order = []
    running = "run"
    for _ in range(4):
        [(_, running)] = server.end(running, after_ms=1)
        order.append(running)
    assert order == ["high1", "high2", "low1", "low2"]


def test_paused_work_resumes_ahead_of_held_work_of_its_class() -> None:
    server = Server(cores=1)
    server.arrive("paused")
    server.arrive("held", after_ms=1)
    server.arrive("top", "high", after_ms=1)
    server.end("paused", Outcome.CANCELLED, after_ms=5)
    assert server.end("top", after_ms=10) == [("Run", "paused")]


def test_paused_work_waits_while_a_higher_class_waits() -> None:
    server = Server(cores=1)
    server.arrive("paused")
    server.arrive("top1", "high", after_ms=1)
    server.arrive("top2", "high", after_ms=1)
    server.end("paused", Outcome.CANCELLED, after_ms=5)
    assert server.end("top1", after_ms=10) == [("Run", "top2")]


def test_an_arrival_over_n_is_refused_at_once() -> None:
    server = Server(cores=1, memory_kb=100.0)  # N: a run of 40 kB and four held of 10 kB under 80 kB
    for index in range(5):
        assert ("Reject", f"r{index}") not in server.arrive(f"r{index}")
    assert server.arrive("over") == [("Reject", "over")]


def test_the_running_limit_grows_by_two_a_second_while_the_cores_have_time() -> None:
    server = Server(cores=2)
    for index in range(10):
        server.arrive(f"r{index}")
    assert sum(action == "Run" for action, _ in server.done) == 2
    server.tick(after_ms=1000, cpu=0.5)
    assert sum(action == "Run" for action, _ in server.done) == 4


def test_the_running_limit_falls_back_to_the_cores_when_latency_grows() -> None:
    server = Server(cores=2)
    server.arrive("quick")
    server.end("quick", after_ms=10)
    for index in range(12):
        server.arrive(f"r{index}")
    server.tick(after_ms=1000, cpu=0.5)
    for index in range(2):
        server.end(f"r{index}", after_ms=1)
    server.tick(after_ms=1000, cpu=1.0)  # runs took a second against a base of 10 ms
    assert server.controller.concurrency.limit < 3


def test_a_halt_that_did_not_take_is_seen() -> None:
    server = Server(cores=1)
    server.arrive("low")
    server.arrive("top", "high", after_ms=1)
    server.tick(after_ms=200)
    assert server.end("top", after_ms=1) == []  # "low" never stopped, so there is nothing to resume


def test_requests_at_calls_leave_room_for_others() -> None:
    server = Server(cores=1)
    server.arrive("a")
    server.arrive("b")
    assert server.step(CallNeeded("a"), after_ms=1) == [("Call", "a"), ("Run", "b")]


def test_work_that_can_no_longer_make_its_aim_takes_no_core() -> None:
    server = Server(cores=1)
    server.arrive("run", "high")
    server.arrive("late")
    server.tick(after_ms=2001)
    assert server.end("run") == []
    assert server.arrive("fresh") == [("Run", "fresh")]


def test_spent_work_gives_way_in_a_full_hold() -> None:
    server = Server(cores=1, memory_kb=100.0)
    for index in range(5):
        server.arrive(f"r{index}")
    server.tick(after_ms=2001)
    assert ("Reject", "new") not in server.arrive("new")


def refused_of_a_line(marks_retry: bool, run_ms: int) -> list[str]:
    server = Server(cores=1, marks_retries=marks_retry)
    for index in range(4):
        server.arrive(f"done{index}")
        server.end(f"done{index}", after_ms=run_ms)
    for index in range(8):
        server.arrive(f"r{index}")
    return [id for action, id in server.done if action == "Reject"]


def test_an_arrival_that_the_line_keeps_past_its_aim_is_refused_at_once() -> None:
    refused = refused_of_a_line(True, 500)
    assert refused and "r1" not in refused and "r7" in refused


def test_where_further_tries_are_not_marked_an_arrival_waits_for_a_part_of_its_aim_only() -> None:
    # Guards against a line of tries that end inside their own aim, and past that of the caller, who had waited before.
    assert refused_of_a_line(False, 200) == ["r4", "r5", "r6", "r7"]  # 0.6 s of 2 s, with the run
    assert refused_of_a_line(True, 200) == []


def test_reading_that_lags_takes_cores_from_the_running_set() -> None:
    server = Server(cores=8, memory_kb=10_000.0)
    for index in range(20):
        server.arrive(f"r{index}", unread_us=1_500 * MS)
    assert len([1 for action, _ in server.done if action == "Run"]) < 8


def test_callers_get_credit_only_once_there_is_a_line() -> None:
    server = Server(cores=1, load_signal=LoadSignal.CREDIT)
    for index in range(2):
        server.arrive(f"done{index}")
        server.end(f"done{index}", after_ms=400)
    server.tick()
    [free] = server.find(Advertise)
    server.arrive("a")
    server.arrive("b")
    server.tick(after_ms=50)
    [bound] = server.find(Advertise)
    assert 1 <= bound.value < free.value
    assert server.now > START


def test_a_class_that_may_goes_on_without_its_call_in_time_for_its_aim() -> None:
    server = Server(
        classes=(a_class("low", makes_calls=True, skipped_call_factor=0.5),),
        dependency=Downstream.SHARED,
        mean_calls_in_flight=4.0,
    )
    server.arrive("a")
    server.step(CallNeeded("a"))
    [call] = server.find(Call)
    assert call.until_us < START + 2_000 * MS
    assert server.step(CallEnded("a", Outcome.TIMEOUT, 1_900 * MS), after_ms=1950) == [("SkipCall", "a")]


def test_while_calls_are_slow_one_at_a_time_is_made_where_they_may_be_left_out() -> None:
    server = Server(
        classes=(a_class("low", makes_calls=True, skipped_call_factor=0.5),),
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


def test_a_run_with_a_key_goes_on_for_its_callers_next_try() -> None:
    server = Server(cores=1)
    server.arrive("k", "keyed", caller_deadline_at=START + 500 * MS)
    assert server.tick(after_ms=450) == [("Fail", "k")]  # and no halt
    assert server.arrive("again", "keyed", prior="k", after_ms=10) == [("Attach", "again")]


def test_idle_connections_are_closed_sooner_while_more_are_open_than_could_run() -> None:
    server = Server(overload_concurrency_factor=8.0)  # 16 runs on two cores
    server.step(TimerDue(0, {"cpu": 0.5, "conns": 12.0}), after_ms=1000)
    assert server.find(IdleLimit) == [IdleLimit(30_000 * MS)]
    server.step(TimerDue(0, {"cpu": 0.5, "conns": 64.0}), after_ms=1000)
    assert server.find(IdleLimit) == [IdleLimit(7_500 * MS)]
    server.step(TimerDue(0, {"cpu": 0.5, "conns": 2.0}), after_ms=1000)
    assert server.find(IdleLimit) == [IdleLimit(30_000 * MS)]


def test_without_a_gauge_or_a_limit_nothing_is_said_of_idle_connections() -> None:
    for server in (Server(), Server(idle_timeout_us=0)):
        server.step(TimerDue(0, {}), after_ms=1000)
        assert server.find(IdleLimit) == []


def test_runs_cut_short_teach_that_runs_are_longer_than_known() -> None:
    server = Server(cores=1)
    server.arrive("quick")
    server.end("quick", after_ms=100)
    for index in range(20):
        server.arrive(f"r{index}")
        server.tick(after_ms=4_000)  # failed at its due time and stopped
        server.end(f"r{index}", Outcome.CANCELLED)
    assert server.controller.state.statistics.mean_run_us["low"] > 2_000 * MS


def test_of_classes_of_one_worth_the_sooner_aim_starts_first() -> None:
    slow, quick = (
        a_class("slow", latency_objective_us=3_500 * MS),
        a_class("quick", latency_objective_us=1_500 * MS),
    )
    server = Server(cores=1, classes=(slow, quick, a_class("high", priority_weight=3.0)))
    for index, kind in enumerate(("high", "slow", "quick")):
        server.arrive(str(index), kind, after_ms=1)
    assert server.end("0") == [("Run", "2")]


def test_unlikely_work_starts_only_on_a_core_that_would_stand_idle() -> None:
    server = Server(cores=2)
    server.arrive("done")
    server.end("done", after_ms=1_000)
    assert server.arrive("unlikely", caller_deadline_at=server.now + 400 * MS) == [("Run", "unlikely")]
    server.arrive("likely")
    assert server.arrive("another", caller_deadline_at=server.now + 400 * MS) == []


def test_callers_that_ask_once_leave_the_credit_of_those_that_keep_sending() -> None:
    # Guards against a credit cut to nothing: on a long day it was shared among dozens of front ends that
    # had asked once, and for ten seconds half of all requests were turned away with cores to spare.
    said = []
    for others in (0, 40):
        server = Server(cores=1, load_signal=LoadSignal.CREDIT, memory_kb=100_000.0)
        for index in range(30):
            server.arrive(f"done{index}", caller=index % 3)
            server.end(f"done{index}", after_ms=20)
        for index in range(others):
            server.arrive(f"once{index}", caller=100 + index)
            server.end(f"once{index}")
        server.arrive("a")
        server.arrive("b")
        server.tick(after_ms=50)
        said.append(server.find(Advertise)[0].value)
    assert said[1] > 0.5 * said[0]


def test_what_could_never_be_started_is_refused_at_once() -> None:
    # Guards against a client whose figures fill the hold, so that all others are refused.
    server = Server(cores=1, memory_kb=1_000.0, running_memory_factor=4.0)
    assert server.arrive("huge", memory_kb=300.0) == [("Reject", "huge")]
    assert server.arrive("large", memory_kb=200.0) == [("Run", "large")]


def test_a_call_that_may_be_made_again_is_not_waited_for_to_the_end_and_a_setpoints_is() -> None:
    # Guards against replies that never come: each held its run until nothing but a poorer answer was left.
    low, unsafe = (
        a_class("low", makes_calls=True, skipped_call_factor=0.5),
        a_class("set", effect=Effect.AT_MOST_ONCE),
    )
    server = Server(classes=(low, unsafe))
    server.arrive("a")
    server.arrive("b", "set")
    server.step(CallNeeded("a"), CallNeeded("b"))
    again, once = (call.until_us for call in sorted(server.find(Call), key=lambda call: call.id))
    assert again < START + 1_500 * MS < once
    server.step(CallEnded("a", Outcome.TIMEOUT, again - START), after_ms=(again - START) / MS)
    assert server.tick(after_ms=100) == [("Call", "a")]


def test_a_call_that_never_ran_is_made_again_after_ever_longer_waits() -> None:
    server = Server(classes=(a_class("set", effect=Effect.AT_MOST_ONCE, makes_calls=True),))
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


def test_a_run_that_the_kernel_did_not_know_tells_nothing_of_the_pace() -> None:
    server = Server(cores=1, load_signal=LoadSignal.CREDIT)
    server.arrive("real")
    server.end("real", after_ms=400)
    pace = server.controller.state.statistics.us_per_run()
    for index in range(50):
        server.arrive(f"odd{index}", caller=7)
        server.end(f"odd{index}", Outcome.NOT_STARTED, after_ms=1)
    assert (
        server.controller.state.statistics.us_per_run() == pace
        and server.controller.advisor.count_callers() == 1
    )


def test_an_id_that_comes_again_takes_the_place_of_the_one_before() -> None:
    # Guards against an entry that is in a state's table and not in the ledger: its time was looked for without end.
    controller = Controller(settings(cores=1), seed=1)
    controller.decide(START, [])
    twice: list[Event] = [
        Arrival("a", "low", memory_kb=10.0, caller=1, unread_us=0),
        Arrival("b", "low", memory_kb=10.0, caller=1, unread_us=0),
    ]
    controller.decide(START, twice)
    controller.decide(START + MS, [Arrival("a", "high", memory_kb=10.0, caller=1, unread_us=0)])
    assert (
        controller.state.entries.count_unfinished() == 2
        and controller.state.entries.by_id["a"].request_class.name == "high"
    )
    for step in range(1, 10):
        controller.decide(START + step * 1_000 * MS, [])
    assert all(
        controller.state.entries.by_id.get(id) is one
        for held in controller.state.entries.by_state.values()
        for id, one in held.items()
    )
