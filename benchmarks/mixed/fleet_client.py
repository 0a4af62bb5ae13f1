"""Status queries and commands to the nodes of a cluster through the administration API."""

from __future__ import annotations

import asyncio
import hashlib
import json
import secrets
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from benchmarks.mixed.cluster import FleetNode
from benchmarks.mixed.errors import CallFailedError, CommandRejectedError, NoResultError
from benchmarks.mixed.http_client import JsonObject
from benchmarks.mixed.server_process import POLL_INTERVAL_S

CHUNK_CHARACTERS = 1_200  # of a document's content in one call
COMMAND_TIMEOUT_S = 10.0
DIGEST_BYTES = 16
ALIVE = "alive"
LEADER = "leader"


async def fetch(node: FleetNode, path: str) -> JsonObject | None:
    """Return a node's response to GET, or None if the call fails."""
    try:
        return await node.admin.call(path)
    except CallFailedError:
        return None


async def fetch_all(nodes: Iterable[FleetNode], path: str) -> dict[str, JsonObject]:
    """Return the responses by node name, without the nodes whose call failed."""
    queried = list(nodes)
    responses = await asyncio.gather(*(fetch(node, path) for node in queried))
    return {
        node.name: response for node, response in zip(queried, responses, strict=True) if response is not None
    }


async def submit_command(node: FleetNode, command: str, arguments: Mapping[str, Any]) -> JsonObject:
    """Submit a command to a node and return the result after the group has applied it.

    Raises:
        CallFailedError: The node did not accept the call.
        NoResultError: There was no result in time.
    """
    request_id = str((await node.admin.call(f"/v1/fleet/{command}", arguments))["asked"])
    deadline = time.monotonic() + COMMAND_TIMEOUT_S
    while time.monotonic() < deadline:
        results = await fetch(node, "/v1/fleet/asked")
        if results is not None and request_id in results:
            result: JsonObject = results[request_id]
            return result
        await asyncio.sleep(POLL_INTERVAL_S)
    raise NoResultError(node.name, command, COMMAND_TIMEOUT_S)


@dataclass(slots=True, frozen=True)
class Document:
    """The newest version of a document, as one node reports it."""

    version: int
    content: JsonObject


async def read_document(node: FleetNode, name: str) -> Document:
    """Read the newest version of a document.

    Raises:
        CallFailedError: The call failed.
    """
    newest = (await node.admin.call(f"/v1/fleet/rules/{name}"))["versions"][-1]
    return Document(int(newest["version"]), json.loads(newest["content"]))


async def put_document(node: FleetNode, name: str, content: JsonObject, expect: int) -> JsonObject:
    """Upload a document in chunks, put it, and return the result.

    The result has the number of the new version as `prepares`, or the reason of a rejection as `refused`.

    Args:
        node: The node to which the commands are submitted.
        name: The name of the document.
        content: The new content.
        expect: The version that the new one is to follow.

    Raises:
        CommandRejectedError: A chunk was rejected.
        CallFailedError: A call failed.
        NoResultError: A command had no result in time.
    """
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    upload = secrets.token_hex(8)
    for offset in range(0, len(text), CHUNK_CHARACTERS):
        chunk = {"upload": upload, "offset": offset, "data": text[offset : offset + CHUNK_CHARACTERS]}
        result = await submit_command(node, "rules/part", chunk)
        if "taken" not in result:
            raise CommandRejectedError(node.name, f"a chunk of {name}", result)
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
    change = {"doc": name, "upload": upload, "digest": digest, "expect": expect, "author": node.name}
    return await submit_command(node, "rules/put", change)


@dataclass(slots=True, frozen=True)
class Leadership:
    """A leader and its Raft term."""

    node: str
    term: int


async def find_leader(nodes: Iterable[FleetNode]) -> Leadership | None:
    """Return the leader with the highest term, or None if no node reports that it leads."""
    found = None
    for name, status in (await fetch_all(nodes, "/v1/fleet")).items():
        replica = status["voter"]
        if replica and replica["role"] == LEADER and (found is None or replica["term"] > found.term):
            found = Leadership(name, replica["term"])
    return found


async def all_vote(nodes: Iterable[FleetNode]) -> bool:
    """Whether every node votes and reports a group of exactly these voters."""
    queried = list(nodes)
    names = {node.name for node in queried}
    statuses = await fetch_all(queried, "/v1/fleet")
    groups = [status["voter"]["voters"] for status in statuses.values() if status["voter"]]
    return len(groups) == len(queried) and all(
        {identity.partition("#")[0] for identity in group} == names for group in groups
    )


async def members_agree(nodes: Iterable[FleetNode]) -> bool:
    """Whether each node reports all nodes as alive with their current incarnations, and all in the roster."""
    queried = list(nodes)
    members = await fetch_all(queried, "/v1/fleet/members")
    statuses = await fetch_all(queried, "/v1/fleet")
    if len(members) < len(queried) or len(statuses) < len(queried):
        return False
    expected = {(name, status["boot"], ALIVE, True) for name, status in statuses.items()}
    return all(
        {(row["node"], row["process"], row["heard"], row["agreed"]) for row in view["members"]} == expected
        for view in members.values()
    )


async def documents_agree(nodes: Iterable[FleetNode], versions: Mapping[str, int]) -> bool:
    """Whether all nodes act on the given versions and report the same version history."""
    queried = list(nodes)
    views = await fetch_all(queried, "/v1/fleet/rules")
    acting = [
        {row["name"]: (row["version"], row["in_force"], row["preparing"]) for row in view["documents"]}
        for view in views.values()
    ]
    expected = {name: (version, version, None) for name, version in versions.items()}
    if len(views) < len(queried) or any(documents != expected for documents in acting):
        return False
    for name in versions:
        responses = await fetch_all(queried, f"/v1/fleet/rules/{name}")
        histories = [response["versions"] for response in responses.values()]
        if len(histories) < len(queried) or any(history != histories[0] for history in histories):
            return False
    return True


async def quotas_fit(nodes: Iterable[FleetNode], full_quota: int) -> bool:
    """Whether the nodes' shares of each tenant's quota add up to no more than the full quota."""
    totals: dict[str, int] = {}
    for status in (await fetch_all(nodes, "/v1/fleet/rules")).values():
        for tenant, share in (status["parts"] or {}).items():
            totals[tenant] = totals.get(tenant, 0) + share
    return all(total <= full_quota for total in totals.values())
