"""Programs that break one rule each, and the name under which the judge must find them."""

from __future__ import annotations

from dataclasses import replace

from pathsaddle.placement.inventory import State
from pathsaddle.placement.placement_state import Book
from pathsaddle.placement.plan import WITHDRAW, Plan, done
from pathsaddle.placement.rollout import Order, Walk


class Unrevised(Book):
    """Reserves on what it saw, whatever is so by now."""

    def _base(self, base: int) -> None:
        pass


class Unnumbered(Book):
    """Lets any planner do what it likes, with whatever number."""

    def _number(self, number: int) -> None:
        pass


class Unordered(Book):
    """Takes the steps as they come."""

    def _order(self, plan: Plan, at: int) -> None:
        pass


class Hasty(Walk):
    """Takes out of service at once all that the plan takes out some time."""

    def due(self, book: Book, now: int) -> list[Order]:
        found = super().due(book, now)
        plan = book.plan
        if plan is not None and plan.base == book.inventory.base:
            found += [
                Order("withdraw", step.unit, step.bay, at)
                for at, step in enumerate(plan.steps)
                if step.does == WITHDRAW
                and not done(book.inventory, step)
                and book.inventory.unit[step.unit].state is State.SERVING
            ]
        return found


class Impatient(Walk):
    """Ends another's reservation as soon as it sees it."""

    def surely(self) -> int:
        return 0


class Unbudgeted(Book):
    """Warms whatever is installed."""

    def cold(self, number: int, name: str) -> Book:
        self._number(number)
        unit = self._unit(name)
        return self._changed(replace(unit, state=State.COLD)) if unit.state is State.INSTALLING else self


# What breaks, by whose choice it shows (the solver's moves what serves),
# and the name under which it is found.
MUTANTS: dict[str, tuple[type[Book], type[Walk], str, str]] = {
    "reservation without revision": (Unrevised, Walk, "greedy", "stale-revision"),
    "planner's number unchecked": (Unnumbered, Walk, "greedy", "late-planner"),
    "step order ignored": (Unordered, Hasty, "plan", "step-order"),
    "lease not waited for": (Book, Impatient, "greedy", "released-early"),
    "cold budget ignored": (Unbudgeted, Walk, "greedy", "cold-over"),
}
