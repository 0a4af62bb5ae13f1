"""Leases with one holder at a time and a fencing token that increases with each grant. Does no I/O."""
