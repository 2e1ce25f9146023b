"""The thin driver: one socket, one timer, a voter's disk in a thread of its own, log lines;
voter and owner as told.

A fault inside a core ends neither: it is logged under its name, and the voter is made anew from its disk,
as after a crash.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, Protocol

from pathsaddle.consensus.acceptor import Acceptor, DiskWrite
from pathsaddle.consensus.acceptor_log import AcceptorLog
from pathsaddle.consensus.errors import ConsensusError, StorageError
from pathsaddle.consensus.lease_manager import Happened, LeaseManager
from pathsaddle.consensus.messages import (
    MAX_DATAGRAM_BYTES,
    Accept,
    DatagramRejectedError,
    Envelope,
    Message,
    Prepare,
    Read,
    Release,
    Renew,
    SyncReply,
    SyncRequest,
    Value,
    decode,
    group_checksum,
    pack_datagrams,
)
from pathsaddle.control_metrics import NullMeter
from pathsaddle.errors import access, why
from pathsaddle.fleet.incarnation_store import IncarnationStore
from pathsaddle.fleet.rate_limiter import RateLimiter
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.wire.terms import Peer, peer_of
from pathsaddle.trade import SECOND

AT_ONCE = 64
INBOX = 2048  # messages that wait for a voter's disk; more are dropped as any way may drop them
PEERS = 4096
MEND = SECOND  # until a voter whose disk failed is tried again
TO_VOTERS = (Prepare, Accept, Renew, Release, Read, SyncRequest, SyncReply)


def monotonic_ticks() -> int:
    """Ticks of the monotonic clock that goes on while the machine sleeps."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 100_000


class Environment(Protocol):
    def datagrams(self, address: str) -> tuple[socket.socket, Peer]: ...


@dataclass
class RegisterConfig:
    """What a process is told. voters: addresses by name. keys: what it stands for,
    with whether it comes first there.
    """

    name: str
    fleet: str
    key: bytes
    voters: dict[str, str]
    listen: str
    folder: Path
    lease: int
    keys: dict[str, bool] = field(default_factory=dict)
    most_bytes: int = 200_000
    most_datagrams: int = 600
    file: str = "the charter"  # where it stands, for an operator


def next_incarnation(before: int, chance: Random) -> int:
    """Above `before`, and nobody else's: milliseconds of the wall clock, and chance."""
    return max(before + 1, (time.time_ns() // 1_000_000 << 20) | chance.randrange(1 << 20))


class RegisterDriver:
    """A process's part: it votes where its name is among the voters, and stands for its keys. `hear` is
    called with each thing that happened, after it was logged. Raises NoDisk, OtherVoters and
    what place.py says of an address.
    """

    def __init__(self, told: RegisterConfig, ground: Environment, chance: Random, counters: Counters) -> None:
        self.told, self.chance, self.counters = told, chance, counters
        self.group = group_checksum(told.voters)
        self.order = sorted(told.voters)
        self.hear: list[Callable[[Happened], None]] = []
        lives = IncarnationStore(told.folder, f"{told.name}.owner")
        try:
            life = next_incarnation(lives.last(), chance)
            lives.keep(life)
        except OSError as fault:
            raise StorageError(
                f"{told.folder}: {why(fault)}",
                access(fault, told.folder, told.folder) + f", at fleet.owners.folder in {told.file}",
            ) from None
        self.owner = LeaseManager(told.name, life, told.voters, told.lease, chance)
        self.log: AcceptorLog | None = None
        self.voter: Acceptor | None = None
        if told.name in told.voters:
            self._open()
        self.rate_limiter = RateLimiter(told.most_bytes, told.most_datagrams, monotonic_ticks())
        try:
            self.sock, peer = ground.datagrams(told.listen)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            self.sock.bind(peer)
        except (OSError, ValueError) as fault:
            from pathsaddle.net.service.place import unhad

            raise unhad(fault, "fleet.owners.listen", told.listen, told.file) from None
        self.peers: dict[str, Peer] = {name: peer_of(address) for name, address in told.voters.items()}
        self.inbox: list[tuple[str, dict[str, int], Message]] = []
        self.own: list[tuple[str, int, Message]] = []  # what we say to ourselves
        self.syncing = False
        self.meter = NullMeter()
        self.disk = ThreadPoolExecutor(1, "register")
        self.reads: dict[int, asyncio.Future[Value | None]] = {}
        self.puts: dict[tuple[str, int], asyncio.Future[bool]] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._alarm: asyncio.TimerHandle | None = None
        self._events: asyncio.AbstractEventLoop
        self._shown = False
        self._flushing = False

    # What its process asks and wants.

    def fencing_token(self, key: str) -> int:
        """The number for an effect that begins now, 0 where none may: asked just before each effect."""
        return self.owner.fencing_token(key, monotonic_ticks())

    async def read(self, key: str) -> Value | None:
        """What the register holds, by a majority; None where there was none in time."""
        ask = self.owner.read(key, monotonic_ticks())
        if not ask:
            return None
        done: asyncio.Future[Value | None] = self._events.create_future()
        self.reads[ask] = done
        self._flush()
        return await done

    async def put(self, key: str, data: bytes) -> bool:
        """Changes the data of a key that we own. False: it was not taken,
        or nobody can say what came of it.
        """
        revision = self.owner.put(key, data, monotonic_ticks())
        if not revision:
            return False
        done: asyncio.Future[bool] = self._events.create_future()
        self.puts[key, revision] = done
        self._wake()
        return await done

    def begin(self) -> None:
        self._events = asyncio.get_running_loop()
        now = monotonic_ticks()
        for key, prefers in self.told.keys.items():
            self.owner.stand(key, now, prefers)
        self._events.add_reader(self.sock.fileno(), self._readable)
        self._wake()

    def stop(self) -> None:
        """SIGTERM: all is given back, at once; it may be said again until `end`."""
        self.owner.stop(monotonic_ticks())
        self._flush()

    def end(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        for task in self._tasks:
            task.cancel()
        self._events.remove_reader(self.sock.fileno())
        self.sock.close()
        self.disk.shutdown(wait=False)
        for reading in self.reads.values():
            reading.cancel()
        for putting in self.puts.values():
            putting.cancel()

    # A voter's disk.

    def _open(self) -> None:
        told = self.told
        self.log = AcceptorLog(told.folder, told.name, told.voters)
        held = self.log.held
        self.voter = Acceptor(
            told.name,
            told.voters,
            held.rows,
            held.starts,
            next_incarnation(held.start, self.chance),
            held.whole,
            monotonic_ticks(),
        )
        self._shown = False
        if not held.whole:
            logbook.voter_out(why=held.why or "it was not let in before its last end")

    def _turn(self) -> None:
        """The voter takes what waits; what it answers goes out when its disk has it."""
        voter = self.voter
        if voter is None or self.syncing:
            return
        try:
            inbox, self.inbox = self.inbox, []
            now = monotonic_ticks()
            for sender, starts, message in inbox:
                voter.learn(starts, now)
                voter.heard(sender, message, now)
            voter.wake(now)
        except Exception as fault:  # noqa: BLE001  # whatever it is, as a crash
            logbook.fault_ownership(fault)
            self._ill("a fault of our own")
            return
        writes, voter.writes = voter.writes, []
        out, voter.out = voter.out, []
        if not writes:
            self._say(out, voter.start)
            self._show(voter)
            return
        self.syncing = True
        self._tasks = [task for task in self._tasks if not task.done()]
        self._tasks.append(self._events.create_task(self._sync(voter, writes, out)))

    async def _sync(self, voter: Acceptor, writes: list[DiskWrite], out: list[tuple[str, Message]]) -> None:
        assert self.log is not None
        try:
            await self._events.run_in_executor(self.disk, self.log.append, writes)
        except OSError as fault:
            logbook.voter_disk(why=fault)
            self.counters.add("ownership.unsynced")
            self._ill(fault.strerror or "")
            return
        finally:
            self.syncing = False
        self.counters.add("ownership.syncs")
        self.meter.runs("owners", lambda: self._synced(voter, out))

    def _synced(self, voter: Acceptor, out: list[tuple[str, Message]]) -> None:
        self._say(out, voter.start)
        self._show(voter)
        if self.inbox or voter.writes:
            self._turn()
        self._flush()

    def _ill(self, why: str) -> None:
        """As a crash: what it has in memory beyond its disk is forgotten, and was told to nobody."""
        self.voter = None
        self.inbox.clear()
        if self.log is not None:
            self.log.close()
        self._events.call_later(MEND / SECOND, self._mend)

    def _mend(self) -> None:
        try:
            self._open()
        except (OSError, ConsensusError) as fault:
            logbook.voter_disk(why=fault)
            self._events.call_later(MEND / SECOND, self._mend)
            return
        self._wake()

    def _show(self, voter: Acceptor) -> None:
        if voter.part != self._shown:
            self._shown = voter.part
            if voter.part:
                logbook.voter_in(start=voter.start, keys=len(voter.rows))
            else:
                logbook.voter_out(why="others know a later start of it: its disk is older than it was")

    # Datagrams and the timer.

    def _readable(self) -> None:
        self.meter.runs("owners", self._reads)

    def _reads(self) -> None:
        """By a reader, since a datagram's source is wanted, where those are answered that the charter doesn't
        name, and uvloop has no `sock_recvfrom`.
        """
        told = self.told
        try:
            for _ in range(AT_ONCE):
                data, source = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
                self.meter.came("owners", len(data))
                try:
                    said = decode(data, told.key, told.fleet, self.group, told.name)
                except DatagramRejectedError as why:
                    self.counters.add(f"ownership.refused.{why}")
                else:
                    self._heard(said, source)
        except BlockingIOError:
            pass
        except OSError:  # such as a peer's port that nobody has
            self.counters.add("ownership.socket")
        except Exception as fault:  # noqa: BLE001  # this datagram alone
            logbook.fault_ownership(fault)
        self._wake()

    def _heard(self, said: Envelope, source: Peer) -> None:
        if said.name not in self.told.voters:
            if said.name not in self.peers and len(self.peers) >= PEERS:
                return
            self.peers[said.name] = source
        starts = dict(zip(self.order, said.starts, strict=False))
        self.owner.learn(starts)
        now = monotonic_ticks()
        for message in said.messages:
            if isinstance(message, TO_VOTERS):
                if self.voter is not None and len(self.inbox) < INBOX:
                    self.inbox.append((said.name, starts, message))
            else:
                self.owner.heard(said.name, said.start, message, now)

    def _wake(self) -> None:
        self.meter.runs("owners", self._wakes)

    def _wakes(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
            self._alarm = None
        due = monotonic_ticks() + SECOND  # after a fault of ours it goes on a second later, never silently
        try:
            self.owner.wake(monotonic_ticks())
            self._turn()
            self._flush()
            due = min(self.owner.due(), self.voter.due() if self.voter is not None else 1 << 60, due)
        except Exception as fault:  # noqa: BLE001
            logbook.fault_ownership(fault)
        self._alarm = self._events.call_later(max(1, due - monotonic_ticks()) / SECOND, self._wake)

    def _flush(self) -> None:
        """What happened is logged, then what is to be said is said;
        what we say to ourselves is heard at once.
        """
        if self._flushing:
            return
        self._flushing = True
        try:
            owner = self.owner
            while owner.happened or owner.out or self.own:
                happened, owner.happened = owner.happened, []
                for one in happened:
                    self._tell(one)
                out, owner.out = owner.out, []
                self._say(out, 0)
                own, self.own = self.own, []
                for name, start, message in own:
                    if isinstance(message, TO_VOTERS):
                        if self.voter is not None and len(self.inbox) < INBOX:
                            self.inbox.append((name, {}, message))
                    else:
                        owner.heard(name, start, message, monotonic_ticks())
                self._turn()
        finally:
            self._flushing = False

    def _say(self, out: list[tuple[str, Message]], start: int) -> None:
        rows: dict[str, list[Message]] = {}
        for to, message in out:
            if to == self.told.name:
                self.own.append((to, start, message))
            else:
                rows.setdefault(to, []).append(message)
        known = self.voter.starts if start and self.voter is not None else self.owner.known
        starts = [known.get(name, 0) for name in self.order]
        now = monotonic_ticks()
        for to, messages in rows.items():
            peer = self.peers.get(to)
            if peer is None:
                continue
            said = Envelope(self.told.fleet, self.group, self.told.name, to, start, starts, [])
            # A quarter of what a second may hold is kept from bids: they must not silence renewals and
            # answers.
            bids = [m for m in messages if isinstance(m, Prepare | Read)]
            rest = [m for m in messages if not isinstance(m, Prepare | Read)]
            for part, spare in ((rest, 0.0), (bids, 0.25)):
                for data in pack_datagrams(said, part, self.told.key):
                    if not self.rate_limiter.try_consume(len(data), now, spare):
                        self.counters.add("ownership.held")
                        continue
                    try:
                        self.sock.sendto(data, peer)
                    except OSError:
                        self.counters.add("ownership.unsent")
                    else:
                        self.counters.add("ownership.sent")
                        self.counters.add("ownership.bytes", len(data))
                        self.meter.went("owners", len(data))

    def _tell(self, one: Happened) -> None:
        if one.what == "owner":
            logbook.owner(key=one.key, number=one.number)
        elif one.what == "lost":
            logbook.owner_lost(key=one.key, number=one.number, why=one.why)
        elif one.what == "given":
            logbook.owner_given(key=one.key, number=one.number, why=one.why)
        elif one.what == "read":
            done = self.reads.pop(one.ask, None)
            if done is not None and not done.done():
                done.set_result(one.value)
        elif one.what in ("put", "unput"):
            put = self.puts.pop((one.key, one.revision), None)
            if put is not None and not put.done():
                put.set_result(one.what == "put")
        for hear in self.hear:
            hear(one)

    def view(self) -> dict[str, Any]:
        """What this process believes, for who asks it."""
        now, voter = monotonic_ticks(), self.voter
        return {
            "name": self.told.name,
            "life": self.owner.life,
            "owns": {
                key: there.bid.number
                for key, there in self.owner.standing.items()
                if there.bid.fencing_token(now)
            },
            "voter": None
            if voter is None
            else {
                "part": voter.part,
                "start": voter.start,
                "keys": len(voter.rows),
                "rows": {
                    key: {
                        "owner": row.value.owner,
                        "number": row.value.number,
                        "left_ms": max(0, row.until - now) // 10,
                    }
                    for key, row in sorted(voter.rows.items())[:100]
                },
            },
        }
