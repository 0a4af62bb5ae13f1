"""Load balancing over one pool of servers: estimates, limits, outlier detection, choice and retries.

Every module decides and none does I/O: the time and the source of randomness are passed in.
"""
