"""Leases and tasks: the rules of holder, keeper, table, record and runner, and the clock between them."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.leases.clock_drift import ClockDriftMonitor
from marlstep.leases.holder import LeaseHolder
from marlstep.leases.manager import LeaseManager
from marlstep.leases.messages import Heartbeat, HeartbeatResponse
from marlstep.leases.settings import LeaseSettings
from marlstep.leases.table import LeaseTable
from marlstep.pool.probing import Probing
from marlstep.scheduled_tasks.run_log import Outcome, RunLog
from marlstep.scheduled_tasks.runner import LEASE_MARGIN, RunnerAction, RunnerState, TaskPlan, TaskRunner
from marlstep.scheduled_tasks.schedule import DAY, MissedRunPolicy, Schedule
from marlstep.units import EPOCH, MILLISECOND, SECOND, ZERO

NOW = EPOCH + timedelta(days=9)
TOLD = LeaseSettings()


# The clock rules.


@given(
    st.floats(0.5, 60),
    st.floats(0.0001, 0.2),
    st.floats(-1, 1),
    st.floats(-1, 1),
    st.floats(0, 1),
)
def test_a_holder_stops_first_whatever_its_clock_and_the_leaders_do_within_the_drift(
    term: float, drift: float, mine: float, theirs: float, late: float
) -> None:
    told = LeaseSettings(term * SECOND, drift)
    my_rate, their_rate = 1 + mine * drift, 1 + theirs * drift
    # In true seconds from the moment when the holder asked; the leader answers at `late`.
    holder_ends = (told.holder_expiry(NOW) - NOW) / SECOND / my_rate
    group_ends = late + (told.leader_expiry(NOW) - NOW) / SECOND / their_rate
    assert holder_ends <= group_ends + 2e-6  # datetimes have whole microseconds


# The holder.


def answer(number: int, count: int, *leases: tuple[str, int], term: int = 1) -> HeartbeatResponse:
    return HeartbeatResponse(number, True, "n1", term, count, leases)


def holding() -> LeaseHolder:
    one = LeaseHolder("n1", "b", TOLD)
    one.set_wanted(["x"])
    one.make_heartbeat(NOW)
    assert [
        change.event for change in one.handle_response(NOW + 50 * MILLISECOND, answer(1, 1, ("x", 7)))
    ] == ["gained"]
    return one


def test_a_lease_is_counted_from_before_the_question() -> None:
    one = holding()
    assert one.time_left("x", NOW) == TOLD.term * 0.99 and one.token("x") == 7
    assert one.time_left("x", NOW + TOLD.term) == ZERO
    assert [change.event for change in one.tick(NOW + TOLD.term)] == ["lapsed"]
    one.make_heartbeat(NOW + TOLD.term)
    assert [c.event for c in one.handle_response(NOW + TOLD.term, answer(2, 2, ("x", 7)))] == ["regained"]


def test_answers_that_are_late_twice_or_overtaken_add_nothing() -> None:
    one = holding()
    until = one.held["x"].expires_at
    one.make_heartbeat(NOW + SECOND)
    one.handle_response(NOW + 2 * SECOND, answer(1, 2, ("x", 7)))  # again to the first beat
    assert one.held["x"].expires_at == until
    one.handle_response(NOW + 2 * SECOND, answer(2, 4))  # it was ended meanwhile
    assert not one.held
    for late in (answer(2, 3, ("x", 7)), answer(2, 4, ("x", 7)), answer(99, 9, ("x", 7))):
        assert one.handle_response(NOW + 2 * SECOND, late) == [] and not one.held
    assert one.handle_response(NOW + 2 * SECOND, answer(2, 1, ("x", 7), term=0)) == []


def test_what_is_given_back_is_not_taken_again_by_an_answer_on_its_way() -> None:
    one = holding()
    beat = one.make_heartbeat(NOW + SECOND)
    assert one.release_all()[0].event == "lost" and not one.held and one.returning
    one.handle_response(NOW + SECOND, answer(beat.number, 2, ("x", 7)))
    assert not one.held
    assert one.make_heartbeat(NOW + SECOND).returned_leases == (("x", 7),)
    one.handle_response(NOW + SECOND, answer(beat.number + 1, 3))
    assert not one.returning


def test_a_grant_that_comes_when_its_time_is_over_is_not_acted_on() -> None:
    one = LeaseHolder("n1", "b", TOLD)
    one.set_wanted(["x"])
    one.make_heartbeat(NOW)
    assert (
        one.handle_response(NOW + TOLD.term, answer(1, 1, ("x", 7))) == []
        and one.time_left("x", NOW + TOLD.term) == ZERO
    )


# The keeper.


class Group:
    """A leader whose proposals are applied at once."""

    def __init__(self, told: LeaseSettings = TOLD) -> None:
        self.table = LeaseTable()
        self.keeper = LeaseManager(self.table, told)
        self.now = NOW
        self.numbers: dict[str, int] = {}
        self.keeper.become_leader(self.now)

    def apply(self, commands: list[Any]) -> None:
        for command in commands:
            self.keeper.on_applied(self.now, command, self.table.apply(command), 0)

    def beat(self, node: str, *wants: str, returns: tuple[tuple[str, int], ...] = (), most: int = 0) -> Any:
        self.numbers[node] = number = self.numbers.get(node, 0) + 1
        self.apply(
            self.keeper.handle_heartbeat(self.now, Heartbeat(node, "b", number, wants, returns, most), 0)
        )
        self.apply(self.keeper.tick(self.now))
        return dict(self.keeper.take_responses(self.now, 1, "n1", 1))

    def after(self, span: timedelta) -> None:
        self.now += span
        self.apply(self.keeper.tick(self.now))


def test_grants_are_spread_over_those_who_wait_and_none_has_more_than_it_takes() -> None:
    group = Group()
    names = [f"t{number}" for number in range(12)]
    for node in ("a", "b", "c"):
        group.beat(node, *names, most=3 if node == "c" else 0)
    assert not group.table.held_counts  # not before all had the time to be heard
    group.after(TOLD.renewal_interval)
    assert sorted(group.table.held_counts.values()) == [3, 4, 5]
    assert group.table.held_counts["c/b"] == 3


def test_an_expired_lease_goes_on_only_after_the_whole_term_and_its_margin() -> None:
    group = Group()
    group.beat("a", "x")
    group.after(TOLD.renewal_interval)
    group.beat("b", "x")
    assert group.table.holder("x") == "a/b"
    group.after(TOLD.term * 1.0099)
    group.beat("b", "x")
    assert group.table.holder("x") == "a/b"
    group.after(TOLD.term * 0.0002)
    group.after(ZERO)  # its end is committed, and then it is granted
    assert group.table.holder("x") == "b/b" and group.table.leases["x"].token == 2


def test_one_that_comes_to_lead_counts_all_terms_anew() -> None:
    group = Group()
    group.beat("a", "x")
    group.after(TOLD.renewal_interval)
    group.now += TOLD.term
    group.keeper.become_leader(group.now)
    group.beat("b", "x")
    group.after(TOLD.term)
    assert group.table.holder("x") == "a/b"


def test_a_renewal_waits_for_a_majority_to_confirm_who_leads() -> None:
    group = Group()
    group.beat("a", "x")
    group.after(TOLD.renewal_interval)
    group.keeper.take_responses(group.now, 1, "n1", 1)
    group.keeper.handle_heartbeat(group.now, Heartbeat("a", "b", 9, ("x",)), 5)
    assert group.keeper.take_responses(group.now, 4, "n1", 1) == []
    [(holder, told)] = group.keeper.take_responses(group.now, 5, "n1", 1)
    assert holder == "a/b" and told.leases == (("x", 1),)


def test_an_answer_that_is_pushed_renews_nothing_for_a_holder_that_is_dead() -> None:
    """It was: with every change of a document, so that the lease of a dead process never ended."""
    group = Group()
    group.beat("a", "x", "rules/a/b")
    group.after(TOLD.renewal_interval)
    assert (
        group.table.holder("rules/a/b") == group.table.holder("x") == "a/b"
        and not group.table.held_counts["b"]
    )
    for _ in range(10):
        group.after(TOLD.term / 5)
        group.keeper.push_to_all(1)
        group.keeper.take_responses(group.now, 1, "n1", 1)
    assert not group.table.holder("x") and "rules/a/b" not in group.table.leases


def test_a_lease_that_is_being_ended_is_not_renewed() -> None:
    group = Group()
    group.beat("a", "x")
    group.after(TOLD.renewal_interval)
    group.now += TOLD.term * 2
    assert [one["do"] for one in group.keeper.tick(group.now)] == ["expire"]  # proposed, not applied yet
    group.keeper.handle_heartbeat(group.now, Heartbeat("a", "b", 99, ("x",)), 0)
    assert dict(group.keeper.take_responses(group.now, 1, "n1", 1))["a/b"].leases == ()


def test_what_is_given_back_goes_on_at_once_and_comes_back_to_who_had_it() -> None:
    group = Group()
    for node in ("a", "b"):
        group.beat(node, "x", "y")
    group.after(TOLD.renewal_interval)
    before = {name: group.table.holder(name) for name in ("x", "y")}
    mine = [name for name, holder in before.items() if holder == "a/b"]
    group.beat("a", returns=tuple((name, group.table.leases[name].token) for name in mine))
    assert all(group.table.holder(name) == "b/b" for name in mine)
    group.beat("b", returns=tuple((name, group.table.leases[name].token) for name in ("x", "y")))
    group.beat("b", "x", "y")
    group.beat("a", "x", "y")
    group.beat("c", "x", "y")
    assert all(group.table.holder(name) for name in ("x", "y"))


def test_a_thousand_leases_are_granted_renewed_and_expire() -> None:
    group = Group()
    names = [f"t{number}" for number in range(1000)]
    for node in ("a", "b", "c", "d"):
        group.beat(node, *names)
    group.after(TOLD.renewal_interval)
    assert all(count == 250 for count in group.table.held_counts.values())
    assert len(group.beat("a", *names)["a/b"].leases) == 250
    group.after(2 * TOLD.term)
    assert not group.table.held_counts
    group.beat("d", *names)
    assert group.table.held_counts["d/b"] == 1000 and group.table.last_token == 2000


@given(st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from("xyz"), st.integers(0, 3)), max_size=60))
def test_tokens_only_grow_and_survive_a_snapshot(steps: list[tuple[str, str, int]]) -> None:
    table, highest = LeaseTable(), 0
    for holder, name, what in steps:
        if what < 3:
            told = table.apply({"do": "grant", "name": name, "holder": f"{holder}/b", "most": what})
            if "granted" in told:
                assert told["token"] > highest
                highest = told["token"]
        elif (lease := table.leases.get(name)) is not None:
            table.apply({"do": "expire", "name": name, "token": lease.token})
        again = LeaseTable()
        again.restore(table.snapshot())
        assert again.snapshot() == table.snapshot() and again.held_counts == table.held_counts
        assert sum(table.held_counts.values()) == sum(bool(one.holder) for one in table.leases.values())
        table = again


# Clocks that err.


@pytest.mark.parametrize(
    ("rate", "found"), [(1.0, False), (1.01, False), (0.99, False), (1.2, True), (0.8, True)]
)
def test_a_clock_beyond_the_drift_is_told_and_a_late_beat_is_not(rate: float, found: bool) -> None:
    watch = ClockDriftMonitor(0.01)
    told = []
    for second in range(60):
        late = 900 * MILLISECOND if second in (5, 20, 21, 40) else ZERO  # a stopped process, a slow line
        told.append(watch.observe("a", NOW + second * rate * SECOND, NOW + second * SECOND + late))
    errors = [one for one in told if one is not None]
    assert bool(errors) is found and watch.exceeds_bound("a") is found
    assert all(abs(one - (rate - 1)) < 0.25 for one in errors)


# Tasks.


def test_a_schedule_numbers_runs_and_skips_or_makes_up_what_was_missed() -> None:
    skip, once = Schedule(10 * SECOND), Schedule(10 * SECOND, missed=MissedRunPolicy.ONCE)
    run = skip.current_run(NOW)
    assert skip.due_run(NOW, run - 1) == run and skip.due_run(NOW, run) is None
    late = NOW + 1_500 * MILLISECOND
    assert skip.due_run(late, run - 1) is None and once.due_run(late, run - 5) == run
    assert skip.next_check(late, run - 1) == NOW + 10 * SECOND
    daily = Schedule(DAY, offset=3 * 3_600 * SECOND)
    assert daily.start_of(daily.current_run(NOW)) == NOW - DAY + 3 * 3_600 * SECOND


def plan(safe: bool) -> TaskPlan:
    return TaskPlan(
        "t", Schedule(SECOND, missed=MissedRunPolicy.ONCE), "schedule-save", safe, 300 * MILLISECOND
    )


class Log:
    """The lease and the record, as the group has them."""

    def __init__(self) -> None:
        self.table = LeaseTable()
        self.record = RunLog(self.table)

    def grant(self, holder: str) -> int:
        lease = self.table.leases.get("task/t")
        if lease is not None and lease.holder:
            self.table.apply({"do": "expire", "name": "task/t", "token": lease.token})
        return int(self.table.apply({"do": "grant", "name": "task/t", "holder": holder, "most": 0})["token"])

    def run(self, runner: TaskRunner, now: Any, until: str, outcome: Outcome = Outcome.DONE) -> list[str]:
        """Let it go on until it would do that; what it did before is given."""
        done: list[str] = []
        for _ in range(30):
            do = runner.next_action(now, now, 2 * SECOND)
            if do is None:
                now += 100 * MILLISECOND
                continue
            if do.what == until:
                return done
            done.append(do.what)
            result = outcome if do.what in ("act", "fence") else self.record.apply(do.command("t"))
            runner.handle_result(now, do, result)
        return done


@pytest.mark.parametrize("safe", [True, False])
def test_a_run_that_was_begun_and_not_ended_is_fenced_and_then_repeated_only_where_that_is_safe(
    safe: bool,
) -> None:
    log, first, second = Log(), TaskRunner(plan(safe)), TaskRunner(plan(safe))
    first.lease_gained(log.grant("a/1"))
    assert log.run(first, NOW, until="act") == ["look", "begin"]
    run = log.record.runs["t"].number
    second.lease_gained(log.grant("b/1"))
    steps = log.run(second, NOW, until="act")
    assert steps[:3] == ["look", "fence", "fenced"]
    assert log.record.runs["t"].number == run if safe else log.record.runs["t"].number > run
    # The first goes on, late: the log turns its outcome down.
    ended = RunnerAction("end", 1, run, outcome=Outcome.DONE).command("t")
    assert "refused" in log.record.apply(ended)


def test_a_run_whose_end_is_known_needs_no_fence() -> None:
    log, first, second = Log(), TaskRunner(plan(False)), TaskRunner(plan(False))
    first.lease_gained(log.grant("a/1"))
    log.run(first, NOW, until="nothing")
    assert log.record.runs["t"].outcome is Outcome.DONE
    second.lease_gained(log.grant("b/1"))
    assert log.run(second, NOW + SECOND, until="act") == ["look", "begin"]


def test_doubt_stays_through_later_runs_that_went_well() -> None:
    log, first, second = Log(), TaskRunner(plan(False)), TaskRunner(plan(False))
    first.lease_gained(log.grant("a/1"))
    log.run(first, NOW, until="nothing", outcome=Outcome.UNKNOWN)
    log.run(first, NOW + 5 * SECOND, until="nothing", outcome=Outcome.DONE)
    assert log.record.runs["t"].outcome is Outcome.DONE and log.record.runs["t"].may_be_in_flight
    second.lease_gained(log.grant("b/1"))
    assert log.run(second, NOW + 9 * SECOND, until="fenced") == ["look", "fence"]


def test_no_act_begins_without_its_longest_time_left_of_the_lease() -> None:
    log, one = Log(), TaskRunner(plan(False))
    one.lease_gained(log.grant("a/1"))
    log.run(one, NOW, until="act")
    one._action_in_flight = False
    assert one.state is RunnerState.EXECUTING
    assert one.next_action(NOW, NOW, one.plan.timeout + LEASE_MARGIN - MILLISECOND) is None
    do = one.next_action(NOW, NOW, one.plan.timeout + LEASE_MARGIN)
    assert do is not None and do.what == "act"


def test_a_begin_whose_answer_was_lost_is_found_in_the_log_and_acted_on_once() -> None:
    log, one = Log(), TaskRunner(plan(False))
    one.lease_gained(log.grant("a/1"))
    log.run(one, NOW, until="begin")
    one._action_in_flight = False
    do = one.next_action(NOW, NOW, 2 * SECOND)
    assert do is not None and do.what == "begin"
    log.record.apply(do.command("t"))
    one.handle_result(NOW, do, None)
    assert log.run(one, NOW + SECOND, until="nothing")[:3] == ["look", "act", "end"]
    assert one.counts["acts"] == 1 or log.record.runs["t"].attempts == 1


def test_what_was_refused_before_it_ran_is_tried_again() -> None:
    log, one = Log(), TaskRunner(plan(False))
    one.lease_gained(log.grant("a/1"))
    steps = log.run(one, NOW, until="nothing", outcome=Outcome.NOT_RUN)
    assert steps.count("act") >= 2 and not log.record.runs["t"].may_be_in_flight


# Probes of servers.


def test_one_node_knocks_and_the_others_wait_for_its_word_or_go_alone() -> None:
    holder, other = Probing(6 * SECOND), Probing(6 * SECOND)
    out = {"s": NOW}
    assert holder.to_dial(out, NOW - MILLISECOND) == [] and holder.to_dial(out, NOW) == ["s"]
    assert holder.to_dial(out, NOW + 500 * MILLISECOND) == []  # not all the time
    assert not holder.may_probe("s", NOW, NOW) and not other.may_probe("s", NOW, NOW)
    holder.dialled("s", True)
    assert holder.may_probe("s", NOW, NOW) and holder.to_dial(out, NOW + 5 * SECOND) == []
    assert other.told("s", 5, out) and other.may_probe("s", NOW, NOW)
    assert not other.told("s", 4, out)  # from a holder that is no more
    assert not other.may_probe("s", NOW + SECOND, NOW + SECOND)  # ejected anew
    assert other.may_probe("s", NOW + SECOND, NOW + 7 * SECOND)  # nobody says anything
