"""The clock rules of leases."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marlstep.leases.settings import LeaseSettings
from marlstep.units import SECOND
from tests.leases.support import NOW


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
