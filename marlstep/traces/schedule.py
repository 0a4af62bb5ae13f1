"""Compiled schedules: the requests of a replay in a file that is read back with little memory.

    magic, version (u16), length of the head (u32), head (JSON, padded), checksum of all before it
    block: compressed length (u32), raw length (u32), checksum (16 bytes of BLAKE3), zstd data
    end:   0 (u32), number of requests (u64), checksum over all block checksums

A block holds the names that are new in it and then its requests, each 26 bytes. The head names the sources and the
settings by their BLAKE3, so that two schedules of the same head are the same.
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

from marlstep.errors import MarlstepError
from marlstep.traces.mapping import PlannedRequest

MAGIC = b"MARLSCH\n"
VERSION = 1
HEAD = struct.Struct("<8sHI")
BLOCK = struct.Struct("<II16s")
END = struct.Struct("<IQ16s")
END_MARK = b"\0\0\0\0"  # in the place of a block's length
RECORD = struct.Struct("<QIHIQ")  # time, work, class, tenant, sender
NAMES = struct.Struct("<I")
CHECKSUM_BYTES = 16
BLOCK_ROWS = 16_384
MAX_BLOCK_BYTES = 4 << 20  # unpacked; a larger block is corrupt
MAX_PACKING_OVERHEAD_BYTES = 1024  # by which data that does not compress may grow
MAX_HEAD_BYTES = 1 << 20
HEAD_PADDING_BYTES = 4096  # the head is written again at the end, with what is known only then
MAX_NAMES = 1 << 20
COMPRESSION_LEVEL = 3


class ScheduleError(MarlstepError):
    """A schedule can't be read or written.

    Attributes:
        path: of its file.
        problem: what is wrong with it, in one line.
    """

    def __init__(self, path: str | Path, problem: str | None) -> None:
        """Name the file, and what is wrong with it."""
        super().__init__(f"{path}: {problem}")
        self.path = str(path)
        self.problem = problem


def checksum(data: bytes) -> bytes:
    """Return the start of the data's BLAKE3."""
    return blake3(data).digest(CHECKSUM_BYTES)


class ScheduleWriter:
    """Writes a schedule beside its place, and moves it there when it is complete.

    Attributes:
        path: where the schedule goes.
        count: requests that were written.
        last_us: time of the last request, in microseconds since the start.
    """

    def __init__(self, path: str, head: Mapping[str, object]) -> None:
        """Begin the file with its head, which `finish` replaces.

        Args:
            path: where the schedule goes.
            head: what is known at the start.
        """
        self.path = Path(path)
        self._part = self.path.with_name(self.path.name + ".part")
        self._file: BinaryIO = open(self._part, "w+b")  # noqa: SIM115  (closed in __exit__)
        self._head_bytes = len(orjson.dumps(head)) + HEAD_PADDING_BYTES
        self._compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
        self._rows: list[PlannedRequest] = []
        self._names: dict[str, int] = {}
        self._new_names: list[str] = []  # since the last block
        self._checksums = blake3()
        self.count = 0
        self.last_us = 0
        self._write_head(head)

    def _write_head(self, head: Mapping[str, object]) -> None:
        text = orjson.dumps(head, option=orjson.OPT_SORT_KEYS)
        if len(text) > self._head_bytes:
            raise ScheduleError(self.path, f"its head has grown past {self._head_bytes} bytes")
        data = HEAD.pack(MAGIC, VERSION, self._head_bytes) + text.ljust(self._head_bytes)
        self._file.write(data + checksum(data))

    def add(self, rows: Iterable[PlannedRequest]) -> None:
        """Add requests, which come in order of time. Raises ScheduleError."""
        for row in rows:
            if row.at_us < self.last_us:
                raise ScheduleError(self.path, "requests are not in order of time")
            self.last_us = row.at_us
            self._rows.append(row)
            if len(self._rows) >= BLOCK_ROWS:
                self._write_block()

    def _write_block(self) -> None:
        if not self._rows:
            return
        raw = self._pack_rows()
        if len(raw) > MAX_BLOCK_BYTES:
            raise ScheduleError(self.path, f"the names of one block take over {MAX_BLOCK_BYTES} bytes")
        data = self._compressor.compress(raw)
        check = checksum(data)
        self._checksums.update(check)
        self._file.write(BLOCK.pack(len(data), len(raw), check) + data)
        self.count += len(self._rows)
        self._rows.clear()
        self._new_names.clear()

    def _pack_rows(self) -> bytes:
        """Return the names that are new since the last block, and the requests that refer to them."""
        pack, index = RECORD.pack, self._index
        records = [
            pack(row.at_us, row.work_us, index(row.request_class), index(row.tenant), row.sender)
            for row in self._rows
        ]
        names = orjson.dumps(self._new_names)
        return NAMES.pack(len(names)) + names + b"".join(records)

    def _index(self, name: str) -> int:
        index = self._names.get(name)
        if index is None:
            index = self._names[name] = len(self._names)
            if index >= MAX_NAMES:
                raise ScheduleError(self.path, f"over {MAX_NAMES} names of tenants and classes")
            self._new_names.append(name)
        return index

    def finish(self, head: Mapping[str, object]) -> None:
        """Write the last block, the end and the head with all that is known; then put the file in its place.

        Raises:
            ScheduleError: the head or the last block is too large.
        """
        self._write_block()
        self._file.write(END.pack(0, self.count, self._checksums.digest(CHECKSUM_BYTES)))
        self._file.seek(0)
        self._write_head(head)
        self._file.flush()
        os.fsync(self._file.fileno())
        self._file.close()
        os.replace(self._part, self.path)

    def __enter__(self) -> ScheduleWriter:
        """Return the writer, whose part is removed on exit unless it was finished."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Remove the part of a schedule that was not finished."""
        if not self._file.closed:
            self._file.close()
            self._part.unlink(missing_ok=True)


class Schedule:
    """A compiled schedule, open for reading. `rows` may be asked for again and again.

    Attributes:
        path: of its file.
        head: the JSON object at its start.
    """

    def __init__(self, path: str) -> None:
        """Open the file and read its head. Raises ScheduleError."""
        self.path = path
        try:
            self._file: BinaryIO = open(path, "rb")  # noqa: SIM115  (closed in close)
        except OSError as error:
            raise ScheduleError(path, error.strerror) from error
        try:
            self.head = self._read_head()
        except BaseException:
            self._file.close()
            raise
        self._first_block = self._file.tell()

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def __enter__(self) -> Schedule:
        """Return the schedule, which is closed on exit."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the file."""
        self.close()

    def _take(self, size: int, section: str) -> bytes:
        data = self._file.read(size)
        if len(data) != size:
            raise ScheduleError(self.path, f"cut short inside {section}")
        return data

    def _read_head(self) -> dict[str, Any]:
        start = self._file.read(HEAD.size)
        if start[: len(MAGIC)] != MAGIC[: len(start)] or not start:
            raise ScheduleError(self.path, "not a compiled schedule")
        if len(start) != HEAD.size:
            raise ScheduleError(self.path, "cut short inside its head")
        _, version, size = HEAD.unpack(start)
        if version > VERSION:
            raise ScheduleError(
                self.path, f"version {version}, written by a newer marlstep (this reads {VERSION})"
            )
        if version < 1 or size > MAX_HEAD_BYTES:
            raise ScheduleError(self.path, "its head is corrupt")
        text = self._take(size, "its head")
        if self._take(CHECKSUM_BYTES, "its head") != checksum(start + text):
            raise ScheduleError(self.path, "its head is corrupt (checksum)")
        head: dict[str, Any] = orjson.loads(text)
        return head

    def rows(self) -> Iterator[PlannedRequest]:
        """Yield the requests in order of time; a block at a time is in memory. Raises ScheduleError."""
        self._file.seek(self._first_block)
        decompressor = zstandard.ZstdDecompressor()
        names: list[str] = []
        checksums, count, number = blake3(), 0, 0
        while True:
            number += 1
            section = f"block {number}"
            start = self._take(len(END_MARK), section)
            if start == END_MARK:
                self._check_end(start, count, checksums.digest(CHECKSUM_BYTES))
                return
            raw, check = self._read_block(start, section, decompressor)
            checksums.update(check)
            try:
                for row in _unpack_rows(raw, names):
                    yield row
                    count += 1
            except (ValueError, struct.error, IndexError) as error:
                raise ScheduleError(self.path, f"{section} is corrupt ({error})") from None

    def _check_end(self, start: bytes, count: int, checksums: bytes) -> None:
        data = start + self._take(END.size - len(start), "its end")
        _, stored_count, stored_checksums = END.unpack(data)
        if stored_count != count or stored_checksums != checksums:
            raise ScheduleError(self.path, "its end is corrupt (checksum)")
        if self._file.read(1):
            raise ScheduleError(self.path, "something follows its end")

    def _read_block(
        self, start: bytes, section: str, decompressor: zstandard.ZstdDecompressor
    ) -> tuple[bytes, bytes]:
        """Return the unpacked block and its checksum."""
        size, raw_size, check = BLOCK.unpack(start + self._take(BLOCK.size - len(start), section))
        if size > MAX_BLOCK_BYTES + MAX_PACKING_OVERHEAD_BYTES or raw_size > MAX_BLOCK_BYTES:
            raise ScheduleError(self.path, f"{section} is corrupt (length)")
        data = self._take(size, section)
        if checksum(data) != check:
            raise ScheduleError(self.path, f"{section} is corrupt (checksum)")
        try:
            raw = decompressor.decompress(data, max_output_size=MAX_BLOCK_BYTES)
        except zstandard.ZstdError as error:
            raise ScheduleError(self.path, f"{section} is corrupt ({error})") from None
        if len(raw) != raw_size:
            raise ScheduleError(self.path, f"{section} is corrupt (length)")
        return raw, check


def _unpack_rows(raw: bytes, names: list[str]) -> Iterator[PlannedRequest]:
    """Yield the requests of a block, after its new names are added to those of earlier blocks."""
    (length,) = NAMES.unpack_from(raw)
    records = NAMES.size + length
    names += orjson.loads(raw[NAMES.size : records])
    for at_us, work_us, request_class, tenant, sender in RECORD.iter_unpack(raw[records:]):
        yield PlannedRequest(at_us, names[request_class], names[tenant], work_us, sender)
