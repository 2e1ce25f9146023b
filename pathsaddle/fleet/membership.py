"""Who is in the fleet, as one member sees it: a core free of I/O that is fed datagrams and moments.

In the tradition of SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2018), composed
of:

- `member_table.py`: what is known of each member;
- `failure_detector.py`: probes and indirect probes;
- `suspicion.py` and `local_health.py`: suspicions, and how far we trust our own judgement;
- `record_merge.py`: what others tell, and refutation;
- `dissemination.py`: changed records that are passed on with other datagrams;
- `anti_entropy.py`: comparisons page by page, which also find the fleet at the start;
- `last_seen_log.py`: proofs that a member ran at some moment;
- `datagram_sender.py`: encoding and the rate limit.

What a view may be used for: a member is a name and an incarnation; `last_seen` is a moment of our own clock
after which it surely ran. Ask "seen within t?", never "alive?": from a silence nothing follows but that
nothing was seen.

All times are ticks of one monotonic clock that is handed in, and all randomness comes from one `Random`. The
order in which the parts draw from it is part of the protocol's tests (`tests/test_golden_membership.py`).
`udp_driver.py` feeds this core; the core never reads a clock, a socket or a disk.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from pathsaddle.fleet.anti_entropy import AntiEntropy
from pathsaddle.fleet.datagram_sender import DatagramSender, Draft
from pathsaddle.fleet.dissemination import Dissemination
from pathsaddle.fleet.failure_detector import FailureDetector
from pathsaddle.fleet.last_seen_log import LastSeenLog
from pathsaddle.fleet.local_health import LocalHealth
from pathsaddle.fleet.member_table import MAX_MEMBERS, Member, MembershipChange, MemberTable
from pathsaddle.fleet.messages import (
    ALIVE,
    LEFT,
    AddressedDatagram,
    DatagramRejectedError,
    MemberRecord,
    Message,
    MessageKind,
    decode,
)
from pathsaddle.fleet.options import MembershipOptions
from pathsaddle.fleet.rate_limiter import RateLimiter
from pathsaddle.fleet.record_merge import RecordMerge, next_incarnation
from pathsaddle.fleet.suspicion import TICKS_PER_MS, Suspicions

__all__ = ["MAX_MEMBERS", "Member", "Membership", "MembershipChange", "MembershipOptions", "next_incarnation"]

IDLE_PROBE_INTERVALS = 10  # between wake-ups of a member that sends nothing any more
FAREWELL_MEMBERS = 8  # that are told at once that we leave; the rest hear of it from them
FAREWELL_COPIES = 2  # of that datagram for each, since it may be lost
STALE_RECORD_RESERVE = 0.25  # share of the rate limit that answers to an old incarnation leave to others


class Membership:
    """One member's view of the fleet.

    Bounds: what is sent in a second, by `RateLimiter`; what is kept, by the names that sign with the key, of
    which at most `most_dead` are dead; how long a death is not noticed, and a live member is taken for dead,
    in docs/membership.md.

    Attributes:
        table: What is known.
        rate_limiter: Shared with gossip and quotas.
        next_wake_at: When `wake` should be called, in ticks; a call that is much later shows that we stood
            still.
    """

    def __init__(
        self, me: MemberRecord, options: MembershipOptions, seeds: Iterable[str], rng: Random, now: int
    ) -> None:
        self.options, self.rng = options, rng
        self.rate_limiter = RateLimiter(options.most_bytes, options.most_datagrams, now)
        self.table = MemberTable(me, options, now)
        self.local_health = LocalHealth(options)
        self.dissemination = Dissemination(self.table)
        self.suspicions = Suspicions(self.table, self.local_health, self.dissemination)
        self.last_seen_log = LastSeenLog(self.table, self.suspicions, rng)
        self.sender = DatagramSender(self.dissemination, self.last_seen_log, self.rate_limiter)
        self.detector = FailureDetector(self.suspicions, self.last_seen_log, self.sender, rng, now)
        self.anti_entropy = AntiEntropy(self.sender, self.last_seen_log, seeds, rng, now)
        self.record_merge = RecordMerge(self.suspicions, self.detector, rng)
        self.next_wake_at = now

    # What users of a view ask.

    @property
    def me(self) -> MemberRecord:
        """The record that we tell of ourselves."""
        return self.table.me

    @property
    def members(self) -> dict[str, Member]:
        """All other members that are known, by name."""
        return self.table.members

    @property
    def counters(self) -> dict[str, int]:
        """How often something happened, by its reason."""
        return self.table.counters

    @property
    def health(self) -> int:
        """The local health score; 0 is well."""
        return self.local_health.score

    @property
    def is_silent(self) -> bool:
        """Whether another process has our name, so that nothing more is sent."""
        return self.table.is_silent

    @property
    def is_running(self) -> bool:
        """Whether we take part: we have neither left nor fallen silent."""
        return not (self.table.is_silent or self.table.has_left)

    def seen_within(self, name: str, incarnation: int, span: int, now: int) -> bool:
        """Says whether this incarnation of a member surely ran at some moment of the last `span` ticks."""
        if name == self.me.name:
            return incarnation == self.me.incarnation and not self.is_silent
        member = self.members.get(name)
        return (
            member is not None and member.record.incarnation == incarnation and member.last_seen >= now - span
        )

    def size(self) -> int:
        """Returns how many members are taken to be present, this one among them."""
        return self.table.size()

    def is_alone(self) -> bool:
        """Says whether nobody answers: whatever we then think of the others may be our own fault."""
        return self.local_health.is_alone()

    # What the driver takes.

    def take_datagrams(self) -> list[AddressedDatagram]:
        """Returns (address, datagram) of all that is to be sent now, once."""
        datagrams, self.sender.out = self.sender.out, []
        return datagrams

    def take_changes(self) -> list[MembershipChange]:
        """Returns the changes since the last call."""
        changes, self.table.changes = self.table.changes, []
        return changes

    # Time.

    def wake(self, now: int) -> int:
        """Does what is due; returns when it wants to be called again."""
        self._detect_stall(now)
        if self.is_running:
            self.detector.check_timeouts(now)
            self.suspicions.expire(now)
            if self.detector.start_due_probe(now):
                self.suspicions.forget_dead(now)
            self.anti_entropy.wake(now)
        return self.due(now)

    def due(self, now: int) -> int:
        """Returns when it wants to be woken, as it stands; asked again after datagrams came."""
        if self.is_running:
            ends = [member.suspicion_ends_at for member in self.suspicions.accused.values()]
            wakeup = min([self.detector.next_wakeup(), self.anti_entropy.next_wakeup(now), *ends])
            self.next_wake_at = max(wakeup, now + 1)
        else:
            self.next_wake_at = now + IDLE_PROBE_INTERVALS * self.options.probe_interval
        return self.next_wake_at

    def _detect_stall(self, now: int) -> None:
        """Judges nobody by a time in which this member stood still.

        A call that is later than we asked for means that others' answers may lie unread. The probe under way
        is forgotten; suspicions last as much longer, and a probe interval on top to read what lies there.
        Broken by the mutant `blind-to-stalls` (`tests/test_membership.py`).
        """
        late = now - self.next_wake_at
        probe_interval = self.options.probe_interval
        if late <= probe_interval // 2 or not self.options.lifeguard:
            self.next_wake_at = max(self.next_wake_at, now)
            return
        self.table.count("stalled")
        self.next_wake_at = now
        self.detector.forget_pending(now)
        self.suspicions.postpone(late + probe_interval)
        self.local_health.adjust(1)
        self.table.add_own_change(now, ALIVE, f"stood still for {late // TICKS_PER_MS} ms")

    # Datagrams.

    def on_datagram(self, data: bytes, now: int) -> None:
        """Takes a datagram. What can't be used is counted by its reason and changes nothing."""
        if not self.is_running:
            return
        self._detect_stall(now)
        try:
            message = self._read(data)
        except DatagramRejectedError as error:
            self.table.count(f"refused {error}")
            return
        sender = message.sender
        known = self.members.get(sender.name)
        if known is not None and sender.incarnation < known.record.incarnation:
            self._answer_old_incarnation(sender, known, now)
            return
        self.table.count("taken")
        self.learn(sender, now, sender.name)
        is_page = message.kind in (MessageKind.PAGE_REQUEST, MessageKind.PAGE_REPLY)
        for record in message.records:
            self.learn(record, now, sender.name, is_page)
        member = self.members.get(sender.name)
        if not self.is_silent and member is not None:
            self._dispatch(message, member, now)

    def learn(self, record: MemberRecord, now: int, source: str, is_page: bool = False) -> None:
        """Takes a record that `source` told; `is_page`: in a page, where old judgements are told too."""
        self.record_merge.learn(record, now, source, is_page)

    def _read(self, data: bytes) -> Message:
        """Decodes a datagram that is meant for us and has not come before.

        Each number of an incarnation is taken once, and none that is far behind the highest.
        """
        message = decode(data, self.options.key, self.options.fleet)
        me, sender = self.me, message.sender
        is_own = sender.name == me.name and sender.incarnation == me.incarnation
        if message.recipient not in (me.name, "") or is_own:
            raise DatagramRejectedError("misdirected")
        member = self.members.get(sender.name)
        is_same_run = member is not None and sender.incarnation == member.record.incarnation
        if member is not None and is_same_run and member.is_repeated(message.number):
            raise DatagramRejectedError("repeated")
        return message

    def _answer_old_incarnation(self, sender: MemberRecord, known: Member, now: int) -> None:
        """Tells an older incarnation of a name of the newer one; nothing else of its datagram is taken."""
        self.table.count("refused older")
        draft = Draft(sender.address, sender.name, MessageKind.NACK, records=[known.record])
        draft.reserve = STALE_RECORD_RESERVE
        self.sender.send(draft, now)

    def _dispatch(self, message: Message, sender: Member, now: int) -> None:
        """Gives a message to the part that it is for; kinds that are not known are left."""
        match message.kind:
            case MessageKind.PROBE:
                self.detector.on_probe(message, now)
            case MessageKind.ACK:
                self.detector.on_ack(message, sender, now)
            case MessageKind.INDIRECT_PROBE:
                self.detector.on_indirect_probe(message, now)
            case MessageKind.INDIRECT_ACK | MessageKind.NACK:
                self.detector.on_helper_answer(message, sender, now)
            case MessageKind.PAGE_REQUEST:
                self.anti_entropy.on_page_request(message, now)
            case MessageKind.PAGE_REPLY:
                self.anti_entropy.on_page_reply(message, sender, now)

    # The end.

    def leave(self, now: int) -> None:
        """Tells some members at once that we leave; the rest hear of it from them."""
        if not self.is_running:
            return
        me = self.me
        self.table.me = MemberRecord(
            me.name, me.incarnation, me.refutations, LEFT, me.address, me.zone, me.form, me.name
        )
        present = self.table.present()
        self.rng.shuffle(present)
        for member in present[:FAREWELL_MEMBERS]:
            for _ in range(FAREWELL_COPIES):
                self.sender.send_to(member.record, MessageKind.NACK, now, 0)
        self.table.has_left = True
        self.table.add_own_change(now, LEFT, "told to end")
