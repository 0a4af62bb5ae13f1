"""Clients of the platform's services: kernel, database, name service."""
