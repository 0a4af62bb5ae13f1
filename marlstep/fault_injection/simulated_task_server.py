"""The task server of a simulated cluster: it fences off old tokens and records every effect."""

from __future__ import annotations

from datetime import timedelta

from marlstep.fault_injection.effects import Effect, FencingServer
from marlstep.fault_injection.simulated_node import SimulatedNode
from marlstep.fault_injection.simulation import Simulation
from marlstep.scheduled_tasks.actions import ActionKind, RunnerAction
from marlstep.scheduled_tasks.outcomes import Outcome
from marlstep.units import span_us

TRANSIT_US = (200, 5_000)  # bounds of the network delay of a request or a response
DELAYED_SHARE, MAX_DELAY_US = 0.02, 600_000  # the share of requests that are late, and by how much at most
MAX_STUCK_US = 4_000_000  # the longest time that a request is stuck in a queue: longer than a lease
WORK_US = (5_000, 150_000)  # bounds of the duration of an effect
LOST_RESPONSE_SHARE = 0.02


class SimulatedTaskServer:
    """Performs the requests of tasks after random delays.

    Attributes:
        effects: All requests that arrived, in the order of their arrival.
    """

    def __init__(self, simulation: Simulation, timeout: timedelta) -> None:
        """Create a server; `timeout` is how long a node waits for the response to a request."""
        self.effects: list[Effect] = []
        self._simulation = simulation
        self._timeout = timeout
        self._fencing = FencingServer()

    def request(self, node: SimulatedNode, task: str, action: RunnerAction) -> None:
        """Accept a request of a task from a node, and report its outcome once; it is unknown after the timeout."""
        chance = self._simulation.chance
        transit_us = chance.randrange(*TRANSIT_US)
        if chance.random() < DELAYED_SHARE:
            transit_us += chance.randrange(MAX_DELAY_US)
        elif chance.random() < self._simulation.mutation.stuck_share:
            transit_us += chance.randrange(MAX_STUCK_US)
        is_fence = action.kind is ActionKind.FENCE
        work_us = 0 if is_fence else chance.randrange(*WORK_US)
        generation = node.generation
        is_pending = True

        def respond(outcome: Outcome) -> None:
            nonlocal is_pending
            if is_pending and node.generation == generation:
                is_pending = False
                node.effect_ended(task, action, outcome)

        def arrive() -> None:
            accepted = self._fencing.accepts(task, action.token)
            began_us = self._simulation.true_us
            ended_us = began_us + work_us
            self.effects.append(
                Effect(task, node.name, action.token, action.run, began_us, ended_us, accepted, is_fence)
            )
            outcome = Outcome.DONE if accepted else Outcome.FENCED_OFF
            if chance.random() >= LOST_RESPONSE_SHARE:
                node.at(work_us + chance.randrange(*TRANSIT_US), lambda: respond(outcome))

        self._simulation.after(transit_us, arrive)
        node.at(span_us(self._timeout), lambda: respond(Outcome.UNKNOWN))
