"""The holder: what it may act on, and until when."""

from __future__ import annotations

from marlstep.leases.holder import LeaseHolder
from marlstep.leases.messages import HeartbeatResponse, LeaseToken
from marlstep.units import MILLISECOND, SECOND, ZERO
from tests.leases.support import NOW, TOLD


def answer(number: int, count: int, *leases: tuple[str, int], term: int = 1) -> HeartbeatResponse:
    return HeartbeatResponse(number, True, "n1", term, count, tuple(LeaseToken(*lease) for lease in leases))


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
