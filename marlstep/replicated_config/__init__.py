"""Replicated, versioned configuration documents: settings, tenants and server lists. This package does no I/O."""
