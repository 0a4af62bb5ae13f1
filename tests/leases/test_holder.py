"""The lease holder: which leases it may act on, and until when."""

from __future__ import annotations

from marlstep.leases.holder import LeaseHolder
from marlstep.leases.messages import HeartbeatResponse, LeaseToken
from marlstep.units import MILLISECOND, SECOND, ZERO
from tests.leases.support import NOW, SETTINGS


def response(number: int, sequence: int, *leases: tuple[str, int], term: int = 1) -> HeartbeatResponse:
    return HeartbeatResponse(
        number, True, "n1", term, sequence, tuple(LeaseToken(*lease) for lease in leases)
    )


def holder_with_lease() -> LeaseHolder:
    holder = LeaseHolder("n1", "b", SETTINGS)
    holder.set_wanted(["x"])
    holder.make_heartbeat(NOW)
    assert [
        event.event for event in holder.handle_response(NOW + 50 * MILLISECOND, response(1, 1, ("x", 7)))
    ] == ["gained"]
    return holder


def test_a_lease_term_is_counted_from_the_time_its_heartbeat_was_sent() -> None:
    holder = holder_with_lease()
    assert holder.time_left("x", NOW) == SETTINGS.term * 0.99 and holder.token("x") == 7
    assert holder.time_left("x", NOW + SETTINGS.term) == ZERO
    assert [event.event for event in holder.tick(NOW + SETTINGS.term)] == ["lapsed"]
    holder.make_heartbeat(NOW + SETTINGS.term)
    assert [
        event.event for event in holder.handle_response(NOW + SETTINGS.term, response(2, 2, ("x", 7)))
    ] == ["regained"]


def test_late_duplicate_or_overtaken_responses_extend_no_lease() -> None:
    holder = holder_with_lease()
    expiry = holder.held["x"].expires_at
    holder.make_heartbeat(NOW + SECOND)
    holder.handle_response(NOW + 2 * SECOND, response(1, 2, ("x", 7)))  # second response to heartbeat 1
    assert holder.held["x"].expires_at == expiry
    holder.handle_response(NOW + 2 * SECOND, response(2, 4))  # the lease was ended in the meantime
    assert not holder.held
    for stale_response in (response(2, 3, ("x", 7)), response(2, 4, ("x", 7)), response(99, 9, ("x", 7))):
        assert holder.handle_response(NOW + 2 * SECOND, stale_response) == [] and not holder.held
    assert holder.handle_response(NOW + 2 * SECOND, response(2, 1, ("x", 7), term=0)) == []


def test_a_returned_lease_is_not_held_again_after_a_response_in_flight() -> None:
    holder = holder_with_lease()
    heartbeat = holder.make_heartbeat(NOW + SECOND)
    assert holder.release_all()[0].event == "lost" and not holder.held and holder.returning
    holder.handle_response(NOW + SECOND, response(heartbeat.number, 2, ("x", 7)))
    assert not holder.held
    assert holder.make_heartbeat(NOW + SECOND).returned_leases == (("x", 7),)
    holder.handle_response(NOW + SECOND, response(heartbeat.number + 1, 3))
    assert not holder.returning


def test_a_grant_that_arrives_after_its_term_is_ignored() -> None:
    holder = LeaseHolder("n1", "b", SETTINGS)
    holder.set_wanted(["x"])
    holder.make_heartbeat(NOW)
    assert (
        holder.handle_response(NOW + SETTINGS.term, response(1, 1, ("x", 7))) == []
        and holder.time_left("x", NOW + SETTINGS.term) == ZERO
    )
