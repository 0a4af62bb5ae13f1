"""Golden files with the exact bytes of messages, stored data and outward JSON, and the tests that compare with them.

Names in the data files are those of the wire, not of Python classes or fields. `python -m tests.golden.record` and
`python -m tests.golden.record_state` rewrite the files; no test does.
"""
