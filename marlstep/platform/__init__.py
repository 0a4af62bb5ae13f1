"""Clients of the platform's services: the kernel, the database and the name service."""
