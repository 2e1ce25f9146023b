"""A planner: it reads the ledger again and again, and does what its rollout says is due.

`commands` runs it. It makes plans, changes the ledger, and prints orders to those who install. It changes
nothing unless it may act, which it asks just before each change, since planning takes seconds.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from pathsaddle.placement import planner_events as events
from pathsaddle.placement.changes import BeginPlanner, Change, ReplacePlan
from pathsaddle.placement.clocks import monotonic_ticks
from pathsaddle.placement.errors import LedgerUnusableError, PlanRejectedError, RejectionReason
from pathsaddle.placement.ledger_file import LedgerFile
from pathsaddle.placement.placement_state import PlacementState
from pathsaddle.placement.plan import Plan
from pathsaddle.placement.planner_events import EventPrinter
from pathsaddle.placement.planning import make_plan
from pathsaddle.placement.problem import Allocation, Problem
from pathsaddle.placement.rollout import (
    IslandOrder,
    LedgerStep,
    MakePlan,
    RenewStep,
    ReserveStep,
    Rollout,
    RolloutStep,
    StopRollout,
)
from pathsaddle.scheduler_types import SECOND

POLL_INTERVAL_S = 0.1  # between two looks at the ledger
ORDER_REPEAT_S = 60  # an order is printed again until it is done


class SupersededError(Exception):
    """A later planner has begun. It is handled inside the program."""


class LeadershipLostError(Exception):
    """The lease on the planner's key is over. It is handled inside the program."""


@dataclass(frozen=True)
class PlannerOptions:
    """How a planner works.

    Attributes:
        lease_s: seconds for which a reservation stands without renewal.
        planning_time_s: how long it may think about a plan.
        ends_when_done: whether it ends when nothing is left to do.
    """

    lease_s: float
    planning_time_s: float
    ends_when_done: bool


def choose_with_solver(problem: Problem, time_limit_s: float) -> Allocation:
    """Choose the counts by the solver, which is loaded here alone."""
    from pathsaddle.placement.solver import solve_placement

    answer = solve_placement(problem, time_limit_s, time.monotonic)
    return Allocation(answer.counts, answer.method, answer.gap)


def make_solver_plan(state: PlacementState, number: int, time_limit_s: float) -> Plan:
    """Make a plan for a state by the solver."""
    return make_plan(
        state.inventory, number, state.plan, lambda problem: choose_with_solver(problem, time_limit_s)
    )


class Planner:
    """A planner under one number.

    Args:
        ledger: the ledger that planners share.
        number: its fencing token.
        may_act: is asked just before each change.
        printer: where its events go.
        options: how it works.
    """

    def __init__(
        self,
        ledger: LedgerFile,
        number: int,
        *,
        may_act: Callable[[], bool],
        printer: EventPrinter,
        options: PlannerOptions,
    ) -> None:
        self.number = number
        self._ledger, self._may_act, self._printer, self._options = ledger, may_act, printer, options
        self._rollout = Rollout(number, int(options.lease_s * SECOND))
        self._ordered_at: dict[IslandOrder, int] = {}  # ticks at which an order was last printed

    def run(self, stopped: threading.Event) -> None:
        """Work until stopped or, with `ends_when_done`, until nothing is left to do.

        Raises:
            SupersededError: a later planner has begun.
            LeadershipLostError: it may no longer act.
        """
        try:
            state = self._ledger.apply(BeginPlanner(self.number))
        except PlanRejectedError as error:
            raise SupersededError(str(error)) from None
        self._printer.write(events.PlannerStarted(self.number))
        while not stopped.is_set():
            try:
                steps = self._take_due_steps()
            except LedgerUnusableError as error:
                # What is reserved goes on while its lease stands, and nothing new begins.
                self._printer.write(events.LedgerUnavailable(error.what, error.do))
                state = self._ledger.cached_state or state
                for order in self._rollout.orders_without_ledger(state.inventory, monotonic_ticks()):
                    self._print_order(order)
                continue
            state = self._ledger.cached_state or state
            if self._options.ends_when_done and not steps and self._rollout.is_complete(state):
                return
            stopped.wait(POLL_INTERVAL_S)

    def _take_due_steps(self) -> list[RolloutStep]:
        """Read the state, do all that is due by it, and return what was due."""
        state = self._ledger.read()
        steps = self._rollout.due_steps(state, monotonic_ticks())
        for step in steps:
            if isinstance(step, StopRollout):
                raise SupersededError(f"{state.number} has begun")
            if not self._may_act():
                raise LeadershipLostError
            if isinstance(step, IslandOrder):
                self._print_order(step)
            elif not self._take(step, self._change(step, state)):
                break
        return steps

    def _change(self, step: RolloutStep, state: PlacementState) -> Change:
        """Return the change that a step makes; for a new plan, make it."""
        if isinstance(step, MakePlan):
            self._printer.write(events.PlanningBegan(state.inventory.base, self.number))
            return ReplacePlan(make_solver_plan(state, self.number, self._options.planning_time_s))
        assert isinstance(step, LedgerStep)
        return step.change(state, self.number)

    def _take(self, step: RolloutStep, change: Change) -> bool:
        """Make a change; return whether the steps after it still make sense."""
        requested_at = monotonic_ticks()
        if not self._may_act():  # planning takes time
            raise LeadershipLostError
        try:
            after = self._ledger.apply(change)
        except PlanRejectedError as error:
            return self._handle_rejection(step, error)
        if isinstance(step, RenewStep):
            self._rollout.on_renewed(after.inventory, requested_at)
        elif isinstance(step, ReserveStep):
            self._rollout.on_reserved(step.unit, requested_at)
        self._printer.write(events.ChangeApplied(step.name, step.unit, step.bay, self.number))
        return True

    def _handle_rejection(self, step: RolloutStep, error: PlanRejectedError) -> bool:
        """Print a rejection; return whether the steps after it still make sense."""
        if error.reason is not RejectionReason.BUDGET:
            self._printer.write(events.ChangeRefused(step.name, error.reason, step.unit, self.number))
        if error.reason is RejectionReason.NUMBER:
            raise SupersededError(str(error)) from None
        return error.reason not in (RejectionReason.BASE, RejectionReason.PLAN)

    def _print_order(self, order: IslandOrder) -> None:
        """Print an order, unless it was printed less than ORDER_REPEAT_S ago."""
        now = monotonic_ticks()
        last = self._ordered_at.get(order)
        if last is None or now >= last + ORDER_REPEAT_S * SECOND:
            self._ordered_at[order] = now
            self._printer.write(events.IslandOrdered(order.name, order.unit, order.bay, self.number))
