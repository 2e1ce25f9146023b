"""What proves that a member ran: its answers to us, and others' reports of its answers to them.

A moment of being seen is reckoned from *before* the question that was answered, and reported ages are made
longer by twice the clocks' drift, so no delay, repetition or reordering of datagrams makes it too late. From
a silence nothing follows; users of membership ask "seen within t?" and never "alive?".
"""

from __future__ import annotations

from collections import deque
from random import Random

from pathsaddle.fleet.member_table import Member, MemberTable
from pathsaddle.fleet.messages import Message, SeenAge
from pathsaddle.fleet.suspicion import Suspicions

MAX_REPORTED = 6  # members whose ages an answer reports
MAX_RECENT = 64  # members last seen, out of which those are drawn
CLOCK_DRIFT = 0.01  # by so much another's clock may run faster or slower than ours


class LastSeenLog:
    """Notes when members were seen, and reports a few of those moments to others."""

    def __init__(self, table: MemberTable, suspicions: Suspicions, rng: Random) -> None:
        self.table, self.suspicions, self.rng = table, suspicions, rng
        self.recent: deque[Member] = deque(maxlen=MAX_RECENT)

    def note_answer(self, member: Member, probed_at: int, now: int) -> None:
        """Notes that a member answered a question that we asked at `probed_at`: we are not cut off either."""
        member.seen_at = max(member.seen_at, probed_at)
        self.recent.append(member)
        self.suspicions.health.failed_probes.clear()
        self.suspicions.withdraw_local(now)

    def note_reports(self, message: Message, probed_at: int) -> None:
        """Notes what an answer reports.

        The answer was made after we asked, so a member of which it saw a sign so long ago ran after
        `probed_at` less that. A report of another incarnation than the one that is known is not credited to
        it.
        """
        for report in message.seen:
            member = self.table.members.get(report.name)
            if member is None or member.record.incarnation != report.incarnation or report.age_ticks < 0:
                continue
            member.seen_by_others_at = max(member.seen_by_others_at, probed_at - report.age_ticks)
            self.recent.append(member)

    def recent_ages(self, now: int) -> list[SeenAge]:
        """Returns the ages of a few members drawn from those last seen."""
        members = self.table.members
        recent = {m.record.name: m for m in self.recent if m.is_present and members.get(m.record.name) is m}
        drawn = self.rng.sample(list(recent.values()), min(MAX_REPORTED, len(recent)))
        return [_seen_age(member, now) for member in drawn]


def _seen_age(member: Member, now: int) -> SeenAge:
    """Returns the age lengthened by what the reader's clock may run slower than ours."""
    age = int((now - member.last_seen) * (1 + 2 * CLOCK_DRIFT)) + 1
    return SeenAge(member.record.name, member.record.incarnation, age)
