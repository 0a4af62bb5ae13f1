"""Hot restart: a new process of a node takes over from the running one without downtime.

The package is loaded only if the platform passes a listening socket to the process.
"""
