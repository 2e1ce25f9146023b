"""Policies that others use, to measure the design against. They live here and never in the program.

python -m pathsaddle.experiment.baseline POLICY: the platform's program with that policy in place of the design.
"""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Callable, Iterator
from unittest import mock

from pathsaddle.scheduler import Choice
from pathsaddle.scheduler_types import Txn
from pathsaddle.worker_state import Book

Pick = Callable[[Choice, list[Book]], Book]


def _random(choice: Choice, books: list[Book]) -> Book:
    return choice.choose(books)


def _round_robin(choice: Choice, books: list[Book]) -> Book:
    turn: int = choice.__dict__.get("turn", -1) + 1
    choice.__dict__["turn"] = turn
    return books[turn % len(books)]


def _least_outstanding(choice: Choice, books: list[Book]) -> Book:
    least = min(len(book.out) for book in books)
    return choice.choose([book for book in books if len(book.out) == least])


def _two_choices(choice: Choice, books: list[Book]) -> Book:
    one, other = choice.choose(books), choice.choose(books)
    return one if len(one.out) <= len(other.out) else other


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

    def best(self: Choice, txn: Txn, rooms: dict[Book, float], blind: bool) -> Book | None:
        books = [book for book in rooms or self.rooms(self.books.values()) if self.eligible(book, txn)]
        return pick(self, books) if books else None

    with (
        mock.patch.object(Choice, "best", best),
        mock.patch.object(Choice, "need", lambda self, txn: -1e9),
        mock.patch.object(Choice, "look", lambda self, *args: False),
    ):
        yield


if __name__ == "__main__":
    from pathsaddle.net.service.start import main

    with instead(sys.argv[1]):
        sys.exit(main())
