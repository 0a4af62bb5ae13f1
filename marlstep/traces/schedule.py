"""Compiled schedules: files with the requests of a replay, which are read block by block in bounded memory.

    header: magic, version (u16), length of the JSON (u32), JSON (padded), checksum of all preceding bytes
    block:  compressed length (u32), raw length (u32), checksum (16 bytes of BLAKE3), zstd data
    end:    0 (u32), number of requests (u64), checksum over all block checksums

A block contains the names that are new in it, then its requests of 26 bytes each. The JSON of the header identifies
the sources and the settings by their BLAKE3 digests, so two schedules with the same header have the same content.
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
HEADER = struct.Struct("<8sHI")
BLOCK = struct.Struct("<II16s")
END = struct.Struct("<IQ16s")
END_MARK = b"\0\0\0\0"  # stands where a block has its compressed length
RECORD = struct.Struct("<QIHIQ")  # time, work, class, tenant, sender
NAMES = struct.Struct("<I")
CHECKSUM_BYTES = 16
BLOCK_ROWS = 16_384
MAX_BLOCK_BYTES = 4 << 20  # raw length; a larger block is corrupt
MAX_PACKING_OVERHEAD_BYTES = 1024  # limit of the growth of incompressible data by compression
MAX_HEADER_BYTES = 1 << 20
HEADER_PADDING_BYTES = 4096  # room for what `finish` adds when it rewrites the header
MAX_NAMES = 1 << 20
COMPRESSION_LEVEL = 3


class ScheduleError(MarlstepError):
    """A schedule can't be read, or can't be written because its requests are unordered or exceed a limit of the format.

    Attributes:
        path: Path of the file.
        problem: What is wrong with the file, in one line.
    """

    def __init__(self, path: str | Path, problem: str | None) -> None:
        """Initialize the error with the path of the file and the problem."""
        super().__init__(f"{path}: {problem}")
        self.path = str(path)
        self.problem = problem


def checksum(data: bytes) -> bytes:
    """Return the first CHECKSUM_BYTES bytes of the BLAKE3 digest of `data`."""
    return blake3(data).digest(CHECKSUM_BYTES)


class ScheduleWriter:
    """Writes a schedule to a temporary file, and renames it to its path once it is complete.

    Attributes:
        path: Path of the schedule.
        count: Number of requests in the blocks written so far.
        last_us: Time of the last added request, in microseconds since the start.
    """

    def __init__(self, path: str, header: Mapping[str, object]) -> None:
        """Create the temporary file and write a preliminary header, which `finish` replaces.

        Args:
            path: Path of the schedule.
            header: JSON object of the preliminary header.

        Raises:
            OSError: The temporary file can't be created.
        """
        self.path = Path(path)
        self._temporary_path = self.path.with_name(self.path.name + ".part")
        self._file: BinaryIO = open(self._temporary_path, "w+b")  # noqa: SIM115  (closed in __exit__)
        self._header_bytes = len(orjson.dumps(header)) + HEADER_PADDING_BYTES
        self._compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
        self._rows: list[PlannedRequest] = []
        self._name_indices: dict[str, int] = {}
        self._new_names: list[str] = []  # names first used since the last block
        self._checksums = blake3()
        self.count = 0
        self.last_us = 0
        self._write_header(header)

    def _write_header(self, header: Mapping[str, object]) -> None:
        text = orjson.dumps(header, option=orjson.OPT_SORT_KEYS)
        if len(text) > self._header_bytes:
            raise ScheduleError(
                self.path, f"expected a header of at most {self._header_bytes} bytes, got {len(text)}"
            )
        data = HEADER.pack(MAGIC, VERSION, self._header_bytes) + text.ljust(self._header_bytes)
        self._file.write(data + checksum(data))

    def add(self, rows: Iterable[PlannedRequest]) -> None:
        """Add requests in order of time.

        Raises:
            ScheduleError: A request is earlier than the one before it, the schedule has more than MAX_NAMES names, or
                the names of a block are too long.
        """
        for row in rows:
            if row.at_us < self.last_us:
                raise ScheduleError(
                    self.path, "expected requests in order of time, got one earlier than the one before it"
                )
            self.last_us = row.at_us
            self._rows.append(row)
            if len(self._rows) >= BLOCK_ROWS:
                self._write_block()

    def _write_block(self) -> None:
        if not self._rows:
            return
        raw = self._pack_rows()
        if len(raw) > MAX_BLOCK_BYTES:
            raise ScheduleError(
                self.path,
                f"expected a block of at most {MAX_BLOCK_BYTES} bytes, got {len(raw)}; its names are too long",
            )
        data = self._compressor.compress(raw)
        check = checksum(data)
        self._checksums.update(check)
        self._file.write(BLOCK.pack(len(data), len(raw), check) + data)
        self.count += len(self._rows)
        self._rows.clear()
        self._new_names.clear()

    def _pack_rows(self) -> bytes:
        """Return the raw data of a block: the names new since the last block, and the requests."""
        pack, index = RECORD.pack, self._name_index
        records = [
            pack(row.at_us, row.work_us, index(row.request_class), index(row.tenant), row.sender)
            for row in self._rows
        ]
        names = orjson.dumps(self._new_names)
        return NAMES.pack(len(names)) + names + b"".join(records)

    def _name_index(self, name: str) -> int:
        index = self._name_indices.get(name)
        if index is None:
            index = self._name_indices[name] = len(self._name_indices)
            if index >= MAX_NAMES:
                raise ScheduleError(
                    self.path, f"expected at most {MAX_NAMES} names of tenants and classes, got more"
                )
            self._new_names.append(name)
        return index

    def finish(self, header: Mapping[str, object]) -> None:
        """Write the last block, the end record and the final header; then rename the file to its path.

        Args:
            header: JSON object of the final header.

        Raises:
            OSError: The file can't be written or renamed.
            ScheduleError: The header or the last block is too large, or there are more than MAX_NAMES names.
        """
        self._write_block()
        self._file.write(END.pack(0, self.count, self._checksums.digest(CHECKSUM_BYTES)))
        self._file.seek(0)
        self._write_header(header)
        self._file.flush()
        os.fsync(self._file.fileno())
        self._file.close()
        os.replace(self._temporary_path, self.path)

    def __enter__(self) -> ScheduleWriter:
        """Return the writer; on exit its temporary file is removed unless `finish` has completed."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Remove the temporary file of a schedule that was not finished."""
        if not self._file.closed:
            self._file.close()
            self._temporary_path.unlink(missing_ok=True)


class Schedule:
    """A compiled schedule, open for reading; `rows` may be called repeatedly.

    Attributes:
        path: Path of the file.
        header: JSON object of the header.
    """

    def __init__(self, path: str) -> None:
        """Open the file and read its header.

        Raises:
            ScheduleError: The file can't be opened, is not a schedule, or has a corrupt header or a newer version.
        """
        self.path = path
        try:
            self._file: BinaryIO = open(path, "rb")  # noqa: SIM115  (closed in close)
        except OSError as error:
            raise ScheduleError(path, error.strerror) from error
        try:
            self.header = self._read_header()
        except BaseException:
            self._file.close()
            raise
        self._first_block = self._file.tell()

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def __enter__(self) -> Schedule:
        """Return the schedule; its file is closed on exit."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the file."""
        self.close()

    def _read_exactly(self, size: int, section: str) -> bytes:
        data = self._file.read(size)
        if len(data) != size:
            raise ScheduleError(self.path, f"cut short inside {section}")
        return data

    def _read_header(self) -> dict[str, Any]:
        start = self._file.read(HEADER.size)
        if start[: len(MAGIC)] != MAGIC[: len(start)] or not start:
            raise ScheduleError(self.path, "not a compiled schedule")
        if len(start) != HEADER.size:
            raise ScheduleError(self.path, "cut short inside its header")
        _, version, size = HEADER.unpack(start)
        if version > VERSION:
            raise ScheduleError(
                self.path,
                f"version {version}, written by a newer marlstep (this one reads versions up to {VERSION})",
            )
        if version < 1 or size > MAX_HEADER_BYTES:
            raise ScheduleError(self.path, "its header is corrupt (version or length)")
        text = self._read_exactly(size, "its header")
        if self._read_exactly(CHECKSUM_BYTES, "its header") != checksum(start + text):
            raise ScheduleError(self.path, "its header is corrupt (checksum)")
        header: dict[str, Any] = orjson.loads(text)
        return header

    def rows(self) -> Iterator[PlannedRequest]:
        """Yield the requests in order of time, with one block in memory at a time.

        Raises:
            ScheduleError: A block or the end record is truncated or corrupt, or data follows the end record.
        """
        self._file.seek(self._first_block)
        decompressor = zstandard.ZstdDecompressor()
        names: list[str] = []
        checksums, count, number = blake3(), 0, 0
        while True:
            number += 1
            section = f"block {number}"
            start = self._read_exactly(len(END_MARK), section)
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
        data = start + self._read_exactly(END.size - len(start), "its end record")
        _, stored_count, stored_checksums = END.unpack(data)
        if stored_count != count or stored_checksums != checksums:
            raise ScheduleError(self.path, "its end record is corrupt (number of requests or checksum)")
        if self._file.read(1):
            raise ScheduleError(self.path, "expected no data after the end record, got at least 1 byte")

    def _read_block(
        self, start: bytes, section: str, decompressor: zstandard.ZstdDecompressor
    ) -> tuple[bytes, bytes]:
        """Return the raw data of a block and its checksum.

        Args:
            start: First bytes of the block, already read.
            section: Name of the block for error messages.
            decompressor: Decompressor for all blocks.

        Raises:
            ScheduleError: The block is truncated or corrupt.
        """
        size, raw_size, check = BLOCK.unpack(start + self._read_exactly(BLOCK.size - len(start), section))
        if size > MAX_BLOCK_BYTES + MAX_PACKING_OVERHEAD_BYTES or raw_size > MAX_BLOCK_BYTES:
            raise ScheduleError(self.path, f"{section} is corrupt (length)")
        data = self._read_exactly(size, section)
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
    """Yield the requests of a block; appends its new names to `names`, which holds those of earlier blocks."""
    (length,) = NAMES.unpack_from(raw)
    records = NAMES.size + length
    names += orjson.loads(raw[NAMES.size : records])
    for at_us, work_us, request_class, tenant, sender in RECORD.iter_unpack(raw[records:]):
        yield PlannedRequest(at_us, names[request_class], names[tenant], work_us, sender)
