"""What one member knows: its own record, those of all others, and the changes that nobody was told of yet.

The table is owned by `Membership` and shared by its parts; it decides nothing. Every part that replaces a
record does it through `Suspicions.replace_record`, so that the table's derived numbers stay right.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from pathsaddle.fleet.messages import ALIVE, DEAD, STATES, MemberRecord
from pathsaddle.fleet.options import MembershipOptions

FAR = 1 << 60  # ticks: later than any moment
NEVER = -FAR
MAX_MEMBERS = 4096  # names that are kept, whatever others tell
REPLAY_WINDOW = 64  # numbers of datagrams, behind the highest, that are remembered of each member
_REPLAY_MASK = (1 << REPLAY_WINDOW) - 1


@dataclass(slots=True, eq=False)
class Member:
    """Another member, as seen from here; times are in ticks of our own clock.

    Attributes:
        record: What is believed of it.
        since: When it was first seen in this state.
        seen_at: It answered us after this moment.
        seen_by_others_at: It answered somebody else after this moment.
        suspicion_ends_at: When it is taken for dead unless it refutes the suspicion.
        suspicion_began_at: When the suspicion began.
        accusers: Who accuses it, in the order in which that became known (Lifeguard's independent
            suspicions).
        is_local: The state is our judgement while we may be the ones cut off; it is told to nobody.
        highest_number: The highest number of its datagrams.
        received_numbers: A bit for each of the `REPLAY_WINDOW` numbers up to the highest: whether it has
            come.
    """

    record: MemberRecord
    since: int
    seen_at: int = NEVER
    seen_by_others_at: int = NEVER
    suspicion_ends_at: int = FAR
    suspicion_began_at: int = 0
    accusers: dict[str, None] = field(default_factory=dict)
    is_local: bool = False
    highest_number: int = 0
    received_numbers: int = 0

    @property
    def last_seen(self) -> int:
        """The latest moment after which this member surely ran, by its answer to us or to another."""
        return max(self.seen_at, self.seen_by_others_at)

    @property
    def is_present(self) -> bool:
        """Whether it is taken to be in the fleet: alive or suspected."""
        return self.record.state < DEAD

    def is_repeated(self, number: int) -> bool:
        """Notes the number of one of its datagrams; says whether it came before, or is too old to know."""
        behind = self.highest_number - number
        if behind < 0:
            shifted = self.received_numbers << min(-behind, REPLAY_WINDOW) | 1
            self.received_numbers, self.highest_number = shifted & _REPLAY_MASK, number
            return False
        if behind >= REPLAY_WINDOW or self.received_numbers >> behind & 1:
            return True
        self.received_numbers |= 1 << behind
        return False


@dataclass(frozen=True)
class MembershipChange:
    """Something that this member now believes; its own record's where `name` is its own.

    Attributes:
        at: When, in ticks.
        name: Of which member.
        incarnation: Of which incarnation.
        state: The state that it is now believed to have.
        why: The reason, for a log line.
    """

    at: int
    name: str
    incarnation: int
    state: int
    why: str

    def __str__(self) -> str:
        return f"{self.name}/{self.incarnation} {STATES[self.state]}: {self.why}"


class MemberTable:
    """The member's own record, the others, unreported changes and counters.

    Attributes:
        me: The record that we tell of ourselves.
        members: All others that are known, by name.
        changes: What happened since the driver last took it.
        counters: How often something happened, by its reason.
        is_silent: Another process has our name, so nothing more is sent.
        has_left: We have told that we leave.
    """

    def __init__(self, me: MemberRecord, options: MembershipOptions, now: int) -> None:
        self.me, self.options = me, options
        self.members: dict[str, Member] = {}
        self.changes: list[MembershipChange] = []
        self.counters: dict[str, int] = {}
        self.is_silent = False
        self.has_left = False
        self._size = 1
        self._is_size_stale = False
        self.add_own_change(now, ALIVE, "began")

    def add_change(self, now: int, record: MemberRecord, why: str) -> None:
        """Reports that a record is believed from now on."""
        change = MembershipChange(now, record.name, record.incarnation, record.state, why)
        self.changes.append(change)

    def add_own_change(self, now: int, state: int, why: str) -> None:
        """Reports something of this member itself."""
        self.changes.append(MembershipChange(now, self.me.name, self.me.incarnation, state, why))

    def count(self, reason: str) -> None:
        """Adds one to a counter."""
        self.counters[reason] = self.counters.get(reason, 0) + 1

    def size(self) -> int:
        """Returns how many members are taken to be present, this one among them."""
        if self._is_size_stale:
            self._size = 1 + sum(member.is_present for member in self.members.values())
            self._is_size_stale = False
        return self._size

    def note_state_changed(self) -> None:
        """Has the size computed anew when it is next asked for."""
        self._is_size_stale = True

    def present(self) -> list[Member]:
        """Returns the other members that are alive or suspected, in the order in which they became known."""
        return [member for member in self.members.values() if member.is_present]

    def alive(self) -> list[Member]:
        """Returns the other members that are believed alive, in the order in which they became known."""
        return [member for member in self.members.values() if member.record.state == ALIVE]

    def dead_count(self) -> int:
        """Returns how many members are remembered that are dead or have left."""
        return sum(not member.is_present for member in self.members.values())

    def remove_dead(self, now: int) -> list[str]:
        """Forgets those that have been dead longest, beyond how many and how long they are remembered.

        Returns:
            The names that were forgotten.
        """
        dead = [member for member in self.members.values() if not member.is_present]
        excess = len(dead) - self.options.most_dead
        removed: list[str] = []
        for member in sorted(dead, key=lambda m: m.since):
            if excess <= 0 and now - member.since < self.options.forget:
                break
            excess -= 1
            del self.members[member.record.name]
            self.note_state_changed()
            removed.append(member.record.name)
        return removed
