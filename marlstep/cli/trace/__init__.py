"""`marlstep trace`: public cluster traces, and schedules that are compiled from them."""
