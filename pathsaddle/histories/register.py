"""A register of owners and numbers: linearizable; numbers that grow; effects that are fenced;
leases that never overlap.

Linearizable (Herlihy and Wing 1990): each call took effect at one moment between its begin and its end, and a
plain register with these effects in this order gives the answers that were told. Searched as Wing and Gong
1993 and Lowe 2017 ("just-in-time linearization"): a key at a time, through the ends in order; what is carried
is the set of all (state, calls in flight that took effect already), which is the memory of what was tried. A
call whose outcome is unknown may take effect at any later moment or never.

What keeps the set small, each without losing an answer: a read that the state answers takes effect at once,
since whatever could come before it can as well come after; unknown calls that are alike are used in the order
of their begin; of two that ways that reach the same, the one that used fewer unknown calls and left numbers
more open can do all that the other can.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Hashable, Sequence
from dataclasses import dataclass

from pathsaddle.histories.logs import Checker, Event, Finding, plain

FOREVER = 1 << 60
MOST_TRIED = 50_000  # states carried over one end; beyond it the key is told to be undecided
PURE = ("read", "renew")

# number and whether it is that or anything from there on; owner; value; revision and whether exact
State = tuple[int, bool, str, Hashable, int, bool]
NONE: State = (0, True, "", None, 0, True)


@dataclass(slots=True, eq=False)
class Call:
    """One call. end: FOREVER where nobody knows. like: what else it can't be told from,
    where it is unknown.
    """

    event: Event
    order: int
    kind: str
    who: str
    begin: int
    end: int = FOREVER
    outcome: str = "unknown"
    ended: Event | None = None
    like: Hashable = None

    @property
    def changes(self) -> bool:
        return self.outcome != "refused" and self.kind not in PURE


def _see(low: int, exact: bool, told: int | None) -> tuple[int, bool] | None:
    """The number that stands was told: itself, or None where it can't be."""
    if told is None:
        return low, exact
    return (told, True) if told == low or (not exact and told > low) else None


def _grow(low: int, exact: bool, told: int | None, step: int) -> tuple[int, bool] | None:
    """A change made it greater (step 1) or left it or made it greater (step 0)."""
    if told is None:
        return low + step, False
    return (told, True) if told >= low + step else None


def apply(state: State, call: Call) -> State | None:
    """The state after this call took effect in it, or None where what was told contradicts that."""
    number, exact, owner, value, revision, certain = state
    asked = call.event.more
    told = call.ended.more if call.ended is not None else {}
    seen: tuple[int, bool] | None
    if call.outcome != "refused" and call.kind != "read":
        if call.kind == "take":
            seen = _grow(number, exact, told.get("number"), 1)
            owner = asked.get("owner", call.who)
        else:
            seen = _see(number, exact, asked.get("number"))
            if seen is None or (call.kind in ("renew", "give") and owner != asked.get("owner", call.who)):
                return None
            if call.kind == "set" or call.kind == "give":
                seen = _grow(*seen, told.get("number"), 0)
                if seen is None:
                    return None
            elif told.get("number") is not None:
                seen = _see(*seen, told["number"])
            if call.kind == "give":
                owner = ""
        if seen is None:
            return None
        number, exact = seen
        if call.kind == "set":
            seen = _see(revision, certain, asked.get("revision"))
            if seen is None:
                return None
            revision, certain = seen
        if "value" in asked and call.kind in ("set", "take"):
            value = plain(asked["value"])
        if call.kind != "renew":
            seen = _grow(revision, certain, told.get("revision"), int(call.kind == "set"))
            if seen is None:
                return None
            revision, certain = seen
    else:
        seen = _see(number, exact, told.get("number"))
        if seen is None:
            return None
        number, exact = seen
        seen = _see(revision, certain, told.get("revision"))
        if seen is None:
            return None
        revision, certain = seen
    if "owner" in told and not told.get("lapsed") and (told["owner"] or "") != owner:
        return None
    if "value" in told and plain(told["value"]) != value:
        return None
    return number, exact, owner, value, revision, certain


Known = frozenset[int]  # calls in flight, whose end will come, that took effect already
Used = tuple[tuple[int, int], ...]  # how many of each kind of unknown calls did
Row = tuple[State, Known, Used]


class Tried:
    """What was reached, without what something else reached outdoes: the same calls in flight done, an owner
    and a value that are the same, numbers that may be all that the other's may be,
    no more unknown calls used.
    """

    __slots__ = ("rows",)

    def __init__(self) -> None:
        self.rows: dict[tuple[str, Hashable, Known], list[Row]] = {}

    def put(self, row: Row) -> bool:
        """Whether it was new."""
        state = row[0]
        rows = self.rows.setdefault((state[2], state[3], row[1]), [])
        if rows:
            for other in rows:
                if _outdoes(other, row):
                    return False
            rows[:] = [other for other in rows if not _outdoes(row, other)]
        rows.append(row)
        return True

    def all(self) -> list[Row]:
        return [row for rows in self.rows.values() for row in rows]


def _outdoes(one: Row, other: Row) -> bool:
    """Whether all that can come of the other can come of this one."""
    number, exact, _, _, revision, certain = one[0]
    low, sure, _, _, step, settled = other[0]
    if number != low if exact else number > low:
        return False
    if revision != step if certain else revision > step:
        return False
    if (exact and not sure) or (certain and not settled):
        return False
    if one[2] and one[2] != other[2]:
        used = dict(other[2])
        return all(used.get(like, 0) >= count for like, count in one[2])
    return True


class Search:
    """One key's calls, whole."""

    def __init__(self, calls: list[Call]) -> None:
        self.calls = calls
        self.likes: dict[Hashable, int] = {}
        self.look = 8

    def run(self) -> tuple[str, Call | None]:
        """("", None), ("undecided", the call at which it was given up) or ("not", the call that nothing
        explains).
        """
        points: list[tuple[int, int, int, Call]] = []
        for call in self.calls:
            points.append((call.begin, 0, call.order, call))  # begins first: of one moment, they may overlap
            if call.end < FOREVER:
                points.append((call.end, 1, call.order, call))
        points.sort(key=lambda point: point[:3])
        flight: dict[int, Call] = {}  # begun, their end will come
        lost: dict[int, list[Call]] = {}  # begun, their end never comes; by what they can't be told apart by
        tried: list[Row] = [(NONE, frozenset(), ())]
        for _, ends, _, call in points:
            if not ends:
                if call.end < FOREVER:
                    flight[call.order] = call
                else:
                    lost.setdefault(self.likes.setdefault(call.like, len(self.likes)), []).append(call)
                continue
            found = self._through(tried, call, flight, lost)
            if found is None:
                return "undecided", call
            if not found.rows:
                return "not", call
            del flight[call.order]
            tried = found.all()
            if len(lost) > self.look:
                tried = self._forget(tried, lost)
                self.look = 2 * len(lost) + 8
        return "", None

    @staticmethod
    def _forget(tried: list[Row], lost: dict[int, list[Call]]) -> list[Row]:
        """Unknown calls that expect a number or revision which has passed in all states never take effect."""
        number = min(state[0] for state, _, _ in tried)
        revision = min(state[4] for state, _, _ in tried)
        for like, calls in list(lost.items()):
            asked = calls[0].event.more
            if calls[0].kind != "take" and (
                asked.get("number", number) < number or asked.get("revision", revision) < revision
            ):
                del lost[like]
        after = Tried()
        for state, known, used in tried:
            after.put((state, known, tuple(pair for pair in used if pair[0] in lost)))
        return after.all()

    @staticmethod
    def _through(
        tried: list[Row], call: Call, flight: dict[int, Call], lost: dict[int, list[Call]]
    ) -> Tried | None:
        """All that can stand once this call has ended; None where there is too much of it. Shorter ways
        first: what they reach outdoes most of what longer ones do.
        """
        after, seen = Tried(), Tried()
        todo = deque(tried)
        count = 0
        while todo:
            state, known, used = todo.popleft()
            if call.order in known:
                after.put((state, known - {call.order}, used))
                continue
            count += 1
            if count > MOST_TRIED:
                return None
            for other in flight.values():
                # A read in flight that this state answers is done with: nothing is won by doing it later.
                if not other.changes and other.order not in known and apply(state, other) == state:
                    known |= {other.order}
            if call.order in known:
                after.put((state, known - {call.order}, used))
                continue
            for other in flight.values():
                if other.order in known:
                    continue
                next_ = apply(state, other)
                if next_ is None:
                    continue
                if other is call:
                    after.put((next_, known, used))
                    continue
                row = next_, known | {other.order}, used
                if seen.put(row):
                    todo.append(row)
            if not lost:
                continue
            counts = dict(used)
            for like, calls in lost.items():
                had = counts.get(like, 0)
                if had == len(calls):
                    continue
                next_ = apply(state, calls[had])
                if next_ is not None:
                    row = next_, known, tuple(sorted({**counts, like: had + 1}.items()))
                    if seen.put(row):
                        todo.append(row)
        return after


class Register(Checker):
    """Finds `register-not-linearizable`, `register-undecided`, `number-twice`, `number-back`,
    `effect-unfenced`, `effect-two-owners`, `effect-twice`, `leases-overlap`, `act-without-lease`.

    Calls are kept till the log is over (a key is searched whole, since an outcome is known only at its end);
    the rest is judged as it comes.
    """

    name = "register"

    def __init__(self, skew: int = 0) -> None:
        super().__init__(skew)
        self.calls: dict[Hashable, Call] = {}
        self.keys: dict[str, list[Call]] = {}
        self.numbers: dict[tuple[str, int], Event] = {}
        # when takes ended, greatest till then
        self.ends: dict[str, tuple[list[int], list[tuple[int, Event]]]] = {}
        self.fences: dict[tuple[str, str], tuple[int, Event]] = {}
        self.owners: dict[tuple[str, int], Event] = {}
        self.once: dict[tuple[str, Hashable], Event] = {}
        self.leases: dict[str, dict[str, tuple[int, int, Event]]] = {}  # key: who: until, from
        self.held: dict[tuple[str, str], Event] = {}
        self.on = {
            "reg.call": self._call,
            "reg.end": self._end,
            "act": self._act,
            "effect": self._effect,
            "lease": self._lease,
            "lease.end": self._lease_end,
            "member.ended": self._ended,
        }

    def group(self, event: Event) -> Hashable:
        key = event.more.get("key")
        if key is None and event.what == "reg.end":
            call = self.calls.get(event.more.get("op"))
            key = call.event.more["key"] if call is not None else None
        return key

    def stays(self, events: Sequence[Event], finding: Finding) -> list[int]:
        """A call that changed something may be what explains another's answer."""
        if finding.name != "register-not-linearizable":
            return []
        end = max(row.at for row in finding.events) + self.skew
        places = []
        for place, event in enumerate(events):
            if event.what in ("reg.call", "reg.end"):
                call = self.calls.get(event.more.get("op"))
                if call is not None and call.changes and call.begin <= end:
                    places.append(place)
        return places

    def _call(self, event: Event) -> None:
        more = event.more
        if more["kind"] not in ("take", "renew", "give", "read", "set"):
            raise ValueError(f"kind {more['kind']!r}")
        before = self.calls.get(more["again"]) if "again" in more else None
        if before is not None:
            # The same proposal sent once more: one call, open from its first begin to its last end.
            before.ended, before.outcome, before.end = None, "unknown", FOREVER
            self.calls[more["op"]] = before
            return
        call = Call(event, len(self.calls), more["kind"], more["who"], event.at - self.skew)
        call.like = (
            call.kind,
            more.get("owner", call.who),
            plain(more.get("value")),
            more.get("number"),
            more.get("revision"),
            "value" in more,
        )
        self.calls[more["op"]] = call
        self.keys.setdefault(more["key"], []).append(call)

    def _end(self, event: Event) -> None:
        call = self.calls.get(event.more["op"])
        if call is None or call.ended is not None:
            return
        call.ended, call.outcome = event, event.more["outcome"]
        if call.outcome == "unknown":
            call.like = (call.like, event.more.get("number"))
            return
        if call.outcome not in ("ok", "refused"):
            raise ValueError(f"outcome {call.outcome!r}")
        call.end = event.at + self.skew
        number = event.more.get("number")
        if call.outcome != "ok" or number is None:
            return
        key = call.event.more["key"]
        times, tops = self.ends.setdefault(key, ([], []))
        before = bisect_left(times, call.event.at - 2 * self.skew) - 1
        if before >= 0:
            top, by = tops[before]
            if number < top or (call.kind == "take" and number == top):
                self.find(
                    "number-back",
                    f"{call.who} was told {number} for {key} by a call that began after {top} was told",
                    by,
                    call.event,
                    event,
                )
        if call.kind == "take":
            twin = self.numbers.setdefault((key, number), event)
            if twin is not event:
                self.find(
                    "number-twice",
                    f"{twin.more['who']} and {call.who} both took {key} by {number}",
                    twin,
                    event,
                )
            if not tops or number > tops[-1][0]:
                times.append(event.at)
                tops.append((number, event))

    def _act(self, event: Event) -> None:
        more = event.more
        lease = self.held.get((more["who"], more["key"]))
        if lease is None:
            return
        if (
            lease.what != "lease"
            or lease.more["number"] != more["number"]
            or not lease.more["from"] <= event.at < lease.more["until"]
        ):
            self.find(
                "act-without-lease",
                f"{more['who']} acts for {more['key']} by {more['number']} outside of its lease",
                lease,
                event,
            )

    def _effect(self, event: Event) -> None:
        more = event.more
        if not more["taken"]:
            return
        key, number = more["key"], more["number"]
        twin = self.owners.setdefault((key, number), event)
        if twin.more["by"] != more["by"]:
            self.find(
                "effect-two-owners",
                f"{twin.more['by']} and {more['by']} both act for {key} by {number}",
                twin,
                event,
            )
        place = (more["who"], key)
        top = self.fences.get(place)
        if top is not None and number < top[0]:
            self.find(
                "effect-unfenced",
                f"{more['who']} took an effect for {key} by {number} after one by {top[0]}",
                top[1],
                event,
            )
        else:
            self.fences[place] = number, event
        if "id" in more:
            once = self.once.setdefault((key, more["id"]), event)
            if once is not event:
                self.find(
                    "effect-twice",
                    f"effect {more['id']} for {key} was taken by {once.more['who']} and again by "
                    f"{more['who']}",
                    once,
                    event,
                )

    def _lease(self, event: Event) -> None:
        more = event.more
        self.held[more["who"], more["key"]] = event
        self.leases.setdefault(more["key"], {})[more["who"]] = more["until"], more["from"], event
        self.later(self._overlap, event, more["from"])

    def _overlap(self, event: Event) -> None:
        """Its span against those of others, as they stand once a word that was first has surely been read."""
        who, key = event.more["who"], event.more["key"]
        rows = self.leases[key]
        # What ended long ago by any clock is forgotten.
        for other, (until, since, lease) in list(rows.items()):
            if until + 4 * self.skew < event.at and lease is not event:
                del rows[other]
                continue
            if other == who or lease.at > event.at:
                continue
            begin, end = max(since, event.more["from"]), min(until, event.more["until"])
            if end - begin > 2 * self.skew:
                self.find(
                    "leases-overlap",
                    f"{other} and {who} both take themselves for the owner of {key} for "
                    f"{(end - begin) / 10:g} ms",
                    lease,
                    event,
                )

    def _lease_end(self, event: Event) -> None:
        more = event.more
        self.held[more["who"], more["key"]] = event
        rows = self.leases.setdefault(more["key"], {})
        mine = rows.get(more["who"])
        if mine is not None and mine[2].more["number"] == more["number"]:
            rows[more["who"]] = min(mine[0], event.at), mine[1], mine[2]

    def _ended(self, event: Event) -> None:
        """A life that is over owns nothing; the next one begins with what it tells itself."""
        who = event.more["who"]
        for name, key in list(self.held):
            if name == who:
                self.held[name, key] = event
                rows = self.leases[key]
                if who in rows:
                    rows[who] = min(rows[who][0], event.at), rows[who][1], rows[who][2]

    def done(self) -> None:
        super().done()
        for key, calls in self.keys.items():
            # A refusal that tells nothing, and a pure call without an answer, ask for nothing.
            calls = [
                call
                for call in calls
                if not (call.kind in PURE and call.outcome == "unknown")
                and not (
                    call.outcome == "refused"
                    and call.ended is not None
                    and not {"number", "owner", "value", "revision"} & call.ended.more.keys()
                )
            ]
            answer, call = Search(calls).run()
            if call is None or call.ended is None:
                continue
            if answer == "undecided":
                self.find(
                    "register-undecided",
                    f"{key}: more than {MOST_TRIED} states to try at the end of {call.event.more['op']}",
                    call.event,
                    call.ended,
                )
            else:
                told = ", ".join(
                    f"{name} {value}" for name, value in call.ended.more.items() if name not in ("who", "op")
                )
                self.find(
                    "register-not-linearizable",
                    f"{key}: no order of calls explains the end of {call.kind} "
                    f"{call.event.more['op']} by {call.who}: {told}",
                    call.event,
                    call.ended,
                )
