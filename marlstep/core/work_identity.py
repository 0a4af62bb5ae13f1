"""The identity of a piece of work: its key, the digest of what it does, and the label that sibling processes exchange.

Requests with the same key name the same work. Clients may reuse or guess the names of others, so a request is an
attempt of known work only if its digest is the same too.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

DIGEST_BYTES = 16
PART_LENGTH_BYTES = 8  # of the length before each part of a digest
LABEL_SEPARATOR = "~"


class IdempotencyKey(NamedTuple):
    """Identifies a piece of work: requests with the same key are attempts of the same work.

    Attributes:
        request_class: the name of the request class.
        name: the name of the work, chosen by the client.
    """

    request_class: str
    name: str


def body_digest(body: bytes) -> str:
    """Return the hexadecimal digest by which the work of requests is compared if their bodies alone define it."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def digest_of_parts(parts: Iterable[bytes | memoryview]) -> str:
    """Return the hexadecimal digest of several parts that define the work together.

    The length of each part enters the digest as well, so that no byte can move from one part to another unnoticed.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(PART_LENGTH_BYTES, "little"))
        digest.update(part)
    return digest.hexdigest()


@dataclass(slots=True, frozen=True)
class WorkLabel:
    """What sibling processes are told of a request besides the class and the name of its work.

    The label stands in the id field of their messages, so that versions that know no digests still match it
    as an id.

    Attributes:
        request_id: the id of the request.
        digest: the digest of its work; empty if unknown, as with requests of older versions over uwsgi.
    """

    request_id: str
    digest: str = ""

    def encode(self) -> str:
        """Return the text of the label: the id, and the digest unless that is empty."""
        return f"{self.request_id}{LABEL_SEPARATOR}{self.digest}" if self.digest else self.request_id

    @classmethod
    def decode(cls, text: str) -> WorkLabel:
        """Return the label of a text. The length of the digest tells it from a part of an id."""
        request_id, separator, digest = text.rpartition(LABEL_SEPARATOR)
        has_digest = separator and len(digest) == 2 * DIGEST_BYTES
        return cls(request_id, digest) if has_digest else cls(text)
