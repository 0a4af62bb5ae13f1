"""Documents with versions on which a fleet agrees: settings, tenants, lists of servers. Decisions only."""
