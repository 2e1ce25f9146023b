"""Passes on to the other config servers what subscribers have acknowledged to this one.

Names are grouped by revision, so that the usual case is one list. Used by `server.py` alone. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from pathsaddle.settings.messages import MAX_DATAGRAM_BYTES, AppliedGroup, AppliedSummary
from pathsaddle.settings.output import Outbox
from pathsaddle.settings.timing import NEVER_DUE, SECOND

GOSSIP_REPEATS = (
    3  # how often a new acknowledgement is passed on soon; all are passed on again every half lease
)
FIRST_DELAY_TICKS = SECOND // 4  # takes in the acknowledgements that follow
REPEAT_DELAY_TICKS = SECOND // 2
MAX_GROUP_NAMES = 8  # in one AppliedGroup, so that a summary can be cut to a datagram


class AppliedGossip:
    """The acknowledgements that are still to be passed on.

    Attributes:
        fresh: By subscriber, how often its acknowledgement is still passed on.
        due: When that happens next, in ticks.
    """

    def __init__(self, name: str, peers: Sequence[str], outbox: Outbox) -> None:
        """Starts with nothing to pass on.

        Args:
            name: Of this server.
            peers: The other servers.
            outbox: Where messages go.
        """
        self.name, self.peers, self.outbox = name, tuple(peers), outbox
        self.fresh: dict[str, int] = {}
        self.due = NEVER_DUE

    def add(self, names: Iterable[str], now: int) -> None:
        """Notes that subscribers have acknowledged something new to this server."""
        for name in names:
            self.fresh[name] = GOSSIP_REPEATS
            if self.due == NEVER_DUE:
                self.due = now + FIRST_DELAY_TICKS

    def finish_repeat(self, now: int) -> None:
        """Counts one passing on of what is fresh, and plans the next."""
        self.fresh = {name: left - 1 for name, left in self.fresh.items() if left > 1}
        self.due = now + REPEAT_DELAY_TICKS if self.fresh else NEVER_DUE

    def send(
        self, names: Iterable[str], acknowledged: Mapping[str, int], digests: Mapping[int, str], now: int
    ) -> None:
        """Passes on what some subscribers have acknowledged.

        Args:
            names: The subscribers.
            acknowledged: The revision of each, by name; who is not there is passed over.
            digests: Of these revisions; one that is not there is passed over.
            now: Ticks.
        """
        by_revision: dict[int, list[str]] = {}
        for name in names:
            if name in acknowledged:
                by_revision.setdefault(acknowledged[name], []).append(name)
        groups = [
            AppliedGroup(revision, digests[revision], tuple(members[i : i + MAX_GROUP_NAMES]))
            for revision, members in sorted(by_revision.items())
            if revision in digests
            for i in range(0, len(members), MAX_GROUP_NAMES)
        ]
        while groups:
            count = len(groups)
            while count > 1 and self.outbox.size_of(self._summary(groups[:count])) > MAX_DATAGRAM_BYTES:
                count -= 1
            for peer in self.peers:
                self.outbox.send(peer, self._summary(groups[:count]), now)
            groups = groups[count:]

    def _summary(self, groups: Sequence[AppliedGroup]) -> AppliedSummary:
        return AppliedSummary(self.name, tuple(groups))
