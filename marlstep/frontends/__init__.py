"""Frontends: what clients speak, translated to requests of the core and back."""
