"""What nodes of a fleet say of themselves, and orders to them, by the administration API."""

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
from benchmarks.mixed.http_client import CallFailed
from benchmarks.mixed.server_process import POLL_S
from benchmarks.mixed.versions import CheckFailed

PIECE_CHARACTERS = 1_200  # of a document in one call
ORDER_WITHIN_S = 10.0
DIGEST_BYTES = 16
ALIVE = "alive"
LEADER = "leader"


async def ask(node: FleetNode, path: str) -> dict[str, Any] | None:
    """None where the node does not answer now."""
    try:
        answer: dict[str, Any] = await node.admin.call(path)
    except CallFailed:
        return None
    return answer


async def ask_all(nodes: Iterable[FleetNode], path: str) -> dict[str, dict[str, Any]]:
    """By node; those that do not answer are missing."""
    rows = list(nodes)
    answers = await asyncio.gather(*(ask(node, path) for node in rows))
    return {node.name: answer for node, answer in zip(rows, answers, strict=True) if answer is not None}


async def order(node: FleetNode, what: str, told: Mapping[str, Any]) -> dict[str, Any]:
    """What the group made of an order. Raises CallFailed, CheckFailed."""
    number = str((await node.admin.call(f"/v1/fleet/{what}", dict(told)))["asked"])
    deadline = time.monotonic() + ORDER_WITHIN_S
    while time.monotonic() < deadline:
        answers = await ask(node, "/v1/fleet/asked")
        if answers is not None and number in answers:
            result: dict[str, Any] = answers[number]
            return result
        await asyncio.sleep(POLL_S)
    raise CheckFailed(f"the group did not answer {what} asked of {node.name}")


@dataclass(slots=True, frozen=True)
class Document:
    """The version in force, as a node has it."""

    version: int
    content: Any


async def read_document(node: FleetNode, name: str) -> Document:
    """Raises CallFailed."""
    newest = (await node.admin.call(f"/v1/fleet/rules/{name}"))["versions"][-1]
    return Document(int(newest["version"]), json.loads(newest["content"]))


async def put_document(node: FleetNode, name: str, content: Any, expect: int) -> dict[str, Any]:
    """Propose a version; `prepares` of the answer has its number, or `refused` says why not."""
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    upload = secrets.token_hex(8)
    for offset in range(0, len(text), PIECE_CHARACTERS):
        piece = {"upload": upload, "offset": offset, "data": text[offset : offset + PIECE_CHARACTERS]}
        taken = await order(node, "rules/part", piece)
        if "taken" not in taken:
            raise CheckFailed(f"{node.name}: a piece of {name} was not taken: {taken}")
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
    change = {"doc": name, "upload": upload, "digest": digest, "expect": expect, "author": node.name}
    return await order(node, "rules/put", change)


@dataclass(slots=True, frozen=True)
class Leadership:
    node: str
    term: int


async def find_leader(nodes: Iterable[FleetNode]) -> Leadership | None:
    """Who leads in the highest term; None where nobody says that it does."""
    found = None
    for name, told in (await ask_all(nodes, "/v1/fleet")).items():
        voter = told["voter"]
        if voter and voter["role"] == LEADER and (found is None or voter["term"] > found.term):
            found = Leadership(name, voter["term"])
    return found


async def all_vote(nodes: Iterable[FleetNode]) -> bool:
    """All nodes name the same group, which is all of them."""
    rows = list(nodes)
    told = await ask_all(rows, "/v1/fleet")
    names = {node.name for node in rows}
    voters = [one["voter"]["voters"] for one in told.values() if one["voter"]]
    return len(voters) == len(rows) and all({who.partition("#")[0] for who in one} == names for one in voters)


async def members_agree(nodes: Iterable[FleetNode]) -> bool:
    """Each node hears all of them as alive, under the processes that they are, and all belong."""
    rows = list(nodes)
    members = await ask_all(rows, "/v1/fleet/members")
    statuses = await ask_all(rows, "/v1/fleet")
    if len(members) < len(rows) or len(statuses) < len(rows):
        return False
    wanted = {(name, told["boot"], ALIVE, True) for name, told in statuses.items()}
    return all(
        {(row["node"], row["process"], row["heard"], row["agreed"]) for row in told["members"]} == wanted
        for told in members.values()
    )


async def documents_agree(nodes: Iterable[FleetNode], versions: Mapping[str, int]) -> bool:
    """All nodes act on these versions, and keep the same history of them."""
    rows = list(nodes)
    told = await ask_all(rows, "/v1/fleet/rules")
    acting = [
        {row["name"]: (row["version"], row["in_force"], row["preparing"]) for row in one["documents"]}
        for one in told.values()
    ]
    wanted = {name: (version, version, None) for name, version in versions.items()}
    if len(told) < len(rows) or any(one != wanted for one in acting):
        return False
    for name in versions:
        histories = await ask_all(rows, f"/v1/fleet/rules/{name}")
        kept = [one["versions"] for one in histories.values()]
        if len(kept) < len(rows) or any(one != kept[0] for one in kept):
            return False
    return True


async def parts_fit(nodes: Iterable[FleetNode], whole: int) -> bool:
    """The parts of each allowance that the nodes use together are the whole at the most."""
    totals: dict[str, int] = {}
    for told in (await ask_all(nodes, "/v1/fleet/rules")).values():
        for tenant, part in (told["parts"] or {}).items():
            totals[tenant] = totals.get(tenant, 0) + part
    return all(total <= whole for total in totals.values())
