"""Txns across everything: one final answer, nothing sent after it,
once-only effects at workers against answers.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field

from pathsaddle.histories.logs import Checker, Event

ONCE, REFERENCED = "once-only", "referenced"
ANSWERS = ("settled", "declined", "reversed", "failed")


@dataclass(slots=True, eq=False)
class Txn:
    taken: Event | None = None
    answer: Event | None = None
    got: Event | None = None
    kind: str = ""
    left: bool = False  # its client closed: there is nobody to answer
    runs: list[Event] = field(default_factory=list)
    posts: dict[Hashable, tuple[Event, str]] = field(default_factory=dict)  # sent, how it ended or "open"


class Txns(Checker):
    """Finds `answered-twice`, `unanswered`, `answered-late`, `sent-after-answer`, `ran-twice`,
    `declined-but-ran`, `two-at-once`, `again-outside-group`, `settled-without-run`, `answers-differ`.

    An answer and the postings of one dispatcher are judged by that one's own clock and order; runs at workers
    against answers need no order at all: what is declined never ran and never will.
    """

    name = "txns"

    def __init__(self, skew: int = 0) -> None:
        super().__init__(skew)
        self.txns: dict[Hashable, Txn] = {}
        self.ended: dict[str, list[int]] = {}
        self.stood: dict[str, list[tuple[int, int]]] = {}
        self.writers: dict[str, None] = {}  # workers whose logs are there
        self.last = 0
        self.on = {
            "txn.taken": self._taken,
            "txn.answer": self._answer,
            "post.sent": self._sent,
            "post.ran": self._ran,
            "post.ended": self._post_ended,
            "post.dropped": self._dropped,
            "client.got": self._got,
            "member.ended": self._ended,
            "member.stood": self._stood,
            "hang.up": self._left,
        }

    def group(self, event: Event) -> Hashable:
        return event.more.get("txn")

    def _get(self, event: Event) -> Txn:
        self.last = max(self.last, event.at)
        name = event.more["txn"]
        txn = self.txns.get(name)
        if txn is None:
            txn = self.txns[name] = Txn()
        kind = event.more.get("kind")
        if kind is not None:
            txn.kind = kind
        return txn

    def _taken(self, event: Event) -> None:
        event.more["expiry"] + 0  # a moment, or the line is broken
        txn = self._get(event)
        if txn.taken is None:
            txn.taken = event

    def _answer(self, event: Event) -> None:
        txn = self._get(event)
        if event.more["outcome"] not in ANSWERS:
            raise ValueError(f"outcome {event.more['outcome']!r}")
        if txn.answer is not None:
            self.find(
                "answered-twice",
                f"{event.more['txn']} was answered {txn.answer.more['outcome']} and again "
                f"{event.more['outcome']}",
                txn.answer,
                event,
            )
            return
        txn.answer = event
        if event.more["outcome"] == "declined":
            self._declined(txn, event)
        self._differ(txn)

    def _got(self, event: Event) -> None:
        txn = self._get(event)
        if event.more["outcome"] == "none":
            return
        if txn.got is not None:
            self.find(
                "answered-twice",
                f"{event.more['who']} got {txn.got.more['outcome']} for {event.more['txn']} and "
                f"again {event.more['outcome']}",
                txn.got,
                event,
            )
            return
        txn.got = event
        if event.more["outcome"] == "declined":
            self._declined(txn, event)
        self._differ(txn)

    def _left(self, event: Event) -> None:
        self._get(event).left = True

    def _differ(self, txn: Txn) -> None:
        if (
            txn.got is not None
            and txn.answer is not None
            and txn.got.more["outcome"] != txn.answer.more["outcome"]
        ):
            self.find(
                "answers-differ",
                f"{txn.answer.more['who']} answered {txn.answer.more['outcome']}, "
                f"{txn.got.more['who']} got {txn.got.more['outcome']}",
                txn.answer,
                txn.got,
            )

    def _declined(self, txn: Txn, event: Event) -> None:
        if txn.kind == ONCE and txn.runs:
            self.find(
                "declined-but-ran",
                f"once-only {event.more['txn']} was declined, and ran at {txn.runs[0].more['who']}",
                txn.runs[0],
                event,
            )

    def _sent(self, event: Event) -> None:
        txn, more = self._get(event), event.more
        if txn.answer is not None and txn.answer.more["who"] == more["who"]:
            self.find(
                "sent-after-answer",
                f"{more['post']} of {more['txn']} went out to {more['worker']} after the answer",
                txn.answer,
                event,
            )
        if txn.kind in (ONCE, REFERENCED):
            for sent, how in txn.posts.values():
                if how == "declined" or sent.more["who"] != more["who"]:
                    continue
                if txn.kind == ONCE:
                    self.find(
                        "two-at-once",
                        f"once-only {more['txn']} went out to {more['worker']} while "
                        f"{sent.more['post']} at {sent.more['worker']} is {how}",
                        sent,
                        event,
                    )
                    break
                if "group" in more and "group" in sent.more and more["group"] != sent.more["group"]:
                    self.find(
                        "again-outside-group",
                        f"referenced {more['txn']} went to group {more['group']} while "
                        f"{sent.more['post']} in group {sent.more['group']} is {how}",
                        sent,
                        event,
                    )
                    break
        txn.posts[more["post"]] = event, "open"

    def _post_ended(self, event: Event) -> None:
        txn = self._get(event)
        row = txn.posts.get(event.more["post"])
        if row is not None:
            txn.posts[event.more["post"]] = row[0], event.more["outcome"]

    def _ran(self, event: Event) -> None:
        txn = self._get(event)
        self.writers[event.more["who"]] = None
        txn.runs.append(event)
        if txn.kind != ONCE:
            return
        if len(txn.runs) == 2:
            self.find(
                "ran-twice",
                f"once-only {event.more['txn']} ran at {txn.runs[0].more['who']} and at {event.more['who']}",
                *txn.runs,
            )
        for answer in (txn.answer, txn.got):
            if answer is not None and answer.more["outcome"] == "declined":
                self._declined(txn, answer)
                break

    def _dropped(self, event: Event) -> None:
        self._get(event)
        self.writers[event.more["who"]] = None

    def _ended(self, event: Event) -> None:
        self.ended.setdefault(event.more["who"], []).append(event.at)

    def _stood(self, event: Event) -> None:
        self.stood.setdefault(event.more["who"], []).append((event.more["from"], event.more["until"]))

    def done(self) -> None:
        super().done()
        for name, txn in self.txns.items():
            self._in_time(name, txn)
            got = txn.got or txn.answer
            if (
                txn.kind == ONCE
                and got is not None
                and got.more["outcome"] == "settled"
                and not txn.runs
                and txn.posts
                and all(sent.more["worker"] in self.writers for sent, _ in txn.posts.values())
            ):
                self.find(
                    "settled-without-run",
                    f"once-only {name} was settled, and ran at none of its workers",
                    got,
                    *(sent for sent, _ in txn.posts.values()),
                )

    def _in_time(self, name: Hashable, txn: Txn) -> None:
        taken, answer = txn.taken, txn.answer
        if taken is None or (
            answer is not None
            and (answer.at <= taken.more["expiry"] or answer.more["who"] != taken.more["who"])
        ):
            return
        who, expiry = taken.more["who"], taken.more["expiry"]
        slack = 2 * self.skew
        if any(at >= taken.at - slack and at <= expiry + slack for at in self.ended.get(who, ())) or any(
            since <= expiry + slack and until >= taken.at - slack for since, until in self.stood.get(who, ())
        ):
            return
        if answer is not None:
            self.find(
                "answered-late",
                f"{name} was answered {(answer.at - expiry) / 10:g} ms after its expiry",
                taken,
                answer,
            )
        elif self.last > expiry + slack and not txn.left:
            self.find(
                "unanswered", f"{name} was taken by {who}, its expiry has passed and it has no answer", taken
            )
