"""All keys that one process campaigns for, and its reads of registers.

The core is fed messages and moments; what is to be sent and what happened wait in `take_messages` and
`take_events`. Random numbers come only from the generator that is handed in. Code that does a key's work asks
`fencing_token` just before each effect and puts the token on the effect (`fencing.py`). The driver and the
emulator's hosts own one each.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random

from pathsaddle.consensus.campaign import NEVER, Campaign, SharedState
from pathsaddle.consensus.events import LeaseEvent
from pathsaddle.consensus.messages import (
    MAX_VALUE_BYTES,
    FencingToken,
    Incarnation,
    Message,
    Outgoing,
    Read,
    ReadReply,
    RequestId,
    Revision,
    Ticks,
)
from pathsaddle.consensus.proposer import Proposer, Reply
from pathsaddle.consensus.register_reads import RegisterReads
from pathsaddle.scheduler_types import MILLISECOND

# An unanswered request is sent again after a twelfth of the lease, within these bounds: some round trips of
# a far link, and soon enough that several retries fit into any lease.
MIN_RETRY_TICKS = 20 * MILLISECOND
MAX_RETRY_TICKS = 300 * MILLISECOND
RETRY_LEASE_PART = 12
NOT_PREFERRED_DELAY_PART = 8  # of a lease: by so much others than the preferred process begin later


class LeaseManager:
    """The lease manager of one process.

    Attributes:
        name: The name of this process.
        incarnation: Its incarnation.
        acceptors: The names of all acceptors.
        pace: The ticks after which an unanswered request is sent again.
        campaigns: A campaign for each key.
    """

    def __init__(
        self, name: str, incarnation: Incarnation, acceptors: Iterable[str], lease_ticks: Ticks, rng: Random
    ) -> None:
        """Start without any key.

        Args:
            name: The name of this process.
            incarnation: Of this process; no other process ever has the same under this name.
            acceptors: The names of all acceptors.
            lease_ticks: The length of a lease.
            rng: The one random generator.
        """
        self.name, self.incarnation = name, incarnation
        self.acceptors = tuple(sorted(acceptors))
        self.lease_ticks = lease_ticks
        self.pace = max(MIN_RETRY_TICKS, min(lease_ticks // RETRY_LEASE_PART, MAX_RETRY_TICKS))
        self.campaigns: dict[str, Campaign] = {}
        self._reads = RegisterReads(len(self.acceptors), self.pace)
        self._shared = SharedState(
            name, incarnation, lease_ticks, self.pace, rng, lambda now: len(self.held_keys(now))
        )
        self._next_wakeup = NEVER

    @property
    def known_incarnations(self) -> dict[str, Incarnation]:
        """The highest known incarnation of each acceptor."""
        return self._shared.known_incarnations

    def record_history(self) -> None:
        """From now on emit also the events that checkers of histories need."""
        self._shared.record_history = True

    # What its process wants.

    def campaign(self, key: str, now: Ticks, is_preferred: bool = True) -> None:
        """Become the lease holder of a key whenever there is none.

        Args:
            key: The key.
            now: The moment.
            is_preferred: The key is wanted here, in this process's zone: it comes first where a key is free.
                A lease holder that lives is never replaced, so that nothing flaps.
        """
        start = now if is_preferred else now + self.lease_ticks // NOT_PREFERRED_DELAY_PART
        proposer = Proposer(key, self.name, self.incarnation, self.lease_ticks, self.acceptors)
        next_wakeup = start + self._shared.rng.randrange(self.pace)
        self.campaigns[key] = Campaign(proposer, is_preferred, next_wakeup, self._shared)
        self._next_wakeup = min(self._next_wakeup, next_wakeup)

    def fencing_token(self, key: str, now: Ticks) -> FencingToken:
        """Return the fencing token for an effect that begins now; 0: none may."""
        campaign = self.campaigns.get(key)
        return campaign.proposer.fencing_token(now) if campaign is not None else 0

    def held_keys(self, now: Ticks) -> list[str]:
        """Return the keys of which this process is the lease holder."""
        return [key for key, campaign in self.campaigns.items() if campaign.proposer.fencing_token(now)]

    def commit(self, key: str, data: bytes, now: Ticks) -> Revision:
        """Change the data of a key.

        Returns:
            The revision that it will have, or 0: we are not the lease holder, another change is under way, or
            the data is too long. What came of it follows as `Committed` or `CommitOutcomeUnknown`.
        """
        if len(data) > MAX_VALUE_BYTES:
            return 0
        revision = self.campaigns[key].commit(data, now)
        if revision:
            self._next_wakeup = now
        return revision

    def read(self, key: str, now: Ticks) -> RequestId:
        """Ask what the register holds.

        Returns:
            By which `ReadCompleted` names the answer; 0: too many reads are under way.
        """
        if self._reads.is_full():
            return 0
        request_id = self._shared.next_request_id()
        self._reads.start(request_id, key, now)
        read = Read(key, request_id)
        self._shared.messages += [Outgoing(acceptor, read) for acceptor in self.acceptors]
        return request_id

    def release(self, key: str, now: Ticks) -> None:
        """Give a key back and do not campaign for it for two leases, so that another process may have it."""
        self._release(self.campaigns[key], now, "given")

    def stop(self, now: Ticks) -> None:
        """Give all keys back: no fencing token is valid from this moment on, whatever is received later."""
        self._shared.is_stopping = True
        for campaign in self.campaigns.values():
            self._release(campaign, now, "stopping")

    def _release(self, campaign: Campaign, now: Ticks, reason: str) -> None:
        campaign.release(now, reason)
        self._next_wakeup = min(self._next_wakeup, campaign.next_wakeup)

    # Moments.

    def next_wakeup(self) -> Ticks:
        """Return when `wake` is wanted; maybe earlier than needed, never later."""
        timeout = self._reads.next_timeout()
        return self._next_wakeup if timeout is None else min(self._next_wakeup, timeout)

    def wake(self, now: Ticks) -> None:
        """Do what is due."""
        self._shared.events += self._reads.time_out(now)
        for campaign in self.campaigns.values():
            if campaign.next_wakeup <= now or campaign.is_early_renewal(now):
                campaign.wake(now)
        self._next_wakeup = min((campaign.next_wakeup for campaign in self.campaigns.values()), default=NEVER)

    # What acceptors answer.

    def learn_incarnations(self, incarnations: Mapping[str, Incarnation]) -> None:
        """Take in the incarnations of acceptors that another process knows of."""
        known = self.known_incarnations
        for acceptor, incarnation in incarnations.items():
            if incarnation > known.get(acceptor, 0):
                known[acceptor] = incarnation

    def on_message(self, acceptor: str, incarnation: Incarnation, message: Message, now: Ticks) -> None:
        """Take in a message of an acceptor, with the incarnation that its envelope states."""
        if acceptor not in self.acceptors:
            return
        self.learn_incarnations({acceptor: incarnation})
        known = self.known_incarnations
        if isinstance(message, ReadReply):
            completed = self._reads.on_reply(acceptor, incarnation, message, known)
            if completed is not None:
                self._shared.events.append(completed)
            return
        campaign = self.campaigns.get(getattr(message, "key", ""))
        if campaign is not None:
            campaign.on_message(Reply(acceptor, incarnation, message), known, now)
            self._next_wakeup = min(self._next_wakeup, campaign.next_wakeup)

    # Output.

    def has_output(self) -> bool:
        """Whether messages or events wait."""
        return bool(self._shared.messages or self._shared.events)

    def take_messages(self) -> list[Outgoing]:
        """Return what is to be sent, and forget it."""
        messages, self._shared.messages = self._shared.messages, []
        return messages

    def take_events(self) -> list[LeaseEvent]:
        """Return what happened, and forget it."""
        events, self._shared.events = self._shared.events, []
        return events
