"""`marlstep fleet`: show a node's view of its fleet, change members, and create or recover the group."""
