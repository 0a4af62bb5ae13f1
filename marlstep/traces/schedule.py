"""Compiled schedules: the requests of a replay in a file that is read back with little memory.

    magic, version (u16), length of the head (u32), head (JSON, padded), checksum of all before it
    block: compressed length (u32), raw length (u32), checksum (16 bytes of BLAKE3), zstd data
    end:   0 (u32), number of requests (u32 pairs as u64), checksum over all block checksums

A block holds the names that are new in it and then its requests, each 23 bytes. The head names the sources and the
settings by their BLAKE3, so that two schedules of the same head are the same. Whatever is wrong with a file raises
ScheduleError, in one line.
"""

from __future__ import annotations

import os
import struct
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from types import TracebackType
from typing import Any, BinaryIO

import orjson
import zstandard
from blake3 import blake3

from marlstep.traces.mapping import Planned

MAGIC = b"MARLSCH\n"
VERSION = 1
HEAD = struct.Struct("<8sHI")
BLOCK = struct.Struct("<II16s")
END = struct.Struct("<IQ16s")
RECORD = struct.Struct("<QIHIQ")  # at, work, class, tenant, sender
NAMES = struct.Struct("<I")
BLOCK_ROWS = 16_384
MOST_RAW = 4 << 20  # bytes of a block; a larger one is no block of ours
MOST_HEAD = 1 << 20
MOST_NAMES = 1 << 20
LEVEL = 3


class ScheduleError(Exception):
    """What is wrong with a compiled schedule, in one line."""


def digest(data: bytes, size: int = 16) -> bytes:
    return blake3(data).digest(size)


class Writer:
    """Writes beside the file's place and moves it there when it is whole."""

    def __init__(self, path: str, head: Mapping[str, Any]) -> None:
        self.path = Path(path)
        self._part = self.path.with_name(self.path.name + ".part")
        self._file: BinaryIO = open(self._part, "w+b")  # noqa: SIM115  (closed in __exit__)
        self._size = len(orjson.dumps(head)) + 4096  # the head is written again at the end, with its digests
        self._zstd = zstandard.ZstdCompressor(level=LEVEL)
        self._rows: list[Planned] = []
        self._names: dict[str, int] = {}
        self._fresh: list[str] = []
        self._sums = blake3()
        self.count = 0
        self.last_us = 0
        self._write_head(head)

    def _write_head(self, head: Mapping[str, Any]) -> None:
        text = orjson.dumps(head, option=orjson.OPT_SORT_KEYS)
        if len(text) > self._size:
            raise ScheduleError(f"{self.path}: its head has grown past {self._size} bytes")
        data = HEAD.pack(MAGIC, VERSION, self._size) + text.ljust(self._size)
        self._file.write(data + digest(data))

    def _number(self, name: str) -> int:
        number = self._names.get(name)
        if number is None:
            number = self._names[name] = len(self._names)
            if number >= MOST_NAMES:
                raise ScheduleError(f"{self.path}: over {MOST_NAMES} names of tenants and classes")
            self._fresh.append(name)
        return number

    def add(self, rows: Iterable[Planned]) -> None:
        for row in rows:
            if row.at_us < self.last_us:
                raise ScheduleError(f"{self.path}: requests are not in order of time")
            self.last_us = row.at_us
            self._rows.append(row)
            if len(self._rows) >= BLOCK_ROWS:
                self._flush()

    def _flush(self) -> None:
        if not self._rows:
            return
        pack = RECORD.pack
        records = [
            pack(row.at_us, row.work_us, self._number(row.kind), self._number(row.tenant), row.sender)
            for row in self._rows
        ]
        names = orjson.dumps(self._fresh)
        raw = NAMES.pack(len(names)) + names + b"".join(records)
        if len(raw) > MOST_RAW:
            raise ScheduleError(f"{self.path}: the names of one block take over {MOST_RAW} bytes")
        data = self._zstd.compress(raw)
        check = digest(data)
        self._sums.update(check)
        self._file.write(BLOCK.pack(len(data), len(raw), check) + data)
        self.count += len(self._rows)
        self._rows.clear()
        self._fresh.clear()

    def finish(self, head: Mapping[str, Any]) -> None:
        """The last block, the end, and the head with what is known only now; then the file takes its place."""
        self._flush()
        self._file.write(END.pack(0, self.count, self._sums.digest(16)))
        self._file.seek(0)
        self._write_head(head)
        self._file.flush()
        os.fsync(self._file.fileno())
        self._file.close()
        os.replace(self._part, self.path)

    def __enter__(self) -> Writer:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, fault: BaseException | None, trace: TracebackType | None
    ) -> None:
        if not self._file.closed:
            self._file.close()
            self._part.unlink(missing_ok=True)


class Schedule:
    """A compiled schedule, open for reading. `rows` may be asked for again and again."""

    def __init__(self, path: str) -> None:
        self.path = path
        try:
            self._file: BinaryIO = open(path, "rb")  # noqa: SIM115  (closed in close)
        except OSError as fault:
            raise ScheduleError(f"{path}: {fault.strerror}") from fault
        self.head: dict[str, Any] = {}
        try:
            self._read_head()
        except BaseException:
            self._file.close()
            raise

    def close(self) -> None:
        self._file.close()

    def __enter__(self) -> Schedule:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _take(self, size: int, what: str) -> bytes:
        data = self._file.read(size)
        if len(data) != size:
            raise ScheduleError(f"{self.path}: cut short inside {what}")
        return data

    def _read_head(self) -> None:
        start = self._file.read(HEAD.size)
        if start[: len(MAGIC)] != MAGIC[: len(start)] or not start:
            raise ScheduleError(f"{self.path}: not a compiled schedule")
        if len(start) != HEAD.size:
            raise ScheduleError(f"{self.path}: cut short inside its head")
        _, version, size = HEAD.unpack(start)
        if version > VERSION:
            raise ScheduleError(
                f"{self.path}: version {version}, written by a newer marlstep (this reads {VERSION})"
            )
        if version < 1 or size > MOST_HEAD:
            raise ScheduleError(f"{self.path}: its head is corrupt")
        text = self._take(size, "its head")
        if self._take(16, "its head") != digest(start + text):
            raise ScheduleError(f"{self.path}: its head is corrupt (checksum)")
        self.head = orjson.loads(text)
        self._start = self._file.tell()

    def rows(self) -> Iterator[Planned]:
        """The requests in order of time; a block at a time is in memory."""
        self._file.seek(self._start)
        unzstd = zstandard.ZstdDecompressor()
        names: list[str] = []
        sums, count, block = blake3(), 0, 0
        while True:
            block += 1
            what = f"block {block}"
            data = self._take(4, what)
            if data == b"\0\0\0\0":
                data += self._take(END.size - 4, "its end")
                _, told, check = END.unpack(data)
                if told != count or check != sums.digest(16):
                    raise ScheduleError(f"{self.path}: its end is corrupt (checksum)")
                if self._file.read(1):
                    raise ScheduleError(f"{self.path}: something follows its end")
                return
            size, raw_size, check = BLOCK.unpack(data + self._take(BLOCK.size - 4, what))
            if size > MOST_RAW + 1024 or raw_size > MOST_RAW:
                raise ScheduleError(f"{self.path}: {what} is corrupt (length)")
            packed = self._take(size, what)
            if digest(packed) != check:
                raise ScheduleError(f"{self.path}: {what} is corrupt (checksum)")
            sums.update(check)
            try:
                raw = unzstd.decompress(packed, max_output_size=MOST_RAW)
                if len(raw) != raw_size:
                    raise ValueError("length")
                (length,) = NAMES.unpack_from(raw)
                names += orjson.loads(raw[NAMES.size : NAMES.size + length])
                for at, work, kind, tenant, sender in RECORD.iter_unpack(raw[NAMES.size + length :]):
                    yield Planned(at, names[kind], names[tenant], work, sender)
                    count += 1
            except (zstandard.ZstdError, ValueError, struct.error, IndexError) as fault:
                raise ScheduleError(f"{self.path}: {what} is corrupt ({fault})") from None
