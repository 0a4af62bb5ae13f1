"""Identifies the file at a path, so that a copy of a file is never mistaken for the original.

The inode number is not sufficient because it is reused after its file is removed. The inode's generation and the time
of birth differ then. Python's standard library provides neither.
"""

from __future__ import annotations

import contextlib
import ctypes
import fcntl
import os
from pathlib import Path

# ioctl that returns the inode's generation, which grows when the inode number is reused.
FS_IOC_GETVERSION = 0x80087601
GENERATION_BYTES = 4
IOCTL_ARGUMENT_BYTES = 8  # a C long

AT_FDCWD = -100
STATX_BTIME = 0x800  # bit of stx_mask: the time of birth is requested (in the call) or present (in the reply)
STATX_BYTES = 256
STX_MASK = slice(0, 4)
STX_BTIME_SECONDS = slice(80, 88)  # signed
STX_BTIME_NANOSECONDS = slice(88, 92)
NANOSECONDS_PER_SECOND = 1_000_000_000


def file_identity(path: Path) -> str:
    """Return the identity of an existing file: inode number, generation and time of birth.

    Raises:
        OSError: the file can't be opened or examined.
    """
    return f"{path.stat().st_ino}:{_generation(path)}:{_birth_time(path)}"


def _generation(path: Path) -> int:
    """Return the inode's generation, or 0 if the file system has none."""
    with path.open("rb") as file, contextlib.suppress(OSError):
        reply = fcntl.ioctl(file, FS_IOC_GETVERSION, b"\0" * IOCTL_ARGUMENT_BYTES)
        return int.from_bytes(reply[:GENERATION_BYTES], "little")
    return 0


def _birth_time(path: Path) -> int:
    """Return the file's time of birth in nanoseconds since the epoch, or 0 if the system does not provide it."""
    buffer = ctypes.create_string_buffer(STATX_BYTES)
    try:
        failed = ctypes.CDLL(None).statx(AT_FDCWD, os.fsencode(path), 0, STATX_BTIME, buffer)
    except (AttributeError, OSError):
        return 0
    if failed or not int.from_bytes(buffer.raw[STX_MASK], "little") & STATX_BTIME:
        return 0
    seconds = int.from_bytes(buffer.raw[STX_BTIME_SECONDS], "little", signed=True)
    nanoseconds = int.from_bytes(buffer.raw[STX_BTIME_NANOSECONDS], "little")
    return seconds * NANOSECONDS_PER_SECOND + nanoseconds
