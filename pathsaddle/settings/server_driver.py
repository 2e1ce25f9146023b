"""The driver of a config server.

It reads the register for its core, logs commits, and answers at its control address.

Changes come from the control address and are committed by `change_committer.py`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from pathsaddle.consensus.messages import Value
from pathsaddle.consensus.udp_driver import monotonic_ticks
from pathsaddle.net.wire.terms import Peer
from pathsaddle.settings.change_committer import ChangeCommitter
from pathsaddle.settings.control_messages import (
    Answer,
    ApplyRequest,
    CommittedChangeSet,
    GetRequest,
    History,
    HistoryRequest,
    Request,
    ServerEntries,
    ServerView,
    StatusRequest,
)
from pathsaddle.settings.documents import (
    INITIAL_REVISION,
    ChangeSet,
    InvalidDocumentError,
    RevisionId,
    digest_of,
)
from pathsaddle.settings.driver_config import DriverConfig
from pathsaddle.settings.errors import NoQuorumError
from pathsaddle.settings.events import Event, ProposalAcknowledged, RevisionCommitted
from pathsaddle.settings.messages import Message
from pathsaddle.settings.register_session import (
    REGISTER_KEY,
    RegisterLocation,
    VoterConfig,
    decode_register_value,
    reading_driver,
)
from pathsaddle.settings.server import ConfigServer
from pathsaddle.settings.sync_peer import PeerResources
from pathsaddle.settings.udp_driver import LogEvent, SettingsDriver

MAX_ADDRESSES = 4096  # of subscribers that a server knows
TICKS_PER_MS = 10


@dataclass(eq=False)
class _Waiter:
    """Somebody who waits for something to come true."""

    condition: Callable[[], bool]
    done: asyncio.Future[None]


class ConfigServerDriver(SettingsDriver[ConfigServer]):
    """A config server.

    It has documents on disk, the subscribers of its region, and the register by a majority of voters.

    Attributes:
        voters: The register's.
        register: By which it reads the register, and votes if it is a voter.
        committer: Commits the changes that come from the control address.
        acknowledged_digest: Of the last proposal that a majority of servers, this one among them, has on
            disk.
        proved_at: When the last reading that was proven began, in ticks.
        logged_revision: The highest whose change set was logged.
    """

    def __init__(self, config: DriverConfig, voters: VoterConfig, rng: Random, log: LogEvent) -> None:
        """As SettingsDriver; it raises also what consensus' RegisterDriver does."""
        self.voters = voters
        self.acknowledged_digest = ""
        self.proved_at: int | None = None
        self._reading: asyncio.Task[None] | None = None
        self._waiters: list[_Waiter] = []
        super().__init__(config, rng, log)
        self.logged_revision = self.directory.store.revision
        where = RegisterLocation(config.name, config.directory, config.location)
        self.register = reading_driver(where, voters, rng)
        self.committer = ChangeCommitter(self, where, voters, rng)

    async def begin(self) -> None:
        """Begins to read the register, and then as SettingsDriver."""
        assert self.core is not None
        self.log(
            "keeper.began",
            life=self.incarnation,
            revision=self.core.store.revision,
            digest=self.core.store.digest,
        )
        self.register.begin()
        await super().begin()

    async def end(self) -> None:
        """Gives the register's key back, and ends as SettingsDriver."""
        self.register.stop()
        await self.committer.end()
        await super().end()
        self.register.end()

    # What the committer needs

    def require_core(self) -> ConfigServer:
        """Returns the core; raises NoQuorumError where there is none after a defect."""
        if self.core is None:
            raise NoQuorumError(
                f"{self.config.name} had a fault of ours: whether it was committed can't be told",
                "look at `pathsaddle settings history`, and apply again if it isn't there",
            )
        return self.core

    def propose(self, changesets: Sequence[ChangeSet]) -> None:
        """Lets the core propose; raises InvalidDocumentError."""
        invalid: list[InvalidDocumentError] = []

        def propose(core: ConfigServer, now: int) -> int:
            """Proposes, or only wakes where that is invalid."""
            try:
                return core.propose(changesets, now)
            except InvalidDocumentError as fault:
                invalid.append(fault)
                return core.wake(now)

        self.turn(propose)
        if invalid:
            raise invalid[0]

    def withdraw(self) -> None:
        """Lets the core propose no more."""

        def withdraw(core: ConfigServer, now: int) -> int:
            """Withdraws, and does what is due."""
            core.withdraw()
            return core.wake(now)

        self.turn(withdraw)

    def request_read(self) -> None:
        """Begins a reading of the register at once, if none runs."""
        if self.core is not None:
            self.core.readings.is_wanted = True
            self._after_turn(self.core)

    async def read_register(self) -> RevisionId | None:
        """Returns what the register holds by a majority's word; None: there was none in time."""
        value = await self.register.read(REGISTER_KEY)
        return None if value is None else decode_register_value(value)

    async def wait_for(self, condition: Callable[[], bool], deadline: float) -> bool:
        """Whether something came true in time; it is looked at after each turn.

        Args:
            condition: What is waited for.
            deadline: Seconds of the monotonic clock.
        """
        if condition():
            return True
        waiter = _Waiter(condition, self._loop.create_future())
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(max(0.0, deadline - time.monotonic())):
                await waiter.done
        except TimeoutError:
            return condition()
        finally:
            self._waiters.remove(waiter)
        return True

    # Requests at the control address

    @property
    def request_kinds(self) -> tuple[str, ...]:
        """The requests that it answers at its control address."""
        return ("get", "apply", "history", "status")

    async def answer(self, request: Request) -> Answer:
        """Answers a request at the control address; raises Error."""
        match request:
            case GetRequest():
                store = self.require_core().store
                return ServerEntries(*store.id, self._proof_age_ms(), request.select(store.terms.rows()))
            case ApplyRequest():
                return await self.committer.commit(request)
            case HistoryRequest():
                return self.history(request)
            case StatusRequest():
                return self.status(request)

    def history(self, request: HistoryRequest) -> History:
        """Returns what `history` answers."""
        store = self.require_core().store
        latest = store.log[-request.max_changesets :]
        return History(
            store.revision,
            tuple(CommittedChangeSet.of(digest, changeset) for digest, changeset in latest),
        )

    def status(self, request: StatusRequest) -> ServerView:
        """Returns what `status` answers."""
        core = self.require_core()
        status, terms = core.status(monotonic_ticks()), core.store.terms
        return ServerView(
            self.config.name,
            self.config.region,
            self.incarnation,
            status.revision,
            status.digest,
            status.committed_revision,
            status.active_revision,
            status.waits_for,
            status.acknowledged,
            status.queue_length,
            status.proposed_revisions,
            self._proof_age_ms(),
            request.revision is not None and status.active_revision >= request.revision,
            tuple(sorted(terms.members())),
            core.tracker.versions.gone,
            tuple(sorted(core.subscribers.records)),
            tuple(self.config.servers),
            tuple(sorted(self.voters.names)),
            dict(self.rejected),
        )

    def _proof_age_ms(self) -> int | None:
        return None if self.proved_at is None else (monotonic_ticks() - self.proved_at) // TICKS_PER_MS

    # The core's turns

    def _make_core(self) -> ConfigServer:
        others = tuple(name for name in self.config.servers if name != self.config.name)
        return ConfigServer(
            self._peer_config(others),
            self.directory.store,
            PeerResources(self.rng, self.rate_limiter),
            monotonic_ticks(),
            self.directory.proposals,
        )

    def _accepts(self, message: Message, source: Peer) -> bool:
        """Whoever has the key is a subscriber by any name, and is where it was heard from last."""
        sender = message.sender
        if sender == self.config.name:
            return False
        if sender not in self.config.servers:
            if sender not in self.addresses and len(self.addresses) >= MAX_ADDRESSES:
                oldest = next(name for name in self.addresses if name not in self.config.servers)
                del self.addresses[oldest]
            self.addresses[sender] = source
        return True

    def _log_event(self, event: Event) -> None:
        super()._log_event(event)
        if isinstance(event, ProposalAcknowledged):
            self.acknowledged_digest = event.digest
        if isinstance(event, RevisionCommitted) and self.core is not None:
            self._log_changesets(self.core, event.revision)

    def _log_changesets(self, core: ConfigServer, revision: int) -> None:
        """Logs the change sets up to a revision whole, before anybody hears of it from here.

        Who judges the log finds it there before the first act.
        """
        changesets = core.store.changesets_after(self.logged_revision)
        if changesets is None:
            changesets = tuple(changeset for _, changeset in core.store.log)
        for changeset in changesets:
            if self.logged_revision < changeset.revision <= revision:
                self.log(
                    "group",
                    revision=changeset.revision,
                    digest=digest_of(changeset),
                    author=changeset.author,
                    reason=changeset.reason,
                    puts=[
                        (change.key, None if change.value is None else change.value.decode())
                        for change in changeset.changes
                    ],
                )
        self.logged_revision = max(self.logged_revision, revision)

    def _after_turn(self, core: ConfigServer) -> None:
        if core.readings.is_wanted and self._reading is None:
            self._reading = self.start_task(self._read(core))

    def _notify_waiters(self) -> None:
        for waiter in list(self._waiters):
            if not waiter.done.done() and waiter.condition():
                waiter.done.set_result(None)

    async def _read(self, core: ConfigServer) -> None:
        """One reading of the register, by a majority, begun after `begin_read`."""
        value: Value | None = None
        committed = INITIAL_REVISION
        now = monotonic_ticks()
        try:
            number = core.begin_read(now)
            value = await self.register.read(REGISTER_KEY)
            if value is not None:
                committed = decode_register_value(value)
        except InvalidDocumentError as fault:
            value = None
            self.log("refused", why=str(fault))
        except Exception as fault:  # noqa: BLE001  # whatever it is ends this reading alone
            value = None
            self.report_fault(fault)
        finally:
            self._reading = None
        if self.core is not core:
            return
        if value is None:
            self.turn(lambda core, now: core.on_read_failed(number, now))
        else:
            self.proved_at = now
            self.turn(lambda core, now: core.on_read(number, committed, now))
