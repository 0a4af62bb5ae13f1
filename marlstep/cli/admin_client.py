"""A client of a running node's administration API, and the options that name the node."""

from __future__ import annotations

import http.client
import json
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from functools import wraps
from http import HTTPStatus
from pathlib import Path
from typing import Any

import click

from marlstep.cli.errors import (
    MissingEndpointError,
    NodeRequestError,
    OptionError,
    OrderRejectedError,
    OrderTimeoutError,
    OrderUnknownError,
)
from marlstep.cli.output import JsonObject
from marlstep.cluster.order_tracker import UNKNOWN_REASON, OrderState

ORDER_TIMEOUT_S = 10.0  # for the group to report the outcome of one order
ORDER_POLL_INTERVAL_S = 0.02
MAX_UNKNOWN_LOOKUPS = (
    20  # in a row; in an upgrade two processes answer at one address, and one of them took the order
)
REQUEST_TIMEOUT_S = 3.0
NODE_NOT_NAMED = "which node: --operator FILE with [admin], or --admin and --token-file"


@dataclass(slots=True, frozen=True)
class AdminClient:
    """Requests to the administration API of one node.

    Attributes:
        operator: path of the node's operator file; `[admin]` there supplies an address or token file not given here.
        address: the administration listener, as `127.0.0.1:9099`.
        token_file: path of the file that holds the bearer token.
    """

    operator: str | None
    address: str | None
    token_file: str | None

    def get(self, path: str) -> JsonObject:
        """Fetch a page.

        Raises:
            OptionError: the address or token file is not given, or the operator file can't be read.
            NodeRequestError: the node could not be reached, or answered with an error.
        """
        return self._request("GET", path, None)

    def post(self, path: str, body: JsonObject) -> JsonObject:
        """Submit an order to the node, and return its answer.

        Raises:
            OptionError: the address or token file is not given, or the operator file can't be read.
            NodeRequestError: the node could not be reached, or rejected the order.
        """
        return self._request("POST", path, json.dumps(body))

    def order(self, path: str, body: JsonObject) -> JsonObject:
        """Submit an order to the group, and wait for its outcome.

        Raises:
            OptionError: the address or token file is not given, or the operator file can't be read.
            NodeRequestError: the node could not be reached, or rejected the order.
            OrderUnknownError: the order may have had an effect, and its outcome is not known.
            OrderTimeoutError: the group did not report an outcome in time.
        """
        try:
            accepted = self.post(f"/v1/fleet/{path}", body)
        except NodeRequestError as error:
            if error.may_have_been_received:
                raise OrderUnknownError(str(error)) from error
            raise
        deadline = time.monotonic() + ORDER_TIMEOUT_S
        unknown_lookups = 0
        while time.monotonic() < deadline:
            lookup = self._look_up(accepted)
            if lookup["state"] == OrderState.DONE.value:
                outcome: JsonObject = lookup["result"]
                return outcome
            unknown_lookups = unknown_lookups + 1 if lookup["state"] == OrderState.UNKNOWN.value else 0
            if unknown_lookups > MAX_UNKNOWN_LOOKUPS:
                raise OrderUnknownError(lookup["why"])
            time.sleep(ORDER_POLL_INTERVAL_S)
        raise OrderTimeoutError(ORDER_TIMEOUT_S)

    def _look_up(self, accepted: JsonObject) -> JsonObject:
        """Return what the process that answers now knows of an accepted order: a `state`, and a `result` or `why`."""
        number = accepted["asked"]
        try:
            if "process" in accepted:
                return self.get(f"/v1/fleet/asked/{accepted['process']}/{number}")
            # A process of an older version took the order. It numbers orders from 1, and only it returns such numbers.
            results = self.get("/v1/fleet/asked")
        except MissingEndpointError:
            return {
                "state": OrderState.UNKNOWN.value,
                "why": UNKNOWN_REASON,
            }  # from a process of an older version
        except NodeRequestError as error:
            if error.status is not None:
                raise
            return {"state": OrderState.UNKNOWN.value, "why": str(error)}
        if str(number) in results:
            return {"state": OrderState.DONE.value, "result": results[str(number)]}
        return {"state": OrderState.PENDING.value}

    def _request(self, method: str, path: str, body: str | None) -> JsonObject:
        address, token_file = self._endpoint()
        host, _, port = address.rpartition(":")
        try:
            token = Path(token_file).read_text("utf-8").strip()
            connection = http.client.HTTPConnection(host, int(port), timeout=REQUEST_TIMEOUT_S)
            connection.request(method, path, body, {"Authorization": f"Bearer {token}"})
            response = connection.getresponse()
            payload = response.read()
        except (OSError, ValueError, http.client.HTTPException) as error:
            is_lost_response = isinstance(error, (ConnectionError, TimeoutError, http.client.HTTPException))
            may_have_been_received = is_lost_response and not isinstance(error, ConnectionRefusedError)
            raise NodeRequestError(address, error, may_have_been_received=may_have_been_received) from error
        if response.status == HTTPStatus.NOT_FOUND:
            raise MissingEndpointError(address, path)
        if response.status not in (HTTPStatus.OK, HTTPStatus.ACCEPTED):
            reason = payload.decode("utf-8", "replace").strip()
            raise NodeRequestError(address, f"{response.status} {reason}", status=response.status)
        page: JsonObject = json.loads(payload)
        return page

    def _endpoint(self) -> tuple[str, str]:
        """Return the listener's address and the token file's path; options override the operator file.

        Raises:
            OptionError: one of them is not given, or the operator file can't be read.
        """
        section = self._operator_section()
        address = self.address or section.get("listen")
        token_file = self.token_file or section.get("token_file")
        if not address or not token_file:
            raise OptionError(NODE_NOT_NAMED)
        return address, token_file

    def _operator_section(self) -> dict[str, Any]:
        if self.operator is None:
            return {}
        try:
            document = tomllib.loads(Path(self.operator).read_text("utf-8"))
        except (OSError, ValueError) as error:
            raise OptionError.from_problem("--operator", f"{self.operator}: {error}") from error
        section: dict[str, Any] = document.get("admin", {})
        return section


def check_accepted(outcome: JsonObject) -> None:
    """Check that the group accepted an order.

    Raises:
        OrderRejectedError: the group rejected it; the message is the group's reason.
    """
    if "refused" in outcome or "error" in outcome:
        raise OrderRejectedError(str(outcome.get("refused", outcome.get("error"))))


def node_options(function: Callable[..., None]) -> Callable[..., None]:
    """Add the options that name a running node, passed to the command as an `AdminClient`, and `--json`."""

    @wraps(function)
    def command(
        operator: str | None, admin: str | None, token_file: str | None, as_json: bool, **others: object
    ) -> None:
        function(AdminClient(operator, admin, token_file), as_json=as_json, **others)

    return _add_node_options(command)


def node_order_options(function: Callable[..., None]) -> Callable[..., None]:
    """Add the options of `node_options` to a command that always prints JSON, so that `--json` has no effect."""

    @wraps(function)
    def command(
        operator: str | None,
        admin: str | None,
        token_file: str | None,
        as_json: bool,  # noqa: ARG001  (unused: the output is always JSON)
        **others: object,
    ) -> None:
        function(AdminClient(operator, admin, token_file), **others)

    return _add_node_options(command)


def _add_node_options(command: Callable[..., None]) -> Callable[..., None]:
    for option in (
        click.option("--json", "as_json", is_flag=True, help="Print the node's answer as JSON."),
        click.option(
            "--token-file", type=click.Path(), help="Its bearer token; else from the operator's file."
        ),
        click.option("--admin", help="Its administration listener, as 127.0.0.1:9099."),
        click.option("--operator", type=click.Path(), help="The operator's file of that node."),
    ):
        command = option(command)
    return command
