"""Takes the records that others tell: the higher rank wins, and what accuses us is refuted."""

from __future__ import annotations

from collections import deque
from random import Random

from msgspec.structs import replace

from pathsaddle.fleet.failure_detector import FailureDetector
from pathsaddle.fleet.member_table import MAX_MEMBERS, Member
from pathsaddle.fleet.messages import ALIVE, DEAD, LEFT, STATES, SUSPECT, MemberRecord
from pathsaddle.fleet.suspicion import Suspicions

# An incarnation is a moment in milliseconds times this, and a random number below it.
INCARNATION_SPAN = 1 << 10
RECENTLY_SEEN_INTERVALS = (
    4  # a death told of a member seen within so many probe intervals is a suspicion first
)
NAME_CONFLICT_INTERVALS = 60  # two foreign claims of our name within so many probe intervals: another has it
NAME_CONFLICT_CLAIMS = 2


class RecordMerge:
    """Merges told records into the table."""

    def __init__(self, suspicions: Suspicions, detector: FailureDetector, rng: Random) -> None:
        self.suspicions, self.detector, self.rng = suspicions, detector, rng
        self.table, self.dissemination = suspicions.table, suspicions.dissemination
        # When another claimed our name over what we had claimed.
        self.foreign_claims: deque[int] = deque(maxlen=NAME_CONFLICT_CLAIMS)

    def learn(self, record: MemberRecord, now: int, source: str, is_page: bool = False) -> None:
        """Takes a record that `source` told; `is_page`: in a page, where old judgements are told too."""
        if record.name == self.table.me.name:
            self._learn_of_self(record, now)
            return
        member = self.table.members.get(record.name)
        if member is None:
            self._add(record, now, source)
            return
        if member.is_local and _run(record) >= _run(member.record):
            self.suspicions.reinstate(member, now, f"{source} says otherwise")
        known = member.record
        if record.state == SUSPECT and known.state == SUSPECT and _run(record) == _run(known):
            self.suspicions.confirm(member, record.by, now)
            return
        if record.rank > known.rank:
            self._override(member, record, now, source, is_page)

    def _add(self, record: MemberRecord, now: int, source: str) -> None:
        """Takes the first record of a name, if there is room."""
        table = self.table
        is_full = record.state >= DEAD and table.dead_count() >= table.options.most_dead
        if len(table.members) >= MAX_MEMBERS or is_full:
            table.count("no room")
            return
        member = table.members[record.name] = Member(record, now)
        table.note_state_changed()
        table.add_change(now, record, f"{source} says so")
        if record.state == SUSPECT:
            self.suspicions.begin(member, now)
        if record.state < DEAD:
            self.detector.enqueue(record.name)
        self.dissemination.spread(record.name)

    def _override(self, member: Member, record: MemberRecord, now: int, source: str, is_page: bool) -> None:
        """Replaces what is known of a member by a record of a higher rank."""
        known = member.record
        if record.incarnation > known.incarnation:
            # Nothing of the old incarnation is credited to the new one.
            self.suspicions.accused.pop(record.name, None)
            member = self.table.members[record.name] = Member(known, now)
        elif record.state == DEAD and known.state < DEAD and self._is_doubtful(member, now, is_page):
            if known.state == SUSPECT:
                self.suspicions.confirm(member, record.by, now)
                return
            record = replace(record, state=SUSPECT)
        if record.state == SUSPECT:
            self.suspicions.suspect(member, now, "does not answer", record)
            return
        if record.state == ALIVE and not member.is_present:
            self.detector.enqueue(record.name)
        self.suspicions.replace_record(member, record, now, f"{source} says so")
        self.dissemination.spread(record.name)

    def _is_doubtful(self, member: Member, now: int, is_page: bool) -> bool:
        """Says whether a death that was told must first be open to refutation. This is our own.

        So is a judgement from the other side of a partition, or against what was seen lately: when two
        halves met again, half of each took the rest of itself for dead.
        """
        options = self.table.options
        was_seen_recently = member.last_seen >= now - RECENTLY_SEEN_INTERVALS * options.probe_interval
        return options.lifeguard and (is_page or was_seen_recently)

    # Records of ourselves.

    def _learn_of_self(self, record: MemberRecord, now: int) -> None:
        me = self.table.me
        if record.incarnation == me.incarnation:
            if record.state != ALIVE and record.refutations >= me.refutations:
                self._refute(record, now)
        elif record.incarnation > me.incarnation:
            self._outbid(record, now)

    def _refute(self, record: MemberRecord, now: int) -> None:
        self.table.count("accused")
        self.suspicions.health.adjust(1)
        self._claim(self.table.me.incarnation, record.refutations + 1)
        self.table.add_own_change(now, ALIVE, f"refuted: {record.by} says {STATES[record.state]}")

    def _outbid(self, record: MemberRecord, now: int) -> None:
        """Claims a higher incarnation than one told of our name, or leaves the name to another process.

        It is an old incarnation of ours, from a clock that was ahead, or another process under our name. Our
        own: one that answers a claim that we made since we began, twice, is there, and we leave the name to
        it.
        """
        table = self.table
        if record.state == ALIVE:
            self.foreign_claims.append(now)
            since = now - NAME_CONFLICT_INTERVALS * table.options.probe_interval
            if len(self.foreign_claims) == NAME_CONFLICT_CLAIMS and self.foreign_claims[0] > since:
                table.is_silent = True
                table.add_own_change(now, LEFT, f"{record.address} has our name too")
                return
        incarnation = (record.incarnation // INCARNATION_SPAN + 1) * INCARNATION_SPAN
        self._claim(incarnation + self.rng.randrange(INCARNATION_SPAN), 0)
        table.add_own_change(now, ALIVE, "a higher life of our name was told")

    def _claim(self, incarnation: int, refutations: int) -> None:
        me = self.table.me
        self.table.me = replace(me, incarnation=incarnation, refutations=refutations, state=ALIVE, by="")


RunVersion = tuple[int, int]  # an incarnation and its refutations


def _run(record: MemberRecord) -> RunVersion:
    """Returns what a state is said of: an incarnation and its refutations."""
    return record.incarnation, record.refutations


def next_incarnation(wall_ms: int, last: int, rng: Random) -> int:
    """Returns the number of an incarnation that begins now.

    Args:
        wall_ms: The wall clock in milliseconds.
        last: The last number that the disk knows; the new one is above it.
        rng: Keeps two processes that begin in the same millisecond apart.
    """
    return max(wall_ms, last // INCARNATION_SPAN + 1) * INCARNATION_SPAN + rng.randrange(INCARNATION_SPAN)
