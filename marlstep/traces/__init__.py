"""Public cluster traces: reading, mapping to requests, cutting, compiling to schedules, and replay."""
