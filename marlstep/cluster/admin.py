"""Resources and orders of a cluster node, by their paths in the administration API."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from marlstep.cluster.config_orders import ConfigOrders
from marlstep.cluster.config_status import ConfigStatusReporter
from marlstep.cluster.context import HISTORY_LENGTH, NodeContext
from marlstep.cluster.errors import UnknownOrderError
from marlstep.cluster.interfaces import TurnRequester
from marlstep.cluster.membership import ClusterMembership
from marlstep.cluster.order_tracker import OrderResults, OrderTracker
from marlstep.cluster.status_report import StatusReporter
from marlstep.leases.names import ProcessName
from marlstep.membership.roster_commands import ConfirmFailures, ReadmitNode, RemoveNode, RosterCommand

Reader = Callable[[], dict[str, Any]]


class AdminCommands:
    """Serves the resources and carries out the orders whose paths start with `fleet`."""

    def __init__(
        self,
        context: NodeContext,
        turns: TurnRequester,
        status: StatusReporter,
        membership: ClusterMembership | None,
        config_orders: ConfigOrders | None,
        config_status: ConfigStatusReporter | None,
        results: OrderResults,
    ) -> None:
        """Initialize the commands.

        Args:
            context: The shared state of the node.
            turns: Schedules a turn of the node.
            status: Builds the cluster status.
            membership: The membership of the node; None if it is not configured.
            config_orders: Orders about replicated documents; None if there are none.
            config_status: Builds the status of replicated documents; None if there are none.
            results: The results of orders, shared with the tracker of orders about documents.

        """
        self._context, self._turns = context, turns
        self._membership = membership
        self._config_orders, self._config_status = config_orders, config_status
        self._results = results
        self._orders = OrderTracker(context.client, results, HISTORY_LENGTH)
        self._readers: dict[str, Reader] = {
            "fleet": lambda: status.cluster().to_json(),
            "fleet/leases": lambda: status.leases().to_json(),
            "fleet/log": lambda: status.log().to_json(),
        }
        if membership is not None:
            self._readers["fleet/members"] = membership.status
            self._readers["fleet/situation"] = membership.partition_status
        if config_status is not None:
            self._readers["fleet/rules"] = lambda: config_status.overview().to_json()
        if membership is not None or config_status is not None:
            self._readers["fleet/asked"] = self.order_results

    def read_resource(self, path: str) -> dict[str, Any] | None:
        """Return the resource as JSON, or None if the cluster has no resource at this path."""
        reader = self._readers.get(path)
        if reader is not None:
            return reader()
        match path.split("/"):
            case ["fleet", "rules", document] if self._config_status is not None:
                return self._config_status.versions(document)
            case ["fleet", "asked", node, process_id, number] if number.isdecimal():
                return self._look_up_order(ProcessName(node, process_id), int(number))
        return None

    def order_results(self) -> dict[str, Any]:
        """Return the results of the latest orders that this process took, by order number."""
        self._orders.collect()
        return self._results.to_json()

    def _look_up_order(self, process: ProcessName, number: int) -> dict[str, Any]:
        self._orders.collect()
        return self._results.look_up(str(process), number)

    def execute_order(self, path: str, arguments: dict[str, Any]) -> dict[str, Any] | None:
        """Carry out an order and return its response, or None if the cluster has no order at this path.

        Raises:
            ValueError: the order is unknown or an argument is invalid.
            KeyError: an argument is missing.
            TypeError: an argument has a wrong type.
        """
        match path.split("/"):
            case ["fleet", "rules", order] if self._config_orders is not None:
                return self._config_orders.execute(order, arguments)
            case ["fleet", "members", order] if self._membership is not None:
                return self._execute_member_order(order, arguments)
        return None

    def _execute_member_order(self, order: str, arguments: dict[str, Any]) -> dict[str, Any]:
        command = roster_command(order, arguments)
        accepted = self._orders.propose(self._context.steady.now(), order, command)
        self._turns.schedule()
        return accepted


def roster_command(order: str, arguments: dict[str, Any]) -> RosterCommand:
    """Return the roster command for an order about members.

    Raises:
        UnknownOrderError: there is no order of this name.
        KeyError: an argument is missing.
        TypeError: an argument has a wrong type.
    """
    match order:
        case "remove":
            reason = str(arguments.get("why", "an operator"))
            return RemoveNode(str(arguments["node"]), reason, blocked_by_operator=True)
        case "readmit":
            return ReadmitNode(str(arguments["node"]))
        case "believe":
            return ConfirmFailures(tuple(str(node) for node in arguments["nodes"]))
    raise UnknownOrderError(order)
