"""A pool of servers: what is known of each, and which one is taken next. Decisions only, the clock passed in."""
