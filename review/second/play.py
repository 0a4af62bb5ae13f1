"""Runs a case: its exit code is 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.second.node import CannotRunError
from review.second.record import Record

LIMIT_S = 115.0

Play = Callable[[Record, bool], Awaitable[list[str]]]


def main(script: str, play: Play) -> None:
    """Play a case and exit.

    Args:
        script: path of the case's script; `record.txt` is written beside it.
        play: plays the case with or without its trouble, and returns what broke the rule.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that the processes are ended then too
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(script).resolve().parent / "record.txt")
    record.write(f"trouble: {'yes' if trouble else 'no'}")
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, trouble), LIMIT_S))
    except (CannotRunError, TimeoutError, OSError) as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    except Exception:  # noqa: BLE001 - whatever it is, the case could not be judged
        record.write(traceback.format_exc())
        traceback.print_exc()
        sys.exit(2)
    finally:
        if sys.exc_info()[0] is not None:
            record.close()
    for text in broken[:10]:
        record.write(f"BROKEN {text}")
        print(f"broken: {text}")
    verdict = f"{len(broken)} breaches" if broken else "the rule held"
    record.write(verdict)
    record.close()
    print(verdict)
    sys.exit(1 if broken else 0)
