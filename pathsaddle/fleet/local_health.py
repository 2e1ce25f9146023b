"""Lifeguard's local health: how much this member trusts its own judgement of others."""

from __future__ import annotations

from pathsaddle.fleet.options import MembershipOptions

MAX_SCORE = 8  # at the worst score intervals and timeouts are 1 + 8 times as long
ALONE_AFTER = 3  # probes of as many different members failed in a row: the fault may be ours


class LocalHealth:
    """The health score and the probes that failed since anybody answered.

    Attributes:
        score: 0 is well; each step makes probe intervals and timeouts one time longer.
        failed_probes: The members whose probes failed since somebody last answered us.
    """

    def __init__(self, options: MembershipOptions) -> None:
        self.options = options
        self.score = 0
        self.failed_probes: dict[str, None] = {}

    def adjust(self, step: int) -> None:
        """Makes the score worse by `step`, or better where it is negative."""
        if self.options.lifeguard:
            self.score = max(0, min(MAX_SCORE, self.score + step))

    def probe_interval_ticks(self) -> int:
        """Returns the time between two probes at this health."""
        return self.options.probe_interval * (1 + self.score)

    def probe_timeout_ticks(self) -> int:
        """Returns how long a direct answer is awaited at this health."""
        return self.options.probe_timeout * (1 + self.score)

    def is_alone(self) -> bool:
        """Says whether nobody answers: whatever we then think of the others may be our own fault."""
        return self.options.lifeguard and len(self.failed_probes) >= ALONE_AFTER
