"""The platform's other parties: kernel, database, name service."""
