"""Who is in the fleet: what a node hears of the others, what all agree on, and what it does while they disagree."""
