"""HTTP calls to a node's health endpoint and administration API, with one connection per call."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from benchmarks.mixed.errors import CallFailedError

CALL_TIMEOUT_S = 3.0
SUCCESS_STATUSES = (200, 202)

JsonObject = dict[str, Any]


@dataclass(slots=True, frozen=True)
class HttpAddress:
    """Where a node listens for HTTP, and the bearer token that it expects; an empty token is not sent."""

    host: str
    port: int
    token: str = ""

    async def call(self, path: str, body: Mapping[str, Any] | None = None, method: str = "") -> JsonObject:
        """Send a request and return the JSON object of the response.

        Args:
            path: The path of the URL.
            body: The JSON body; none if None.
            method: The HTTP method; if empty, GET without a body and POST with one.

        Raises:
            CallFailedError: There was no valid response in time, or its status is not 200 or 202.
        """
        method = method or ("GET" if body is None else "POST")
        call = f"{method} {path}"
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status, content = await self._exchange(method, path, body)
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            raise CallFailedError(call, repr(error)) from error
        if status not in SUCCESS_STATUSES:
            raise CallFailedError(call, f"{status} {content[:200]!r}", status)
        response: JsonObject = json.loads(content)
        return response

    async def _exchange(self, method: str, path: str, body: Mapping[str, Any] | None) -> tuple[int, bytes]:
        content = b"" if body is None else json.dumps(body).encode()
        header = f"{method} {path} HTTP/1.1\r\n"
        if self.token:
            header += f"Authorization: Bearer {self.token}\r\n"
        header += f"Content-Length: {len(content)}\r\n\r\n"
        reader, writer = await asyncio.open_connection(self.host, self.port)
        try:
            writer.write(header.encode() + content)
            response = await reader.read(-1)
        finally:
            writer.close()
        status_line, _, rest = response.partition(b"\r\n")
        words = status_line.split()
        if len(words) < 2:
            raise asyncio.IncompleteReadError(response, None)
        return int(words[1]), rest.partition(b"\r\n\r\n")[2]
