"""Retry-After and callers' credit."""

from __future__ import annotations

from marlstep.admission.actions import Advertise
from marlstep.admission.settings import LoadSignal
from tests.support.helpers import START, ControllerDriver


def test_credit_is_bounded_only_while_requests_queue() -> None:
    server = ControllerDriver(cores=1, load_signal=LoadSignal.CREDIT)
    for index in range(2):
        server.arrive(f"done{index}")
        server.end(f"done{index}", after_ms=400)
    server.tick()
    [free] = server.actions_of(Advertise)
    server.arrive("a")
    server.arrive("b")
    server.tick(after_ms=50)
    [bound] = server.actions_of(Advertise)
    assert 1 <= bound.value < free.value
    assert server.now > START


def test_callers_that_came_once_do_not_reduce_the_credit_of_the_others() -> None:
    # Guards against a credit cut to nothing: on a long run it was shared among dozens of callers that had
    # sent one request, and for ten seconds half of all requests were rejected with cores to spare.
    credits = []
    for others in (0, 40):
        server = ControllerDriver(cores=1, load_signal=LoadSignal.CREDIT, memory_kb=100_000.0)
        for index in range(30):
            server.arrive(f"done{index}", caller=index % 3)
            server.end(f"done{index}", after_ms=20)
        for index in range(others):
            server.arrive(f"once{index}", caller=100 + index)
            server.end(f"once{index}")
        server.arrive("a")
        server.arrive("b")
        server.tick(after_ms=50)
        credits.append(server.actions_of(Advertise)[0].value)
    assert credits[1] > 0.5 * credits[0]
