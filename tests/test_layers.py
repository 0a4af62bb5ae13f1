"""Import rules between packages, and the modules that a node without an operator file must not load."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent

# Which modules of the project a package may import, by name prefix. The longest matching prefix applies.
ALLOWED_IMPORTS: dict[str, tuple[str, ...]] = {
    "marlstep.admission": ("marlstep.admission",),
    "marlstep.simulator": ("marlstep.simulator", "marlstep.admission"),
    "marlstep.errors": (),
    "marlstep.units": (),
    "marlstep.slots": (),
    "marlstep.timer_queue": (),
    "marlstep.event_loop_watchdog": ("marlstep.timer_queue",),
    "marlstep.resource_budget": ("marlstep.config", "marlstep.core.request_registry"),
    "marlstep.status_log": ("marlstep.core.engine", "marlstep.timer_queue", "marlstep.units"),
    "marlstep.reload": ("marlstep.config",),
    "marlstep.frontend_group": ("marlstep.config", "marlstep.core.interfaces", "marlstep.frontends"),
    "marlstep.drain": (
        "marlstep.components.base",
        "marlstep.config",
        "marlstep.core.engine",
        "marlstep.frontend_group",
        "marlstep.platform.name_service",
        "marlstep.timer_queue",
        "marlstep.units",
    ),
    "marlstep.load_balancing": ("marlstep.load_balancing", "marlstep.slots", "marlstep.units"),
    "marlstep.net": ("marlstep.net", "marlstep.units"),
    "marlstep.core": (
        "marlstep.core",
        "marlstep.slots",
        "marlstep.timer_queue",
        "marlstep.units",
        "marlstep.admission",
    ),
    "marlstep.frontends": (
        "marlstep.frontends",
        "marlstep.core",
        "marlstep.net",
        "marlstep.slots",
        "marlstep.timer_queue",
        "marlstep.units",
    ),
    "marlstep.hot_restart": (
        "marlstep.hot_restart",
        "marlstep.core",
        "marlstep.net",
        "marlstep.timer_queue",
        "marlstep.units",
    ),
    "marlstep.platform": (
        "marlstep.platform",
        "marlstep.core.interfaces",
        "marlstep.net",
        "marlstep.timer_queue",
        "marlstep.units",
        "marlstep.admission.events",
        "marlstep.admission.settings",
    ),
    "marlstep.upstreams": (
        "marlstep.upstreams",
        "marlstep.core.interfaces",
        "marlstep.frontends.uwsgi_wire",
        "marlstep.net",
        "marlstep.load_balancing",
        "marlstep.timer_queue",
        "marlstep.units",
        "marlstep.admission.events",
        "marlstep.admission.settings",
    ),
    "marlstep.components.base": ("marlstep.config", "marlstep.core.interfaces"),
    "marlstep.components": (
        "marlstep.components",
        "marlstep.admin",
        "marlstep.config",
        "marlstep.cluster.node",
        "marlstep.frontends.uwsgi",
        "marlstep.hot_restart",
        "marlstep.core.engine",
        "marlstep.components.base",
        "marlstep.leases.messages",
        "marlstep.load_balancing.pool_config",
        "marlstep.resource_budget",
        "marlstep.timer_queue",
        "marlstep.units",
        "marlstep.upstreams.upstream",
    ),
    "marlstep.consensus": (
        "marlstep.consensus",
        "marlstep.leases",
        "marlstep.membership.roster",
        "marlstep.membership.roster_controller",
        "marlstep.membership.quota_balancer",
        "marlstep.membership.quota_table",
        "marlstep.net.codec",
        "marlstep.replicated_config",
        "marlstep.units",
    ),
    "marlstep.membership": (
        "marlstep.membership",
        "marlstep.consensus.state_machine",
        "marlstep.consensus.raft",
        "marlstep.leases.messages",
        "marlstep.leases.settings",
        "marlstep.leases.table",
        "marlstep.net.codec",
        "marlstep.units",
    ),
    "marlstep.replicated_config": (
        "marlstep.replicated_config",
        "marlstep.consensus.state_machine",
        "marlstep.leases",
        "marlstep.net.codec",
        "marlstep.units",
    ),
    "marlstep.leases": ("marlstep.leases", "marlstep.consensus", "marlstep.net.codec", "marlstep.units"),
    "marlstep.scheduled_tasks": (
        "marlstep.scheduled_tasks",
        "marlstep.consensus",
        "marlstep.leases.table",
        "marlstep.units",
    ),
    "marlstep.cluster": (
        "marlstep.cluster",
        "marlstep.replicated_config",
        "marlstep.membership",
        "marlstep.config",
        "marlstep.consensus",
        "marlstep.core",
        "marlstep.frontends.uwsgi_wire",
        "marlstep.leases",
        "marlstep.net",
        "marlstep.components.base",
        "marlstep.scheduled_tasks",
        "marlstep.load_balancing.health_checks",
        "marlstep.timer_queue",
        "marlstep.units",
        "marlstep.upstreams.upstream",
        "marlstep.admission.events",
        "marlstep.admission.settings",
    ),
    "marlstep.admin": (
        "marlstep.admin",
        "marlstep.core",
        "marlstep.frontends.base",
        "marlstep.components.base",
        "marlstep.timer_queue",
        "marlstep.units",
    ),
    "marlstep.config.traces": (
        "marlstep.config",
        "marlstep.traces.default_mappings",
        "marlstep.traces.formats",
        "marlstep.traces.mapping",
    ),
    "marlstep.traces": ("marlstep.traces", "marlstep.units"),
    "marlstep.traces.replay": (
        "marlstep.traces",
        "marlstep.config.checking",
        "marlstep.core",
        "marlstep.frontends.resp_wire",
        "marlstep.frontends.uwsgi_wire",
        "marlstep.net",
        "marlstep.emulators",
        "marlstep.timer_queue",
        "marlstep.units",
        "marlstep.admission.events",
        "marlstep.admission.settings",
    ),
    "marlstep.emulators": ("marlstep.emulators", "marlstep.frontends.uwsgi_wire", "marlstep.net"),
    "marlstep.standins": ("marlstep.emulators",),
    "marlstep.config": (
        "marlstep.config",
        "marlstep.leases.settings",
        "marlstep.membership.roster_controller",
        "marlstep.membership.detector_settings",
        "marlstep.membership.records",
        "marlstep.replicated_config.documents",
        "marlstep.scheduled_tasks",
        "marlstep.frontends.uwsgi_mapping",
        "marlstep.load_balancing.pool_config",
        "marlstep.units",
        "marlstep.admission.settings",
        "marlstep.simulator.configuration",
    ),
}
# Decision modules: they do no I/O, read no clock and have no random number generator of their own.
DECISION_MODULES = (
    "marlstep/admission/actions.py",
    "marlstep/admission/call_latency.py",
    "marlstep/admission/call_policy.py",
    "marlstep/admission/call_reserve.py",
    "marlstep/admission/caller_activity.py",
    "marlstep/admission/capacity.py",
    "marlstep/admission/concurrency_limit.py",
    "marlstep/admission/controller.py",
    "marlstep/admission/deadlines.py",
    "marlstep/admission/downstream_calls.py",
    "marlstep/admission/entry.py",
    "marlstep/admission/entry_index.py",
    "marlstep/admission/events.py",
    "marlstep/admission/idle_timeout.py",
    "marlstep/admission/intake.py",
    "marlstep/admission/key_retention.py",
    "marlstep/admission/lifecycle.py",
    "marlstep/admission/memory_ledger.py",
    "marlstep/admission/preemption.py",
    "marlstep/admission/priority.py",
    "marlstep/admission/queue_wait.py",
    "marlstep/admission/retry_advisor.py",
    "marlstep/admission/run_queue.py",
    "marlstep/admission/run_statistics.py",
    "marlstep/admission/controller_state.py",
    "marlstep/admission/settings.py",
    "marlstep/admission/start_rules.py",
    "marlstep/admission/timing.py",
    "marlstep/admission/token_buckets.py",
    "marlstep/admission/turn_timer.py",
    "marlstep/admission/wake_heap.py",
    "marlstep/consensus/log.py",
    "marlstep/consensus/state_machine.py",
    "marlstep/consensus/messages.py",
    "marlstep/consensus/configuration_change.py",
    "marlstep/consensus/election.py",
    "marlstep/consensus/group_membership.py",
    "marlstep/consensus/leader_duties.py",
    "marlstep/consensus/progress.py",
    "marlstep/consensus/raft.py",
    "marlstep/consensus/ready.py",
    "marlstep/consensus/replication.py",
    "marlstep/consensus/snapshot_transfer.py",
    "marlstep/consensus/replica.py",
    "marlstep/consensus/replica_messages.py",
    "marlstep/consensus/replica_settings.py",
    "marlstep/consensus/replica_status.py",
    "marlstep/config/checking.py",
    "marlstep/config/document_overrides.py",
    "marlstep/config/operator_overrides.py",
    "marlstep/config/platform_settings.py",
    "marlstep/config/reloading.py",
    "marlstep/config/uwsgi.py",
    "marlstep/frontends/connection_policy.py",
    "marlstep/frontends/connection_table.py",
    "marlstep/frontends/errors.py",
    "marlstep/frontends/resp_commands.py",
    "marlstep/frontends/resp_fields.py",
    "marlstep/frontends/resp_policy.py",
    "marlstep/frontends/uwsgi_policy.py",
    "marlstep/frontends/resp_tags.py",
    "marlstep/frontends/resp_wire.py",
    "marlstep/frontends/packet_memory.py",
    "marlstep/frontends/scan_scheduler.py",
    "marlstep/frontends/time_slices.py",
    "marlstep/frontends/uwsgi_requests.py",
    "marlstep/frontends/uwsgi_wire.py",
    "marlstep/platform/call_policy.py",
    "marlstep/platform/command_log.py",
    "marlstep/platform/database_wire.py",
    "marlstep/platform/kernel_wire.py",
    "marlstep/platform/notice_sequence.py",
    "marlstep/net/backoff.py",
    "marlstep/core/serving_state.py",
    "marlstep/core/idempotency.py",
    "marlstep/core/idempotency_windows.py",
    "marlstep/core/key_memory.py",
    "marlstep/core/key_record.py",
    "marlstep/core/work_identity.py",
    "marlstep/core/arrivals.py",
    "marlstep/core/errors.py",
    "marlstep/core/intake_checks.py",
    "marlstep/core/request_registry.py",
    "marlstep/core/response_rules.py",
    "marlstep/core/run_rules.py",
    "marlstep/core/served_settings.py",
    "marlstep/hot_restart/interfaces.py",
    "marlstep/hot_restart/key_exchange.py",
    "marlstep/hot_restart/predecessor.py",
    "marlstep/hot_restart/resource_sharing.py",
    "marlstep/hot_restart/restart.py",
    "marlstep/hot_restart/successor.py",
    "marlstep/hot_restart/timeouts.py",
    "marlstep/leases/clock_drift.py",
    "marlstep/leases/holder.py",
    "marlstep/leases/manager.py",
    "marlstep/leases/messages.py",
    "marlstep/leases/client.py",
    "marlstep/leases/commands.py",
    "marlstep/leases/names.py",
    "marlstep/leases/settings.py",
    "marlstep/leases/table.py",
    "marlstep/membership/roster.py",
    "marlstep/membership/roster_commands.py",
    "marlstep/membership/roster_controller.py",
    "marlstep/membership/broadcast_queue.py",
    "marlstep/membership/detector_settings.py",
    "marlstep/membership/failure_detector.py",
    "marlstep/membership/indirect_probes.py",
    "marlstep/membership/local_health.py",
    "marlstep/membership/member_list.py",
    "marlstep/membership/membership_state.py",
    "marlstep/membership/pings.py",
    "marlstep/membership/probing.py",
    "marlstep/membership/sampling.py",
    "marlstep/membership/state_exchange.py",
    "marlstep/membership/suspicion.py",
    "marlstep/membership/messages.py",
    "marlstep/membership/records.py",
    "marlstep/membership/quota_balancer.py",
    "marlstep/membership/quota_commands.py",
    "marlstep/membership/quota_lease.py",
    "marlstep/membership/quota_table.py",
    "marlstep/membership/partition_state.py",
    "marlstep/load_balancing/concurrency_limit.py",
    "marlstep/load_balancing/errors.py",
    "marlstep/load_balancing/failure_rate.py",
    "marlstep/load_balancing/health_checks.py",
    "marlstep/load_balancing/latency_estimators.py",
    "marlstep/load_balancing/outlier_detection.py",
    "marlstep/load_balancing/pool_config.py",
    "marlstep/load_balancing/retry_policy.py",
    "marlstep/load_balancing/server.py",
    "marlstep/load_balancing/server_choice.py",
    "marlstep/load_balancing/server_table.py",
    "marlstep/upstreams/errors.py",
    "marlstep/upstreams/outcomes.py",
    "marlstep/upstreams/response_reader.py",
    "marlstep/emulators/machine.py",
    "marlstep/emulators/processor_sharing.py",
    "marlstep/emulators/work_plan.py",
    "marlstep/replicated_config/commands.py",
    "marlstep/replicated_config/comparison.py",
    "marlstep/replicated_config/errors.py",
    "marlstep/replicated_config/results.py",
    "marlstep/replicated_config/rollout_plan.py",
    "marlstep/replicated_config/store.py",
    "marlstep/replicated_config/documents.py",
    "marlstep/replicated_config/followed_document.py",
    "marlstep/replicated_config/follower.py",
    "marlstep/replicated_config/follower_actions.py",
    "marlstep/replicated_config/rollout.py",
    "marlstep/scheduled_tasks/actions.py",
    "marlstep/scheduled_tasks/commands.py",
    "marlstep/scheduled_tasks/outcomes.py",
    "marlstep/scheduled_tasks/results.py",
    "marlstep/scheduled_tasks/run_log.py",
    "marlstep/scheduled_tasks/runner.py",
    "marlstep/scheduled_tasks/schedule.py",
    "marlstep/traces/account.py",
    "marlstep/traces/cutting.py",
    "marlstep/traces/default_mappings.py",
    "marlstep/traces/mapping.py",
    "marlstep/traces/operator_file.py",
    "marlstep/traces/reordering.py",
    "marlstep/traces/settings_digest.py",
    "marlstep/traces/replay/campaign.py",
    "marlstep/traces/replay/figures.py",
    "marlstep/traces/replay/retry_rules.py",
)
IO_MODULES = {
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
# Modules that a node must not load unless a setting enables them: such a node has to fit into 32 MB.
NOT_LOADED_BY_DEFAULT = (
    "apsw", "argparse", "blake3", "click", "csv", "gzip", "hdrh", "marlstep.admin", "marlstep.cli",
    "marlstep.config.cluster", "marlstep.config.document_overrides", "marlstep.consensus",
    "marlstep.fault_injection", "marlstep.cluster", "marlstep.frontends.uwsgi", "marlstep.hot_restart",
    "marlstep.leases", "marlstep.membership", "marlstep.components.admin", "marlstep.components.config_documents",
    "marlstep.components.health_endpoint", "marlstep.components.cluster", "marlstep.components.hot_restart",
    "marlstep.components.uwsgi", "marlstep.event_loop_watchdog", "marlstep.peers", "marlstep.load_balancing",
    "marlstep.replicated_config",
    "marlstep.emulators", "marlstep.scheduled_tasks", "marlstep.standins", "marlstep.traces", "marlstep.upstreams",
    "matplotlib",
    "multiprocessing", "numpy", "prometheus_client", "rich", "secrets", "sqlite3", "structlog",
    "zstandard",
)  # fmt: skip


def imported_modules(path: Path) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.ImportFrom):
            found.add(node.module or "")
        elif isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
    return found


def module_name(path: Path) -> str:
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


def has_prefix(name: str, prefix: str) -> bool:
    return name == prefix or name.startswith(prefix + ".")


def test_packages_import_only_allowed_modules() -> None:
    violations = []
    for path in sorted(ROOT.glob("marlstep/**/*.py")):
        name = module_name(path)
        package = max(
            (prefix for prefix in ALLOWED_IMPORTS if has_prefix(name, prefix)), key=len, default=None
        )
        if package is None:
            continue
        for imported in imported_modules(path):
            if imported.startswith("marlstep") and not any(
                has_prefix(imported, allowed) for allowed in (*ALLOWED_IMPORTS[package], "marlstep.errors")
            ):
                violations.append(f"{name} imports {imported}")
    assert violations == []


def test_decision_modules_import_no_io_modules() -> None:
    violations = {name: imported_modules(ROOT / name) & IO_MODULES for name in DECISION_MODULES}
    assert {name: found for name, found in violations.items() if found} == {}


def test_a_node_started_by_the_platform_loads_only_enabled_modules() -> None:
    program = (
        "import sys, marlstep.node, marlstep.__main__\n"
        "print(*[name for name in sys.modules if not name.startswith('_')])"
    )
    loaded = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True, cwd=ROOT
    )
    names = loaded.stdout.split()
    assert "marlstep.core.engine" in names
    assert [name for name in names for prefix in NOT_LOADED_BY_DEFAULT if has_prefix(name, prefix)] == []
