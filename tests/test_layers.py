"""The direction of imports, and what the platform's node must not load."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent

# A part, and what it may import of the project, by prefix. The longest prefix of a module's name counts.
MAY: dict[str, tuple[str, ...]] = {
    "petrelcart": ("petrelcart",),
    "marlstep.units": (),
    "marlstep.slots": (),
    "marlstep.timeline": (),
    "marlstep.stall": ("marlstep.timeline",),
    "marlstep.pool": ("marlstep.pool", "marlstep.slots", "marlstep.units"),
    "marlstep.net": ("marlstep.net", "marlstep.units"),
    "marlstep.core": ("marlstep.core", "marlstep.slots", "marlstep.timeline", "marlstep.units", "petrelcart"),
    "marlstep.fronts": (
        "marlstep.fronts",
        "marlstep.core",
        "marlstep.net",
        "marlstep.slots",
        "marlstep.timeline",
        "marlstep.units",
    ),
    "marlstep.handover": (
        "marlstep.handover",
        "marlstep.core",
        "marlstep.net",
        "marlstep.timeline",
        "marlstep.units",
    ),
    "marlstep.platform": (
        "marlstep.platform",
        "marlstep.core.model",
        "marlstep.net",
        "marlstep.timeline",
        "marlstep.units",
        "petrelcart.interface",
    ),
    "marlstep.upstreams": (
        "marlstep.upstreams",
        "marlstep.core.model",
        "marlstep.fronts.uwsgi_wire",
        "marlstep.net",
        "marlstep.pool",
        "marlstep.timeline",
        "marlstep.units",
        "petrelcart.interface",
    ),
    "marlstep.parts": ("marlstep.config", "marlstep.core.model"),
    "marlstep.optional": (
        "marlstep.optional",
        "marlstep.admin",
        "marlstep.config",
        "marlstep.fleet.part",
        "marlstep.fronts.uwsgi",
        "marlstep.handover",
        "marlstep.node",
        "marlstep.parts",
        "marlstep.pool.plan",
        "marlstep.units",
        "marlstep.upstreams.upstream",
    ),
    "marlstep.consensus": (
        "marlstep.consensus",
        "marlstep.leases",
        "marlstep.members.agreed",
        "marlstep.members.shares",
        "marlstep.net.codec",
        "marlstep.rules",
        "marlstep.units",
    ),
    "marlstep.members": (
        "marlstep.members",
        "marlstep.consensus.machine",
        "marlstep.consensus.raft",
        "marlstep.leases.messages",
        "marlstep.leases.rules",
        "marlstep.leases.table",
        "marlstep.net.codec",
        "marlstep.units",
    ),
    "marlstep.rules": (
        "marlstep.rules",
        "marlstep.consensus.machine",
        "marlstep.leases",
        "marlstep.net.codec",
        "marlstep.units",
    ),
    "marlstep.leases": ("marlstep.leases", "marlstep.consensus", "marlstep.net.codec", "marlstep.units"),
    "marlstep.tasks": ("marlstep.tasks", "marlstep.consensus", "marlstep.leases.table", "marlstep.units"),
    "marlstep.fleet": (
        "marlstep.fleet",
        "marlstep.rules",
        "marlstep.members",
        "marlstep.config",
        "marlstep.consensus",
        "marlstep.core",
        "marlstep.fronts.uwsgi_wire",
        "marlstep.leases",
        "marlstep.net",
        "marlstep.parts",
        "marlstep.tasks",
        "marlstep.pool.probing",
        "marlstep.timeline",
        "marlstep.units",
        "marlstep.upstreams.upstream",
        "petrelcart.interface",
    ),
    "marlstep.admin": (
        "marlstep.admin",
        "marlstep.core",
        "marlstep.fronts.base",
        "marlstep.parts",
        "marlstep.timeline",
        "marlstep.units",
    ),
    "marlstep.config.traces": ("marlstep.config", "marlstep.traces.formats", "marlstep.traces.mapping"),
    "marlstep.traces": ("marlstep.traces", "marlstep.units"),
    "marlstep.traces.replay": (
        "marlstep.traces",
        "marlstep.config.node",
        "marlstep.core",
        "marlstep.fronts.resp_wire",
        "marlstep.fronts.uwsgi_wire",
        "marlstep.net",
        "marlstep.standins",
        "marlstep.timeline",
        "marlstep.units",
        "petrelcart.interface",
    ),
    "marlstep.standins": ("marlstep.standins", "marlstep.fronts.uwsgi_wire", "marlstep.net"),
    "marlstep.config": (
        "marlstep.config",
        "marlstep.leases.rules",
        "marlstep.members.agreed",
        "marlstep.members.detector",
        "marlstep.members.records",
        "marlstep.rules.documents",
        "marlstep.tasks",
        "marlstep.fronts.mapped",
        "marlstep.pool.plan",
        "marlstep.units",
        "petrelcart",
    ),
}
# Modules that decide: no I/O, no clock, no source of chance of their own.
DECIDE = (
    "petrelcart/policy.py",
    "marlstep/consensus/log.py",
    "marlstep/consensus/machine.py",
    "marlstep/consensus/messages.py",
    "marlstep/consensus/raft.py",
    "marlstep/consensus/voter.py",
    "marlstep/core/duty.py",
    "marlstep/core/keys.py",
    "marlstep/handover/peer.py",
    "marlstep/handover/sharing.py",
    "marlstep/leases/drift.py",
    "marlstep/leases/holder.py",
    "marlstep/leases/keeper.py",
    "marlstep/leases/messages.py",
    "marlstep/leases/participant.py",
    "marlstep/leases/rules.py",
    "marlstep/leases/table.py",
    "marlstep/members/agreed.py",
    "marlstep/members/detector.py",
    "marlstep/members/messages.py",
    "marlstep/members/records.py",
    "marlstep/members/shares.py",
    "marlstep/members/situation.py",
    "marlstep/pool/estimate.py",
    "marlstep/pool/health.py",
    "marlstep/pool/plan.py",
    "marlstep/pool/probing.py",
    "marlstep/pool/table.py",
    "marlstep/pool/tries.py",
    "marlstep/standins/cores.py",
    "marlstep/rules/book.py",
    "marlstep/rules/documents.py",
    "marlstep/rules/follower.py",
    "marlstep/rules/stages.py",
    "marlstep/tasks/record.py",
    "marlstep/tasks/runner.py",
    "marlstep/tasks/schedule.py",
    "marlstep/traces/mapping.py",
    "marlstep/traces/order.py",
    "marlstep/traces/replay/campaign.py",
    "marlstep/traces/replay/figures.py",
    "marlstep/traces/window.py",
)
IO = {
    "asyncio",
    "io",
    "os",
    "pathlib",
    "random",
    "selectors",
    "socket",
    "subprocess",
    "threading",
    "time",
    "uvloop",
}
# What a node that was told nothing more must not load: it lives in 32 MB.
ABSENT = (
    "apsw", "argparse", "blake3", "click", "csv", "gzip", "hdrh", "marlstep.admin", "marlstep.cli",
    "marlstep.config.fleet", "marlstep.config.governed", "marlstep.consensus", "marlstep.drill",
    "marlstep.fleet", "marlstep.fronts.uwsgi", "marlstep.handover", "marlstep.learned",
    "marlstep.leases", "marlstep.members", "marlstep.optional.admin", "marlstep.optional.documents",
    "marlstep.optional.door", "marlstep.optional.fleet", "marlstep.optional.meeting",
    "marlstep.optional.uwsgi", "marlstep.peers", "marlstep.pool", "marlstep.rules", "marlstep.stall",
    "marlstep.standins", "marlstep.tasks", "marlstep.traces", "marlstep.upstreams", "matplotlib",
    "multiprocessing", "numpy", "prometheus_client", "rich", "secrets", "sqlite3", "structlog",
    "zstandard",
)  # fmt: skip


def imports(path: Path) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            found.add(node.module or "")
        elif isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
    return found


def module_name(path: Path) -> str:
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


def within(name: str, prefix: str) -> bool:
    return name == prefix or name.startswith(prefix + ".")


def test_imports_go_one_way() -> None:
    faults = []
    for path in sorted([*ROOT.glob("marlstep/**/*.py"), *ROOT.glob("petrelcart/*.py")]):
        name = module_name(path)
        part = max((prefix for prefix in MAY if within(name, prefix)), key=len, default=None)
        if part is None:
            continue
        for one in imports(path):
            if one.startswith(("marlstep", "petrelcart")) and not any(
                within(one, good) for good in MAY[part]
            ):
                faults.append(f"{name} imports {one}")
    assert faults == []


def test_modules_that_decide_do_no_io() -> None:
    faults = {name: imports(ROOT / name) & IO for name in DECIDE}
    assert {name: found for name, found in faults.items() if found} == {}


def test_a_node_as_the_platform_starts_it_loads_nothing_that_is_not_turned_on() -> None:
    program = (
        "import sys, marlstep.node, marlstep.__main__\n"
        "print(*[name for name in sys.modules if not name.startswith('_')])"
    )
    loaded = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True, cwd=ROOT
    )
    names = loaded.stdout.split()
    assert "marlstep.core.engine" in names
    assert [name for name in names for bad in ABSENT if within(name, bad)] == []
