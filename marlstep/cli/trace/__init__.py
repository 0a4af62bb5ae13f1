"""`marlstep trace`: read public cluster traces, and compile and replay schedules."""
