"""Operators' orders about replicated documents: commands for the log, and versions pinned on this node only."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from datetime import datetime
from typing import Any

from marlstep.cluster.config_documents import ConfigDriver
from marlstep.cluster.context import NodeContext
from marlstep.cluster.errors import RejectedContentError, UnknownDocumentError, UnknownOrderError
from marlstep.cluster.interfaces import Step, TurnRequester
from marlstep.consensus.replica_messages import ReadStandings
from marlstep.consensus.state_machine import Command
from marlstep.replicated_config.commands import (
    CommitVersion,
    PrepareOptions,
    PrepareVersion,
    ReadDocument,
    RolloutRequest,
    UploadChunk,
    WithdrawVersion,
)
from marlstep.replicated_config.documents import DocumentDefinition, canonical_json
from marlstep.replicated_config.followed_document import FollowerState

log = logging.getLogger(__name__)

# Shown if the differences from the group's version are unknown.
GROUP_UNKNOWN = "not known, as the group was not heard"
Arguments = Mapping[str, Any]  # arguments of an order, parsed from JSON


class ConfigOrders:
    """Carries out the orders whose paths start with `fleet/rules`."""

    def __init__(self, context: NodeContext, turns: TurnRequester, driver: ConfigDriver) -> None:
        """Initialize the orders.

        Args:
            context: The shared state of the node.
            turns: Schedules a turn of the node.
            driver: Follows the documents on this node.

        """
        self._context, self._turns, self._driver = context, turns, driver

    def execute(self, order: str, arguments: Arguments) -> dict[str, Any]:
        """Carry out an order and return its response as JSON: the result, or the number to fetch the result by.

        Raises:
            ValueError: the order is unknown or an argument is invalid.
            KeyError: an argument is missing.
            TypeError: an argument has a wrong type.
        """
        now = self._context.steady.now()
        command: Command
        match order:
            case "part":
                command = chunk_command(arguments)
                self._context.observer.reached(Step.CHUNK_UPLOADING)
            case "standings":
                command = ReadStandings(int(arguments.get("from", 0)))
            case "fix":
                return self._pin(self._definition(arguments), arguments, now)
            case "unfix":
                return self._unpin(self._definition(arguments), now)
            case _:
                command = self._document_command(order, self._definition(arguments), arguments)
        accepted = self._driver.orders.propose(now, order, command)
        self._turns.schedule()
        return accepted

    def _definition(self, arguments: Arguments) -> DocumentDefinition:
        name = str(arguments["doc"])
        definition = self._driver.definitions.get(name)
        if definition is None:
            raise UnknownDocumentError(name, self._driver.definitions)
        return definition

    def _document_command(self, order: str, definition: DocumentDefinition, arguments: Arguments) -> Command:
        match order:
            case "put":
                command = self._put_command(definition, arguments)
                self._context.observer.reached(Step.VERSION_PROPOSING)
                return command
            case "get":
                return ReadDocument(definition.name)
            case "go":
                return CommitVersion(definition.name, int(arguments["version"]), promote=True)
            case "withdraw":
                reason = str(arguments.get("why", "an operator"))
                return WithdrawVersion(definition.name, int(arguments["version"]), reason)
        raise UnknownOrderError(order)

    def _put_command(self, definition: DocumentDefinition, arguments: Arguments) -> PrepareVersion:
        stage = arguments.get("stage")
        return PrepareVersion(
            definition.name,
            definition.kind,
            definition.strict,
            str(arguments["upload"]),
            str(arguments["digest"]),
            int(arguments["expect"]),
            str(arguments.get("author", "")),
            str(arguments.get("note", "")),
            self._context.wall().isoformat(timespec="seconds"),
            PrepareOptions(
                may_exclude=bool(arguments.get("hold_out")),
                force=bool(arguments.get("force")),
                rollout=None if stage is None else rollout_request(stage),
            ),
        )

    def _pin(self, definition: DocumentDefinition, arguments: Arguments, now: datetime) -> dict[str, Any]:
        content = canonical_json(arguments["content"])
        if rejection := self._driver.rejection_of(definition, content):
            raise RejectedContentError(rejection)
        log.warning("fleet: version pinned on this node by an operator document=%s", definition.name)
        self._driver.pin(now, definition.name, content)
        return {"fixed": True}

    def _unpin(self, definition: DocumentDefinition, now: datetime) -> dict[str, Any]:
        """Act on the group's version again and report how it differed from the pinned one; nothing is merged."""
        name = definition.name
        if self._driver.follower.documents[name].state is not FollowerState.PINNED:
            return {"fixed": False, "differed": []}
        differed = self._driver.differences_from_group(name)
        log.warning("fleet: version unpinned by an operator document=%s", name)
        for line in [GROUP_UNKNOWN] if differed is None else differed:
            log.warning("fleet: group's version differed from the pinned one document=%s %s", name, line)
            self._context.record_event(f"the fixed version of {name} differed", line)
        self._driver.unpin(now, name)
        return {"fixed": False, "differed": differed}


def chunk_command(arguments: Arguments) -> UploadChunk:
    """Return the command that adds a chunk to an upload.

    Raises:
        ValueError: the offset is not a number.
        KeyError: an argument is missing.
        TypeError: an argument has a wrong type.
    """
    return UploadChunk(str(arguments["upload"]), int(arguments["offset"]), str(arguments["data"]))


def rollout_request(arguments: Arguments) -> RolloutRequest:
    """Return the rollout that an order requests.

    Raises:
        ValueError: an argument is not a number.
        KeyError: an argument is missing.
        TypeError: an argument has a wrong type.
    """
    duration_ms = int(arguments["for_ms"])
    max_degradation = float(arguments["worse"])
    min_requests = int(arguments["least"])
    if "share" in arguments:
        share = float(arguments["share"])
        return RolloutRequest(duration_ms, max_degradation, min_requests, share=share)
    nodes = tuple(str(node) for node in arguments["nodes"])
    return RolloutRequest(duration_ms, max_degradation, min_requests, nodes)
