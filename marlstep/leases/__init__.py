"""Leases: one holder at a time, with a fencing token that grows with each grant. No I/O."""
