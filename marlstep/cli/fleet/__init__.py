"""`marlstep fleet`: what a node knows of its fleet, changes of its members, and how a group begins or goes on."""
