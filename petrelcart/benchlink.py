"""The old place of the simulator's adapter; it stands in `marlstep.simulator` now."""

from __future__ import annotations

import sys

from marlstep.simulator.adapter import Link, WireError, main, serve
from marlstep.simulator.configuration import read_settings

__all__ = ["Link", "WireError", "main", "read_settings", "serve"]

if __name__ == "__main__":
    sys.exit(main())
