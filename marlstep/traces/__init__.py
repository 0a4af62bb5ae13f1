"""Public cluster traces: read, mapped, cut to size, replayed."""
