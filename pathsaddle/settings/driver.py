"""The thin drivers: one socket, one timer, a folder in a thread of its own, and one of `sync.py`'s machines.

What a machine made goes out once its writes are on disk, in order; only then a member acts by it. A fault inside a machine is
caught here and told by name, and the machine is made anew from its disk, as after a crash: what it had in memory beyond the
disk was said to nobody. A disk that can't be written ends the driver: nothing of that is said, and what it acted by stays.

`tell(what, **more)` gets each thing that happens; who starts a driver decides where that goes.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import time
import traceback
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, Generic, TypeVar

import msgspec

from pathsaddle.config.schema import Configuration
from pathsaddle.config.validation import InvalidConfigError
from pathsaddle.consensus.messages import Value
from pathsaddle.consensus.udp_driver import RegisterConfig as Standing
from pathsaddle.consensus.udp_driver import RegisterDriver, monotonic_ticks
from pathsaddle.control_metrics import NullMeter
from pathsaddle.errors import Error
from pathsaddle.fleet.rate_limiter import RateLimiter
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service.ground import Ground
from pathsaddle.net.service.place import unhad
from pathsaddle.net.wire.terms import Peer, peer_of
from pathsaddle.settings import commit_round
from pathsaddle.settings.active_terms import ActiveTerms
from pathsaddle.settings.changes import changes_from_tables
from pathsaddle.settings.configuration import check_consistency
from pathsaddle.settings.datagrams import DatagramRejectedError as Unread
from pathsaddle.settings.datagrams import decode, encode
from pathsaddle.settings.disk import SettingsDirectory
from pathsaddle.settings.documents import (
    INITIAL_REVISION,
    MAX_TEXT_CHARS,
    ChangeSet,
    InvalidDocumentError,
    decode_value,
    digest_of,
    encode_document,
)
from pathsaddle.settings.errors import (
    ChangeRejectedError,
    NoQuorumError,
    RevisionConflictError,
    ServerDefectError,
    StorageError,
    ValidationError,
)
from pathsaddle.settings.sync import (
    DEFAULT_LEASE,
    MAX_DATAGRAM_BYTES,
    SECOND,
    ConfigServer,
    ConfigSubscriber,
    Happened,
    Message,
    Output,
)

KEY = "settings"  # the voters' key
AT_ONCE = 64  # datagrams in one turn
PEERS = 4096  # addresses that a keeper knows
QUEUE = 2048  # calls that wait for the disk; datagrams beyond are dropped, as any way may drop them
MEND = SECOND  # until a machine that faulted is made anew
LINGER = 0.3  # seconds for which a keeper stays the register's owner after a change, for the next
TALK = 5.0  # seconds that who asks at the control address has for its line
LINE = 4 << 20  # bytes of it
ASKERS = 16
WITHIN = 10.0  # seconds that a change may take to be committed, unless told
HISTORY = 50  # groups that `history` tells, unless told


@dataclass
class DriverConfig:
    """What a driver is told. keepers: addresses by name, nearest first. lease: ticks, the members'. at: the table and file
    where all this stands, for an operator. control: host:port on the loopback, or none.
    """

    name: str
    region: str
    key: bytes
    listen: str
    keepers: dict[str, str]
    folder: Path
    at: str
    lease: int = DEFAULT_LEASE
    control: str = ""
    most_bytes: int = 13_000
    most_datagrams: int = 200


@dataclass(frozen=True)
class ActiveSettings:
    """By what a member acts: a revision that is on its disk, narrowed by what it was offered."""

    revision: int = 0
    digest: str = ""
    rows: Mapping[str, bytes] = field(default_factory=dict)
    offers: bool = False
    terms: ActiveTerms | None = field(
        default=None, compare=False
    )  # that revision's own, by no offer narrowed


C = TypeVar("C", ConfigSubscriber, ConfigServer)
Tell = Callable[..., None]


class Driver(Generic[C]):
    """What both have in common. Raises NoDisk, and what net/service/place.py says of an address."""

    def __init__(self, told: DriverConfig, chance: Random, tell: Tell) -> None:
        self.told, self.chance, self.tell = told, chance, tell
        self.folder = SettingsDirectory(told.folder, told.name, told.at)
        self.life = self.folder.life(time.time_ns() // 1_000_000)
        self.rate_limiter = RateLimiter(told.most_bytes, told.most_datagrams, monotonic_ticks())
        self.peers: dict[str, Peer] = {name: peer_of(address) for name, address in told.keepers.items()}
        self.core: C | None = self._made()
        self.sock = self._bound()
        self.disk = ThreadPoolExecutor(1, "settings")
        self.queue: deque[tuple[Output, ActiveSettings]] = deque()
        self.syncing = False
        self.refused: dict[str, int] = {}
        self.ended = asyncio.Event()
        self.fault: Error | None = None  # by which it ended
        self.meter = NullMeter()
        self._events: asyncio.AbstractEventLoop
        self._alarm: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._control: asyncio.Server | None = None
        self._askers = 0

    def _made(self) -> C:
        raise NotImplementedError

    def _acting(self, core: C) -> ActiveSettings:
        return ActiveSettings()

    def _bound(self) -> socket.socket:
        told, sock = self.told, None
        try:
            sock, peer = Ground().datagrams(told.listen)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            sock.bind(peer)
        except (OSError, ValueError) as fault:
            if sock is not None:
                sock.close()
            table, _, file = told.at.partition(" in ")
            raise unhad(fault, f"{table}.listen", told.listen, file) from None
        return sock

    async def begin(self) -> None:
        self._events = asyncio.get_running_loop()
        self._events.add_reader(self.sock.fileno(), self._readable)
        if self.told.control:
            host, port = peer_of(self.told.control)[:2]
            try:
                self._control = await asyncio.start_server(self._answers, host, port, limit=LINE)
            except OSError as fault:
                table, _, file = self.told.at.partition(" in ")
                raise unhad(fault, f"{table}.control", self.told.control, file) from None
        self._turn(lambda core, now: core.wake(now))

    async def end(self) -> None:
        """Waits for what the disk is at; says nothing more."""
        self.core = None
        if self._alarm is not None:
            self._alarm.cancel()
        if self._control is not None:
            self._control.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._events.remove_reader(self.sock.fileno())
        self.sock.close()
        await self._events.run_in_executor(None, self.disk.shutdown)
        self.folder.close()

    # Turns: a call into the machine, the disk, then the word.

    def _turn(self, call: Callable[[C, int], int]) -> None:
        core = self.core
        if core is None:
            return
        try:
            due = call(core, monotonic_ticks())
            made, acting = core.ready(), self._acting(core)
        except Exception as fault:  # noqa: BLE001  # whatever it is, as a crash
            self._ill(fault)
            return
        self._sets(due)
        if made.writes or made.out or made.told:
            self.queue.append((made, acting))
            self._drains()
        self._after(core)

    def _after(self, core: C) -> None:
        """Whatever else a turn may ask for."""

    def _looks(self) -> None:
        """Something may have come to hold for which somebody waits."""

    def _sets(self, due: int) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        self._alarm = self._events.call_later(max(1, due - monotonic_ticks()) / SECOND, self._wake)

    def _wake(self) -> None:
        self.meter.runs("settings", lambda: self._turn(lambda core, now: core.wake(now)))

    def _drains(self) -> None:
        while self.queue and not self.syncing:
            if self.queue[0][0].writes:
                batch, self.queue = list(self.queue), deque()
                self.syncing = True
                self._runs(self._syncs(batch))
            else:
                self._does(*self.queue.popleft())

    async def _syncs(self, batch: list[tuple[Output, ActiveSettings]]) -> None:
        writes = [one for made, _ in batch for one in made.writes]
        try:
            await self._events.run_in_executor(self.disk, self.folder.write, writes)
        except Exception as fault:  # noqa: BLE001  # its own, or a defect of ours: the same
            self._dies(
                fault
                if isinstance(fault, Error)
                else StorageError(
                    f"{self.told.folder}: {type(fault).__name__}: {fault}", "report the trace in the log"
                ),
                fault,
            )
            return
        finally:
            self.syncing = False
        self.meter.runs("settings", lambda: self._synced(batch))

    def _synced(self, batch: list[tuple[Output, ActiveSettings]]) -> None:
        for made, acting in batch:
            self._does(made, acting)
        self._drains()

    def _does(self, made: Output, acting: ActiveSettings) -> None:
        """What stands in `made` is on disk. It acts by it before it says so: who hears its word may tell it in force."""
        if self.ended.is_set():
            return
        try:
            self._acts(acting)
        except Exception as fault:  # noqa: BLE001  # of who listens
            # What isn't in service must not be said to be: silence, and keepers name it as the one they wait for.
            self._dies(
                ValidationError(
                    f"revision {acting.revision} could not be taken into service: {type(fault).__name__}: {fault}",
                    f"report the trace at driver.fault in the log of {self.told.name}, and restart it",
                ),
                fault,
            )
            return
        for one in made.told:
            try:
                self._tells(one)
            except Exception as fault:  # noqa: BLE001  # this line alone
                self._says_fault(fault)
        now = monotonic_ticks()
        for to, said in made.out:
            peer = self.peers.get(to)
            if peer is None:
                continue
            try:
                data = encode(said, self.told.key)
                self.sock.sendto(data, peer)
                self.meter.went("settings", len(data))
            except OSError:  # as any way may lose it
                self._counts("unsent", now)
            except Exception as fault:  # noqa: BLE001  # this datagram alone
                self._says_fault(fault)
        self._looks()

    def _acts(self, acting: ActiveSettings) -> None:
        """On disk now."""

    def _tells(self, one: Happened) -> None:
        more = {key: value for key in ("revision", "digest", "name", "why") if (value := getattr(one, key))}
        if one.keys:
            more["keys"] = list(one.keys[:16])
        self.tell(one.what, **more)

    # What goes wrong.

    def _says_fault(self, fault: BaseException) -> None:
        told = "".join(traceback.format_exception(fault))[-2000:]
        self.tell("driver.fault", why=f"{type(fault).__name__}: {fault}", trace=told)

    def _ill(self, fault: BaseException) -> None:
        """As a crash: what is in memory beyond the disk is forgotten."""
        self._says_fault(fault)
        self.core = None
        self.queue.clear()
        if self._alarm is not None:
            self._alarm.cancel()
        self._alarm = self._events.call_later(MEND / SECOND, self._mends)
        self._looks()

    def _mends(self) -> None:
        if self.syncing:
            self._alarm = self._events.call_later(MEND / SECOND, self._mends)
            return
        try:
            self.folder.load()
            self.life = self.folder.life(self.life + 1)
            self.core = self._made()
        except Error as fault:
            self._dies(fault, fault)
            return
        self.tell("mended", life=self.life)
        self._turn(lambda core, now: core.wake(now))

    def _dies(self, fault: Error, cause: BaseException) -> None:
        self.core, self.fault = None, fault
        self.queue.clear()
        if self._alarm is not None:
            self._alarm.cancel()
        self._says_fault(cause)
        self.tell("ended", why=str(fault))
        self.ended.set()
        self._looks()

    def _runs(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = self._events.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Datagrams

    def _readable(self) -> None:
        self.meter.runs("settings", self._receives)

    def _receives(self) -> None:
        """By a reader: a datagram's source is wanted, and uvloop has no `sock_recvfrom`."""
        try:
            for _ in range(AT_ONCE):
                data, source = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
                self.meter.came("settings", len(data))
                try:
                    said = decode(data, self.told.key)
                except Unread as why:
                    self._counts(str(why), monotonic_ticks())
                    continue
                if len(self.queue) < QUEUE and self._knows(said, source):
                    self._hears(said)
        except BlockingIOError:
            pass
        except OSError:  # such as a peer's port that nobody has
            self._counts("socket", monotonic_ticks())

    def _hears(self, said: Message) -> None:
        self._turn(lambda core, now: core.heard(said, now))

    def _knows(self, said: Message, source: Peer) -> bool:
        return said.name in self.told.keepers

    def _counts(self, why: str, now: int) -> None:
        """Anybody can send what is refused: a line each time that their count has doubled."""
        self.refused[why] = count = self.refused.get(why, 0) + 1
        if count & (count - 1) == 0:
            self.tell("datagrams", why=why, count=count)

    # The control address: a line of JSON asks, a line of JSON answers.

    async def _answers(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._askers += 1
        try:
            if self._askers > ASKERS:
                return
            async with asyncio.timeout(TALK):
                line = await reader.readline()
            if not line:
                return
            told = await self._answer(line)
            writer.write(json.dumps(told).encode() + b"\n")
            async with asyncio.timeout(TALK):
                await writer.drain()
        except (OSError, ValueError, TimeoutError):  # ValueError: a line too long
            pass
        finally:
            self._askers -= 1
            with contextlib.suppress(Exception):
                writer.close()

    async def _answer(self, line: bytes) -> dict[str, Any]:
        try:
            asked = json.loads(line)
            word = asked.get("word") if isinstance(asked, dict) else None
            call = self._words().get(word or "")
            if call is None:
                raise ValidationError("no such word", f"ask one of {', '.join(self._words())}")
            if self.core is None:
                raise NoQuorumError(
                    f"{self.told.name} has ended, or is made anew after a fault of ours",
                    f"look in the log of {self.told.name}, and ask again, or another",
                )
            return await call(asked)
        except Error as fault:
            return {
                "error": {
                    "name": fault.name,
                    "what": fault.what,
                    "do": fault.do,
                    "code": fault.code,
                    "lines": list(getattr(fault, "lines", ())),
                }
            }
        except Exception as fault:  # noqa: BLE001  # a defect of ours ends this answer alone
            self._says_fault(fault)
            return {
                "error": {
                    "name": "settings.defect",
                    "what": f"{type(fault).__name__}: {fault}",
                    "do": "",
                    "code": 1,
                }
            }

    def _words(self) -> dict[str, Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]]:
        raise NotImplementedError


def _rows(rows: Mapping[str, bytes], key: str) -> dict[str, Any]:
    """key: the whole or the beginning, up to a dot, of those that are wanted."""
    return {
        one: decode_value(value)
        for one, value in sorted(rows.items())
        if not key or one == key or one.startswith(key + ".")
    }


class ConfigSubscriberDriver(Driver[ConfigSubscriber]):
    """A dispatcher's part. `hear`: called with each Acting once it is on disk, and with the first at `begin`."""

    def __init__(self, told: DriverConfig, chance: Random, tell: Tell) -> None:
        self.hear: list[Callable[[ActiveSettings], None]] = []
        super().__init__(told, chance, tell)
        assert self.core is not None
        self.acting = self._acting(self.core)

    def _made(self) -> ConfigSubscriber:
        told = self.told
        return ConfigSubscriber(
            told.name,
            told.region,
            self.life,
            self.folder.store,
            list(told.keepers),
            self.chance,
            self.rate_limiter,
            monotonic_ticks(),
            told.lease,
        )

    def _acting(self, core: ConfigSubscriber) -> ActiveSettings:
        base = core.holder.base
        if not core.proven:
            return ActiveSettings()
        return ActiveSettings(
            base.number, base.digest, core.rows(monotonic_ticks()), bool(core.holder.offers), base.spec
        )

    def _acts(self, acting: ActiveSettings) -> None:
        if acting != self.acting:
            self.acting = acting
            for hear in self.hear:
                hear(acting)

    async def begin(self) -> None:
        self.tell(
            "member.began",
            life=self.life,
            revision=self.acting.revision,
            digest=self.acting.digest,
            rows=len(self.acting.rows),
            age_ms=self.folder.age(time.time()),
        )
        for hear in self.hear:
            hear(self.acting)
        await super().begin()

    def leased(self) -> bool:
        """Whether what it acts by was the latest, by a lease that still runs."""
        core = self.core
        if core is None:
            return False
        base = core.holder.base
        return core.leased(monotonic_ticks()) and (self.acting.revision, self.acting.digest) == (
            base.number,
            base.digest,
        )

    def view(self) -> dict[str, Any]:
        assert self.core is not None
        now = monotonic_ticks()
        told = self.core.status(now)
        return {
            "name": self.told.name,
            "region": self.told.region,
            "life": self.life,
            "revision": self.acting.revision,
            "digest": self.acting.digest,
            "rows": len(self.acting.rows),
            "known": told.known,
            "leased": self.leased(),
            "left_ms": max(0, told.until - now) // 10 if told.leased else 0,
            "proved_ms": None if told.age is None else told.age // 10,
            "offers": list(told.offers),
            "keeper": told.keeper,
            "disk_age_ms": self.folder.age(time.time()),
            "datagrams": dict(self.refused),
        }

    def _words(self) -> dict[str, Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]]:
        return {"get": self._get, "status": self._status}

    async def _get(self, asked: dict[str, Any]) -> dict[str, Any]:
        return {
            "revision": self.acting.revision,
            "digest": self.acting.digest,
            "leased": self.leased(),
            "rows": _rows(self.acting.rows, str(asked.get("key", ""))),
        }

    async def _status(self, asked: dict[str, Any]) -> dict[str, Any]:
        return self.view()


def packed(revision: int, digest: str, size: int) -> bytes:
    """What stands in the register. size: bytes of the group."""
    return msgspec.msgpack.encode((revision, bytes.fromhex(digest), size))


def unpacked(value: Value) -> tuple[int, str]:
    """Raises Wrong where somebody else writes under the key."""
    if not value.data:
        return INITIAL_REVISION
    try:
        revision, digest, _ = msgspec.msgpack.decode(value.data, type=tuple[int, bytes, int])
    except (msgspec.DecodeError, msgspec.ValidationError):
        raise InvalidDocumentError(
            f"the voters' key {KEY!r} holds what is no revision: take it out of fleet.owners.keys"
        ) from None
    return revision, digest.hex()


@dataclass(frozen=True)
class VoterConfig:
    """The voters. listen: where this keeper's own socket to them is; its voter's, if it is one."""

    names: dict[str, str]
    fleet: str
    key: bytes
    lease: int
    listen: str


class RegisterSession:
    """One standing for the register's key: from the first change until a while after the last."""

    def __init__(self, told: DriverConfig, voters: VoterConfig, chance: Random) -> None:
        host = peer_of(voters.listen)[0]
        self.register = RegisterDriver(
            Standing(
                f"{told.name}.commits",
                voters.fleet,
                voters.key,
                voters.names,
                f"[{host}]:0" if ":" in host else f"{host}:0",
                told.folder,
                voters.lease,
                {KEY: True},
                file=told.at,
            ),
            Ground(),
            chance,
            Counters(),
        )

    async def owns(self, until: float) -> tuple[int, tuple[int, str]]:
        """Its number, and what the register held under it. Raises NoMajority, Wrong."""
        while time.monotonic() < until:
            number = self.register.fencing_token(KEY)
            value = await self.register.read(KEY) if number else None
            if value is not None and value.number == number == self.register.fencing_token(KEY):
                return number, unpacked(value)
            await asyncio.sleep(0.02)
        raise NoQuorumError(
            "no majority of the voters lets us own the register: nothing was committed",
            "start those of voters.names that are down, or mend the ways to them, then apply again",
        )

    async def end(self) -> None:
        """The key is given back, and that may be lost once."""
        self.register.stop()
        await asyncio.sleep(2 * self.register.owner.pace / SECOND)
        self.register.end()


@dataclass(eq=False)
class QueuedChange(commit_round.PendingChange):
    """A change that waits. until: of the monotonic clock, seconds. done: its answer. group: as what it is proposed now.
    sent: whether the register has been asked to take it, so that it may be committed whatever is heard.
    """

    until: float = 0.0
    done: asyncio.Future[dict[str, Any]] = field(default_factory=asyncio.Future)
    group: ChangeSet | None = None
    sent: bool = False

    def fails(self, fault: Error) -> None:
        if not self.done.done():
            self.done.set_exception(fault)

    def answers(self, revision: int, digest: str, changed: bool) -> None:
        if not self.done.done():
            self.done.set_result({"revision": revision, "digest": digest, "changed": changed})


class ConfigServerDriver(Driver[ConfigServer]):
    """A keeper: texts on disk, the members of its region, the register by a majority of voters, changes from its control
    address.
    """

    def __init__(self, told: DriverConfig, voters: VoterConfig, chance: Random, tell: Tell) -> None:
        """Raises also what ownership's Register does."""
        self.voters = voters
        self.reading: asyncio.Task[None] | None = None
        self.proved: int | None = None  # when the last reading that was proven began
        self.waits: list[tuple[Callable[[], bool], asyncio.Future[None]]] = []
        self.queued: list[QueuedChange] = []  # as many as ASKERS
        self.rounds: asyncio.Task[None] | None = None
        self.changing = asyncio.Lock()
        self.committing: RegisterSession | None = None
        self.changes = 0  # that were begun
        self.fitting: tuple[Configuration, Mapping[str, bytes]] | None = (
            None  # of the rows that were judged last
        )
        self.kept = (
            ""  # the digest of the last proposal that a majority of keepers, this one among them, has on disk
        )
        super().__init__(told, chance, tell)
        self.logged = self.folder.store.revision  # the highest told whole
        self.register = RegisterDriver(
            Standing(
                told.name,
                voters.fleet,
                voters.key,
                voters.names,
                voters.listen,
                told.folder,
                voters.lease,
                file=told.at,
            ),
            Ground(),
            chance,
            Counters(),
        )

    def _made(self) -> ConfigServer:
        told = self.told
        peers = [name for name in told.keepers if name != told.name]
        return ConfigServer(
            told.name,
            told.region,
            self.life,
            self.folder.store,
            peers,
            self.chance,
            self.rate_limiter,
            monotonic_ticks(),
            told.lease,
            offers=self.folder.offers,
        )

    async def begin(self) -> None:
        assert self.core is not None
        self.tell(
            "keeper.began", life=self.life, revision=self.core.store.revision, digest=self.core.store.digest
        )
        self.register.begin()
        await super().begin()

    async def end(self) -> None:
        committing, self.committing = self.committing, None
        self.register.stop()
        if committing is not None:
            await committing.end()
        await super().end()
        self.register.end()

    def _knows(self, said: Message, source: Peer) -> bool:
        """Who has the key is a member by any name, and is where it was heard from last."""
        if said.name == self.told.name:
            return False
        if said.name not in self.told.keepers:
            if said.name not in self.peers and len(self.peers) >= PEERS:
                del self.peers[next(one for one in self.peers if one not in self.told.keepers)]
            self.peers[said.name] = source
        return True

    def _tells(self, one: Happened) -> None:
        super()._tells(one)
        if one.what == "kept":
            self.kept = one.digest
        if one.what == "committed" and self.core is not None:
            # Before anybody hears of it from here: who judges the log finds it there before the first act.
            store = self.core.store
            groups = store.since(self.logged)
            for group in groups if groups is not None else tuple(group for _, group in store.log):
                if self.logged < group.revision <= one.revision:
                    self.tell(
                        "group",
                        revision=group.revision,
                        digest=digest_of(group),
                        author=group.author,
                        reason=group.reason,
                        puts=[
                            (put.key, None if put.value is None else put.value.decode()) for put in group.puts
                        ],
                    )
            self.logged = max(self.logged, one.revision)

    def _after(self, core: ConfigServer) -> None:
        if core.wants_reading and self.reading is None:
            self.reading = self._runs(self._reads(core))

    # The register

    async def _reads(self, core: ConfigServer) -> None:
        """One reading, by a majority, begun after `begins`."""
        value: Value | None = None
        latest = INITIAL_REVISION
        now = monotonic_ticks()
        try:
            number = core.begins(now)
            value = await self.register.read(KEY)
            if value is not None:
                latest = unpacked(value)
        except InvalidDocumentError as fault:
            value = None
            self.tell("refused", why=str(fault))
        except Exception as fault:  # noqa: BLE001  # whatever it is ends this reading alone
            value = None
            self._says_fault(fault)
        finally:
            self.reading = None
        if self.core is not core:
            return
        if value is None:
            self._turn(lambda core, now: core.unread(number, now))
        else:
            self.proved = now
            self._turn(lambda core, now: core.read(number, *latest, now))

    def _reads_at_once(self) -> None:
        if self.core is not None:
            self.core.wants_reading = True
            self._after(self.core)

    async def _until(self, holds: Callable[[], bool], until: float) -> bool:
        """Whether it came to hold in time; looked at after each turn."""
        if holds():
            return True
        done: asyncio.Future[None] = self._events.create_future()
        self.waits.append((holds, done))
        try:
            async with asyncio.timeout(max(0.0, until - time.monotonic())):
                await done
        except TimeoutError:
            return holds()
        finally:
            self.waits = [one for one in self.waits if one[1] is not done]
        return True

    def _looks(self) -> None:
        for holds, done in list(self.waits):
            if not done.done() and holds():
                done.set_result(None)

    # Changes

    async def change(self, asked: dict[str, Any]) -> dict[str, Any]:
        """Commits one group, all or none, together with others that wait (`batch.py`). Raises Refused, Restart, Outrun,
        NoMajority.
        """
        rows, remove = asked.get("rows") or {}, asked.get("remove") or []
        author, reason = str(asked.get("author", "")), str(asked.get("reason", ""))
        puts = changes_from_tables(rows, remove)
        if max(len(author), len(reason)) > MAX_TEXT_CHARS:
            raise ChangeRejectedError(
                [str(ValidationError(key="reason", why=f"{MAX_TEXT_CHARS} characters at most"))]
            )
        until = time.monotonic() + min(60.0, float(asked.get("within", WITHIN)))
        mine = QueuedChange(puts, author, reason, int(time.time() * 1000), asked.get("expect"), until=until)
        self.queued.append(mine)
        self.changes += 1
        if self.rounds is None:
            self.rounds = self._runs(self._rounds())
        await asyncio.wait([mine.done], timeout=max(0.0, until - time.monotonic()))
        if not mine.done.done():
            if mine in self.queued and mine.sent:
                self.queued.remove(mine)
                raise self._untold(mine)
            if mine in self.queued and mine.group is None:
                self.queued.remove(mine)
                raise NoQuorumError(
                    "no majority of the voters let us own the register, or other changes were before it: "
                    "nothing was committed",
                    "start those of voters.names that are down, or mend the ways to them, then apply again",
                )
        return await mine.done

    async def _rounds(self) -> None:
        """Until nothing waits. What fails here fails all that wait; each round else settles what it can, or somebody's time
        is over.
        """
        try:
            async with self.changing:
                while self.queued:
                    if self.committing is None:
                        self.committing = RegisterSession(self.told, self.voters, self.chance)
                        self.committing.register.begin()
                    try:
                        await self._round(self.committing)
                    except InvalidDocumentError as fault:
                        self._fails(self.queued, ChangeRejectedError([self._wrong(fault)]))
                    except Error as fault:
                        self._fails(self.queued, fault)
                    finally:
                        for one in self.queued:
                            one.group = None
        except Exception as fault:  # noqa: BLE001  # a defect of ours: of these changes alone
            self._says_fault(fault)
            self._fails(
                self.queued,
                ServerDefectError(address=self.told.control, why=f"{type(fault).__name__}: {fault}"),
            )
        finally:
            self.rounds = None
            self._runs(self._lingers(self.changes))

    def _fails(self, changes: Sequence[QueuedChange], fault: Error) -> None:
        """Who may be committed, whatever is heard, is told that."""
        for one in list(changes):
            if one in self.queued:
                self.queued.remove(one)
                one.fails(self._untold(one) if one.sent and isinstance(fault, NoQuorumError) else fault)

    async def _lingers(self, mine: int) -> None:
        """Others may commit: the key is given back, unless more changes came here."""
        await asyncio.sleep(LINGER)
        async with self.changing:
            if self.changes == mine and not self.queued and self.committing is not None:
                committing, self.committing = self.committing, None
                await committing.end()

    def _keeps(self) -> ConfigServer:
        """Raises NoMajority."""
        if self.core is None:
            raise NoQuorumError(
                f"{self.told.name} had a fault of ours: whether it was committed can't be told",
                "look at `pathsaddle settings history`, and apply again if it isn't there",
            )
        return self.core

    async def _round(self, committing: RegisterSession) -> None:
        """One through the register, with all of the queue that can go together. Raises Error, Wrong: of all that wait."""
        now, waiting = time.monotonic(), list(self.queued)
        try:
            self._fails(
                [one for one in waiting if one.until <= now],
                NoQuorumError(
                    "no round through the voters and keepers ended in time: nothing was committed",
                    "start those of voters.names and keepers that are down, or mend the ways to them, then apply again",
                ),
            )
            if self.queued:
                number, latest = await committing.owns(max(one.until for one in self.queued))
        except NoQuorumError as fault:
            self._fails(waiting, fault)
            return
        if not self.queued:
            return
        if not await self._has(latest, max(one.until for one in self.queued)):
            raise NoQuorumError(
                f"no keeper has the text of revision {latest[0]}: nothing was committed",
                "start the keepers that are down, and apply again",
            )
        core = self._keeps()
        found = commit_round.plan_round(core.store, self.queued, self._fits, core.joins)
        for told in found.told:
            self._tells_verdict(told, latest)
        if not found.taken:
            return
        groups, under = found.groups, [one for one, _ in found.taken]
        last, digest = groups[-1], digest_of(groups[-1])
        for one, group in found.taken:
            one.group = group
        try:
            self._proposes(groups)
        except InvalidDocumentError as fault:
            self._fails(under, ChangeRejectedError([self._wrong(fault)]))
            return
        until = min(one.until for one in under)
        if not await self._kept_by_most(core, digest, until):
            self._withdraws()
            self._fails(
                [one for one in under if one.until <= time.monotonic()],
                NoQuorumError(
                    f"no majority of the keepers has revision {last.revision} on disk: nothing was committed",
                    "start those of keepers that are down, or mend the ways to them, then apply again",
                ),
            )
            return  # the others' time isn't over: once more, without those
        if self._keeps() is not core or committing.register.fencing_token(KEY) != number:
            self._withdraws()
            return  # owned anew since the look: what was read may be no longer so
        for one, group in found.taken:
            one.sent = True
            one.tried.append((group.revision, digest_of(group)))
        # From here on the number guards it: voters take the change only while this very owning is the last.
        await committing.register.put(
            KEY, packed(last.revision, digest, sum(len(encode_document(group)) for group in groups))
        )
        try:
            settled = await self._settled(last.revision, max(one.until for one in under))
        except NoQuorumError as fault:
            self._fails(under, fault)
            return
        made = settled == (last.revision, digest) or (
            settled[0] > last.revision and self._has_made(last.revision, digest)
        )
        for one, group in found.taken:
            if one not in self.queued:
                continue  # its time was over
            if made:
                self.queued.remove(one)
                one.answers(group.revision, digest_of(group), True)
            elif settled != latest and self._keeps().store.revision >= settled[0]:
                one.sent = False  # another's stands there, and the number that ours went by is an old one
                if one.expect is not None:
                    self.queued.remove(one)
                    one.fails(self._outrun(settled, one.expect))

    def _tells_verdict(self, told: commit_round.RoundVerdict[QueuedChange], latest: tuple[int, str]) -> None:
        one = told.change
        self.queued.remove(one)
        if told.what in (commit_round.ALREADY_COMMITTED, commit_round.UNCHANGED):
            one.answers(told.revision, told.digest, told.what == commit_round.ALREADY_COMMITTED)
        elif told.what == commit_round.REVISION_CONFLICT:
            one.fails(self._outrun(latest, one.expect))
        elif isinstance(told.why, Error):
            one.fails(told.why)
        else:
            one.fails(ChangeRejectedError([self._wrong(told.why)]))

    @staticmethod
    def _wrong(fault: object) -> str:
        return str(
            ValidationError(str(fault), "change that in what is applied, or see docs/settings-store.md")
        )

    def _untold(self, one: QueuedChange) -> NoQuorumError:
        revision, digest = one.tried[-1]
        return NoQuorumError(
            f"no majority of the voters answers: whether revision {revision} was committed can't be told",
            f"start those of voters.names that are down, then see whether `pathsaddle settings history` has {digest[:8]}",
        )

    def _fits(self, terms: ActiveTerms) -> None:
        """Rows that don't fit together are refused here: no dispatcher could take them into service. Raises Refused."""
        try:
            self.fitting = check_consistency(terms.rows(), self.fitting)
        except InvalidConfigError as fault:
            raise ChangeRejectedError(list(map(str, fault.faults))) from None

    def _proposes(self, groups: Sequence[ChangeSet]) -> None:
        """Raises Wrong."""
        wrong: list[InvalidDocumentError] = []

        def call(core: ConfigServer, now: int) -> int:
            try:
                return core.propose(groups[0], now, groups[1:])
            except InvalidDocumentError as fault:
                wrong.append(fault)
                return core.wake(now)

        self._turn(call)
        if wrong:
            raise wrong[0]

    async def _kept_by_most(self, core: ConfigServer, digest: str, until: float) -> bool:
        return await self._until(lambda: self.core is not core or self.kept == digest, until)

    def _withdraws(self) -> None:
        def call(core: ConfigServer, now: int) -> int:
            core.withdraw(now)
            return core.wake(now)

        self._turn(call)

    async def _has(self, known: tuple[int, str], until: float) -> bool:
        """Whether this keeper has the text of it, by its disk."""
        while time.monotonic() < until:
            self._reads_at_once()
            if await self._until(
                lambda: self.core is None or self.core.store.revision >= known[0],
                min(until, time.monotonic() + 0.2),
            ):
                return self._keeps().store.digest_at(known[0]) == known[1]
        return False

    def _has_made(self, revision: int, digest: str) -> bool:
        return self._keeps().store.digest_at(revision) == digest

    async def _settled(self, revision: int, until: float) -> tuple[int, str]:
        """What the register held by a majority's word after a change of which nobody may have heard what came. Raises
        NoMajority.
        """
        while time.monotonic() < until:
            self._reads_at_once()
            value = await self.register.read(KEY)
            if value is not None:
                found = unpacked(value)
                if found[0] >= revision:
                    await self._has(found, until)
                return found
            await asyncio.sleep(0.02)
        raise NoQuorumError("no majority of the voters answers", "start those of voters.names that are down")

    def _outrun(self, found: tuple[int, str], expected: Any) -> RevisionConflictError:
        core = self._keeps()
        last = core.store.log[-1][1] if core.store.log and core.store.digest == found[1] else None
        return RevisionConflictError(
            revision=found[0],
            author=last.author if last else "somebody",
            reason=last.reason if last else "",
            expected=expected,
        )

    # What is asked at the control address

    def _words(self) -> dict[str, Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]]:
        return {"get": self._get, "apply": self.change, "history": self._history, "status": self._status}

    def _proved_ms(self) -> int | None:
        return None if self.proved is None else (monotonic_ticks() - self.proved) // 10

    async def _get(self, asked: dict[str, Any]) -> dict[str, Any]:
        store = self._keeps().store
        return {
            "revision": store.revision,
            "digest": store.digest,
            "proved_ms": self._proved_ms(),
            "rows": _rows(store.terms.rows(), str(asked.get("key", ""))),
        }

    async def _history(self, asked: dict[str, Any]) -> dict[str, Any]:
        store = self._keeps().store
        most = max(1, int(asked.get("most") or HISTORY))
        return {
            "revision": store.revision,
            "groups": [
                {
                    "revision": group.revision,
                    "digest": digest,
                    "author": group.author,
                    "reason": group.reason,
                    "at": group.at,
                    "puts": {
                        put.key: None if put.value is None else decode_value(put.value) for put in group.puts
                    },
                }
                for digest, group in store.log[-most:]
            ],
        }

    async def _status(self, asked: dict[str, Any]) -> dict[str, Any]:
        now, core = monotonic_ticks(), self._keeps()
        found = core.status(now)
        revision = asked.get("revision")
        return {
            "name": self.told.name,
            "region": self.told.region,
            "life": self.life,
            **found,
            "proved_ms": self._proved_ms(),
            "in_force": revision is not None and core.core.force >= int(revision),
            "members": sorted(core.store.terms.members()),
            "gone": list(core.core.gone),
            "clients": sorted(core.clients),
            "keepers": list(self.told.keepers),
            "voters": sorted(self.voters.names),
            "datagrams": dict(self.refused),
        }
