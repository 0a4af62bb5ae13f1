"""The four rules, clause by clause."""

import pytest

from petrelcart.interface import (
    Below,
    Call,
    CallEnded,
    CallNeeded,
    Drain,
    Gone,
    HaltMode,
    Health,
    Keep,
    Outcome,
    Refuse,
    RunEnded,
)
from tests.helpers import MS, START, UNSAFE, Server, a_class

# No request is lost.


def test_a_held_request_is_answered_by_its_due_time() -> None:
    server = Server(cores=1)
    server.arrive("run", "high")
    server.arrive("held")
    server.tick(after_ms=3990)
    assert ("Refuse", "held") in server.done


def test_work_that_still_runs_is_failed_by_its_due_time_and_stopped() -> None:
    server = Server(cores=1)
    server.arrive("run")
    assert server.tick(after_ms=3990)[:2] == [("Fail", "run"), ("Halt", "run")]


def test_without_a_told_wait_the_class_deadline_counts_from_arrival_at_the_machine() -> None:
    server = Server(
        cores=1, classes=(a_class("low", late_share=0.5),)
    )  # late answers count: it waits till due
    server.arrive("run", gives_up_us=None, unread_us=1_000 * MS)
    server.tick(after_ms=2900)
    assert ("Fail", "run") not in server.done
    server.tick(after_ms=90)
    assert ("Fail", "run") in server.done


def given_up(kind: str, started: bool) -> tuple[Server, list[Refuse]]:
    """One request whose aim passes: held behind a run of another, or started and then paused by it."""
    server = Server(cores=1, classes=(a_class("low"), a_class("top", worth=9.0, aim_us=4_000 * MS), UNSAFE))
    if started:
        server.arrive("lost", kind)
    server.arrive("run", "top")
    if started:
        server.end("lost", Outcome.CANCELLED)
    else:
        server.arrive("lost", kind)
    server.tick(after_ms=1990)
    assert not {("Refuse", "lost"), ("Fail", "lost")} & set(server.done)
    server.tick(after_ms=11)
    return server, server.find(Refuse)


def test_a_held_request_past_hope_is_refused_at_once_with_a_time_to_come_back() -> None:
    # Guards against keeping what is worth nothing until it is due, so that its caller does not ask again.
    server, [refusal] = given_up("low", started=False)
    assert ("Refuse", "lost") in server.done
    assert 0 < refusal.retry_after_us <= server.settings.max_retry_after_us


@pytest.mark.parametrize("kind", ["low", "unsafe"])
def test_a_paused_request_past_hope_is_failed_at_once_and_never_refused(kind: str) -> None:
    server, refusals = given_up(kind, started=True)
    assert ("Fail", "lost") in server.done and not refusals


def test_where_callers_are_told_no_time_refusals_name_none() -> None:
    server = Server(retry_after=False)
    server.arrive("odd", gives_up_us=START - 1)
    assert [refusal.retry_after_us for refusal in server.find(Refuse)] == [0]


def test_a_halt_that_takes_effect_late_still_pauses() -> None:
    # On sockets the word that a run has stopped can come after the beat by which the halt was taken for lost.
    # The request was then counted as over while its answer was still owed.
    server = Server(cores=1)
    server.arrive("low")
    server.arrive("top", "high")
    server.end("top")
    server.tick(after_ms=500)
    assert server.end("low", Outcome.CANCELLED) == [("Run", "low")]


def test_a_request_read_past_its_due_time_is_answered_at_once() -> None:
    server = Server()
    server.arrive("late", gives_up_us=START - 1)
    assert server.done == [("Refuse", "late")]


def test_gone_requests_are_owed_nothing() -> None:
    server = Server(cores=1)
    server.arrive("run", "high")
    server.arrive("held")
    server.step(Gone("held"), Gone("run"))
    server.tick(after_ms=4000)
    assert {id for action, id in server.done if action in ("Fail", "Refuse")} == set()


def test_a_served_request_is_not_answered_again() -> None:
    server = Server()
    server.arrive("a")
    server.end("a")
    server.end("a")  # a late duplicate
    server.step(Gone("a"))
    server.tick(after_ms=4000)
    assert [action for action, id in server.done if id == "a"] == ["Run"]


def test_an_unknown_class_is_refused_and_changes_nothing_else() -> None:
    server = Server()
    assert server.arrive("x", "no-such-class") == [("Refuse", "x")]
    assert server.controller.memory == 0


# No effect happens twice.


def test_a_key_is_kept_before_its_run_for_a_window_from_arrival() -> None:
    server = Server()
    server.arrive("k", "keyed", unread_us=300 * MS)
    [keep] = server.find(Keep)
    assert server.done == [("Keep", "k"), ("Run", "k")]
    assert 7_700 * MS <= keep.lifetime_us <= 7_750 * MS


def test_no_room_for_the_key_means_no_run() -> None:
    server = Server(key_kb=2000.0)
    assert server.arrive("k", "keyed") == [("Refuse", "k")]


@pytest.mark.parametrize("state", ["running", "paused", "calling", "done", "failed", "gone"])
def test_a_repeat_of_what_has_run_only_shares_its_result(state: str) -> None:
    server = Server(cores=1)
    server.arrive("k", "keyed")
    if state == "paused":
        server.arrive("top", "high")
        server.end("k", Outcome.CANCELLED)
    elif state == "calling":
        server.step(CallNeeded("k"))
    elif state in ("done", "failed"):
        server.end("k", Outcome.OK if state == "done" else Outcome.ERROR)
    elif state == "gone":
        server.step(Gone("k"))
    assert server.arrive("again", "keyed", prior="k")[0] == ("Attach", "again")
    server.tick(after_ms=5000)
    assert ("Run", "again") not in server.done and ("Refuse", "again") not in server.done


def test_a_repeat_of_a_held_try_takes_its_place() -> None:
    server = Server(cores=1)
    server.arrive("run", "high")
    server.arrive("k", "keyed")
    assert server.arrive("again", "keyed", prior="k") == [("Keep", "again"), ("Refuse", "k")]
    assert server.end("run") == [("Run", "again")]


def test_a_repeat_in_the_same_batch_leaves_one_run() -> None:
    server = Server()
    first, again = server.request("k", "keyed"), server.request("again", "keyed", prior="k")
    done = server.step(first, again)
    assert [id for action, id in done if action == "Run"] == ["again"]


def test_a_repeat_of_a_refused_try_is_a_fresh_request() -> None:
    server = Server(cores=1, memory_kb=100.0)
    for index in range(5):
        server.arrive(f"r{index}", "high")
    server.arrive("k", "keyed")
    assert ("Refuse", "k") in server.done
    for index in range(5):
        server.step(Gone(f"r{index}"), RunEnded(f"r{index}", Outcome.CANCELLED, 0))
    assert ("Run", "again") in server.arrive("again", "keyed", prior="k")


def test_a_repeat_of_an_unknown_try_is_never_run() -> None:
    server = Server()
    assert server.arrive("again", "keyed", prior="before-we-knew") == [("Attach", "again")]


def test_an_uncertain_call_of_an_effect_is_not_repeated() -> None:
    keyed = a_class("keyed", effect=Server().settings.classes[2].effect, calls=True)
    server = Server(classes=(keyed,), below=Below.SHARED, calls_out=2.0)
    server.arrive("k", "keyed")
    server.step(CallNeeded("k"))
    assert server.step(CallEnded("k", Outcome.RESET, 0)) == [("Fail", "k")]


def test_a_call_known_not_to_have_run_is_repeated() -> None:
    server = Server(below=Below.SHARED, calls_out=2.0)
    server.arrive("k", "keyed")
    server.step(CallNeeded("k"))
    server.step(CallEnded("k", Outcome.FULL, 0))
    assert ("Call", "k") in server.tick(after_ms=300)


def test_effects_are_never_stopped_where_stopping_loses_work() -> None:
    server = Server(cores=1, halt=HaltMode.DROP)
    server.arrive("k", "keyed")
    assert server.arrive("top", "high") == []


def test_no_halt_is_sent_where_there_is_none() -> None:
    server = Server(cores=1, halt=HaltMode.NONE)
    server.arrive("low")
    server.arrive("top", "high")
    server.tick(after_ms=4000)
    assert "Halt" not in [action for action, _ in server.done]


# Drains are safe.


def test_nothing_is_run_that_arrives_later_than_the_grace() -> None:
    server = Server(cores=4)
    server.step(Drain(START + 6_000 * MS))
    assert server.find(Health) == [Health(stored=True, good=False)]
    assert server.arrive("in", after_ms=900) == [("Run", "in")]
    assert server.arrive("late", after_ms=500) == [("Refuse", "late")]


def test_grace_counts_from_arrival_at_the_machine() -> None:
    server = Server()
    server.step(Drain(START + 6_000 * MS))
    assert server.arrive("unread", after_ms=1500, unread_us=600 * MS) == [("Run", "unread")]


def test_all_is_answered_ahead_of_the_kill() -> None:
    server = Server(cores=1)
    server.arrive("run", "high")
    server.arrive("held")
    server.step(Drain(START + 2_000 * MS))
    server.tick(after_ms=1700)
    assert {("Fail", "run"), ("Refuse", "held")} <= set(server.done)


# Nothing falls over.


def test_memory_counts_held_running_and_keys() -> None:
    server = Server(cores=1)
    server.arrive("k", "keyed")
    server.arrive("held")
    assert server.controller.memory == 40 + 5 + 10
    server.end("k")
    server.end("held")
    assert server.controller.memory == 5
    server.tick(after_ms=8100)
    assert server.controller.memory == 0


def test_a_cold_server_keeps_under_the_crowd_it_survives() -> None:
    server = Server(cores=4, cold=True, fall_multiple=2.0, cold_share=0.0, memory_kb=100_000.0)
    for index in range(10):
        server.arrive(f"r{index}")
    assert len([1 for action, _ in server.done if action == "Run"]) <= 4


def calls_of_hung_dependency(share: float, seconds: int) -> list[tuple[int, int]]:
    """When each call went out and when the dependency was rid of it, with new requests at every turn."""
    server = Server(cores=4, below=Below.SHARED, calls_out=share, memory_kb=100_000.0)
    spans: list[tuple[int, int]] = []
    ends: dict[str, int] = {}
    for turn in range(seconds * 10):
        for id in [id for id, until in ends.items() if until <= server.now]:
            del ends[id]
            server.step(CallEnded(id, Outcome.TIMEOUT, 1_000 * MS))
        server.arrive(f"r{turn}", after_ms=100)
        server.step(CallNeeded(f"r{turn}"))
        for action in server.find(Call):
            ends[action.id] = action.until_us
            spans.append((server.now, action.until_us + server.settings.linger_us))
    return spans


@pytest.mark.parametrize("share", [0.3, 0.5, 1.0, 4.0])
def test_calls_that_hang_stay_under_the_share_in_the_mean(share: float) -> None:
    spans = calls_of_hung_dependency(share, seconds=20)
    over = 5_000 * MS
    assert spans
    for start in range(START, START + 15_000 * MS, 500 * MS):
        inside = [min(end, start + over) - max(begin, start) for begin, end in spans]
        assert sum(span for span in inside if span > 0) <= share * over


def test_short_calls_go_out_one_after_the_other_under_a_share_below_one() -> None:
    server = Server(cores=4, below=Below.SHARED, calls_out=0.5)
    for index in range(20):
        server.arrive(f"r{index}")
        assert server.step(CallNeeded(f"r{index}")) == [("Call", f"r{index}")]
        server.step(CallEnded(f"r{index}", Outcome.OK, 20 * MS), after_ms=20)
        server.end(f"r{index}")


def test_a_call_given_up_with_its_request_still_counts_while_it_lingers() -> None:
    server = Server(cores=4, below=Below.SHARED, calls_out=1.0)
    full = server.controller.call_room
    server.arrive("a")
    server.step(CallNeeded("a"))
    server.step(Gone("a"), RunEnded("a", Outcome.CANCELLED, 0))
    assert server.controller.call_room == full - 200 * MS


def test_a_third_try_that_names_a_refused_second_finds_the_first() -> None:
    server = Server(cores=1)
    server.arrive("run", "high")
    server.step(
        server.request("k1", "keyed"),
        server.request("k2", "keyed", prior="k1", kb=900.0),  # no room for it
        server.request("k3", "keyed", prior="k2"),
    )
    assert ("Refuse", "k2") in server.done and ("Refuse", "k1") in server.done
    assert server.end("run") == [("Run", "k3")]
    assert server.end("k3") == []


def test_a_repeat_that_memory_can_not_hold_is_failed_not_refused() -> None:
    server = Server(cores=1, memory_kb=60.0, key_kb=5.0)
    server.arrive("k", "keyed")
    assert server.arrive("again", "keyed", prior="k", kb=30.0) == [("Fail", "again")]


def test_a_repeat_read_in_a_later_turn_than_its_unread_first_try_still_meets_it() -> None:
    server = Server(cores=1)
    server.arrive("run", "high")
    server.arrive("k", "keyed", unread_us=800 * MS)
    server.arrive("again", "keyed", after_ms=5, unread_us=400 * MS, prior="k")
    runs = [id for action, id in server.done if action in ("Run", "Refuse") and id != "run"]
    assert runs == ["k"] and server.end("run") == [("Run", "again")]


def test_only_the_highest_class_or_a_leaving_server_lets_refusals_walk_on() -> None:
    server = Server(cores=1)
    server.step(
        server.request("low", gives_up_us=START - 1), server.request("top", "high", gives_up_us=START - 1)
    )
    assert {action.id: action.give_up for action in server.find(Refuse)} == {"low": True, "top": False}
    server.step(Drain(START + 6_000 * MS))
    server.arrive("later", after_ms=1500)
    assert [action.give_up for action in server.find(Refuse)] == [False]
