"""Runs an acceptor: its inbox, its disk in a thread of its own, and its recovery after a failure.

An acceptor takes what waits in the inbox as one turn; what it answers is sent when its disk has what the turn
wrote. While the disk writes, the inbox fills. A failure of the disk or a defect in the core does not end the
process: the acceptor is made anew from its disk, as after a crash. The driver owns a host where the process
is an acceptor.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from pathsaddle.consensus.acceptor import NEVER, Acceptor
from pathsaddle.consensus.acceptor_log import AcceptorLog
from pathsaddle.consensus.clock import monotonic_ticks, next_incarnation
from pathsaddle.consensus.errors import ConsensusError
from pathsaddle.consensus.messages import Incarnation, Message, Outgoing, Ticks
from pathsaddle.consensus.register_config import RegisterConfig
from pathsaddle.consensus.stored_state import DiskWrite
from pathsaddle.control_metrics import NullMeter
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.scheduler_types import SECOND

MAX_INBOX_MESSAGES = 2048  # further messages are dropped, as any link may drop them
RECOVERY_DELAY_TICKS = SECOND  # until an acceptor whose disk failed is tried again


class Received(NamedTuple):
    """A message for the acceptor, with the incarnations that its envelope told."""

    sender: str
    incarnations: dict[str, Incarnation]
    message: Message


@dataclass(frozen=True)
class HostCallbacks:
    """What the host asks of the driver.

    Attributes:
        send: Send an acceptor's messages; the acceptor's incarnation goes with them.
        flush: Deal with all output that waits.
        wake: Look at the time again.
    """

    send: Callable[[list[Outgoing], Incarnation], None]
    flush: Callable[[], None]
    wake: Callable[[], None]


class AcceptorHost:
    """The acceptor of this process.

    Attributes:
        acceptor: The core; None while it recovers from a failure.
        meter: Counts the processor time of this purpose.
    """

    def __init__(
        self, config: RegisterConfig, rng: Random, counters: Counters, callbacks: HostCallbacks
    ) -> None:
        """Open the acceptor's log. Raises StorageError and VoterSetMismatchError."""
        self.meter = NullMeter()
        self.acceptor: Acceptor | None = None
        self._config, self._rng, self._counters, self._callbacks = config, rng, counters, callbacks
        self._log: AcceptorLog | None = None
        self._inbox: list[Received] = []
        self._disk_thread = ThreadPoolExecutor(1, "register")
        self._is_syncing = False
        self._logged_participation = False
        self._tasks: list[asyncio.Task[None]] = []
        self._open()

    def close(self) -> None:
        """End its tasks and its thread."""
        for task in self._tasks:
            task.cancel()
        self._disk_thread.shutdown(wait=False)

    def known_incarnations(self) -> dict[str, Incarnation] | None:
        """Return the incarnations that the acceptor knows; None while it recovers."""
        return self.acceptor.incarnations if self.acceptor is not None else None

    def next_wakeup(self) -> Ticks:
        """Return when a turn is wanted."""
        return self.acceptor.next_wakeup() if self.acceptor is not None else NEVER

    def enqueue(self, received: Received) -> None:
        """Put a message into the inbox."""
        if self.acceptor is not None and len(self._inbox) < MAX_INBOX_MESSAGES:
            self._inbox.append(received)

    def run_turn(self) -> None:
        """Let the acceptor take what waits, unless its disk is writing."""
        acceptor = self.acceptor
        if acceptor is None or self._is_syncing:
            return
        try:
            inbox, self._inbox = self._inbox, []
            now = monotonic_ticks()
            for received in inbox:
                acceptor.learn_incarnations(received.incarnations, now)
                acceptor.on_message(received.sender, received.message, now)
            acceptor.wake(now)
        except Exception as error:  # noqa: BLE001  # whatever it is, it is treated as a crash
            logbook.fault_ownership(error)
            self._fail()
            return
        writes, acceptor.writes = acceptor.writes, []
        messages, acceptor.messages = acceptor.messages, []
        if not writes:
            self._callbacks.send(messages, acceptor.incarnation)
            self._log_participation(acceptor)
            return
        self._is_syncing = True
        self._tasks = [task for task in self._tasks if not task.done()]
        self._tasks.append(asyncio.get_running_loop().create_task(self._sync(acceptor, writes, messages)))

    async def _sync(self, acceptor: Acceptor, writes: list[DiskWrite], messages: list[Outgoing]) -> None:
        assert self._log is not None
        try:
            loop = asyncio.get_running_loop()
            await loop.run_in_executor(self._disk_thread, self._log.append, writes)
        except OSError as error:
            logbook.voter_disk(why=error)
            self._counters.add("ownership.unsynced")
            self._fail()
            return
        finally:
            self._is_syncing = False
        self._counters.add("ownership.syncs")
        self.meter.runs("owners", lambda: self._on_synced(acceptor, messages))

    def _on_synced(self, acceptor: Acceptor, messages: list[Outgoing]) -> None:
        self._callbacks.send(messages, acceptor.incarnation)
        self._log_participation(acceptor)
        if self._inbox or acceptor.writes:
            self.run_turn()
        self._callbacks.flush()

    # Failure and recovery.

    def _fail(self) -> None:
        """Treat it as a crash: what memory has beyond the disk is forgotten; nothing was answered by it."""
        self.acceptor = None
        self._inbox.clear()
        if self._log is not None:
            self._log.close()
        self._recover_later()

    def _recover_later(self) -> None:
        asyncio.get_running_loop().call_later(RECOVERY_DELAY_TICKS / SECOND, self._recover)

    def _recover(self) -> None:
        try:
            self._open()
        except (OSError, ConsensusError) as error:
            logbook.voter_disk(why=error)
            self._recover_later()
            return
        self._callbacks.wake()

    def _open(self) -> None:
        config = self._config
        self._log = AcceptorLog(config.directory, config.name, config.acceptors)
        stored = self._log.stored
        incarnation = next_incarnation(stored.incarnation, self._rng)
        self.acceptor = Acceptor(config.name, config.acceptors, stored, incarnation, monotonic_ticks())
        self._logged_participation = False
        if not stored.is_intact:
            logbook.voter_out(why=stored.damage or "it was not let in before its last end")

    def _log_participation(self, acceptor: Acceptor) -> None:
        if acceptor.is_participating == self._logged_participation:
            return
        self._logged_participation = acceptor.is_participating
        if acceptor.is_participating:
            logbook.voter_in(start=acceptor.incarnation, keys=len(acceptor.keys))
        else:
            logbook.voter_out(why="others know a later start of it: its disk is older than it was")
