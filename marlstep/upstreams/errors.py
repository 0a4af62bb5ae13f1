"""Errors of attempts to forward a request to a server."""

from __future__ import annotations

from datetime import timedelta

from marlstep.errors import MarlstepError
from marlstep.units import MILLISECOND


class AttemptError(MarlstepError):
    """Base: an attempt to forward a request to a server failed."""


class NoCapacityError(AttemptError):
    """No server of the pool has capacity for the request."""

    def __init__(self, pool: str) -> None:
        """Initialize the error with the name of the pool."""
        super().__init__(f"no server of pool {pool!r} has capacity")
        self.pool = pool


class ConnectError(AttemptError):
    """The connection to the server could not be opened."""

    def __init__(self, cause: OSError) -> None:
        """Initialize the error with the operating system's error."""
        super().__init__(f"connect failed: {cause}")
        self.cause = cause


class ConnectTimeoutError(AttemptError):
    """The connection to the server was not open before the connect timeout."""

    def __init__(self, timeout: timedelta) -> None:
        """Initialize the error with the timeout that has passed."""
        super().__init__(f"connect timed out after {timeout / MILLISECOND:g} ms")
        self.timeout = timeout


class ServerDisconnectedError(AttemptError):
    """The connection was lost before the response was complete."""

    def __init__(self) -> None:
        """Initialize the error."""
        super().__init__("connection lost before the response was complete")


class InvalidResponseError(AttemptError):
    """Base: the server sent data that is not a valid response."""


class MalformedResponseError(InvalidResponseError):
    """The response could not be parsed."""

    def __init__(self, cause: Exception) -> None:
        """Initialize the error with the parser's exception."""
        super().__init__(f"malformed response: {cause!r}")
        self.cause = cause


class ResponseTooLargeError(InvalidResponseError):
    """The response is larger than the configured limit."""

    def __init__(self, limit_bytes: int) -> None:
        """Initialize the error with the limit."""
        super().__init__(f"response exceeds the limit of {limit_bytes} bytes")
        self.limit_bytes = limit_bytes


class TruncatedResponseError(InvalidResponseError):
    """The server closed the stream before the response was complete."""

    def __init__(self, received_bytes: int) -> None:
        """Initialize the error with the number of bytes received."""
        super().__init__(f"response truncated after {received_bytes} bytes")
        self.received_bytes = received_bytes
