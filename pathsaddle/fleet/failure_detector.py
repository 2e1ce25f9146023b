"""SWIM's failure detector: probes in turn, indirect probes, and what follows from their answers.

Each probe interval one other member is probed, in an order that meets all. Where it does not answer in time,
a few others are asked to probe it; where none of them has an answer either, it is suspected (`suspicion.py`).
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from pathsaddle.fleet.datagram_sender import DatagramSender, Draft
from pathsaddle.fleet.last_seen_log import LastSeenLog
from pathsaddle.fleet.member_table import Member
from pathsaddle.fleet.messages import ALIVE, MemberRecord, Message, MessageKind, SeenAge
from pathsaddle.fleet.suspicion import Suspicions

INDIRECT_PROBES = 3  # members that are asked to probe one that does not answer
MAX_INDIRECT_PROBES = 256  # of others' that are carried at a time
ECHO_BITS = 53  # what every JSON reader can hold


@dataclass(slots=True)
class Probe:
    """Our own probe under way; times are in ticks.

    Attributes:
        target: The member that is probed.
        echo: The number by which its answer is recognized.
        sent_at: When it was sent.
        indirect_at: When others are asked to probe.
        ends_at: When it has failed.
        helpers: How many others were asked; -1: there was none to ask.
        nacks: How many of those said that they had no answer either.
    """

    target: Member
    echo: int
    sent_at: int
    indirect_at: int
    ends_at: int
    helpers: int = 0
    nacks: int = 0


@dataclass(slots=True)
class IndirectProbe:
    """A probe that we carry out for another member.

    Attributes:
        requester: Who asked for it.
        echo: The number of the requester's probe.
        subject: The member to be probed.
        ends_at: When the requester is told that there is no answer.
    """

    requester: MemberRecord
    echo: int
    subject: str
    ends_at: int


class FailureDetector:
    """Probes other members and answers their probes.

    Attributes:
        order: Who is probed next, from the end.
        probe: The probe under way.
        indirect_probes: Those that are carried out for others, by their echo.
        next_probe_at: When the next member is probed.
    """

    def __init__(
        self,
        suspicions: Suspicions,
        last_seen_log: LastSeenLog,
        sender: DatagramSender,
        rng: Random,
        now: int,
    ) -> None:
        self.suspicions, self.last_seen_log, self.sender, self.rng = suspicions, last_seen_log, sender, rng
        self.table, self.health = suspicions.table, suspicions.health
        self.order: list[str] = []
        self.probe: Probe | None = None
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self.next_probe_at = now + int(self.table.options.probe_interval * rng.random())

    # Time.

    def next_wakeup(self) -> int:
        """Returns when `check_timeouts` or `start_due_probe` has something to do."""
        wakeup = self.next_probe_at
        probe = self.probe
        if probe is not None:
            wakeup = min(wakeup, probe.ends_at if probe.helpers else probe.indirect_at, probe.ends_at)
        return min([wakeup, *(one.ends_at for one in self.indirect_probes.values())])

    def start_due_probe(self, now: int) -> bool:
        """Probes the next member if a probe is due; says whether one was.

        Nothing is sent where the previous probe takes longer than the interval, as it does at a bad local
        health.
        """
        if now < self.next_probe_at:
            return False
        probe_interval_ticks = self.health.probe_interval_ticks()
        self.next_probe_at = max(self.next_probe_at + probe_interval_ticks, now + probe_interval_ticks // 2)
        if self.probe is None:
            self._start_probe(now)
        return True

    def check_timeouts(self, now: int) -> None:
        """Asks others to probe where a direct answer is late, and ends the probes whose time is over."""
        probe = self.probe
        if probe is not None and not probe.helpers and now >= probe.indirect_at:
            self._ask_helpers(probe, now)
        if probe is not None and now >= probe.ends_at:
            self.probe = None
            self._fail(probe, now)
        for echo in [echo for echo, one in self.indirect_probes.items() if now >= one.ends_at]:
            one = self.indirect_probes.pop(echo)
            self.sender.send_to(one.requester, MessageKind.NACK, now, one.echo, one.subject)

    def forget_pending(self, now: int) -> None:
        """Gives up all probes without a judgement: we stood still, and answers may lie unread."""
        self.probe = None
        self.next_probe_at = now + self.table.options.probe_interval // 2
        self.indirect_probes.clear()

    # Our own probe.

    def enqueue(self, name: str) -> None:
        """Puts a member at a random place of the order in which they are probed."""
        self.order.insert(self.rng.randrange(len(self.order) + 1), name)

    def _start_probe(self, now: int) -> None:
        target = self._next_target()
        if target is None:
            return
        echo = self.rng.getrandbits(ECHO_BITS)
        ends_at = now + max(self.health.probe_interval_ticks() * 9 // 10, 1)
        self.probe = Probe(target, echo, now, now + self.health.probe_timeout_ticks(), ends_at)
        self.sender.send_to(target.record, MessageKind.PROBE, now, echo)

    def _next_target(self) -> Member | None:
        """Returns each in turn, in an order drawn anew each round, so that each is probed within two."""
        for _ in range(2):
            while self.order:
                member = self.table.members.get(self.order.pop())
                if member is not None and member.is_present:
                    return member
            self.order = sorted(member.record.name for member in self.table.present())
            self.rng.shuffle(self.order)
        return None

    def _ask_helpers(self, probe: Probe, now: int) -> None:
        helpers = [member for member in self.table.alive() if member is not probe.target]
        helpers = self.rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        probe.helpers = len(helpers) or -1
        subject = probe.target.record.name
        for helper in helpers:
            self.sender.send_to(helper.record, MessageKind.INDIRECT_PROBE, now, probe.echo, subject)

    def _fail(self, probe: Probe, now: int) -> None:
        """Suspects the member whose probe failed, or confirms the suspicion of another."""
        member = probe.target
        name = member.record.name
        self.health.failed_probes[name] = None
        # Helpers that did not even say that they had no answer were not reached either: a sign against us.
        self.health.adjust(max(0, probe.helpers - probe.nacks) if probe.helpers > 0 else 1)
        if not member.is_present or self.table.members.get(name) is not member:
            return
        if member.record.state == ALIVE:
            self.suspicions.suspect(member, now, "does not answer")
        elif not self.health.is_alone():
            self.suspicions.confirm(member, self.table.me.name, now)

    # Messages.

    def on_probe(self, message: Message, now: int) -> None:
        """Answers a probe."""
        self.sender.send_to(message.sender, MessageKind.ACK, now, message.echo)

    def on_ack(self, message: Message, sender: Member, now: int) -> None:
        """Takes the answer to our probe, or passes on the answer to one that we carried out for another."""
        name = message.sender.name
        indirect, probe = self.indirect_probes.get(message.echo), self.probe
        if indirect is not None and indirect.subject == name:
            del self.indirect_probes[message.echo]
            self._pass_on_ack(indirect, message.sender, now)
        elif probe is not None and probe.echo == message.echo and probe.target.record.name == name:
            self.last_seen_log.note_answer(sender, probe.sent_at, now)
            self.last_seen_log.note_reports(message, probe.sent_at)
            self.probe = None
            self.health.adjust(-1)

    def _pass_on_ack(self, indirect: IndirectProbe, answered: MemberRecord, now: int) -> None:
        draft = Draft(
            indirect.requester.address,
            indirect.requester.name,
            MessageKind.INDIRECT_ACK,
            indirect.echo,
            indirect.subject,
            seen=[SeenAge(answered.name, answered.incarnation, 0)],
        )
        self.sender.send(draft, now)

    def on_indirect_probe(self, message: Message, now: int) -> None:
        """Probes a member for another, if it is known and not too many such probes are under way."""
        target = self.table.members.get(message.subject)
        if target is None or len(self.indirect_probes) >= MAX_INDIRECT_PROBES:
            return
        echo = self.rng.getrandbits(ECHO_BITS)
        ends_at = now + self.health.probe_timeout_ticks()
        self.indirect_probes[echo] = IndirectProbe(message.sender, message.echo, message.subject, ends_at)
        self.sender.send_to(target.record, MessageKind.PROBE, now, echo)

    def on_helper_answer(self, message: Message, sender: Member, now: int) -> None:
        """Takes what a member that we asked to probe says: INDIRECT_ACK or NACK."""
        probe = self.probe
        if probe is None or probe.echo != message.echo or probe.target.record.name != message.subject:
            return
        sender.seen_at = max(sender.seen_at, probe.sent_at)
        if message.kind == MessageKind.NACK:
            probe.nacks += 1
            return
        # Of the incarnation that answered: it may be another than the one that was probed.
        self.last_seen_log.note_reports(message, probe.sent_at)
        self.last_seen_log.note_answer(sender, probe.sent_at, now)
        self.probe = None
