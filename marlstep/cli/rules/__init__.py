"""`marlstep rules`: documents on which the nodes of a fleet agree."""
