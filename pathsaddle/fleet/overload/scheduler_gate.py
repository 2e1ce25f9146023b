"""The gate beside a real Choice: what it is asked in trade's words, put in the fleet's.

It reads the mechanism's books, and writes but one thing: a suspect whose trial is refused is shut for a
moment. What identifies a txn to all is its customer, its key (its hint and size where it has none) and its
scheme, by the charter's numbers; workers share a few budgets by the lot drawn from their name. List calls ask
none: rule 3 needs no other dispatcher.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pathsaddle.fleet.overload import retry_budgets
from pathsaddle.fleet.overload.admission_gate import AdmissionVerdict, OverloadGate, kind_of
from pathsaddle.fleet.overload.shed_rank import AdmissionRequest
from pathsaddle.trade import SECOND, Standing, Txn, Worker

if TYPE_CHECKING:
    from pathsaddle.choice import Choice

VERDICTS = 4096  # of txns that are open
MAX_QUEUED = (
    4  # budgets that workers have of each kind: a charter deals them by name before it knows any worker
)


def place(worker: Worker) -> str:
    """Whose budget it is, alike at all members; workers that share one are together bound by what bounds
    each.
    """
    return f"w{worker.lot % MAX_QUEUED}"


class SchedulerAdmissionGate:
    """Implements trade.Gate. `core`: this member's; whoever carries records feeds and asks it directly."""

    def __init__(self, core: OverloadGate) -> None:
        self.core = core
        self.due = 0
        self.verdicts: dict[Txn, AdmissionVerdict] = {}

    def ask_of(self, txn: Txn, choice: Choice) -> AdmissionRequest:
        run = choice.run_of(txn)
        key = txn.key if txn.key is not None else f"{txn.hint} {txn.slots} {txn.memory}"
        customer = str(txn.customer.index) if txn.customer is not None else ""
        spent = sum(run * txn.slots * 0.5 for posting in txn.postings if posting.may_have_run)
        return AdmissionRequest(
            customer,
            key,
            str(txn.scheme.index),
            choice.worth(txn),
            txn.scheme.late_value,
            run * txn.slots,
            choice.in_time_until(txn) + int(run) - choice.now,
            int(run),
            spent,
            txn.repeat,
        )

    def looks_at(self, choice: Choice) -> None:
        """What the mechanism believes of the workers, in the gate's figures."""
        books = [book for book in choice.books.values() if book.worker.standing is Standing.READY]
        sizes = {book: book.size or choice.least_slots for book in books}
        # Whom we alone can't reach counts whole: others serve by it, and lines tell when the sum is too high.
        could = sum(size / book.pace for book, size in sizes.items())
        fresh = [(sizes[book], choice.room(book)) for book in books if choice.now - book.reported < SECOND]
        whole = sum(size for size, _ in fresh)
        idle = sum(min(size, max(0.0, room)) for size, room in fresh) / whole if whole else 0.0
        line = sum(max(0.0, -room) for _, room in fresh) / whole if whole else 0.0
        line += len(choice.waiting) / max(1.0, sum(sizes.values()) * self.core.part)
        self.core.sees(could, idle, line)
        self.core.turned = min(1.0, choice.doubt())

    def turn(self, choice: Choice) -> None:
        if choice.now >= self.due:
            self.looks_at(choice)
            self.due = self.core.wake(choice.now)

    # trade.Gate.

    def lets_in(self, txn: Txn, choice: Choice) -> bool:
        """Rule 2 comes first: what was posted may have run, and is the mechanism's alone from then on."""
        if txn.postings:
            return True
        self.turn(choice)
        verdict = self.core.lets_in(self.ask_of(txn, choice), choice.now)
        if not verdict.let:
            self.verdicts[txn] = verdict
            if len(self.verdicts) > VERDICTS:
                del self.verdicts[next(iter(self.verdicts))]
        return verdict.let

    def goes_out(self, txn: Txn, worker: Worker, choice: Choice) -> bool:
        kind = kind_of(bool(txn.postings), choice.books[worker].suspect)
        if not kind or self.core.goes_out(kind, place(worker), choice.now):
            return True
        if kind == retry_budgets.TRIAL:  # it would be the least again: for a moment the next one is
            choice.books[worker].shut_until = choice.now + SECOND // 10
        return False

    def may_look(self, worker: Worker, choice: Choice) -> bool:
        return self.core.goes_out(retry_budgets.LOOK, place(worker), choice.now)

    def come_back(self, txn: Txn, choice: Choice) -> int:
        """None where clients take none; what lies past the longest that the deployment allows is not said
        either, for cut down to it all would be told the same.
        """
        verdict = self.verdicts.pop(txn, None)
        wait = (
            verdict.come_back
            if verdict is not None
            else self.core.advises(self.ask_of(txn, choice), choice.now)
        )
        return wait if wait <= choice.come_back else 0
