"""A voter: what it promised and accepted for each key, for whom it holds, and how it is let in again.

Bound: of the voters that take part, none promises a ballot of another to anybody while it holds for an owner,
and none answers before what it answers is on its disk. No I/O: `heard` takes one message at one moment; what
`writes` holds is on disk before anything of `out` is sent.
A voter whose sync failed is made anew from its disk.

Why holding needs no disk. A renewal changes neither ballot nor value, so nothing is written. A voter that
begins doesn't know what it held: it holds for the owner that it has on disk a whole lease from its start,
which is later than any moment at which an earlier life of it held.

How one is let in. Each start of a voter has a number, above all earlier ones, and each answer carries it. One
that begins asks the others; each of them writes the number down, then tells all that it promised and
accepted, and from then on says the number in all its answers. Whoever gathers a majority counts no answer of
a voter from before a start that another in this majority knows of. So for any majority with an answer that
was forgotten, one of its other voters is among those that told: it took part before it told, then what it
told stands here, or after, then the forgotten answer does not count. That needs so many others that any
majority's rest meets them: `enough`. A voter whose own disk is whole may begin with fewer, once it waited for
them: it forgot nothing. One whose disk is lost, torn or a copy may not, ever.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from pathsaddle.consensus.messages import (
    NO_BALLOT,
    NO_VALUE,
    Accept,
    Accepted,
    Ballot,
    LeaseReleased,
    Message,
    Prepare,
    Promise,
    Read,
    ReadReply,
    Refused,
    Release,
    Renew,
    SyncReply,
    SyncRequest,
    Value,
    size_of,
    surely,
)
from pathsaddle.trade import MILLISECOND

AGAIN = 200 * MILLISECOND  # between two askings of a voter that begins
PATIENCE = 1000 * MILLISECOND  # how long one with a whole disk waits for enough of the others
WAITERS = 64  # of a key, told when it is given back
KEYS = 10_000  # more are not taken on
PAGE = 1100  # bytes of rows in one answer to a voter that begins


@dataclass(frozen=True, slots=True)
class Row:
    """A key's part of a voter. The first three are on disk.

    until: for how long it holds for the value's owner. freed: the ballot whose owner gave it back.
    """

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: Value = NO_VALUE
    until: int = 0
    freed: Ballot = NO_BALLOT

    def begun(self, now: int) -> Row:
        """As a voter that begins has it."""
        return replace(self, until=now + surely(self.value.lease) if self.value.owner else 0, freed=NO_BALLOT)

    def heard(self, message: Message, now: int) -> tuple[Row, Message | None]:
        """Its answer; where `promised`, `accepted` or `value` changed, only after a sync."""
        if isinstance(message, Prepare):
            ballot = message.ballot
            mine = (self.value.owner, self.value.life) == (ballot.name, ballot.life)
            if ballot < self.promised or (now < self.until and not mine):
                return self, self.refuses(message.key, ballot, now)
            return (
                replace(self, promised=ballot) if ballot > self.promised else self,
                Promise(message.key, ballot, self.accepted, self.value),
            )
        if isinstance(message, Accept):
            # Not asked whether it holds for another: a majority promised, so that other's lease has ended.
            ballot = message.ballot
            if ballot < self.promised:
                return self, self.refuses(message.key, ballot, now)
            until = max(self.until if ballot == self.accepted else 0, now + surely(message.value.lease))
            row = replace(self, promised=ballot, accepted=ballot, value=message.value, until=until)
            return (row if self.freed != ballot else self), Accepted(message.key, ballot, message.ask)
        if isinstance(message, Renew):
            if message.ballot < self.promised:
                return self, self.refuses(message.key, message.ballot, now)
            if message.ballot != self.accepted or message.ballot == self.freed:
                return self, None
            return (
                replace(self, until=max(self.until, now + surely(self.value.lease))),
                Accepted(message.key, message.ballot, message.ask),
            )
        if isinstance(message, Release):
            if message.ballot == self.accepted and message.ballot != self.freed:
                return replace(self, until=0, freed=message.ballot), LeaseReleased(message.key)
            return self, None
        if isinstance(message, Read):
            return self, ReadReply(message.key, message.ask, self.promised, self.accepted, self.value)
        return self, None

    def refuses(self, key: str, ballot: Ballot, now: int) -> Refused:
        return Refused(
            key, ballot, self.promised, max(0, self.until - now), self.value.owner, self.value.number
        )

    def joined(self, promised: Ballot, accepted: Ballot, value: Value) -> Row:
        """With what another told."""
        row = replace(self, promised=max(self.promised, promised))
        return replace(row, accepted=accepted, value=value) if accepted > row.accepted else row

    @property
    def kept(self) -> tuple[Ballot, Ballot, Value]:
        return self.promised, self.accepted, self.value


EMPTY = Row()


@dataclass(frozen=True, slots=True)
class DiskWrite:
    """One line for the disk: a row (key and what is kept of it), or the highest start known of a voter, or
    that it was let in.
    """

    key: str = ""
    kept: tuple[Ballot, Ballot, Value] | None = None
    voter: str = ""
    start: int = 0
    whole: bool = False


class Acceptor:
    def __init__(
        self,
        name: str,
        voters: Iterable[str],
        rows: dict[str, tuple[Ballot, Ballot, Value]],
        starts: dict[str, int],
        start: int,
        whole: bool,
        now: int,
    ) -> None:
        """`rows`, `starts`: what the disk holds. `start`: the number of this start, above the disk's own.
        `whole`: nothing was lost of the disk, as far as it can tell by itself.
        """
        self.name, self.voters = name, tuple(sorted(voters))
        self.rows = {key: Row(*kept).begun(now) for key, kept in rows.items()}
        self.starts = {voter: starts.get(voter, 0) for voter in self.voters}
        self.start, self.whole = max(start, self.starts[name] + 1), whole
        self.starts[name] = self.start
        self.writes: list[DiskWrite] = [DiskWrite(voter=name, start=self.start, whole=whole)]
        self.out: list[tuple[str, Message]] = []
        self.waiters: dict[str, dict[str, None]] = {}
        self.counts: dict[str, int] = {}
        # of the others: it meets the rest of any majority that one is in
        self.enough = len(self.voters) // 2 + 1
        self.told: dict[str, str | None] = {}  # whom all was heard from (None), or up to which key
        self.part = False  # whether it takes part
        self.started_at, self.next = now, now

    def due(self) -> int:
        return 1 << 60 if self.part else self.next

    def wake(self, now: int) -> None:
        """While it begins: asks those who have not told all."""
        if self.part or now < self.next:
            return
        self.next = now + AGAIN
        if len(self.voters) == 1 or (self.whole and now - self.started_at >= PATIENCE):
            self._let_in(now)
            return
        for voter in self.voters:
            if voter != self.name and self.told.get(voter, "") is not None:
                self.out.append((voter, SyncRequest(self.start, self.told.get(voter) or "")))

    def learn(self, starts: dict[str, int], now: int) -> None:
        """The starts that another knows of. A later one of our own than ours: our disk is older than it
        was.
        """
        if starts.get(self.name, 0) <= self.start:
            return
        self.start = self.starts[self.name] = starts[self.name] + 1
        self.whole = self.part = False
        self.told.clear()
        self.out.clear()
        self.writes.append(DiskWrite(voter=self.name, start=self.start))
        self.next = now

    def heard(self, sender: str, message: Message, now: int) -> None:
        if isinstance(message, SyncRequest):
            self._asked(sender, message)
        elif isinstance(message, SyncReply):
            self._told(sender, message, now)
        elif self.part:
            self._take(sender, message, now)
        else:
            self.counts["out"] = self.counts.get("out", 0) + 1

    def _take(self, sender: str, message: Message, now: int) -> None:
        key = getattr(message, "key", "")
        if isinstance(message, (Prepare, Accept, Renew, Release)) and message.ballot.name != sender:
            return
        row = self.rows.get(key, EMPTY)
        if row is EMPTY and len(self.rows) >= KEYS:
            self.counts["full"] = self.counts.get("full", 0) + 1
            return
        after, answer = row.heard(message, now)
        if after is not row:
            self.rows[key] = after
            if after.kept != row.kept:
                self.writes.append(DiskWrite(key, after.kept))
        if isinstance(answer, LeaseReleased):
            for waiter in self.waiters.pop(key, {}):
                self.out.append((waiter, answer))
        elif answer is not None:
            if isinstance(answer, Refused) and answer.left:
                waiters = self.waiters.setdefault(key, {})
                if len(waiters) < WAITERS:
                    waiters[sender] = None
            self.out.append((sender, answer))

    # Letting in.

    def _asked(self, sender: str, ask: SyncRequest) -> None:
        """Answered by those who take part, and by those who begin with a whole disk: that holds all they ever
        said.
        """
        if sender not in self.starts or sender == self.name or not (self.part or self.whole):
            return
        if ask.start > self.starts[sender]:
            self.starts[sender] = ask.start
            self.writes.append(DiskWrite(voter=sender, start=ask.start))
        known = self.starts[sender]
        rows: list[tuple[str, Ballot, Ballot, Value]] = []
        last, size = "", 0
        if ask.start == known:
            for key in sorted(key for key in self.rows if key > ask.after):
                row = (key, *self.rows[key].kept)
                size += size_of(SyncReply(0, 0, True, "", "", [row]))
                if rows and size > PAGE:
                    last = rows[-1][0]
                    break
                rows.append(row)
        self.out.append((sender, SyncReply(ask.start, known, self.part, ask.after, last, rows)))

    def _told(self, sender: str, tell: SyncReply, now: int) -> None:
        if self.part or sender not in self.starts or tell.start != self.start or sender == self.name:
            return
        if tell.known > self.start:
            self.learn({self.name: tell.known}, now)
            return
        # one that begins may have an old disk itself; it can't heal a lost one
        if not (self.whole or tell.part):
            return
        if self.told.get(sender, "") != tell.after:  # a page that is here already, or one out of turn
            return
        for key, promised, accepted, value in tell.rows:
            row = self.rows.get(key, EMPTY)
            after = row.joined(promised, accepted, value)
            if after.kept != row.kept:
                self.writes.append(DiskWrite(key, after.kept))
            self.rows[key] = after
        self.told[sender] = tell.last or None
        if tell.last:
            self.out.append((sender, SyncRequest(self.start, tell.last)))
        elif sum(1 for last in self.told.values() if last is None) >= self.enough:
            self._let_in(now)

    def _let_in(self, now: int) -> None:
        """From here on it takes part; all that it may ever have held it holds from now."""
        self.part = True
        self.rows = {key: row.begun(now) for key, row in self.rows.items()}
        self.writes.append(DiskWrite(voter=self.name, start=self.start, whole=True))
        self.whole = True
