"""Suspicions: how they begin, how long they last, who shares them, and how they end.

SWIM's suspicion with Lifeguard's timeouts: a suspicion is long at first and gets shorter with each further
accuser; its subject is dead at the end unless it refutes the suspicion. Our own: judgements of a member that
nobody answers are local, which means that they are told to nobody and dropped at the first answer.
"""

from __future__ import annotations

from math import log10

from msgspec.structs import replace

from pathsaddle.fleet.dissemination import Dissemination
from pathsaddle.fleet.local_health import LocalHealth
from pathsaddle.fleet.member_table import FAR, Member, MemberTable
from pathsaddle.fleet.messages import ALIVE, DEAD, SUSPECT, MemberRecord

SUSPICION_MULTIPLIER = 4  # the shortest suspicion, in probe intervals times the logarithm of the fleet's size
LONGEST_FACTOR = 6  # the longest suspicion is so many times the shortest
MAX_CONFIRMATIONS = 3  # further accusers that bring a suspicion from its longest to its shortest
TICKS_PER_MS = 10


class Suspicions:
    """All suspicions that run, and the only place that replaces a member's record.

    Attributes:
        accused: The members whose suspicion runs, by name.
        has_local_judgements: Some of what is believed is local.
    """

    def __init__(self, table: MemberTable, health: LocalHealth, dissemination: Dissemination) -> None:
        self.table, self.health, self.dissemination = table, health, dissemination
        self.accused: dict[str, Member] = {}
        self.has_local_judgements = False

    # A suspicion, from its begin to its end.

    def suspect(self, member: Member, now: int, why: str, record: MemberRecord | None = None) -> None:
        """Begins to suspect a member, by our own probe or by a record that another told."""
        is_local = record is None and self.health.is_alone()
        if record is not None:
            why += f", says {record.by}"
        elif is_local:
            why += ", nor does anybody"
        self.replace_record(member, record or self._judgement(member, SUSPECT), now, why)
        self._set_local(member, is_local)
        self.begin(member, now)
        if not is_local:
            self.dissemination.spread(member.record.name)

    def begin(self, member: Member, now: int) -> None:
        """Starts the timeout of a member whose record says that it is suspected."""
        member.suspicion_began_at = now
        member.suspicion_ends_at = now + self.timeout_ticks(0)
        member.accusers = {member.record.by: None}
        self.accused[member.record.name] = member

    def timeout_ticks(self, confirmations: int) -> int:
        """Returns how long a suspicion lasts: shorter with each further accuser (Lifeguard)."""
        size, options = self.table.size(), self.table.options
        shortest = SUSPICION_MULTIPLIER * max(1.0, log10(max(1, size))) * options.probe_interval
        if not options.lifeguard:
            return int(shortest)
        longest = LONGEST_FACTOR * shortest
        expected = min(MAX_CONFIRMATIONS, max(1, size - 2))
        shortened = (longest - shortest) * log10(confirmations + 1) / log10(expected + 1)
        return int(max(shortest, longest - shortened))

    def confirm(self, member: Member, accuser: str, now: int) -> None:
        """Notes that another accuses a member whom we suspect; each accuser counts once.

        What is passed on is a testimony of its own, ours before another's: with the first accuser's name on
        it, it was nobody's second, and each suspicion lasted its longest.
        """
        if accuser in member.accusers or len(member.accusers) > MAX_CONFIRMATIONS:
            return
        member.accusers[accuser] = None
        member.suspicion_ends_at = member.suspicion_began_at + self.timeout_ticks(len(member.accusers) - 1)
        own_name = self.table.me.name
        by = own_name if own_name in member.accusers else accuser
        member.record = replace(member.record, by=by)
        self.dissemination.spread(member.record.name)

    def expire(self, now: int) -> None:
        """Takes for dead each member whose suspicion has ended without a refutation."""
        for member in [m for m in self.accused.values() if now >= m.suspicion_ends_at]:
            waited_ms = (now - member.suspicion_began_at) // TICKS_PER_MS
            is_local = member.is_local or self.health.is_alone()
            judgement = self._judgement(member, DEAD)
            self.replace_record(member, judgement, now, f"no refutation for {waited_ms} ms")
            self._set_local(member, is_local)
            if not is_local:
                self.dissemination.spread(member.record.name)

    def postpone(self, ticks: int) -> None:
        """Moves all suspicions by a time in which this member stood still."""
        for member in self.accused.values():
            member.suspicion_ends_at += ticks
            member.suspicion_began_at += ticks

    # Records.

    def replace_record(self, member: Member, record: MemberRecord, now: int, why: str) -> None:
        """Believes a record of a member; a suspicion of the earlier record ends."""
        if record.state != member.record.state or record.incarnation != member.record.incarnation:
            member.since = now
            self.table.add_change(now, record, why)
        member.record, member.suspicion_ends_at, member.is_local = record, FAR, False
        self.table.note_state_changed()
        member.accusers = {}
        self.accused.pop(record.name, None)
        if record.state >= DEAD and self.table.dead_count() > self.table.options.most_dead:
            self.forget_dead(now)

    def reinstate(self, member: Member, now: int, why: str) -> None:
        """Takes back a local judgement: the member is believed alive again."""
        alive = replace(member.record, state=ALIVE, by="")
        member.is_local, member.suspicion_ends_at = False, FAR
        self.table.note_state_changed()
        member.record, member.since = alive, now
        self.accused.pop(alive.name, None)
        self.table.add_change(now, alive, why)

    def withdraw_local(self, now: int) -> None:
        """Takes back all local judgements: made while nobody answered us, they say nothing of others."""
        if not self.has_local_judgements:
            return
        self.has_local_judgements = False
        for member in self.table.members.values():
            if member.is_local:
                self.reinstate(member, now, "we were cut off ourselves")

    def forget_dead(self, now: int) -> None:
        """Forgets the members that have been dead longest, and what was to be passed on of them."""
        for name in self.table.remove_dead(now):
            self.dissemination.drop(name)

    def _judgement(self, member: Member, state: int) -> MemberRecord:
        return replace(member.record, state=state, by=self.table.me.name)

    def _set_local(self, member: Member, is_local: bool) -> None:
        member.is_local = is_local
        self.has_local_judgements = self.has_local_judgements or is_local
