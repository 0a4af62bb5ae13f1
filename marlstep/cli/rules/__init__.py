"""`marlstep rules`: manage the replicated documents of a fleet."""
