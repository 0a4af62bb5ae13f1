"""Exit codes of commands."""

from __future__ import annotations

DONE = 0
NOT_SERVED = 1  # the node could not serve
UNUSABLE = 2  # a wrong call, a wrong configuration, or nothing usable in the input
STRICT_REJECT = 3  # `--strict`, and a row of the input is invalid
PROPERTY_BROKEN = 1  # a drill or an exploration found a property that does not hold
INTERRUPTED = 130  # ended by SIGINT, as a shell reports it
