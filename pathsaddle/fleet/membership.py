"""Who is in the fleet, as one member sees it: the core, fed datagrams and moments; it says what to send.

In the tradition of SWIM (Das, Gupta, Motivala 2002): each beat one other is asked, in an order that meets all; who
does not answer is asked for by others; who answers none of them is suspected, and dead unless it refutes that by a
higher count. With Lifeguard's parts (Dadgar, Phillips, Currey 2018): own health slows own judgement, accusations
wait for further witnesses, the accused is told first. What is ours is said where it stands.

What a view may be used for: a member is a name and a life; `heard` is a moment of our own clock after which it was
surely still there, proven by its answer to our question, or by others' word of such an answer, reckoned from before
we asked them. Ask "heard within t?", never "alive?": of a silence nothing follows but that nothing was heard.

All times are ticks of one monotonic clock that is handed in; all chance comes from one Random.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil, log10
from random import Random

from pathsaddle.fleet.messages import (
    ACK,
    ALIVE,
    ASK,
    DEAD,
    LEFT,
    MAX_DATAGRAM_BYTES,
    MISSED,
    OVERHEAD,
    PAGE,
    PAGED,
    PING,
    RELAYED,
    STATES,
    SUSPECT,
    DatagramRejectedError,
    MemberRecord,
    Message,
    decode,
    encode,
    size_of,
)
from pathsaddle.fleet.rate_limiter import SECOND, RateLimiter

FAR = 1 << 60
NEVER = -FAR
SPREAD = 4  # each news is sent on so many times the logarithm of the fleet's size (memberlist's factor)
DOUBT = 4  # a suspicion lasts at least so many beats times that logarithm
WITNESSES = 3  # further accusers that bring a suspicion from its longest to its shortest
LONGER = 6  # the longest is so many times the shortest
WORST = 8  # own health at its worst: beats and waits are that much longer
ALONE = 3  # probes of as many different members failed in a row: the fault may be ours
HEARD = 6  # how many others' times of being heard an answer tells
TRIES = 3  # of a page whose answer does not come
APART = 5  # beats between tries to reach those who are taken for dead
ROWS_APART = 8  # beats between comparisons that nothing calls for, in a fleet whose rows fill a page
ROWS = 32  # about how many that is
MAX_MEMBERS = 4096  # names that are kept
DRIFT = 0.01  # by so much may another's clock run faster or slower than ours
# What is left of the rate_limiter to others: probes and answers first, then news on their back, pages that answer, pages that
# ask. All of it stands before carrying (gossip/gossip.py), which spends whatever it may as long as many tell of much.
NEWS, PAGES, ASKED = 0.25, 0.25, 0.35
OVER = 1 << 10  # lives are moments in ms times this, and chance below it


@dataclass
class MembershipOptions:
    """What the charter says.

    fleet, key: its name, its secret.
    beat: between two probes. patience: for a direct answer; others are asked after it.
    most_bytes, most_datagrams: in any second.
    most_dead: how many dead are remembered, and at most for how long (`forget`).
    lifeguard: own health, witnesses and the word to the accused; off only to measure what they bring.
    """

    fleet: str
    key: bytes
    beat: int = SECOND
    patience: int = 3 * SECOND // 10
    most_bytes: int = 24_000
    most_datagrams: int = 60
    most_dead: int = 1024
    forget: int = 600 * SECOND
    lifeguard: bool = True


@dataclass(slots=True, eq=False)
class Member:
    """Another one, as seen from here."""

    row: MemberRecord
    since: int  # when it was first seen in this state
    heard: int = NEVER  # it answered us after this moment
    heard_by: int = NEVER  # it answered somebody else after this moment
    until: int = FAR  # when a suspicion of it ends
    begun: int = 0  # when that began
    witnesses: dict[str, None] = field(default_factory=dict)  # who else accuses it
    local: bool = False  # our judgement while we may be the ones cut off; told to nobody
    number: int = 0  # the highest of its datagrams' numbers, and below it which of the last 64 have come
    come: int = 0

    @property
    def last_heard(self) -> int:
        return max(self.heard, self.heard_by)

    @property
    def here(self) -> bool:
        return self.row.state < DEAD


@dataclass(slots=True)
class Probe:
    whom: Member
    echo: int
    sent: int
    late: int  # when others are asked
    end: int
    asked: int = 0  # how many others
    missed: int = 0  # how many of those said that they had no answer either


@dataclass(slots=True)
class Walk:
    """A comparison of all that two members know, page by page."""

    name: str
    address: str
    first: str = ""
    echo: int = 0
    sent: int = NEVER
    tries: int = 0


@dataclass(slots=True)
class IndirectProbe:
    """Another's question that we carry: SWIM's indirect probe."""

    asker: MemberRecord
    echo: int  # of the asker's question
    about: str
    until: int


@dataclass(frozen=True)
class MembershipChange:
    """Something that this member now believes, and why; its own row where `name` is its own."""

    at: int
    name: str
    life: int
    state: int
    why: str

    def __str__(self) -> str:
        return f"{self.name}/{self.life} {STATES[self.state]}: {self.why}"


class Membership:
    """Bounds: what is sent, per second, by Purse; what is kept, by the names that sign with the key, of which the
    dead are at most `most_dead`; how long a dead one is not noticed, and a live one wrongly, in docs/membership.md.
    """

    def __init__(
        self, me: MemberRecord, ways: MembershipOptions, seeds: Iterable[str], chance: Random, now: int
    ) -> None:
        self.me, self.ways, self.chance = me, ways, chance
        self.seeds = [seed for seed in seeds if seed != me.address]
        self.members: dict[str, Member] = {}
        self.out: list[tuple[str, bytes]] = []  # (address, datagram), to be sent now
        self.changes: list[MembershipChange] = [MembershipChange(now, me.name, me.life, ALIVE, "began")]
        self.counts: dict[str, int] = {}
        self.rate_limiter = RateLimiter(ways.most_bytes, ways.most_datagrams, now)
        self.number = 0
        self.health = 0  # Lifeguard's: 0 is well
        self.gossip: dict[str, int] = {}  # whose row is still to be told, and how often it was
        self.accused: dict[str, Member] = {}  # whose suspicion runs
        self.here = 1  # how many are taken to be there, ourselves among them; worked out anew when `stirred`
        self.stirred = False
        self.order: list[str] = []  # who is probed next, from the end
        self.probe: Probe | None = None
        self.walk: Walk | None = None
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self.failed: dict[str, None] = {}  # whose probes failed since anybody answered us
        self.judged_alone = False  # some of what we believe is `local`
        self.lately: deque[Member] = deque(maxlen=64)  # who was last heard from
        self.foreign: deque[int] = deque(maxlen=2)  # when another claimed our name over what we had claimed
        self.silent = False  # another process has our name: we say nothing more
        self.gone = False  # we have left
        self.beat_due = now + int(ways.beat * chance.random())
        self.join_due, self.join_tries = now, 0
        self.apart_due = now + int(APART * ways.beat * (0.5 + chance.random()))
        self.compare_due = now + int(ROWS_APART * ways.beat * (0.5 + chance.random()))
        self.promised = now  # when wake should have been called by

    # What users of a view ask.

    def heard_within(self, name: str, life: int, span: int, now: int) -> bool:
        """Whether this life of this member was surely there at some moment of the last `span` ticks."""
        if name == self.me.name:
            return life == self.me.life and not self.silent
        member = self.members.get(name)
        return member is not None and member.row.life == life and member.last_heard >= now - span

    def size(self) -> int:
        if self.stirred:
            self.here, self.stirred = 1 + sum(member.here for member in self.members.values()), False
        return self.here

    def alone(self) -> bool:
        """Nobody answers: whatever we then think of the others may be our own fault."""
        return self.ways.lifeguard and len(self.failed) >= ALONE

    # Time.

    def wake(self, now: int) -> int:
        """Does what is due; returns when it wants to be called again."""
        self._stalled(now)
        if not (self.silent or self.gone):
            self._judge(now)
            if now >= self.beat_due:
                self.beat_due = max(self.beat_due + self.period(), now + self.period() // 2)
                self._beat(now)
                self._forget(now)
            self._join(now)
            self._reach_the_dead(now)
            self._walk_on(now)
            self._compare(now)
        return self.due(now)

    def due(self, now: int) -> int:
        """When it wants to be woken, as it stands: asked again after datagrams were heard."""
        self.promised = self._due(now)
        return self.promised

    def _due(self, now: int) -> int:
        if self.silent or self.gone:
            return now + 10 * self.ways.beat
        due = min(self.beat_due, self.apart_due, self.compare_due, self.join_due)
        if self.probe is not None:
            due = min(due, self.probe.late if not self.probe.asked else self.probe.end, self.probe.end)
        if self.walk is not None:
            due = min(
                due, self.walk.sent + self.ways.beat if self.walk.sent > NEVER else now + self.ways.beat // 8
            )
        for member in self.accused.values():
            due = min(due, member.until)
        for indirect in self.indirect_probes.values():
            due = min(due, indirect.until)
        return max(due, now + 1)

    def period(self) -> int:
        return self.ways.beat * (1 + self.health)

    def patience(self) -> int:
        return self.ways.patience * (1 + self.health)

    def _stalled(self, now: int) -> None:
        """Called later than we asked for: we stood still, and what others answered meanwhile lies unread. Nobody is
        judged by that time; suspicions last as much longer, and a beat on top to hear what lies there.
        """
        late = now - self.promised
        if late <= self.ways.beat // 2 or not self.ways.lifeguard:
            self.promised = max(self.promised, now)
            return
        self._count("stalled")
        self.promised = now
        self.probe = None
        self.beat_due = now + self.ways.beat // 2
        self.indirect_probes.clear()
        for member in self.accused.values():
            member.until += late + self.ways.beat
            member.begun += late + self.ways.beat
        self._health(1)
        self.changes.append(
            MembershipChange(now, self.me.name, self.me.life, ALIVE, f"stood still for {late // 10} ms")
        )

    def _health(self, step: int) -> None:
        if self.ways.lifeguard:
            self.health = max(0, min(WORST, self.health + step))

    # Probes.

    def _beat(self, now: int) -> None:
        if self.probe is not None:  # its time was longer than the beat: own health
            return
        whom = self._next()
        if whom is None:
            return
        echo = self.chance.getrandbits(53)
        self.probe = Probe(whom, echo, now, now + self.patience(), now + max(self.period() * 9 // 10, 1))
        self._say(now, whom.row, PING, echo=echo)

    def _next(self) -> Member | None:
        """Each in turn, in an order drawn anew each round: whoever is dead is asked within two rounds."""
        for _ in range(2):
            while self.order:
                member = self.members.get(self.order.pop())
                if member is not None and member.here:
                    return member
            self.order = sorted(name for name, member in self.members.items() if member.here)
            self.chance.shuffle(self.order)
        return None

    def _judge(self, now: int) -> None:
        probe = self.probe
        if probe is not None and not probe.asked and now >= probe.late:
            helpers = [m for m in self.members.values() if m.row.state == ALIVE and m is not probe.whom]
            helpers = self.chance.sample(helpers, min(3, len(helpers)))
            probe.asked = len(helpers) or -1
            for helper in helpers:
                self._say(now, helper.row, ASK, echo=probe.echo, about=probe.whom.row.name)
        if probe is not None and now >= probe.end:
            self.probe = None
            self._failed(probe, now)
        for echo in [echo for echo, indirect in self.indirect_probes.items() if now >= indirect.until]:
            indirect = self.indirect_probes.pop(echo)
            self._say(now, indirect.asker, MISSED, echo=indirect.echo, about=indirect.about)
        for member in [m for m in self.accused.values() if now >= m.until]:
            waited = (now - member.begun) // 10
            local = member.local or self.alone()
            self._believe(member, self._said_of(member, DEAD), now, f"no refutation for {waited} ms")
            member.local = local
            self.judged_alone = self.judged_alone or local
            if not local:
                self._spread(member.row.name)

    def _failed(self, probe: Probe, now: int) -> None:
        member = probe.whom
        self.failed[member.row.name] = None
        # Helpers that did not even say that they had no answer were not reached either: a sign against us.
        self._health(max(0, probe.asked - probe.missed) if probe.asked > 0 else 1)
        if not member.here or self.members.get(member.row.name) is not member:
            return
        if member.row.state == ALIVE:
            self._suspect(member, now, "does not answer")
        elif not self.alone():
            self._witness(member, self.me.name, now)

    def _said_of(self, member: Member, state: int) -> MemberRecord:
        row = member.row
        return MemberRecord(
            row.name, row.life, row.count, state, row.address, row.zone, row.form, self.me.name
        )

    def _suspect(self, member: Member, now: int, why: str, row: MemberRecord | None = None) -> None:
        local = row is None and self.alone()
        self._believe(
            member,
            row or self._said_of(member, SUSPECT),
            now,
            why + (", nor does anybody" if local else f", says {row.by}" if row is not None else ""),
        )
        member.local = local
        self.judged_alone = self.judged_alone or local
        self._accuse(member, now)
        if not local:
            self._spread(member.row.name)

    def _accuse(self, member: Member, now: int) -> None:
        member.begun, member.until, member.witnesses = now, now + self._doubt(0), {member.row.by: None}
        self.accused[member.row.name] = member

    def _doubt(self, witnesses: int) -> int:
        """How long a suspicion lasts: long at first, shorter with each further witness (Lifeguard)."""
        least = DOUBT * max(1.0, log10(max(1, self.size()))) * self.ways.beat
        if not self.ways.lifeguard:
            return int(least)
        most = LONGER * least
        few = min(WITNESSES, max(1, self.size() - 2))
        return int(max(least, most - (most - least) * log10(witnesses + 1) / log10(few + 1)))

    def _witness(self, member: Member, who: str, now: int) -> None:
        """Another accuses whom we suspect: counted once each."""
        if who in member.witnesses or len(member.witnesses) > WITNESSES:
            return
        member.witnesses[who] = None
        member.until = member.begun + self._doubt(len(member.witnesses) - 1)
        # What is told on is a testimony of its own, ours before another's: with the first accuser's name on it, it was
        # nobody's second, and each suspicion lasted its longest.
        by, row = self.me.name if self.me.name in member.witnesses else who, member.row
        member.row = MemberRecord(
            row.name, row.life, row.count, row.state, row.address, row.zone, row.form, by
        )
        self._spread(member.row.name)

    def _answered(self, member: Member, asked: int, now: int) -> None:
        """Proof that it was there after `asked`."""
        member.heard = max(member.heard, asked)
        self.lately.append(member)
        self.failed.clear()
        if not self.judged_alone:
            return
        self.judged_alone = False
        for other in self.members.values():
            if other.local:  # what we thought while nobody answered us says nothing of them
                self._back(other, now, "we were cut off ourselves")

    def _back(self, member: Member, now: int, why: str) -> None:
        row = member.row
        alive = MemberRecord(row.name, row.life, row.count, ALIVE, row.address, row.zone, row.form)
        member.local, member.until, self.stirred = False, FAR, True
        member.row, member.since = alive, now
        self.accused.pop(row.name, None)
        self.changes.append(MembershipChange(now, row.name, row.life, ALIVE, why))

    # News.

    def _believe(self, member: Member, row: MemberRecord, now: int, why: str) -> None:
        if row.state != member.row.state or row.life != member.row.life:
            member.since = now
            self.changes.append(MembershipChange(now, row.name, row.life, row.state, why))
        member.row, member.until, member.local, self.stirred = row, FAR, False, True
        member.witnesses = {}
        self.accused.pop(row.name, None)
        if row.state >= DEAD and self._dead() > self.ways.most_dead:
            self._forget(now)

    def _spread(self, name: str) -> None:
        self.gossip[name] = 0

    def learn(self, row: MemberRecord, now: int, who: str, compared: bool = False) -> None:
        """What somebody told of a member. `compared`: in a comparison, where old judgements are told too."""
        if row.name == self.me.name:
            self._told_of_me(row, now)
            return
        member = self.members.get(row.name)
        if member is None:
            if len(self.members) >= MAX_MEMBERS or (
                row.state >= DEAD and self._dead() >= self.ways.most_dead
            ):
                self._count("no room")
                return
            member, self.stirred = Member(row, now), True
            self.members[row.name] = member
            self.changes.append(MembershipChange(now, row.name, row.life, row.state, f"{who} says so"))
            if row.state == SUSPECT:
                self._accuse(member, now)
            if row.state < DEAD:
                self.order.insert(self.chance.randrange(len(self.order) + 1), row.name)
            self._spread(row.name)
            return
        old = member.row
        if member.local and (row.life, row.count) >= (old.life, old.count):
            self._back(member, now, f"{who} says otherwise")
            old = member.row
        if row.state == SUSPECT and old.state == SUSPECT and (row.life, row.count) == (old.life, old.count):
            self._witness(member, row.by, now)
            return
        if row.rank <= old.rank:
            return
        if row.life > old.life:
            # Another life: nothing of the old is credited to it.
            self.accused.pop(row.name, None)
            member = self.members[row.name] = Member(old, now)
        elif (
            row.state == DEAD
            and old.state < DEAD
            and self.ways.lifeguard
            and (compared or member.last_heard >= now - 4 * self.ways.beat)
        ):
            # Ours: a judgement from the other side of a partition, or against what was heard lately, must first be
            # open to refutation: when two halves met again, half of each took the rest of itself for dead.
            if old.state == SUSPECT:
                self._witness(member, row.by, now)
                return
            row = MemberRecord(
                row.name, row.life, row.count, SUSPECT, row.address, row.zone, row.form, row.by
            )
        if row.state == SUSPECT:
            self._suspect(member, now, "does not answer", row)
            return
        if row.state == ALIVE and not member.here:
            self.order.insert(self.chance.randrange(len(self.order) + 1), row.name)
        self._believe(member, row, now, f"{who} says so")
        self._spread(row.name)

    def _told_of_me(self, row: MemberRecord, now: int) -> None:
        me = self.me
        if row.life == me.life:
            if row.state != ALIVE and row.count >= me.count:
                self._count("accused")
                self._health(1)
                self._claim(me.life, row.count + 1)
                self.changes.append(
                    MembershipChange(
                        now, me.name, me.life, ALIVE, f"refuted: {row.by} says {STATES[row.state]}"
                    )
                )
        elif row.life > me.life:
            # An old life of ours, from a clock that was ahead; or another process under our name. Ours: whoever
            # answers a claim that we made since we began, twice, is there, and we leave the name to it.
            if row.state == ALIVE:
                self.foreign.append(now)
                if len(self.foreign) == 2 and self.foreign[0] > now - 60 * self.ways.beat:
                    self.silent = True
                    self.changes.append(
                        MembershipChange(now, me.name, me.life, LEFT, f"{row.address} has our name too")
                    )
                    return
            self._claim((row.life // OVER + 1) * OVER + self.chance.randrange(OVER), 0)
            self.changes.append(
                MembershipChange(now, me.name, self.me.life, ALIVE, "a higher life of our name was told")
            )

    def _claim(self, life: int, count: int) -> None:
        me = self.me
        self.me = MemberRecord(me.name, life, count, ALIVE, me.address, me.zone, me.form)

    def _dead(self) -> int:
        return sum(not member.here for member in self.members.values())

    def _forget(self, now: int) -> None:
        """Those longest dead, beyond how many and how long they are remembered."""
        dead = [m for m in self.members.values() if not m.here]
        over = len(dead) - self.ways.most_dead
        for member in sorted(dead, key=lambda m: m.since):
            if over <= 0 and now - member.since < self.ways.forget:
                break
            over -= 1
            del self.members[member.row.name]
            self.stirred = True
            self.gossip.pop(member.row.name, None)

    # Meeting: at the start, after a partition, and now and then.

    def _join(self, now: int) -> None:
        if now < self.join_due:
            return
        if any(m.here for m in self.members.values()) or not self.seeds:
            self.join_due, self.join_tries = now + 10 * self.ways.beat, 0
            return
        self.join_tries += 1
        self._meet("", self.chance.choice(self.seeds))
        # Full jitter: all that were started at once must not come again at once.
        self.join_due = (
            now + 1 + int(min(20, 2 ** min(self.join_tries, 5)) * self.ways.beat * self.chance.random())
        )

    def _reach_the_dead(self, now: int) -> None:
        """A partition that has ended is noticed by nobody else. As many try as bring each of the dead about one
        datagram a beat from the whole fleet.
        """
        if now < self.apart_due:
            return
        self.apart_due = now + int(APART * self.ways.beat * (0.5 + self.chance.random()))
        dead = [m for m in self.members.values() if m.row.state == DEAD]
        known = {m.row.address for m in self.members.values() if m.row.state != DEAD} | {self.me.address}
        unknown = [seed for seed in self.seeds if seed not in known]
        if dead and self.chance.random() < APART * len(dead) / self.size():
            member = self.chance.choice(dead)
            self._meet(member.row.name, member.row.address)
        elif unknown and self.chance.random() < APART / self.size():
            self._meet("", self.chance.choice(unknown))

    def _compare(self, now: int) -> None:
        if now < self.compare_due:
            return
        # The more there are, the longer a comparison and the rarer: what a member sends for it stays the same.
        span = ROWS_APART * self.ways.beat * (1 + self.size() / ROWS)
        self.compare_due = now + int(span * (0.5 + self.chance.random()))
        there = [m for m in self.members.values() if m.row.state == ALIVE]
        if there and self.walk is None:
            member = self.chance.choice(there)
            self._meet(member.row.name, member.row.address)

    def _meet(self, name: str, address: str) -> None:
        if self.walk is None:
            self.walk = Walk(name, address)

    def _walk_on(self, now: int) -> None:
        walk = self.walk
        if walk is None or now < walk.sent + self.ways.beat:
            return
        if walk.tries >= TRIES:
            self.walk = None
            return
        if not self.rate_limiter.can_consume(MAX_DATAGRAM_BYTES, now, ASKED):
            return
        walk.echo = self.chance.getrandbits(53)
        rows, last = self._page(walk.first, MAX_DATAGRAM_BYTES - 220)
        if self._send(
            now, walk.address, walk.name, PAGE, walk.echo, first=walk.first, last=last, page=rows, spare=ASKED
        ):
            walk.tries += 1
            walk.sent = now

    def _page(self, first: str, room: int) -> tuple[list[MemberRecord], str]:
        """Rows after `first`, in the names' order, as many as there is room for; the last name that they cover."""
        rows: list[MemberRecord] = []
        names = sorted(name for name, member in self.members.items() if name > first and not member.local)
        for name in names:
            row = self.members[name].row
            room -= size_of(row)
            if room < 0:
                return rows, rows[-1].name if rows else name
            rows.append(row)
        return rows, ""

    def _paged(self, said: Message, now: int) -> None:
        """Answers a page with all that we know better in its range, as far as there is room."""
        if not self.rate_limiter.can_consume(MAX_DATAGRAM_BYTES, now, PAGES):
            self._count("held back")
            return
        theirs = {row.name: row for row in said.rows}
        room, rows, last = MAX_DATAGRAM_BYTES - 220, [], said.last
        names = sorted(
            name
            for name, member in self.members.items()
            if name > said.first and (not said.last or name <= said.last) and not member.local
        )
        before = said.first
        for name in names:
            row = self.members[name].row
            if name != said.me.name and (name not in theirs or row.rank > theirs[name].rank):
                room -= size_of(row)
                if room < 0:
                    last = before
                    break
                rows.append(row)
            before = name
        self._send(
            now,
            said.me.address,
            said.me.name,
            PAGED,
            said.echo,
            first=said.first,
            last=last,
            page=rows,
            spare=PAGES,
        )

    # Datagrams.

    def _send(
        self,
        now: int,
        address: str,
        to: str,
        kind: int,
        echo: int,
        about: str = "",
        first: str = "",
        last: str = "",
        page: list[MemberRecord] | None = None,
        spare: float = 0.0,
        heard: list[tuple[str, int, int]] | None = None,
    ) -> bool:
        """False: there is nothing left for it in this second."""
        if self.silent:
            return False
        rows = list(page) if page is not None else []
        other = self.members.get(to)
        if other is not None and other.row.state != ALIVE and not other.local and self.ways.lifeguard:
            rows.append(other.row)  # the accused is told first
        if heard is None:
            heard = self._heard_lately(now) if kind in (ACK, PAGED) else []
        room = (
            MAX_DATAGRAM_BYTES - OVERHEAD - 150 - size_of(self.me) - len(first) - len(last) - 40 * len(heard)
        )
        room -= sum(map(size_of, rows))
        # Probes and answers before news: two hundred that began at once had nothing left to answer with.
        if self.rate_limiter.can_consume(MAX_DATAGRAM_BYTES, now, NEWS):
            rows += self._news(to, room, {row.name for row in rows})
        self.number += 1
        data = encode(
            Message(self.ways.fleet, self.me, self.number, to, kind, echo, about, first, last, heard, rows),
            self.ways.key,
        )
        if len(data) > MAX_DATAGRAM_BYTES or not self.rate_limiter.try_consume(len(data), now, spare):
            self._count("held back")
            return False
        for row in rows:
            if row.name in self.gossip:
                self._told(row.name)
        self.out.append((address, data))
        return True

    def _say(self, now: int, row: MemberRecord, kind: int, echo: int, about: str = "") -> None:
        self._send(now, row.address, row.name, kind, echo, about)

    def _news(self, to: str, room: int, told: set[str]) -> list[MemberRecord]:
        """What was told least often so far, of others; our own row stands in each datagram."""
        rows: list[MemberRecord] = []
        for name in sorted(self.gossip, key=self.gossip.__getitem__):
            member = self.members.get(name)
            if member is None or member.local or name in told or name == to:
                continue
            room -= size_of(member.row)
            if room < 0:
                break
            rows.append(member.row)
        return rows

    def _told(self, name: str) -> None:
        self.gossip[name] += 1
        if self.gossip[name] >= SPREAD * ceil(log10(self.size() + 1)):
            del self.gossip[name]

    def _heard_lately(self, now: int) -> list[tuple[str, int, int]]:
        """A few drawn from those last heard from; others' clocks may run otherwise, so ages are told longer."""
        lately = {m.row.name: m for m in self.lately if m.here and self.members.get(m.row.name) is m}
        some = self.chance.sample(list(lately.values()), min(HEARD, len(lately)))
        return [(m.row.name, m.row.life, int((now - m.last_heard) * (1 + 2 * DRIFT)) + 1) for m in some]

    def on_datagram(self, data: bytes, now: int) -> None:
        """A datagram has come. What can't be used is counted by its reason and changes nothing."""
        if self.silent or self.gone:
            return
        self._stalled(now)
        try:
            said = decode(data, self.ways.key, self.ways.fleet)
            if said.to not in (self.me.name, "") or (
                said.me.name == self.me.name and said.me.life == self.me.life
            ):
                raise DatagramRejectedError("misdirected")
            self._new(said)
        except DatagramRejectedError as fault:
            self._count(f"refused {fault}")
            return
        known = self.members.get(said.me.name)
        if known is not None and said.me.life < known.row.life:
            # An older life of its name, or one whose clock is behind: nothing of it is taken, and it is told.
            self._count("refused older")
            self._send(now, said.me.address, said.me.name, MISSED, 0, page=[known.row], spare=PAGES)
            return
        self._count("taken")
        self.learn(said.me, now, said.me.name)
        compared = said.kind in (PAGE, PAGED)
        for row in said.rows:
            self.learn(row, now, said.me.name, compared)
        if self.silent or said.me.name == self.me.name:
            return
        self._act(said, now)

    def _new(self, said: Message) -> None:
        """Against datagrams that come twice or late: each number of a life is taken once, and none far back."""
        member = self.members.get(said.me.name)
        if member is None or said.me.life != member.row.life:
            return
        behind = member.number - said.number
        if behind < 0:
            member.come = (member.come << min(-behind, 64) | 1) & (1 << 64) - 1
            member.number = said.number
        elif behind >= 64 or member.come >> behind & 1:
            raise DatagramRejectedError("repeated")
        else:
            member.come |= 1 << behind

    def _act(self, said: Message, now: int) -> None:
        kind, sender = said.kind, self.members.get(said.me.name)
        if sender is None:
            return
        if kind == PING:
            self._say(now, said.me, ACK, echo=said.echo)
        elif kind == ACK:
            indirect = self.indirect_probes.get(said.echo)
            if indirect is not None and indirect.about == said.me.name:
                del self.indirect_probes[said.echo]
                self._send(
                    now,
                    indirect.asker.address,
                    indirect.asker.name,
                    RELAYED,
                    indirect.echo,
                    indirect.about,
                    heard=[(said.me.name, said.me.life, 0)],
                )
            elif (
                self.probe is not None
                and self.probe.echo == said.echo
                and self.probe.whom.row.name == said.me.name
            ):
                self._answered(sender, self.probe.sent, now)
                self._heard_of(said, self.probe.sent)
                self.probe = None
                self._health(-1)
        elif kind == ASK:
            whom = self.members.get(said.about)
            if whom is not None and len(self.indirect_probes) < 256:
                echo = self.chance.getrandbits(53)
                self.indirect_probes[echo] = IndirectProbe(
                    said.me, said.echo, said.about, now + self.patience()
                )
                self._say(now, whom.row, PING, echo=echo)
        elif kind in (RELAYED, MISSED):
            probe = self.probe
            if probe is None or probe.echo != said.echo or probe.whom.row.name != said.about:
                return
            sender.heard = max(sender.heard, probe.sent)
            if kind == MISSED:
                probe.missed += 1
                return
            # Of the life that answered: it may be another than the one that we asked for.
            self._heard_of(said, probe.sent)
            self._answered(sender, probe.sent, now)
            self.probe = None
        elif kind == PAGE:
            self._paged(said, now)
        elif kind == PAGED and self.walk is not None and self.walk.echo == said.echo:
            walk = self.walk
            self._answered(sender, walk.sent, now)
            self._heard_of(said, walk.sent)
            if not said.last:
                self.walk = None
                return
            # The next page is of whom answered, also where only an address was known; after what it covered.
            walk.name, walk.first, walk.tries, walk.sent = said.me.name, said.last, 0, NEVER
            self._walk_on(now)

    def _heard_of(self, said: Message, asked: int) -> None:
        """An answer was made after we asked: what it says was heard so long ago was there after `asked` less that."""
        for name, life, ago in said.heard:
            member = self.members.get(name)
            if member is not None and member.row.life == life and ago >= 0:
                member.heard_by = max(member.heard_by, asked - ago)
                self.lately.append(member)

    # The end.

    def leave(self, now: int) -> None:
        """Told at once to as many as a second allows; the rest hear of it from them."""
        if self.gone or self.silent:
            return
        me = self.me
        self.me = MemberRecord(me.name, me.life, me.count, LEFT, me.address, me.zone, me.form, me.name)
        there = [m for m in self.members.values() if m.here]
        self.chance.shuffle(there)
        for member in there[:8]:
            for _ in range(2):
                self._say(now, member.row, MISSED, echo=0)
        self.gone = True
        self.changes.append(MembershipChange(now, me.name, me.life, LEFT, "told to end"))

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1


def next_incarnation(wall_ms: int, last: int, chance: Random) -> int:
    """The number of a life that begins now: above the last that the disk knows, and by the clock."""
    return max(wall_ms, last // OVER + 1) * OVER + chance.randrange(OVER)
