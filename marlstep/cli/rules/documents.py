"""Access to documents: their versions on a node, and contents in JSON files."""

from __future__ import annotations

import json
from pathlib import Path

from marlstep.cli.admin_client import AdminClient
from marlstep.cli.errors import NoVersionError, OptionError, VersionNotFoundError
from marlstep.cli.output import JsonObject


def fetch_document(client: AdminClient, name: str) -> JsonObject:
    """Fetch a document from the node: the versions that it keeps, and the change that is being prepared."""
    return client.get(f"/v1/fleet/rules/{name}")


def find_version(document: JsonObject, number: int | None) -> JsonObject:
    """Return a version of a document; the newest one if no number is given.

    Raises:
        NoVersionError: the document has no version yet.
        VersionNotFoundError: the node does not keep that version.
    """
    versions: list[JsonObject] = document["versions"]
    if not versions:
        raise NoVersionError(document["name"])
    if number is None:
        return versions[-1]
    by_number = {version["version"]: version for version in versions}
    if number not in by_number:
        raise VersionNotFoundError(number, list(by_number))
    return by_number[number]


def read_content(path: str) -> object:
    """Read a document's content from a JSON file.

    Raises:
        OptionError: the file can't be read, or is not valid JSON.
    """
    try:
        content: object = json.loads(Path(path).read_text("utf-8"))
    except (OSError, ValueError) as error:
        raise OptionError.from_problem(path, error) from error
    return content
