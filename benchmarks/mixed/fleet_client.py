"""Status queries and commands to the nodes of a cluster by the administration API."""

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

CHUNK_CHARACTERS = 1_200  # of a document in one call
COMMAND_TIMEOUT_S = 10.0
DIGEST_BYTES = 16
ALIVE = "alive"
LEADER = "leader"


async def fetch(node: FleetNode, path: str) -> JsonObject | None:
    """Return the response of a node; None where it does not answer now."""
    try:
        return await node.admin.call(path)
    except CallFailedError:
        return None


async def fetch_all(nodes: Iterable[FleetNode], path: str) -> dict[str, JsonObject]:
    """Return the responses by node name; nodes that do not answer are missing."""
    queried = list(nodes)
    responses = await asyncio.gather(*(fetch(node, path) for node in queried))
    return {
        node.name: response for node, response in zip(queried, responses, strict=True) if response is not None
    }


async def submit_command(node: FleetNode, command: str, arguments: Mapping[str, Any]) -> JsonObject:
    """Submit a command at a node and return the result that the group applied.

    Raises CallFailedError, and CheckFailedError where there is no result in time.
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
    """The version of a document that is in force, as a node has it."""

    version: int
    content: JsonObject


async def read_document(node: FleetNode, name: str) -> Document:
    """Read the newest version of a document. Raises CallFailedError."""
    newest = (await node.admin.call(f"/v1/fleet/rules/{name}"))["versions"][-1]
    return Document(int(newest["version"]), json.loads(newest["content"]))


async def put_document(node: FleetNode, name: str, content: JsonObject, expect: int) -> JsonObject:
    """Propose a version, uploaded in chunks.

    `prepares` of the result has the number of the version, or `refused` says why there is none.
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
    """The node that leads, and its Raft term."""

    node: str
    term: int


async def find_leader(nodes: Iterable[FleetNode]) -> Leadership | None:
    """Return the leader of the highest term; None where no node says that it leads."""
    found = None
    for name, status in (await fetch_all(nodes, "/v1/fleet")).items():
        replica = status["voter"]
        if replica and replica["role"] == LEADER and (found is None or replica["term"] > found.term):
            found = Leadership(name, replica["term"])
    return found


async def all_vote(nodes: Iterable[FleetNode]) -> bool:
    """Whether all nodes name the same group of voters, which is all of them."""
    queried = list(nodes)
    names = {node.name for node in queried}
    statuses = await fetch_all(queried, "/v1/fleet")
    groups = [status["voter"]["voters"] for status in statuses.values() if status["voter"]]
    return len(groups) == len(queried) and all(
        {identity.partition("#")[0] for identity in group} == names for group in groups
    )


async def members_agree(nodes: Iterable[FleetNode]) -> bool:
    """Whether each node hears all as alive, in their present incarnations, and all are in the roster."""
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
    """Whether all nodes act on these versions, and keep the same history of them."""
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
    """Whether the shares of each tenant's quota that the nodes use together are at most the full quota."""
    totals: dict[str, int] = {}
    for status in (await fetch_all(nodes, "/v1/fleet/rules")).values():
        for tenant, share in (status["parts"] or {}).items():
            totals[tenant] = totals.get(tenant, 0) + share
    return all(total <= full_quota for total in totals.values())
