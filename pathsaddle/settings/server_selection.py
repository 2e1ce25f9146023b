"""Which config server a subscriber asks, and when.

After silence it is the next one, and the nearest one again after a while.

Used by `subscriber.py` alone. No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from random import Random

from pathsaddle.settings.documents import content_hash
from pathsaddle.settings.timing import ANSWER_TIMEOUT_TICKS, NEVER_DUE, SECOND, backoff_ticks

START_SPREAD_TICKS = SECOND // 4  # all subscribers may start in the same moment
REQUESTS_PER_LEASE = 3  # a request is repeated so often within a lease
RETURN_LEASES = 6  # leases, on average, until the nearest server is tried again


def nearest_servers(regions: Mapping[str, str], name: str, region: str) -> list[str]:
    """Orders servers for one subscriber.

    Those of its region come first. Of the others each subscriber has an order of its own, so that those who
    leave one server do not all go to the same next one.

    Args:
        regions: Each server's region, by name.
        name: The subscriber.
        region: The subscriber's.

    Returns:
        All servers, the one to be asked first at the beginning.
    """
    return sorted(
        regions, key=lambda server: (regions[server] != region, content_hash(f"{name} {server}".encode()))
    )


class ServerSelection:
    """The server that is asked, and the times of requests.

    Attributes:
        index: Which server of the list is asked.
        silent_count: Servers in a row that did not answer.
        requested_at: When a request went out that is not yet answered, in ticks; None: there is none.
        retry_due: When the same server is asked once more, lest one lost datagram sends its subscriber
            elsewhere.
        request_due: When the next request is due.
        return_due: When the nearest server is tried again.
    """

    def __init__(self, servers: Sequence[str], lease_ticks: int, rng: Random, now: int) -> None:
        """Asks the first server within START_SPREAD_TICKS.

        Args:
            servers: Nearest first, one at least.
            lease_ticks: The subscriber's lease.
            rng: Draws the times.
            now: Ticks.
        """
        self.servers, self.lease_ticks, self.rng = tuple(servers), lease_ticks, rng
        self.index = 0
        self.silent_count = 0
        self.requested_at: int | None = None
        self.retry_due = NEVER_DUE
        self.request_due = now + int(rng.uniform(0, START_SPREAD_TICKS))
        self.return_due = NEVER_DUE

    @property
    def current(self) -> str:
        """The server that is asked now."""
        return self.servers[self.index]

    def has_timed_out(self, now: int) -> bool:
        """Whether the current server did not answer in time."""
        return self.requested_at is not None and now >= self.requested_at + ANSWER_TIMEOUT_TICKS

    def leave_silent_server(self, now: int) -> None:
        """Goes on to the next server; after a whole round of silent ones with a growing wait."""
        self.requested_at, self.retry_due = None, NEVER_DUE
        self.index, self.silent_count = (self.index + 1) % len(self.servers), self.silent_count + 1
        self.return_due = (
            now + int(RETURN_LEASES * self.lease_ticks * self.rng.uniform(0.5, 1.5))
            if self.index
            else NEVER_DUE
        )
        self.request_due = (
            now + backoff_ticks(self.rng, self.silent_count - 2, self.lease_ticks // 2)
            if self.silent_count > 1
            else now
        )

    def return_if_due(self, now: int) -> None:
        """Goes back to the nearest server when it is time and nothing is waited for."""
        if now >= self.return_due and self.requested_at is None:
            self.index, self.return_due = 0, NEVER_DUE

    def on_request_sent(self, now: int) -> None:
        """Notes that a request went to the current server."""
        if self.requested_at is None:
            self.requested_at, self.retry_due = now, now + ANSWER_TIMEOUT_TICKS // 2
        self._schedule_request(now)

    def on_answer(self, now: int) -> None:
        """Notes that a request of this incarnation was answered."""
        self.requested_at, self.silent_count, self.retry_due = None, 0, NEVER_DUE
        self._schedule_request(now)

    def next_due(self) -> int:
        """When something is to be done next, in ticks."""
        return min(
            self.request_due,
            self.retry_due,
            NEVER_DUE if self.requested_at is None else self.requested_at + ANSWER_TIMEOUT_TICKS,
            self.return_due if self.requested_at is None else NEVER_DUE,
        )

    def _schedule_request(self, now: int) -> None:
        self.request_due = now + int(self.lease_ticks / REQUESTS_PER_LEASE * self.rng.uniform(0.8, 1.0))
