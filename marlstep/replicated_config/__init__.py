"""Versioned configuration documents on which a cluster agrees: settings, tenants, server lists. Decisions, no I/O."""
