"""The thin drivers: datagrams between a socket and the cores, timers, the disk before the word, the log.

A fault inside a core is caught here, logged as `driver.fault` with its type and text, and the driver goes on:
what that datagram would have changed is not changed, which is the same as if it had been lost.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from random import Random, SystemRandom
from typing import Any

import msgspec

from pathsaddle.config.units import Duration
from pathsaddle.config.validation import InvalidConfigError, load_toml, validate
from pathsaddle.control_metrics import NullMeter
from pathsaddle.federation.datagrams import (
    ASK,
    COMMIT,
    HAVE,
    JOB,
    MOST,
    OFFER,
    PIECE,
    RENEWED,
    TEXT,
    WANT,
    Pieces,
    Refused,
    Said,
    decode,
    encode,
)
from pathsaddle.federation.disk import Disk, FolderRegister, had
from pathsaddle.federation.errors import BadKey, GroundFaulty, NoAddress, NoMember, NoWay
from pathsaddle.federation.remote_region import Abroad
from pathsaddle.federation.spec import load as load_spec
from pathsaddle.federation.spec import parse
from pathsaddle.federation.spec_register import Entry, Texts, Voted, VotersForm, checked
from pathsaddle.fleet.rate_limiter import RateLimiter
from pathsaddle.leased_versions import (
    AppliedAck,
    CommitNotice,
    LeaseRenewal,
    SyncRequest,
    Version,
    VersionServer,
    new_subscriber,
)
from pathsaddle.net.service.place import bind_error
from pathsaddle.net.wire.terms import parse_peer
from pathsaddle.scheduler_types import SECOND

BYTES = 200_000  # that one process sends in any second
COMMITTER = "committer"
SLOTS = 256  # names that committers have at the voters, which remember where each name is
WAIT = 30.0  # seconds that a commit may wait for the voters and for who commits before it
AT_ONCE = 12  # pieces of a text for one asking


class MemberForm(msgspec.Struct, kw_only=True):
    """One member.

    region: its region. address: where others send to it. listen: where it takes datagrams, if that differs.
    disk: a folder for what it goes by.
    """

    region: str
    address: str
    disk: str = ""
    listen: str = ""


class KeeperForm(msgspec.Struct, kw_only=True):
    """One keeper.

    address: where others send to it. listen: where it takes datagrams, if that differs. disk: a folder for texts, where
    voters keep the register.
    """

    address: str
    listen: str = ""
    disk: str = ""


class GroundForm(msgspec.Struct, kw_only=True):
    """Who there is.

    key: the secret of all of them, at least 16 characters. lease: on the spec. register: a folder that all
    keepers and committers see; or voters: who keeps it, on machines of their own. spec: the first version. members, keepers: by name. log: a folder for
    histories. drill: jobs without work that each member sends a second, to prove the bound.
    jobs: txns without work that each member takes a second, to prove the choice; capacity: what a region's
    workers are taken to do a second.
    gone: members that never start again with the disk that they had.
    """

    key: str
    lease: Duration = msgspec.field(default_factory=lambda: Duration(10 * SECOND))
    register: str = ""
    voters: VotersForm | None = None
    spec: str
    log: str
    drill: float = 0.0
    gone: list[str] = []
    jobs: float = 0.0
    capacity: float = 200.0
    members: dict[str, MemberForm]
    keepers: dict[str, KeeperForm]


class Ground(GroundForm, kw_only=True):
    """As it was read. file: from where, for whoever is to mend it."""

    file: str

    def named(self, table: str, rows: Mapping[str, Any], name: str) -> Any:
        """Raises NoMember."""
        if name not in rows:
            raise NoMember(file=self.file, table=table, who=name, known=", ".join(sorted(rows)) or "nobody")
        return rows[name]


def ground_of(path: str) -> Ground:
    """Raises GroundFaulty, BadKey, NoAddress or NoWay."""
    try:
        form = validate(GroundForm, load_toml(path), path)
    except InvalidConfigError as fault:
        raise GroundFaulty(path, fault.faults) from None
    ground = Ground(file=path, **{key: getattr(form, key) for key in form.__struct_fields__})
    if len(ground.key) < 16:
        raise BadKey(file=path, count=len(ground.key))
    if bool(ground.register) == (ground.voters is not None):
        raise NoWay(
            f"{path}: {'both register and [voters] stand there' if ground.register else 'no register'}",
            "write `register = FOLDER`, or the table [voters], and not both",
        )
    if ground.voters is not None:
        checked(ground.voters, path)
        for name, keeper in ground.keepers.items():
            if not keeper.disk:
                raise NoWay(
                    f"{path}: keepers.{name}.disk is missing",
                    "give it a folder: with [voters] keepers have the texts",
                )
    for table, rows in (("members", ground.members), ("keepers", ground.keepers)):
        for name, row in rows.items():
            for key, told in (("address", row.address), ("listen", row.listen or row.address)):
                try:
                    parse_peer(told)
                except ValueError:
                    raise NoAddress(file=path, key=f"{table}.{name}.{key}", address=told) from None
    return ground


class Process(asyncio.DatagramProtocol):
    """What members, keepers and committers have in common."""

    def __init__(
        self, ground: Ground, name: str, listen: str, key: str = "", chance: Random | None = None
    ) -> None:
        """key: of the ground's file, where `listen` stands; "": the command line said it. Raises NoFolder."""
        self.ground, self.name, self.listen, self.listen_key = ground, name, listen, key
        self.key = ground.key.encode()
        self.chance = chance or SystemRandom()
        self.life = time.time_ns() // 1_000_000
        self.rate_limiter = RateLimiter(BYTES, 2000, self.now())
        self.refused, self.refused_at = 0, self.now() - SECOND
        self.texts: dict[tuple[int, str], bytes] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.meter = NullMeter()
        folder = Path(ground.log)
        had(folder, "log", ground.file)
        self._log = (folder / f"{name}.jsonl").open("ab", buffering=0)
        self.peers = {
            **{name: parse_peer(row.address) for name, row in ground.members.items()},
            **{name: parse_peer(row.address) for name, row in ground.keepers.items()},
        }

    def now(self) -> int:
        """Monotonic; it goes on while this process stands."""
        return int(time.monotonic() * SECOND)

    def log(self, what: str, at: int | None = None, **more: Any) -> None:
        row = {"at": self.now() if at is None else at, "what": what, "more": {"who": self.name, **more}}
        self._log.write(msgspec.json.encode(row) + b"\n")

    async def begin(self) -> None:
        """Raises one of `pathsaddle.net.service.place`'s."""
        try:
            await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: self, local_addr=parse_peer(self.listen)
            )
        except OSError as fault:
            key, file = (
                (self.listen_key, self.ground.file) if self.listen_key else ("--listen", "the command")
            )
            raise bind_error(fault, key, self.listen, file) from None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.meter.came("spec", len(data))
        self.meter.runs("spec", lambda: self._receives(data, addr))

    def _receives(self, data: bytes, addr: Any) -> None:
        try:
            said = decode(data, self.key)
        except Refused as reason:
            # Anybody can send what is refused: a line a second at most.
            self.refused += 1
            if self.now() >= self.refused_at + SECOND:
                self.log("datagram.refused", why=str(reason), count=self.refused)
                self.refused, self.refused_at = 0, self.now()
            return
        if said.name == COMMITTER:
            self.peers[COMMITTER] = addr  # the ground file doesn't name where one is; several take turns here
        try:
            self.heard(said)
        except Exception as fault:  # noqa: BLE001  # whatever it is ends this datagram alone
            self.log("driver.fault", why=f"{type(fault).__name__}: {fault}")

    def error_received(self, exc: Exception) -> None:
        """A port that nobody has: silence, as any other."""

    def heard(self, said: Said) -> None:
        raise NotImplementedError

    def say(self, whom: str, kind: int, **more: Any) -> None:
        peer = self.peers.get(whom)
        if peer is None or self.transport is None:
            return
        data = encode(Said(self.name, self.life, kind, **more), self.key)
        assert len(data) <= MOST
        if self.rate_limiter.try_consume(len(data), self.now()):
            self.transport.sendto(data, peer)
            self.meter.went("spec", len(data))

    def serve(self, said: Said) -> None:
        """Some pieces of a text that somebody wants: to the end of their dozen, after which it asks for more."""
        text = self.texts.get((said.number, said.digest))
        if text is None:
            return
        for i in range(said.first, min((said.first // AT_ONCE + 1) * AT_ONCE, -(-len(text) // PIECE))):
            self.say(
                said.name,
                TEXT,
                number=said.number,
                digest=said.digest,
                size=len(text),
                first=i,
                data=text[i * PIECE : (i + 1) * PIECE],
            )

    def end(self) -> None:
        if self.transport is not None:
            self.transport.close()

    async def every(self, ticks: int, call: Callable[[], None]) -> None:
        while True:
            try:
                self.meter.runs("spec", call)
            except Exception as fault:  # noqa: BLE001  # whatever it is ends this round alone
                self.log("driver.fault", why=f"{type(fault).__name__}: {fault}")
            await asyncio.sleep(ticks * self.chance.uniform(0.8, 1.2) / SECOND)


class MemberProcess(Process):
    """A dispatcher's part in the spec: `rule` is what its door may ask before each posting abroad."""

    def __init__(self, ground: Ground, name: str, serving: bool = False) -> None:
        """serving: a dispatcher's own jobs go abroad. Raises NoMember, NoFolder, SpecFaulty."""
        self.serving = serving
        form: MemberForm = ground.named("members", ground.members, name)
        super().__init__(
            ground,
            name,
            form.listen or form.address,
            f"members.{name}.{'listen' if form.listen else 'address'}",
        )
        self.region = form.region
        self.disk = Disk(Path(form.disk), name, ground.file)
        version = self.disk.last()
        if version is None:
            spec = load_spec(ground.spec)
            version = Version(1, spec.digest, spec)
            self.disk.keep(version)
        self.holder = new_subscriber(name, form.region, self.life, int(ground.lease), version)
        self.pieces = Pieces()
        self.wanted: dict[tuple[int, str], int] = {}
        self.count = 0
        self.log("member.began", life=self.life, region=self.region)
        self.held()
        regions: dict[str, list[str]] = {row.region: [] for row in ground.members.values()}
        for other, row in sorted(ground.members.items()):
            regions[row.region].append(other)
        self.abroad = Abroad(self, regions, ground.capacity)

    async def run(self) -> None:
        await self.begin()
        jobs = [self.every(int(self.ground.lease) // 6, self.renew)]
        if self.ground.jobs or self.serving:
            jobs.append(self.every(SECOND // 4, self.abroad.beat))
        if self.ground.jobs:
            jobs.append(self.every(int(SECOND / self.ground.jobs), self.abroad.takes))
        if self.ground.drill:
            jobs.append(self.every(int(SECOND / self.ground.drill), self.drill))
        await asyncio.gather(*jobs)

    def held(self) -> None:
        self.log("spec.version", state="held", version=self.holder.base.number, until=self.holder.ends())

    def renew(self) -> None:
        now = self.now()
        self.holder, ask = self.holder.asks(now)
        for keeper in sorted(self.ground.keepers):
            self.say(keeper, ASK, echo=ask.echo, number=self.holder.known[0])
        for (number, digest), size in list(self.wanted.items()):
            self.want(number, digest, size)

    def want(self, number: int, digest: str, size: int, of: str = "") -> None:
        if number < self.holder.known[0] or (number, digest) == self.has():
            self.wanted.pop((number, digest), None)
            return
        while len(self.wanted) >= 4:
            del self.wanted[next(iter(self.wanted))]
        self.wanted[number, digest] = size
        first = self.pieces.begin(number, digest, size)
        for name in [of] if of else sorted(self.ground.keepers):
            self.say(name, WANT, number=number, digest=digest, first=first)

    def heard(self, said: Said) -> None:
        before, now = self.holder, self.now()
        if said.kind == RENEWED and said.to == self.name:
            after = before.renewed(
                LeaseRenewal(self.name, said.first, said.echo, said.number, said.digest), now
            )
            self.goes_by(after)
        elif said.kind == COMMIT:
            after, _ = before.told(CommitNotice(said.number, said.digest))
            self.goes_by(after)
            have = self.holder.has()
            if have is not None:
                self.say(said.name, HAVE, number=have.number, digest=have.digest)
        elif said.kind == TEXT:
            text = self.pieces.took(said)
            if text is not None:
                self.wanted.pop((said.number, said.digest), None)
                spec = parse(text.decode("utf-8"))
                after = before.offered(Version(said.number, spec.digest, spec))
                if after is not before and after.base is before.base:
                    self.log("spec.offered", version=said.number)
                self.goes_by(after)
            elif said.first % AT_ONCE == AT_ONCE - 1 and (said.number, said.digest) in self.wanted:
                self.want(said.number, said.digest, said.size, said.name)
        elif said.kind == WANT:
            base = self.holder.base  # not an offer: whoever wants one asks its committer
            self.texts = {(base.number, base.digest): base.spec.text.encode()}
            self.serve(said)
        elif said.kind == JOB and self.ground.drill:
            self.asked(said, now)
        elif said.kind >= JOB:
            self.abroad.heard(said)
        if said.kind in (RENEWED, COMMIT, OFFER) and said.number >= self.holder.known[0] and said.size:
            known = [self.has(), *((one.number, one.digest) for one in self.holder.offers)]
            if (said.number, said.digest) not in known:
                self.want(said.number, said.digest, said.size, said.name)

    def has(self) -> tuple[int, str]:
        return self.holder.base.number, self.holder.base.digest

    def goes_by(self, after: Any) -> None:
        """On disk, synced, before it is gone by and before any word of it."""
        before = self.holder
        if after is before:
            return
        if after.base is not before.base:
            self.disk.keep(after.base)
        self.holder = after
        if after.base is not before.base or after.ends() != before.ends():
            self.held()

    # The drill: jobs without work.

    def drill(self) -> None:
        self.count += 1
        for scheme in sorted(self.holder.base.spec.schemes):
            now = self.now()
            rule = self.holder.rule(scheme, now)
            places = [region for region in sorted(rule.may) if region != self.region]
            for region in places:
                txn = f"{self.name}/{self.life}/{self.count}/{scheme}"
                self.log(
                    "abroad.sent",
                    now,
                    post=f"{txn}/{region}",
                    txn=f"{txn}/{region}",
                    scheme=scheme,
                    kind=rule.semantics,
                    origin=self.region,
                    to=region,
                    version=self.holder.base.number,
                    home=rule.home,
                    **{"from": self.region},
                )
                names = [name for name, row in sorted(self.ground.members.items()) if row.region == region]
                if names:
                    self.say(
                        names[self.count % len(names)],
                        JOB,
                        scheme=scheme,
                        home=rule.home,
                        region=self.region,
                        data=f"{txn}/{region}".encode(),
                        number=self.holder.base.number,
                    )

    def asked(self, said: Said, now: int) -> None:
        """A job of another region: it is begun only where our own rule allows it, whatever its sender
        thought. A sender that stood still between its look and its sending is stopped here.
        """
        rule = self.holder.rule(said.scheme, now)
        if self.region not in rule.may:
            self.log(
                "job.refused",
                now,
                txn=said.data.decode(),
                scheme=said.scheme,
                version=self.holder.base.number,
            )
            return
        self.log(
            "region.ran",
            now,
            by=self.name,
            region=self.region,
            txn=said.data.decode(),
            post=said.data.decode(),
            kind=rule.semantics,
            scheme=said.scheme,
            home=said.home,
        )


class KeeperProcess(Process):
    def __init__(self, ground: Ground, name: str) -> None:
        """Raises NoMember, NoFolder."""
        form: KeeperForm = ground.named("keepers", ground.keepers, name)
        super().__init__(
            ground,
            name,
            form.listen or form.address,
            f"keepers.{name}.{'listen' if form.listen else 'address'}",
        )
        self.core = VersionServer(int(ground.lease), self.now(), gone=tuple(ground.gone))
        self.waiting: dict[str, SyncRequest] = {}  # the last of each member that no reading answers yet
        self.wanted: dict[tuple[int, str], int] = {}
        self.pieces = Pieces()
        self.due = asyncio.Event()
        self.register: FolderRegister | None = None
        if ground.voters is None:
            self.register = FolderRegister(Path(ground.register), ground.file)
            return
        self.disk = Texts(Path(form.disk), name)
        self.voted = Voted(ground.voters, f"spec.{name}", self.listen, Path(form.disk), self.chance, self.log)
        for (number, digest), version in self.disk.have.items():
            self.texts[number, digest] = version.spec.text.encode()
        for version in list(self.disk.committed):
            self.committed(version)

    async def run(self) -> None:
        await self.begin()
        if self.register is None:
            self.voted.begin()
            await asyncio.gather(self.every(SECOND // 4, self.beat), self.readings())
        await self.every(SECOND // 4, self.beat)

    def committed(self, version: Version) -> None:
        known = [(one.number, one.digest) for one in self.core.history]
        self.core = self.core.reads(version.number, version.digest, version, self.now())
        if (version.number, version.digest) not in known:
            self.texts[version.number, version.digest] = version.spec.text.encode()
            spec = version.spec
            self.log(
                "spec.version",
                state="committed",
                version=version.number,
                may={scheme: sorted(spec.rule(scheme, "").may) for scheme in sorted(spec.schemes)},
                home={scheme: form.home for scheme, form in sorted(spec.schemes.items())},
                data={data: sorted(spec.readable(data)) for data in sorted(spec.data)},
            )

    def read(self) -> None:
        """Of the folder. What voters say comes by `readings`."""
        if self.register is not None:
            for version in self.register.read():
                self.committed(version)

    async def readings(self) -> None:
        """One at a time, each for all that asked before it began."""
        while True:
            try:
                async with asyncio.timeout(0.25):
                    await self.due.wait()
            except TimeoutError:
                pass
            self.due.clear()
            waiting, self.waiting = self.waiting, {}
            try:
                found = await self.voted.read()
                if found is not None and self.took(found[1]):
                    for ask in waiting.values():
                        self.answer(ask)
                    continue
            except Exception as fault:  # noqa: BLE001  # whatever it is ends this reading alone
                self.log("driver.fault", why=f"{type(fault).__name__}: {fault}")
            # Nothing is proven: silence. They are asked for again by the next reading, or ask again themselves.
            self.waiting = waiting | self.waiting
            await asyncio.sleep(0.02)

    def took(self, line: tuple[Entry, ...]) -> bool:
        """Whether the highest is known with its text: of one without it nothing is said, so that nobody goes by what
        this keeper can't prove or serve.
        """
        self.wanted = {}
        for entry in line:
            version = self.disk.have.get(entry.known)
            if version is None:
                self.wanted[entry.known] = entry.size
                continue
            self.disk.commit(version)
            self.committed(version)
        if len(self.texts) > len(self.disk.have):  # offers whose number another took
            self.texts = {known: text for known, text in self.texts.items() if known in self.disk.have}
        return bool(line) and line[-1].known == self.core.known

    def want(self, number: int, digest: str, size: int, of: list[str]) -> None:
        first = self.pieces.begin(number, digest, size)
        for name in of:
            if name != self.name:
                self.say(name, WANT, number=number, digest=digest, first=first)

    def answer(self, ask: SyncRequest) -> None:
        told = self.core.answers(ask)
        self.say(
            ask.name,
            RENEWED,
            to=ask.name,
            first=ask.life,
            echo=ask.echo,
            number=told.number,
            digest=told.digest,
            size=self.size(),
        )

    def size(self) -> int:
        return len(self.texts.get(self.core.known, b""))

    def beat(self) -> None:
        self.read()
        for (number, digest), size in list(self.wanted.items())[:2]:
            self.want(number, digest, size, sorted(self.peers))
        number, digest = self.core.known
        rows = dict(self.core.rows)
        if number > self.core.force:
            for name in [name for name in sorted(self.ground.members) if rows.get(name, 0) < number][:64]:
                self.say(name, COMMIT, number=number, digest=digest, size=self.size())
        core = self.core.judged(self.now())
        if core.force > self.core.force:
            self.log("spec.version", state="force", version=core.force)
        self.core = core

    def heard(self, said: Said) -> None:
        if said.kind == ASK and self.register is None:
            if said.name in self.ground.members:
                self.waiting[said.name] = SyncRequest(said.name, said.life, said.echo)
                self.due.set()
        elif said.kind == ASK:
            self.read()  # after the asking came
            if self.core.known[0]:
                self.answer(SyncRequest(said.name, said.life, said.echo))
        elif said.kind == HAVE:
            self.core = self.core.hears(AppliedAck(said.name, said.number, said.digest))
        elif said.kind == WANT:
            self.serve(said)
        elif said.kind == OFFER and self.register is None:
            if (said.number, said.digest) in self.disk.have:
                self.say(said.name, HAVE, number=said.number, digest=said.digest)
            elif said.number > self.core.known[0]:
                self.want(said.number, said.digest, said.size, [said.name])
        elif said.kind == TEXT and self.register is None:
            self.piece(said)

    def piece(self, said: Said) -> None:
        text = self.pieces.took(said)
        if text is None:
            if said.first % AT_ONCE == AT_ONCE - 1 and (said.number, said.digest) not in self.disk.have:
                self.want(said.number, said.digest, said.size, [said.name])
            return
        spec = parse(text.decode("utf-8"))
        self.disk.keep(Version(said.number, spec.digest, spec))  # synced before the word
        self.texts[said.number, spec.digest] = text
        self.due.set()
        if said.name == COMMITTER:
            self.say(COMMITTER, HAVE, number=said.number, digest=spec.digest)


class Committer(Process):
    """Offers a text to all, serves it for a time, then commits it under the next number. Keepers tell the
    rest.
    """

    def __init__(self, ground: Ground, listen: str, path: str) -> None:
        """Raises SpecFaulty, NoFolder, NoAddress."""
        self.spec = load_spec(path)
        try:
            at = parse_peer(listen)
        except ValueError:
            raise NoAddress(file="the command", key="--listen", address=listen) from None
        super().__init__(ground, COMMITTER, listen)
        self.peers[self.name] = at
        self.kept: dict[str, None] = {}  # keepers that have the text on disk
        self.register: FolderRegister | None = None
        self.version = Version(0, self.spec.digest, self.spec)
        if ground.voters is None:
            self.register = FolderRegister(Path(ground.register), ground.file)
            have = self.register.read()
            self.numbered((have[-1].number if have else 0) + 1)

    def numbered(self, number: int) -> None:
        self.version = Version(number, self.spec.digest, self.spec)
        self.texts = {(number, self.spec.digest): self.spec.text.encode()}

    async def run(self, offer: float, wait: float = WAIT) -> Version:
        """offer: seconds for which it is offered; wait: for the voters, after that. Raises Outrun, NoWay."""
        await self.begin()
        if self.register is not None:
            await self.offers(time.monotonic() + offer)
            self.register.commit(self.version)
            return self.version
        assert self.ground.voters is not None
        with tempfile.TemporaryDirectory() as folder:
            voted = Voted(
                self.ground.voters,
                f"{COMMITTER}.{self.chance.randrange(SLOTS)}",
                self.listen,
                Path(folder),
                self.chance,
                self.log,
                commits=True,
            )
            voted.begin()
            try:
                line = await voted.first(time.monotonic() + wait)
                self.numbered((line[-1].number if line else 0) + 1)
                until = time.monotonic() + offer
                await self.offers(until, until + wait)
                size = len(self.spec.text.encode())
                await voted.commit(
                    Entry(self.version.number, bytes.fromhex(self.version.digest), size),
                    time.monotonic() + wait,
                )
            finally:
                await voted.end()
        return self.version

    async def offers(self, until: float, last: float = 0.0) -> None:
        """Until then, and with voters until a majority of keepers has the text: one that is committed must outlive us.
        Raises NoWay.
        """
        size, need = len(self.spec.text.encode()), len(self.ground.keepers) // 2 + 1
        while time.monotonic() < until or (last and len(self.kept) < need):
            if last and time.monotonic() >= last:
                raise NoWay(
                    f"{len(self.kept)} of {len(self.ground.keepers)} keepers took the text: nothing was committed",
                    f"start {', '.join(sorted(set(self.ground.keepers) - set(self.kept)))} and commit again",
                )
            for name in sorted(
                {**self.ground.members, **self.ground.keepers} if last else self.ground.members
            ):
                self.say(name, OFFER, number=self.version.number, digest=self.version.digest, size=size)
            await asyncio.sleep(0.2 if last else min(0.2, max(0.0, until - time.monotonic()) + 0.001))

    def heard(self, said: Said) -> None:
        if said.kind == WANT:
            self.serve(said)
        elif (
            said.kind == HAVE
            and said.name in self.ground.keepers
            and (said.number, said.digest) == (self.version.number, self.version.digest)
        ):
            self.kept[said.name] = None
