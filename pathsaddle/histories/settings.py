"""Shared settings: one line of committed groups, what members do by them, what is told in force."""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass, field
from typing import Any

from pathsaddle.histories.logs import Checker, Event, plain

Key = tuple[int, str]  # revision, digest
UNSEEN = object()  # a row that was there before the log begins


@dataclass(slots=True, eq=False)
class Text:
    """A group that somebody began to commit, maybe by several calls of the register."""

    revision: int
    digest: str
    before: str
    puts: dict[str, Any]
    calls: list[Event] = field(default_factory=list)
    refused: dict[Any, Event] = field(
        default_factory=dict
    )  # by op, ends of calls that surely changed nothing

    def never(self) -> bool:
        return len(self.refused) >= len(self.calls)


def _wide(value: Any) -> float:
    return float(value.get("allowance") or "inf")  # 0 sets no limit, nor does a row without one


class Settings(Checker):
    """Finds `two-digests`, `never-committed`, `chain-broken`, `before-commit`, `went-back`, `leased-behind`,
    `forbidden-in-force`, `more-than-allowed`, `group-in-part`.

    A call without an end, or whose end is unknown, may have been committed or not, until something proves one or the
    other: an answer, a reading, another group at its revision, a later group whose `before` names it. What a member goes
    by, and what is told in force, must be committed in one and the same line of groups. That is judged once all is read;
    what is kept for it grows with groups, not with what members did.
    """

    name = "settings"

    def __init__(self, skew: int = 0) -> None:
        super().__init__(skew)
        self.texts: dict[Key, Text] = {}
        self.at_revision: dict[int, list[Text]] = {}
        self.lowest = 0  # where the log begins
        self.puts: dict[str, list[Text]] = {}  # by key, by revision
        self.ops: dict[Any, Text] = {}
        self.sure: dict[Key, Event] = {}  # the first that proves it committed
        self.claims: dict[Key, Event] = {}  # the first that takes it for committed
        self.force: list[Event] = []  # revisions that grow
        self.highest: dict[str, Event] = {}
        self.maybe: dict[Any, tuple[Event, Event, list[Text]]] = {}  # acts that only open groups allow
        self.stands: dict[int, tuple[Text, Event, bool]] = {}  # by what; whether that is sure
        self.on = {
            "settings.call": self._call,
            "settings.end": self._end,
            "settings.read": self._read,
            "settings.act": self._act,
            "settings.rows": self._rows,
            "settings.force": self._force,
            "disk.lost": self._lost,
        }

    # What is written

    def _call(self, event: Event) -> None:
        more = event.more
        who, key, before = more["who"], (more["revision"], more["digest"]), more["before"]
        puts = dict(more["puts"].items())
        if type(key[0]) is not int or not isinstance(key[1], str) or not isinstance(before, str):
            raise TypeError(f"{key} after {before!r} of {who}")
        op = more["op"]
        if op in self.ops:
            raise ValueError(f"op {op!r} began twice")
        text = self.texts.get(key)
        if text is None:
            text = self.texts[key] = Text(*key, before, puts)
            self.at_revision.setdefault(text.revision, []).append(text)
            for name in text.puts:
                insort(self.puts.setdefault(name, []), text, key=lambda one: one.revision)
        text.calls.append(event)
        self.ops[op] = text

    def _end(self, event: Event) -> None:
        op, outcome = event.more["op"], event.more["outcome"]
        text = self.ops[op]
        if outcome == "ok":
            self._first(self.sure, event, (text.revision, text.digest))
        elif outcome == "refused":
            text.refused[op] = event
        elif outcome != "unknown":
            raise ValueError(f"outcome {outcome!r}")

    def _read(self, event: Event) -> None:
        self._first(self.sure, event)

    @staticmethod
    def _first(rows: dict[Key, Event], event: Event, key: Key | None = None) -> None:
        more = event.more
        if more["who"] is not None:
            rows.setdefault(key or (more["revision"], more["digest"]), event)

    def _force(self, event: Event) -> None:
        revision = event.more["revision"]
        self._first(self.claims, event)
        if not self.force or revision > self.force[-1].more["revision"]:
            self.force.append(event)

    def _lost(self, event: Event) -> None:
        self.highest.pop(event.more["who"], None)

    def _goes_by(self, event: Event) -> None:
        more = event.more
        self._first(self.claims, event)
        before = self.highest.get(more["who"])
        if before is not None and more["revision"] < before.more["revision"]:
            self.find(
                "went-back",
                f"{more['who']} goes by {more['revision']}, and went by {before.more['revision']} before",
                before,
                event,
            )
        else:
            self.highest[more["who"]] = event

    def _act(self, event: Event) -> None:
        self._goes_by(event)
        self.later(self._acted, event)

    def _rows(self, event: Event) -> None:
        self._goes_by(event)
        self.later(self._seen, event)

    # What one act may

    def _surely(self, one: Event, other: Event) -> bool:
        """Whether one was written before the other."""
        slack = 0 if one.more["who"] == other.more["who"] else 2 * self.skew
        return one.at + slack < other.at

    def _acted(self, event: Event) -> None:
        more = event.more
        who, key, used, leased = more["who"], more["key"], more["value"], more["leased"]
        text = self.texts.get((more["revision"], more["digest"]))
        if text is not None:
            value, by = self._value(key, text)
            if not self._allows(key, used, value, text):
                self.find(
                    "more-than-allowed",
                    f"{who} goes by {key} {used}, where {text.revision} says {value}",
                    *([] if by is None else [by]),
                    event,
                )
        force = next((row for row in reversed(self.force) if self._surely(row, event)), None)
        if force is None or force.more["revision"] <= more["revision"]:
            return
        if leased:
            self.find(
                "leased-behind",
                f"{who}, leased, goes by {more['revision']}, after {force.more['revision']} was told "
                "in force",
                force,
                event,
            )
        self._in_force(force, event)

    def _in_force(self, force: Event, event: Event) -> None:
        """What it forbids may nobody do, unless a later group, that may be committed by then, allows it."""
        more, number = event.more, force.more["revision"]
        key, used = more["key"], more["value"]
        there = self.texts.get((number, force.more["digest"]))
        if there is None:
            return  # found as never committed
        value, by = self._value(key, there)
        if self._allows(key, used, value, there):
            return
        open_ones: list[Text] = []
        for later in reversed(self.puts.get(key, ())):
            if later.revision <= number:
                break
            if not self._surely(event, later.calls[0]) and self._allows(key, used, later.puts[key], later):
                open_ones.append(later)
        if open_ones:
            name = more["who"], number, key, plain(used), tuple(map(id, open_ones))
            self.maybe.setdefault(name, (event, force, open_ones))
            return
        self._forbidden(event, force, by)

    def _forbidden(self, event: Event, force: Event, by: Event | None) -> None:
        self.find(
            "forbidden-in-force",
            f"{event.more['who']} goes by {event.more['key']} {event.more['value']} of "
            f"{event.more['revision']}, which {force.more['revision']}, told in force before, forbids",
            *([] if by is None else [by]),
            force,
            event,
        )

    def _seen(self, event: Event) -> None:
        more = event.more
        text = self.texts.get((more["revision"], more["digest"]))
        if text is None:
            return
        for key, seen in more["rows"].items():
            value, by = self._value(key, text)
            if value is not UNSEEN and value != seen:
                self.find(
                    "group-in-part",
                    f"{more['who']} sees {key} as {seen} at {text.revision}, where it is {value}",
                    *([] if by is None else [by]),
                    event,
                )
                return

    def _value(self, key: str, text: Text) -> tuple[Any, Event | None]:
        """As it stands once that group is committed, and the call that put it."""
        for one in reversed(self.puts.get(key, ())):
            if one.revision <= text.revision and self._leads(one, text):
                return one.puts[key], one.calls[0]
        return (None if 1 in self.at_revision else UNSEEN), None

    def _leads(self, one: Text, to: Text) -> bool:
        """Whether it is among what that group came after. Only where several began at its revision need one look."""
        if len(self.at_revision[one.revision]) == 1:
            return True
        at: Text | None = to
        while at is not None and at.revision > one.revision:
            at = self.texts.get((at.revision - 1, at.before))
        return at is one

    def _allows(self, key: str, used: Any, value: Any, text: Text) -> bool:
        """Only allowances are known to be wider or narrower; of other rows, whose order isn't known, nobody is accused."""
        if used is None or value is UNSEEN or used == value or not key.startswith("customers."):
            return True
        if value is None:  # no such customer; where there is none at all, anybody is one
            return all(
                self._value(other, text)[0] in (None, UNSEEN)
                for other in self.puts
                if other.startswith("customers.")
            )
        return _wide(used) <= _wide(value)

    # What was committed, once all is read

    def done(self) -> None:
        super().done()
        self.lowest = min(self.at_revision, default=0)
        for key, event in [*self.sure.items(), *self.claims.items()]:
            text = self.texts.get(key)
            if text is None:
                self.find(
                    "never-committed", f"{self._says(event)} {key[0]} ({key[1]}), which nobody began", event
                )
            elif text.never():
                self.find(
                    "never-committed",
                    f"{self._says(event)} {key[0]} ({key[1]}), which was refused",
                    *text.calls,
                    *text.refused.values(),
                    event,
                )
            else:
                self._stand(text, event, key in self.sure)
        self._early()
        for event, force, texts in self.maybe.values():
            if all(text.never() or self._other(text) for text in texts):
                there = self.texts[force.more["revision"], force.more["digest"]]
                self._forbidden(event, force, self._value(event.more["key"], there)[1])

    def _other(self, text: Text) -> bool:
        """Whether another is committed at its revision."""
        there = self.stands.get(text.revision)
        return there is not None and there[0] is not text

    @staticmethod
    def _says(event: Event) -> str:
        how = {"settings.force": "tells in force", "settings.read": "read", "settings.end": "was told of"}
        return f"{event.more['who']} {how.get(event.what, 'goes by')}"

    def _stand(self, text: Text, event: Event, sure: bool) -> None:
        """It is committed, and so is all that it came after."""
        at = text
        while True:
            there = self.stands.setdefault(at.revision, (at, event, sure))
            if there[1] is not event:
                if there[0] is at:
                    return
                if at is not text:
                    self.find(
                        "chain-broken",
                        f"{at.revision + 1} comes after {at.digest}, where {there[0].digest} is committed",
                        there[1],
                        event,
                    )
                elif not sure and there[2]:
                    self.find(
                        "never-committed",
                        f"{self._says(event)} {text.revision} ({text.digest}), where "
                        f"{there[0].digest} is committed",
                        there[1],
                        event,
                    )
                else:
                    self.find(
                        "two-digests",
                        f"{text.revision} is {there[0].digest}, and {self._says(event)} {text.digest}",
                        there[1],
                        event,
                    )
                return
            if at.revision <= self.lowest:
                return
            before = self.texts.get((at.revision - 1, at.before))
            if before is None or before.never():
                self.find(
                    "chain-broken",
                    f"{at.revision} ({at.digest}) comes after {at.before}, which never was committed",
                    *(before.calls + list(before.refused.values()) if before is not None else ()),
                    at.calls[0],
                    event,
                )
                return
            at = before

    def _early(self) -> None:
        """A group is committed after its call has begun and after the one before it."""
        latest: Event | None = None
        for revision in sorted(self.stands):
            text = self.stands[revision][0]
            begun = next(call for call in text.calls if call.more["op"] not in text.refused)
            latest = begun if latest is None or begun.at > latest.at else latest
            for told in (self.sure.get((revision, text.digest)), self.claims.get((revision, text.digest))):
                if told is not None and self._surely(told, latest):
                    self.find(
                        "before-commit",
                        f"{self._says(told)} {revision} before it can have been committed",
                        told,
                        latest,
                    )
                    break
