"""Membership: failure detection by gossip, the replicated roster, quota shares, and behaviour in a partition."""
