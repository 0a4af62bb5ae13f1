"""Tasks that one process of the group executes on a schedule, at most once at a time. No I/O."""
