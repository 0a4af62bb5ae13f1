"""Run the adapter: `python -m marlstep.simulator`."""

from __future__ import annotations

import sys

from marlstep.simulator.adapter import main

if __name__ == "__main__":
    sys.exit(main())
