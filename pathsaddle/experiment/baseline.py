"""Policies that others use, to measure the design against. They live here and never in the program.

python -m pathsaddle.experiment.baseline POLICY: the platform's program with that policy in place of the design.
"""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Callable, Iterator
from unittest import mock

from pathsaddle.scheduler import Scheduler
from pathsaddle.scheduler_types import Txn
from pathsaddle.worker_state import WorkerState

Pick = Callable[[Scheduler, list[WorkerState]], WorkerState]


def _random(choice: Scheduler, books: list[WorkerState]) -> WorkerState:
    return choice.choose(books)


def _round_robin(choice: Scheduler, books: list[WorkerState]) -> WorkerState:
    turn: int = choice.__dict__.get("turn", -1) + 1
    choice.__dict__["turn"] = turn
    return books[turn % len(books)]


def _least_outstanding(choice: Scheduler, books: list[WorkerState]) -> WorkerState:
    least = min(len(book.in_flight) for book in books)
    return choice.choose([book for book in books if len(book.in_flight) == least])


def _two_choices(choice: Scheduler, books: list[WorkerState]) -> WorkerState:
    one, other = choice.choose(books), choice.choose(books)
    return one if len(one.in_flight) <= len(other.in_flight) else other


POLICIES: dict[str, Pick] = {
    "random": _random,
    "round-robin": _round_robin,
    "least-outstanding": _least_outstanding,
    "two-choices": _two_choices,
}


@contextlib.contextmanager
def instead(policy: str) -> Iterator[None]:
    """While it holds, the policy picks among all workers that the rules allow, with no word of their load;
    nothing is held for room and no look is bought. Health, rules and declines stay as they are.
    """
    if not policy:
        yield
        return
    pick = POLICIES[policy]

    def best(self: Scheduler, txn: Txn, rooms: dict[WorkerState, float], blind: bool) -> WorkerState | None:
        books = [
            book
            for book in rooms or self.competing_workers(self.workers.values())
            if self.is_eligible(book, txn)
        ]
        return pick(self, books) if books else None

    with (
        mock.patch.object(Scheduler, "choose_worker", best),
        mock.patch.object(Scheduler, "required_slots", lambda self, txn: -1e9),
        mock.patch.object(Scheduler, "probe_candidates", lambda self, *args: False),
    ):
        yield


if __name__ == "__main__":
    from pathsaddle.net.service.start import main

    with instead(sys.argv[1]):
        sys.exit(main())
