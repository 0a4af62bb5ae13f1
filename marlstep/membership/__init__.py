"""Membership: failure detection by gossip, the agreed roster, shares of quotas, and behaviour in a partition."""
