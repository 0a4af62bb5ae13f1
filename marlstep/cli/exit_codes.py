"""Exit codes of commands."""

from __future__ import annotations

DONE = 0
NOT_SERVED = 1  # the node could not serve
UNUSABLE = 2  # invalid command line, invalid configuration, or no usable input
STRICT_REJECT = 3  # a row of the input is invalid, and `--strict` is given
OUTCOME_UNKNOWN = 4  # an order was sent, and whether it had an effect is not known
PROPERTY_BROKEN = 1  # a drill or an exploration found a property that does not hold
INTERRUPTED = 130  # ended by SIGINT: 128 + 2, as shells report it
