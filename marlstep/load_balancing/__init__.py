"""Load balancing over one pool of servers: estimates, limits, outlier detection, choice and retries.

The modules do no I/O: the current time and the source of randomness are passed in.
"""
