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
SCOPE_BYTES = 8
PART_LENGTH_BYTES = 8  # of the length before each part of a digest
LABEL_SEPARATOR = "~"  # before the digest, and before the scope


class IdempotencyKey(NamedTuple):
    """Identifies a piece of work: requests with the same key are attempts of the same work.

    Attributes:
        request_class: the name of the request class.
        name: the name of the work, chosen by the client.
        scope: the set of clients that share the name, see `scope_of_tenant`; empty if it is unique on the node.
    """

    request_class: str
    name: str
    scope: str = ""


def scope_of_tenant(tenant: str) -> str:
    """Return the scope of names that are unique only among the clients of a tenant; empty for the empty tenant."""
    if not tenant:
        return ""
    return hashlib.blake2b(tenant.encode(), digest_size=SCOPE_BYTES).hexdigest()


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

    The label stands in the id field of their messages, so that versions that know no scopes or no digests still match
    it as an id.

    Attributes:
        request_id: the id of the request.
        digest: the digest of its work; empty if unknown, as with requests of older versions over uwsgi.
        scope: the scope of its key; only together with a digest.
    """

    request_id: str
    digest: str = ""
    scope: str = ""

    def encode(self) -> str:
        """Return the text of the label: the id, the digest and the scope, without those that are empty."""
        if not self.digest:
            return self.request_id
        parts = (self.request_id, self.digest, self.scope) if self.scope else (self.request_id, self.digest)
        return LABEL_SEPARATOR.join(parts)

    @classmethod
    def decode(cls, text: str) -> WorkLabel:
        """Return the label of a text. The lengths of digest and scope tell them from parts of an id."""
        rest, last = _split_suffix(text, 2 * SCOPE_BYTES)
        request_id, digest = _split_suffix(rest, 2 * DIGEST_BYTES)
        if last and digest:
            return cls(request_id, digest, scope=last)
        request_id, digest = _split_suffix(text, 2 * DIGEST_BYTES)
        return cls(request_id, digest)


def _split_suffix(text: str, length: int) -> tuple[str, str]:
    """Split off a suffix of this length behind a separator. Returns the whole text and "" if there is none."""
    rest, separator, suffix = text.rpartition(LABEL_SEPARATOR)
    return (rest, suffix) if separator and len(suffix) == length else (text, "")
