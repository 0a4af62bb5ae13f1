"""The clock rules of lease expiry."""

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
def test_a_lease_expires_on_its_holder_first_for_any_clock_errors_within_the_drift(
    term: float, drift: float, holder_error: float, leader_error: float, delay: float
) -> None:
    settings = LeaseSettings(term * SECOND, drift)
    holder_rate, leader_rate = 1 + holder_error * drift, 1 + leader_error * drift
    # Both times are true seconds since the holder sent its heartbeat. The leader responds after `delay`.
    holder_expiry_s = (settings.holder_expiry(NOW) - NOW) / SECOND / holder_rate
    leader_expiry_s = delay + (settings.leader_expiry(NOW) - NOW) / SECOND / leader_rate
    assert holder_expiry_s <= leader_expiry_s + 2e-6  # datetimes have whole microseconds
