"""All keys that one process stands for: when to bid, to renew, to back off, to give back;
and reading a register.

Fed messages and moments; what is to be sent is in `out`, what happened in `happened`. Chance only from the
one handed in. Whoever does a key's work asks `fencing_token` just before each effect and puts the number on it
(`fence.py`).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

from pathsaddle.consensus.messages import (
    MAX_VALUE_BYTES,
    NO_BALLOT,
    NO_VALUE,
    Ballot,
    LeaseReleased,
    Message,
    Read,
    ReadReply,
    Refused,
    Release,
    Value,
    maybe,
)
from pathsaddle.consensus.proposer import ACCEPTING, CHOSEN, IDLE, PREPARING, Proposer
from pathsaddle.trade import MILLISECOND

TRIES = 4  # times that a phase of a ballot is asked for before it is given up
READS = 256
ALWAYS = 1 << 60


@dataclass(frozen=True, slots=True)
class Happened:
    """what: `owner` (number; `until`: the lease as it stands), `lost`, `given` (no longer owner, by itself),
    `put` (revision), `unput` (its outcome is unknown), `read` (value, None: no majority answered). Where
    histories are told also `call` and `end` of each ballot (`op`, `kind`: take, renew, set) and `held` (a
    lease renewed).
    """

    what: str
    key: str
    number: int = 0
    revision: int = 0
    until: int = 0
    ask: int = 0
    value: Value | None = None
    why: str = ""
    op: str = ""
    kind: str = ""
    data: bytes = b""


@dataclass(slots=True)
class Campaign:
    bid: Proposer
    prefers: bool
    wake: int
    began: int = 0
    tries: int = 0  # ballots in vain
    sent: int = 0  # how often a phase was asked for
    putting: tuple[int, bytes] | None = None
    puts: tuple[int, bytes] | None = None  # to be begun
    freeing: tuple[Ballot, int] | None = None
    op: tuple[str, str] = ("", "")  # the ballot under way, as histories name it, and its kind


@dataclass(slots=True)
class Reading:
    key: str
    sent: int
    answers: dict[str, tuple[int, Ballot, Value]]


class LeaseManager:
    def __init__(self, name: str, life: int, voters: Iterable[str], lease: int, chance: Random) -> None:
        """`life`: of this process, that no other ever has under this name. `lease`: ticks."""
        self.name, self.life, self.lease, self.chance = name, life, lease, chance
        self.voters = tuple(sorted(voters))
        self.pace = max(20 * MILLISECOND, min(lease // 12, 300 * MILLISECOND))
        self.known: dict[str, int] = {}
        self.standing: dict[str, Campaign] = {}
        self.reads: dict[int, Reading] = {}
        self.out: list[tuple[str, Message]] = []
        self.happened: list[Happened] = []
        self.asked = 0
        self.stopping = False
        self._next = ALWAYS
        self.histories = False  # whether each ballot is told, for who checks histories

    # What its process wants.

    def stand(self, key: str, now: int, prefers: bool = True) -> None:
        """To own `key` whenever nobody does. `prefers`: this one is where the key is wanted (its zone): it
        comes first where a key is free. An owner that lives is never turned out: nothing flaps.
        """
        bid = Proposer(key, self.name, self.life, self.lease, self.voters)
        wake = now if prefers else now + self.lease // 8
        self.standing[key] = Campaign(bid, prefers, wake + self.chance.randrange(self.pace))
        self._next = min(self._next, self.standing[key].wake)

    def fencing_token(self, key: str, now: int) -> int:
        """The number to put on an effect that begins now; 0: none may."""
        there = self.standing.get(key)
        return there.bid.fencing_token(now) if there is not None else 0

    def owned(self, now: int) -> list[str]:
        return [key for key, there in self.standing.items() if there.bid.fencing_token(now)]

    def put(self, key: str, data: bytes, now: int) -> int:
        """Changes the key's data; the revision it will have, 0 where we don't own it, or another change is
        under way. What came of it happens later: `put`, or `unput` where nobody can say.
        """
        there = self.standing[key]
        if not there.bid.fencing_token(now) or there.puts or there.putting or len(data) > MAX_VALUE_BYTES:
            return 0
        there.puts = (there.bid.value.revision + 1, data)
        there.wake = self._next = now
        return there.puts[0]

    def read(self, key: str, now: int) -> int:
        """Asks what the register holds; the number of the asking, by which the answer is known;
        0: too many.
        """
        if len(self.reads) >= READS:
            return 0
        self.asked += 1
        self.reads[self.asked] = Reading(key, now, {})
        self.out += [(voter, Read(key, self.asked)) for voter in self.voters]
        return self.asked

    def give(self, key: str, now: int) -> None:
        """Back, and for two leases it doesn't bid: another may have it."""
        self._give(key, self.standing[key], now, "given")

    def stop(self, now: int) -> None:
        """All is given back: acts no more from this moment, whatever is said after."""
        self.stopping = True
        for key, there in self.standing.items():
            self._give(key, there, now, "stopping")

    def _give(self, key: str, there: Campaign, now: int, why: str) -> None:
        number = there.bid.fencing_token(now)
        ballot = there.bid.ballot
        self._ended(key, there, "unknown" if there.bid.phase == ACCEPTING else "refused")
        there.bid, out = there.bid.stopped()
        self._unput(key, there)
        if number:
            self.happened.append(Happened("given", key, number, why=why))
        if out:
            self.out += out
            there.freeing = (ballot, 2)
        there.tries, there.began = 0, now + 2 * self.lease
        there.wake = now + self.pace
        self._next = min(self._next, there.wake)

    # Moments.

    def due(self) -> int:
        """When `wake` is wanted; maybe earlier than needed, never later."""
        reading = next(iter(self.reads.values())).sent + self.pace if self.reads else ALWAYS
        return min(self._next, reading)

    def wake(self, now: int) -> None:
        for ask in [ask for ask, reading in self.reads.items() if now >= reading.sent + self.pace]:
            reading = self.reads.pop(ask)
            self.happened.append(Happened("read", reading.key, ask=ask, why="no majority answered"))
        early = now + self.lease // 12  # renewals that are nearly due go with those that are
        for key, there in self.standing.items():
            if there.wake <= now or (there.wake <= early and there.bid.phase == CHOSEN and not there.sent):
                self._wake(key, there, now)
        self._next = min((there.wake for there in self.standing.values()), default=ALWAYS)

    def _wake(self, key: str, there: Campaign, now: int) -> None:
        self._lapse(key, there, now)
        if there.wake > now and there.bid.phase == IDLE:
            return
        if there.freeing is not None:
            ballot, times = there.freeing
            self.out += [(voter, Release(key, ballot)) for voter in self.voters]
            there.freeing = (ballot, times - 1) if times > 1 else None
            there.wake = now + self.pace if there.freeing else ALWAYS if self.stopping else there.began
            return
        if self.stopping:
            there.wake = ALWAYS
            return
        bid = there.bid
        if bid.phase == CHOSEN and there.puts is None and not bid.shaken:
            if now < self._renewal(bid) - self.lease // 12:
                there.wake = min(self._renewal(bid), bid.until)
                return
            there.bid, out = bid.again(self._ask(), now)
            there.sent += 1
            there.wake = min(now + self.pace, bid.until)
        elif bid.phase in (IDLE, CHOSEN):
            put = None
            if there.puts is not None:
                there.putting, there.puts = there.puts, None
                put = there.putting[1]
            self._ended(key, there, "unknown" if bid.phase == ACCEPTING else "refused")
            there.bid, out = bid.begin(now, put)
            self._called(key, there)
            there.began, there.sent = now, 1
            there.wake = now + self.pace
        elif there.sent >= TRIES:
            there.bid = replace(bid, phase=IDLE)
            self._ended(key, there, "unknown" if bid.phase == ACCEPTING else "refused")
            self._off(there, now, 0)
            return
        else:
            there.bid, out = bid.again(self._ask(), now)
            there.sent += 1
            there.wake = now + self.pace
        self.out += out

    def _ask(self) -> int:
        self.asked += 1
        return self.asked

    def _renewal(self, bid: Proposer) -> int:
        """A third of the lease after the asking that it stands on."""
        return bid.until - maybe(bid.value.lease) + self.lease // 3

    def _off(self, there: Campaign, now: int, left: int) -> None:
        """Backs off with full jitter; where a lease stands in the way, from its end on. Where the key is
        wanted comes first, and who owns much comes late.
        """
        if there.bid.fencing_token(now):  # as owner it has no time to lose
            there.wake = now + 1 + self.chance.randrange(self.pace)
        elif left:
            there.tries = 0
            there.wake = now + left + self._place(there, now, self.lease // 8)
        else:
            there.tries = min(there.tries + 1, 12)
            there.wake = now + 1 + self.chance.randrange(min(self.lease, 2 * self.pace << there.tries))

    def _place(self, there: Campaign, now: int, span: int) -> int:
        wait = self.chance.randrange(1, max(2, span))
        if not there.prefers:
            wait += span
        return wait + span * min(8, len(self.owned(now))) // 8

    # What voters say.

    def learn(self, starts: dict[str, int]) -> None:
        for voter, start in starts.items():
            if start > self.known.get(voter, 0):
                self.known[voter] = start

    def heard(self, voter: str, start: int, message: Message, now: int) -> None:
        if voter not in self.voters:
            return
        self.learn({voter: start})
        if isinstance(message, ReadReply):
            self._stands(voter, start, message)
            return
        there = self.standing.get(getattr(message, "key", ""))
        if there is None:
            return
        self._hears(there.bid.key, there, voter, start, message, now)
        self._next = min(self._next, there.wake)

    def _hears(self, key: str, there: Campaign, voter: str, start: int, message: Message, now: int) -> None:
        self._lapse(key, there, now)
        if isinstance(message, LeaseReleased):
            if there.bid.phase == IDLE and there.freeing is None and not self.stopping and there.began <= now:
                there.tries = 0
                there.wake = min(there.wake, now + self._place(there, now, self.pace // 4))
            return
        before = there.bid
        there.bid, out = before.heard(voter, start, self.known, message, self._ask(), now)
        self.out += out
        after = there.bid
        if after is before or there.freeing is not None:
            return
        if after.phase == CHOSEN:
            there.tries = 0
            if before.phase == ACCEPTING:
                self._ended(key, there, "ok")
            if (
                before.phase == ACCEPTING
                and there.putting is not None
                and after.value.revision >= there.putting[0]
            ):
                self.happened.append(Happened("put", key, after.number, there.putting[0]))
                there.putting = None
            if after.number != before.number:
                self.happened.append(Happened("owner", key, after.number, after.value.revision, after.until))
            elif self.histories and after.until > before.until:
                self.happened.append(Happened("held", key, after.number, until=after.until))
            if before.phase == ACCEPTING or after.until > before.until:
                there.sent = 0
                there.wake = min(max(now + 1, self._renewal(after)), after.until)
            if (after.shaken and not before.shaken) or there.puts is not None:
                there.wake = now
        elif before.phase == PREPARING and after.phase == ACCEPTING:
            there.sent, there.wake = 1, now + self.pace
        elif after.phase == IDLE and before.phase != IDLE:
            self._ended(key, there, "unknown" if before.phase == ACCEPTING else "refused")
            if before.number and not after.number:
                self.happened.append(Happened("lost", key, before.number, why="the register holds another"))
                self._unput(key, there)
            self._off(there, now, after.left if isinstance(message, Refused) else 0)

    def _lapse(self, key: str, there: Campaign, now: int) -> None:
        before = there.bid
        there.bid = before.lapsed(now)
        if before.number and not there.bid.number:
            self.happened.append(
                Happened("lost", key, before.number, until=before.until, why="no majority renewed it")
            )
            self._ended(key, there, "unknown" if before.phase == ACCEPTING else "refused")
            self._unput(key, there)
            self._off(there, now, 0)

    def _called(self, key: str, there: Campaign) -> None:
        if self.histories:
            bid = there.bid
            kind = "take" if not bid.number else "set" if bid.put is not None else "renew"
            there.op = f"{self.name}/{self.life}/{key}/{bid.ballot.round}", kind
            revision, data = bid.put if bid.put is not None else (1, b"")
            self.happened.append(
                Happened("call", key, bid.number, revision - 1, op=there.op[0], kind=kind, data=data)
            )

    def _ended(self, key: str, there: Campaign, outcome: str) -> None:
        if there.op[0]:
            value = there.bid.value
            self.happened.append(
                Happened(
                    "end",
                    key,
                    value.number,
                    value.revision,
                    op=there.op[0],
                    why=outcome,
                    kind=there.op[1],
                    data=value.data,
                )
            )
            there.op = "", ""

    def _unput(self, key: str, there: Campaign) -> None:
        for revision, _ in (row for row in (there.putting, there.puts) if row is not None):
            self.happened.append(Happened("unput", key, revision=revision, why="no longer owner"))
        there.putting = there.puts = None

    def _stands(self, voter: str, start: int, message: ReadReply) -> None:
        """A value that a majority has accepted under one ballot was the register's when we asked,
        or came later.
        """
        reading = self.reads.get(message.ask)
        if reading is None or reading.key != message.key:
            return
        reading.answers[voter] = (start, message.accepted, message.value)
        there = [row for name, row in reading.answers.items() if row[0] >= self.known.get(name, 0)]
        for _, ballot, value in there:
            if sum(1 for row in there if row[1] == ballot) > len(self.voters) // 2:
                del self.reads[message.ask]
                self.happened.append(
                    Happened(
                        "read", message.key, ask=message.ask, value=NO_VALUE if ballot == NO_BALLOT else value
                    )
                )
                return
