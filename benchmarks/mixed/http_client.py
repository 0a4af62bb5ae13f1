"""Calls to a node's HTTP surfaces, the operators' door and the administration: one call to a connection."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Any

CALL_TIMEOUT_S = 3.0


class CallFailed(Exception):
    """The node did not answer, or answered with an error status."""

    def __init__(self, why: str, status: int = 0) -> None:
        super().__init__(why)
        self.status = status  # 0: there was no answer


@dataclass(slots=True, frozen=True)
class HttpAddress:
    host: str
    port: int
    token: str = ""

    async def call(self, path: str, body: dict[str, Any] | None = None, method: str = "") -> Any:
        """GET, or POST where there is a body; the JSON of the answer. Raises CallFailed."""
        method = method or ("GET" if body is None else "POST")
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status, content = await self._exchange(method, path, body)
        except (OSError, EOFError, TimeoutError, ValueError) as fault:
            raise CallFailed(f"{method} {path}: {fault!r}") from fault
        if status not in (200, 202):
            raise CallFailed(f"{method} {path}: {status} {content[:200]!r}", status)
        return json.loads(content)

    async def _exchange(self, method: str, path: str, body: dict[str, Any] | None) -> tuple[int, bytes]:
        content = b"" if body is None else json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\n"
        if self.token:
            head += f"Authorization: Bearer {self.token}\r\n"
        head += f"Content-Length: {len(content)}\r\n\r\n"
        reader, writer = await asyncio.open_connection(self.host, self.port)
        try:
            writer.write(head.encode() + content)
            answer = await reader.read(-1)
        finally:
            writer.close()
        status_line, _, rest = answer.partition(b"\r\n")
        words = status_line.split()
        if len(words) < 2:
            raise EOFError("closed without an answer")
        return int(words[1]), rest.partition(b"\r\n\r\n")[2]
