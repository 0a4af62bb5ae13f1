"""Golden files: the exact bytes that processes write to each other, or keep in a snapshot, and tests that hold them.

Names in the data files are those of the wire, not of Python classes or fields. `python -m tests.golden.record` writes
the files anew; no test does.
"""
