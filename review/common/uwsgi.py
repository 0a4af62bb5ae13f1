"""A uwsgi gateway's request, and a uwsgi server that runs what it gets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from review.common.harness import Record

ANSWER_WITHIN_S = 20.0


def packet(variables: Mapping[str, str], body: bytes) -> bytes:
    """Return the uwsgi packet of a request."""
    strings = [text.encode() for pair in variables.items() for text in pair]
    block = b"".join(len(text).to_bytes(2, "little") + text for text in strings)
    return b"\0" + len(block).to_bytes(2, "little") + b"\0" + block + body


def variables_of(block: bytes) -> dict[str, str]:
    """Return the variables in the block of a packet."""
    strings, position = [], 0
    while position < len(block):
        size = int.from_bytes(block[position : position + 2], "little")
        strings.append(block[position + 2 : position + 2 + size].decode())
        position += 2 + size
    return dict(zip(strings[::2], strings[1::2], strict=True))


@dataclass
class Answer:
    """A gateway's answer: status 0 stands for a connection that ended without a whole response."""

    status: int
    body: bytes


async def ask(record: Record, who: str, port: int, variables: Mapping[str, str], body: bytes) -> Answer:
    """Send one request on a connection of its own, and read the whole response."""
    sent = {"REQUEST_METHOD": "POST", "CONTENT_LENGTH": str(len(body)), **variables}
    shown = " ".join(f"{name}={value}" for name, value in sent.items())
    record.line("sent", f"{who} {shown} body={body[:60]!r}")
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(packet(sent, body))
        answer = parse_response(await asyncio.wait_for(reader.read(-1), ANSWER_WITHIN_S))
    except (OSError, TimeoutError) as error:
        record.line("answer", f"{who} none: {error!r}")
        return Answer(0, b"")
    finally:
        writer.close()
    record.line("answer", f"{who} status={answer.status} body={answer.body[:60]!r} size={len(answer.body)}")
    return answer


def parse_response(data: bytes) -> Answer:
    """Return the answer in the bytes of an HTTP response."""
    head, mark, body = data.partition(b"\r\n\r\n")
    words = head.split(b" ", 2)
    if not mark or len(words) < 2 or not words[1].isdigit():
        return Answer(0, b"")
    headers = dict(line.lower().split(b":", 1) for line in head.split(b"\r\n")[1:] if b":" in line)
    length = int(headers.get(b"content-length", b"-1"))
    return Answer(int(words[1]), body) if length in (-1, len(body)) else Answer(0, b"")


Work = Callable[[Mapping[str, str], bytes], bytes]


class Server:
    """A sound uwsgi server: runs each request that it reads once, and answers with what the work returns."""

    def __init__(self, record: Record, work: Work, takes_s: float) -> None:
        """Prepare a server whose requests take `takes_s` seconds."""
        self._record, self._work, self._takes_s = record, work, takes_s
        self.runs: list[tuple[dict[str, str], bytes]] = []
        self.port = 0

    async def open(self) -> None:
        """Listen on a free loopback port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = int(server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            header = await reader.readexactly(4)
            variables = variables_of(await reader.readexactly(int.from_bytes(header[1:3], "little")))
            body = await reader.readexactly(int(variables.get("CONTENT_LENGTH") or 0))
            self.runs.append((variables, body))
            self._record.line("run", f"server id={variables.get('HTTP_X_REQUEST_ID')} body={body[:60]!r}")
            await asyncio.sleep(self._takes_s)
            result = self._work(variables, body)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(result)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + result)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError) as error:
            self._record.line("server", f"a connection ended: {error!r}")
        finally:
            writer.close()
