"""Tasks that a fleet does once: when, by whom, and what is known of a run that was begun. Decisions only."""
