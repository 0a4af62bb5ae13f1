"""The linearizability checker on histories of reads and compare-and-set changes."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from marlstep.fault_injection.linearizability import Call, CallOutcome, linearizability_violation


def read_call(client: str, begun: int, ended: int, version: int) -> Call:
    return Call(client, begun, ended, -1, CallOutcome.TOLD, version)


def change_call(client: str, begun: int, ended: int, expect: int, version: int) -> Call:
    return Call(client, begun, ended, expect, CallOutcome.DONE, version)


def test_histories_that_are_not_linearizable_are_detected() -> None:
    linearizable = [
        change_call("a", 0, 5, 1, 2),
        read_call("b", 1, 3, 1),
        read_call("c", 2, 4, 2),
        read_call("b", 6, 7, 2),
    ]
    assert not linearizability_violation(linearizable, first=1)
    violations = {
        "a stale read": [change_call("a", 0, 5, 1, 2), read_call("b", 6, 7, 1)],
        "a read of the old version after a read of the new one": [
            change_call("a", 0, 9, 1, 2),
            read_call("b", 1, 3, 2),
            read_call("c", 4, 5, 1),
        ],
        "two changes that expect the same version": [
            change_call("a", 0, 5, 1, 2),
            change_call("b", 1, 4, 1, 3),
        ],
        "a read of a version that was never written": [read_call("a", 0, 1, 7)],
        "a rejection that names a version that was never written": [Call("a", 0, 1, 1, CallOutcome.STALE, 4)],
    }
    for name, calls in violations.items():
        assert linearizability_violation(calls, first=1), name
    # A change without a response may take effect at any later time or never, but not before it began.
    unanswered = Call("a", 4, None, 1, CallOutcome.UNKNOWN, 2)
    assert not linearizability_violation(
        [unanswered, read_call("b", 5, 6, 1), read_call("b", 90, 91, 2)], first=1
    )
    assert linearizability_violation([unanswered, read_call("b", 1, 3, 2)], first=1)


@given(
    st.lists(st.tuples(st.integers(0, 9), st.booleans(), st.integers(0, 30), st.integers(0, 30)), max_size=25)
)
def test_histories_of_a_register_are_linearizable_however_the_calls_overlap(
    rows: list[tuple[int, bool, int, int]],
) -> None:
    calls, version, now = [], 1, 0
    for client, is_change, before, after in rows:
        now += 10  # when the call takes effect, between its start and its end
        if is_change:
            calls.append(change_call(f"c{client}", now - before, now + after, version, version + 1))
            version += 1
        else:
            calls.append(read_call(f"c{client}", now - before, now + after, version))
    assert not linearizability_violation(calls, first=1)
    if calls and calls[-1].came is CallOutcome.TOLD and version > 1:
        stale_read = replace(calls[-1], begun_us=now + 100, ended_us=now + 101, version=version - 1)
        assert linearizability_violation([*calls, stale_read], first=1)
