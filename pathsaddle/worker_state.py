"""What the decisions keep of workers, customers and zones: plain types, with their sums.

They are told what was seen and hold figures ready; what follows from those is `choice`'s alone. Times are
tenths of a millisecond.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque

from pathsaddle.scheduler_types import SECOND, Posting, Report, Scheme, Worker

Type = tuple[float, int | None]  # what the paper calls j: slot count and the machine a scheme needs
FAR = 1 << 60


class Book:
    """What this dispatcher knows of one worker from its own traffic."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        self.out: list[Posting] = []
        self.head: dict[Type, float] = {}  # what a new worker starts with on top, fading as own jobs finish
        self.owed: dict[Type, int] = {}  # backlogged work by type: added at each send, removed at its outcome
        self.past: list[tuple[int, int]] = [(-FAR, 0)]  # (when, own out from then)
        self.report: Report | None = None
        self.reported = 0  # when the report came
        self.word: tuple[float | None, ...] = ()  # its last report's figures
        self.seen, self.own_then = -FAR, 0  # the moment that it describes, and own postings out then
        self.others: tuple[int, list[float]] | None = None  # others' load by each guess of the reports' age
        self.readings: deque[float] = deque(maxlen=8)  # others' jobs there less the slots, as reported
        self.sizes: deque[float] = deque(maxlen=8)  # slots, as the last reports add up
        self.alive = 0  # last sign of life: an answer or a progress note
        self.paces: deque[float] = deque(maxlen=12)  # time taken over time expected, of the last settled ones
        self.pace = 1.0
        self.size = 0.0  # slots: the most that the last reports add up to
        self.believed = 0.0  # free slots as last worked out
        self.believed_until = 0  # until when that holds if nothing happens
        self.delays: deque[int] = deque(maxlen=8)  # from posting to start, of the last postings here
        self.probing, self.asked = False, 0  # being probed, and when it last was
        self.failed = 0  # failures in a row
        self.full_at = -FAR  # when it last turned us away
        self.proven = -FAR  # when an own txn last settled there
        self.erred_until = 0  # after an own posting failed there: until when what that loses stays away
        self.shut_until = 0  # after failures: nothing before this moment
        # Silent for too long, and since when: one posting at a time until it speaks.
        self.suspect, self.doubted = False, 0
        self.mute: dict[Scheme, tuple[int, int]] = {}  # left untaken here: (until when none go, how often)
        self.reached = 0  # when the last posting was sent that has started
        self.trial: Posting | None = None  # the last posting there since
        self.trials = 0  # postings in a row that a suspect has swallowed
        self.cold_sent: deque[tuple[int, int, bool]] = deque()  # (when, work, if cold then) of the last sends
        self.started: int | None = worker.started
        self.broke = -FAR  # when a connection to it last broke or was refused
        self.wary = worker.started is not None  # it may be cold: one look for both, in each scan
        self.dropped = -FAR  # when the list last called it gone, or left it out
        self.risen = -FAR  # since when it is taken to have started anew, unlisted

    def own_at(self, moment: int) -> int:
        """How many own postings were out there at that moment."""
        # By halves: ten guesses at a report's age, each looked for from the end, took a third of the CPU.
        return self.past[max(0, bisect_left(self.past, (moment + 1,)) - 1)][1]

    def counts(self, now: int) -> None:
        """Own postings out have changed."""
        self.past.append((now, len(self.out)))
        if len(self.past) > 1024:
            del self.past[:512]

    def lives(self, now: int) -> None:
        """A sign of life."""
        self.alive, self.suspect, self.trials, self.believed_until = now, False, 0, 0


class Account:
    """A customer's use of its share, as far as it comes through us."""

    def __init__(self, allowance: float, now: int, least: float) -> None:
        self.allowance = allowance  # txns in a tenth of a millisecond, over all dispatchers
        self.least = least  # txns that its purse holds at the least
        self.purse = float("inf")  # full at the start, whatever its size turns out to be
        self.filled, self.asked = now, deque[int](maxlen=64)

    def rate(self, now: int) -> float:
        """Txns in a tenth of a millisecond, over the last ones; 0 while they are too few."""
        return len(self.asked) / max(1, now - self.asked[0]) if len(self.asked) > 7 else 0.0

    def size(self, part: float) -> float:
        """Txns that the purse holds, where that part of the tier's traffic comes through us."""
        # Fewer txns than that say nothing of a rate: at half a txn a second most of a small customer's were
        # taken to be over its share, while it was under.
        return max(self.least, 4 * self.allowance * part * SECOND)

    def pays(self, now: int, part: float) -> bool:
        """Takes one txn out of the purse, if it is in it."""
        self.purse = min(self.size(part), self.purse + (now - self.filled) * self.allowance * part)
        self.filled = now
        if self.purse < 1.0:
            return False
        self.purse -= 1.0
        return True


class Usual:
    """What the last looks at one zone's workers found: what is believed of those not heard from."""

    def __init__(self) -> None:
        self.seen: deque[tuple[int, float]] = deque(maxlen=32)  # (when, others' jobs less slots)
        self.told = -1.0

    def learns(self, now: int, told: float) -> None:
        self.seen.append((now, told))
        self.judge(now)

    def judge(self, now: int, lasts: float = FAR) -> None:
        while self.seen and now - self.seen[0][0] > lasts:
            self.seen.popleft()
        # A few samples say little: lean on one free slot, which is where a look begins.
        self.told = (sum(told for _, told in self.seen) - 3.0) / (len(self.seen) + 3)
