"""Why an attempt at a server failed."""

from __future__ import annotations

from datetime import timedelta

from marlstep.errors import MarlstepError
from marlstep.units import MILLISECOND


class AttemptError(MarlstepError):
    """Base: an attempt to forward a request to a server failed."""


class NoCapacityError(AttemptError):
    """No server of the pool has capacity for the request."""

    def __init__(self, pool: str) -> None:
        """Keep the name of the pool."""
        super().__init__(f"no server of pool {pool!r} has capacity")
        self.pool = pool


class ConnectError(AttemptError):
    """The connection to the server could not be opened."""

    def __init__(self, cause: OSError) -> None:
        """Keep what the system said."""
        super().__init__(f"connect failed: {cause}")
        self.cause = cause


class ConnectTimeoutError(AttemptError):
    """The connection to the server was not open in time."""

    def __init__(self, timeout: timedelta) -> None:
        """Keep how long it was waited for."""
        super().__init__(f"connect timed out after {timeout / MILLISECOND:g} ms")
        self.timeout = timeout


class ServerDisconnectedError(AttemptError):
    """The connection was lost before the response was complete."""

    def __init__(self) -> None:
        """Say so."""
        super().__init__("connection lost")


class RemoteProtocolError(AttemptError):
    """Base: what the server sent is no valid response."""


class MalformedResponseError(RemoteProtocolError):
    """The response could not be parsed."""

    def __init__(self, cause: Exception) -> None:
        """Keep what the parser said."""
        super().__init__(f"malformed response: {cause!r}")
        self.cause = cause


class ResponseTooLargeError(RemoteProtocolError):
    """The response is larger than the operator's file allows."""

    def __init__(self, limit_bytes: int) -> None:
        """Keep the limit."""
        super().__init__(f"response of over {limit_bytes} bytes")
        self.limit_bytes = limit_bytes


class TruncatedResponseError(RemoteProtocolError):
    """The server ended its stream before the response was complete."""

    def __init__(self, received_bytes: int) -> None:
        """Keep how much was received."""
        super().__init__(f"response truncated after {received_bytes} bytes")
        self.received_bytes = received_bytes
