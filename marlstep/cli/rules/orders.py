"""Orders that change a document: upload and propose a new version, and follow it until it is in force or rejected."""

from __future__ import annotations

import getpass
import json
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import wraps

import click

from marlstep.cli.admin_client import AdminClient, check_accepted
from marlstep.cli.errors import ChangeBlockedError, ChangeTimeoutError, OrderRejectedError, OrderUnknownError
from marlstep.cli.output import JsonObject, print_json
from marlstep.cli.rules.documents import fetch_document
from marlstep.replicated_config.documents import canonical_json, content_digest

MAX_PART_LENGTH = 1_200  # characters; the administration API accepts bodies of up to 4 KiB
UPLOAD_ID_BYTES = 8
POLL_INTERVAL_S = 0.1
MAX_WAIT_S = 3600


@dataclass(slots=True, frozen=True)
class Proposal:
    """Options of a proposed version.

    Attributes:
        expected_version: the version that must be in force for the group to accept the change.
        note: the reason, which the history keeps.
        is_forced: also accept a content that empties a list, or removes over half of its entries.
        wait_s: how long to follow the change, in seconds; 0 to return once it is being prepared.
    """

    expected_version: int
    note: str
    is_forced: bool
    wait_s: float

    def body(self, note: str | None = None) -> JsonObject:
        """Return the proposal as keys of the order; `note` replaces the proposal's own."""
        return {
            "expect": self.expected_version,
            "note": self.note if note is None else note,
            "force": self.is_forced,
        }


def proposal_options(function: Callable[..., None]) -> Callable[..., None]:
    """Add the options of a new version, passed to the command as one `Proposal`."""

    @wraps(function)
    def command(expect: int, note: str, force: bool, wait: float, **others: object) -> None:
        function(proposal=Proposal(expect, note, force, wait), **others)

    decorated: Callable[..., None] = command
    for option in (
        click.option(
            "--wait", type=click.FloatRange(0, MAX_WAIT_S), default=0.0, help="Seconds, until it is over."
        ),
        click.option("--force", is_flag=True, help="Also where a list empties, or loses over half."),
        click.option("--note", default="", help="Why, for the history."),
        click.option("--expect", type=int, required=True, help="The version that is in force now."),
    ):
        decorated = option(decorated)
    return decorated


def order(client: AdminClient, name: str, body: JsonObject) -> JsonObject:
    """Submit an order about a document, and return its outcome.

    Raises:
        click.ClickException: the node or the group did not answer, or the node rejected the order.
    """
    return client.order(f"rules/{name}", body)


def propose(
    client: AdminClient, name: str, content: object, body: JsonObject, wait_s: float, as_json: bool
) -> None:
    """Propose a version; if `wait_s` is not 0, follow it until it is in force or rejected.

    Raises:
        OrderRejectedError: the group rejected the version.
        OrderUnknownError: whether the version was accepted is not known, and none has come into force since.
        ChangeTimeoutError: the version is neither in force nor rejected after `wait_s` seconds.
    """
    try:
        outcome = _upload_and_put(client, name, content, body)
    except OrderUnknownError as error:
        outcome = _outcome_of_unknown_put(client, name, content, body["expect"], error)
    if "prepares" not in outcome or not wait_s:
        report_outcome(outcome, as_json)
        return
    _follow(client, name, outcome["prepares"], wait_s, as_json)


def _upload_and_put(client: AdminClient, name: str, content: object, body: JsonObject) -> JsonObject:
    """Upload the content in parts, then propose it by its digest."""
    text = canonical_json(content)
    upload = secrets.token_hex(UPLOAD_ID_BYTES)
    for offset in range(0, len(text), MAX_PART_LENGTH):
        part = {"upload": upload, "offset": offset, "data": text[offset : offset + MAX_PART_LENGTH]}
        outcome = order(client, "part", part)
        if "taken" not in outcome:
            raise OrderRejectedError(str(outcome.get("refused", outcome)))
    put = {"doc": name, "upload": upload, "digest": content_digest(text), "author": getpass.getuser()}
    return order(client, "put", {**put, **body})


def _outcome_of_unknown_put(
    client: AdminClient, name: str, content: object, expected_version: int, error: OrderUnknownError
) -> JsonObject:
    """Return the outcome of a put that got no result, from the versions that came into force after the expected one.

    Raises:
        OrderRejectedError: other versions came into force, so the put had no effect.
        OrderUnknownError: no version has come into force since; the put may still have an effect.
    """
    newer = [row for row in fetch_document(client, name)["versions"] if row["version"] > expected_version]
    own = [
        row["version"]
        for row in newer
        if canonical_json(json.loads(row["content"])) == canonical_json(content)
    ]
    if own:
        return {"in_force": own[0]}
    if newer:
        reason = f"not done: version {newer[-1]['version']} with another content is in force"
        raise OrderRejectedError(reason)
    raise error


def _follow(client: AdminClient, name: str, version: int, wait_s: float, as_json: bool) -> None:
    deadline = time.monotonic() + wait_s
    while time.monotonic() < deadline:
        document = order(client, "get", {"doc": name})
        rejections = [row for row in document["turned_down"] if row["version"] == version]
        if rejections:
            reason = f"version {version} was turned down: {rejections[0]['why']}"
            report_outcome({"refused": reason}, as_json)
        if document["version"] >= version:
            _report_in_force(document, version, as_json)
            return
        time.sleep(POLL_INTERVAL_S)
    raise ChangeTimeoutError(name, version, wait_s)


def _report_in_force(document: JsonObject, version: int, as_json: bool) -> None:
    if as_json:
        print_json(document)
    else:
        click.echo(f"version {version} is in force")


def report_outcome(outcome: JsonObject, as_json: bool) -> None:
    """Print the outcome of an order about a change.

    Raises:
        OrderRejectedError: the group rejected it.
        ChangeBlockedError: processes have not acknowledged the version. With `as_json` the output shows it instead.
    """
    if as_json:
        print_json(outcome)
    check_accepted(outcome)
    if as_json:
        return
    if "in_force" in outcome:
        click.echo(f"version {outcome['in_force']} is in force")
    if "staged" in outcome:
        click.echo(f"version {outcome['staged']} is acted on first by {', '.join(outcome['first_on'])}")
    if "withdrawn" in outcome:
        click.echo(f"version {outcome['withdrawn']} is withdrawn")
    if "prepares" in outcome:
        waits_for = ", ".join(outcome["waits_for"]) or "nobody"
        click.echo(f"version {outcome['prepares']} is being prepared, and waits for {waits_for}")
    elif "waits_for" in outcome:
        raise ChangeBlockedError(outcome["waits_for"])
