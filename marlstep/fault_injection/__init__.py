"""Fault injection: seeded fault plans run on real or simulated nodes, and checkers for the recorded effects."""
