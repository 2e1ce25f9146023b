"""Emulated workers: slots, a line, uneven and changing speed, cold starts, reports, callbacks, and their ills."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

import httptools
import msgspec

from pathsaddle.config.schema import RequestClassTable
from pathsaddle.emulator.ground import speech
from pathsaddle.emulator.ground.speech import Hearing, Said
from pathsaddle.emulator.plan import Machines
from pathsaddle.emulator.served.world import TICKS, Listener, Sites, Wire, World

TRIES = 10  # that a callback makes
ANSWERS_IN = 2 * TICKS  # in which a dispatcher must answer a callback
COLD_STEP = 0.1  # seconds between looks at a cold worker's growing speed
NOTICED = 0.3  # seconds after which the machine's agent tells of a process that died


@dataclass(slots=True, eq=False)
class Job:
    tag: str
    scheme: RequestClassTable
    work: int
    slots: float
    memory: float
    dispatcher: int
    lease: int = 0
    left: float = 0.0
    started: int | None = None
    taken: bool = False  # the 202 is out
    over: bool = False
    failing: bool = False
    wire: Wire | None = None
    unheard: bool = False  # nothing that is said of it gets through
    also: list[tuple[Worker, Job]] = field(default_factory=list)  # repeats that were dropped for this one
    note: asyncio.TimerHandle | None = None


class OneSided:
    """A worker that is bad for some dispatchers and serves the rest as usual."""

    def __init__(self, how: str, among: list[int], strength: float) -> None:
        self.how = how
        self.among = dict.fromkeys(among)
        self.strength = strength


class Shared:
    """What a group of workers remembers against repeats: the first taking of each mark, and its job."""

    def __init__(self) -> None:
        self.marks: dict[str, tuple[int, Job]] = {}

    def knows(self, tag: str, now: int, window: int) -> Job | None:
        when, job = self.marks.get(tag, (0, None))
        return job if job is not None and now - when < window else None


class Memories:
    """Who shares what it remembers with whom: by scheme, as far as its group reaches."""

    def __init__(self) -> None:
        self.shared: dict[tuple[str, str, int], Shared] = {}

    def of(self, scheme: RequestClassTable, zone: str, cell: int) -> Shared:
        key = (scheme.name, "" if scheme.group == "all" else zone, cell if scheme.group == "cell" else 0)
        return self.shared.setdefault(key, Shared())


class Worker:
    """One worker machine; its process may die and start anew."""

    def __init__(
        self,
        world: World,
        sites: Sites,
        memories: Memories,
        name: str,
        kind: Machines,
        zone: str,
        cell: int,
        addresses: list[str],
    ) -> None:
        self.world = world
        self.sites = sites
        self.memories = memories
        self.name = name
        self.kind = kind
        self.zone = zone
        self.cell = cell
        self.addresses = addresses  # one for each dispatcher: by it we know who posts
        self.chance = world.chance(f"worker {name}")
        low, high = kind.speed
        self.speed = low + (high - low) * self.chance.random()
        self.schemes = {scheme.name: scheme for scheme in world.charter.schemes}
        self.started: int | None = None  # when the process last started; None: long ago
        self.slow = 0.0  # part of the machine that another program takes
        self.errors = 0.0
        self.untaken: dict[str, None] = {}
        self.lies = ""  # how its reports are untrue
        self.shown = 1.0  # what part of its load it reports, where they are too low
        self.stuck: tuple[float, int, int] = (0.0, 0, 0)  # what it goes on telling, where they stand still
        self.hung = False  # it takes jobs and works on none
        self.sides: dict[OneSided, None] = {}
        self.reaped: tuple[int, str] = (
            0,
            "",
        )  # idle connections die unseen after so long, and how that shows
        self.late = 0  # by how much reports are older than usual
        self.twice = False
        self.again: tuple[float, str, float] = (
            0.0,
            "",
            0.0,
        )  # part of its postings answered twice, how, how late
        self.frozen = 0
        self._thaw: list[asyncio.Future[None]] = []
        self.fell = False
        self.boot()

    def boot(self) -> None:
        """Its process starts, with nothing in it."""
        self.place = self.sites.place(self.name, self.zone)
        self.running: dict[Job, None] = {}
        self.line: deque[Job] = deque()
        self.jobs: dict[tuple[str, int], Job] = {}
        self.past: deque[tuple[int, float, int, int]] = deque(maxlen=4096)
        self.heavy: deque[tuple[int, float]] = deque()  # what came while cold
        self.free = float(self.kind.slots)
        self.room = self.kind.memory or float("inf")
        self.at = self.world.now()
        self.alarm: asyncio.TimerHandle | None = None
        self.results: dict[str, str] = {}  # of what it has done since its start: done, or failed
        self.fences: dict[str, int] = {}  # by job: leases up to this one are refused
        self.links: dict[int, list[tuple[Wire, Hearing]]] = {}
        self.listeners = [
            Listener(self.place, address, self._handler(i)) for i, address in enumerate(self.addresses)
        ]
        self._changed()

    def _handler(self, dispatcher: int) -> Any:
        def handle(sock: Any) -> Coroutine[Any, Any, None]:
            return self._serve(sock, dispatcher)

        return handle

    # Its ills.

    async def awake(self) -> None:
        while self.frozen:
            waiter: asyncio.Future[None] = self.world.loop.create_future()
            self._thaw.append(waiter)
            await waiter

    def freeze(self) -> None:
        self._advance()
        self.frozen += 1
        self._plan()

    def thaw(self) -> None:
        self._advance()
        self.frozen = max(0, self.frozen - 1)
        if not self.frozen:
            waiting, self._thaw = self._thaw, []
            for waiter in waiting:
                if not waiter.done():
                    waiter.set_result(None)
        self._plan()

    def hinder(self, slow: float) -> None:
        self._advance()
        self.slow = min(0.99, slow)
        self._plan()

    def hang(self, hung: bool) -> None:
        self._advance()
        self.hung = hung
        self._plan()

    def lie(self, how: str, shown: float) -> None:
        self.stuck = self._truth()
        self.lies, self.shown = how, shown

    def _side(self, dispatcher: int, *hows: str) -> float:
        """How strongly it is bad for that dispatcher in one of these forms."""
        return max(
            (side.strength for side in self.sides if side.how in hows and dispatcher in side.among),
            default=0.0,
        )

    def _loses(self, dispatcher: int, posting: bool) -> bool:
        """Whether what crosses between it and that dispatcher now gets lost."""
        strength = self._side(dispatcher, "loss", *(["hole"] if posting else []))
        return (strength > 0 and self.chance.random() < strength) or self.world.weather.loses(
            self.zone, self.sites.zone_of(dispatcher), self.name, f"d{dispatcher}"
        )

    def crash(self, told: bool = True) -> None:
        """Its process dies: what it held is gone; the machine's agent may tell whose it was."""
        if not self.place.alive:
            return
        lost = [job for job in self.jobs.values() if not job.over]
        self.world.add("crashed", worker=self.name)
        for job in lost:
            self._over(job, "lost")
        if self.alarm is not None:
            self.alarm.cancel()
        self.place.kill()
        if told:
            agent = self.sites.place(f"{self.name}'s agent", self.zone)
            agent.start(self._agent(agent, [job for job in lost if job.taken]))

    async def _agent(self, place: Any, lost: list[Job]) -> None:
        await asyncio.sleep(NOTICED)
        for job in lost:
            await self._call_back(place, job, {"state": "lost"})

    def restart(self, listed: bool = True) -> None:
        if self.place.alive or self.fell:
            return
        self.started = self.world.now()
        self.frozen, self.hung = 0, False
        self.boot()
        # Rule 4 binds those who were told of its start.
        self.world.add(
            "started_cold" if listed else "started_unlisted",
            worker=self.name,
            capacity=self.kind.slots * self.speed,
        )

    # Calls that come.

    async def _serve(self, sock: Any, dispatcher: int) -> None:
        there = self.sites.zone_of(dispatcher)
        wire = Wire(self.world, self.place, sock, there, self.name, f"d{dispatcher}", gate=self.awake)
        lost, last = False, self.world.now()  # what crosses from now on is lost; when something last did
        hearing = Hearing(calls=True)
        held: list[Job] = []  # taken from this connection and not answered
        missed: list[str] = []  # postings that were written to it and lost on their way

        def gone(at: int) -> None:
            for job in held:
                self._withdraw(job, at)
            for tag in missed:
                self.world.events.add(at, "withdrawn", id=tag, worker=self.name, ran=True)

        def miss(said: Said) -> None:
            missed.append(said.headers.get("req-id", ""))
            if said.method == "POST" and wire.gone_at is not None:  # closed while it was on its way
                gone(wire.gone_at)

        wire.on_gone = gone
        try:
            while True:
                at, data = await wire.recv()
                if not data:
                    return
                idle, last = at - last, at
                for said in hearing.feed(data, at):
                    if self._side(dispatcher, "refuse"):
                        self._unheard(said, dispatcher, reset=True)
                        wire.abort()
                        return
                    if self.reaped[0] and idle > self.reaped[0]:
                        self._unheard(said, dispatcher, reset=self.reaped[1] == "reset")
                        if self.reaped[1] == "reset":
                            wire.abort()
                            return
                        lost = True
                        miss(said)
                        continue
                    if lost or self._loses(dispatcher, said.method == "POST"):
                        # The job is lost, or all that is said of it.
                        lost = True
                        if said.method != "POST" or self.chance.random() < 0.5:
                            self._unheard(said, dispatcher)
                            miss(said)
                            continue
                        self._hear(said, dispatcher, wire, held)
                        for job in held:
                            job.unheard = True
                        continue
                    told = self._hear(said, dispatcher, wire, held)
                    if told is None:
                        continue
                    if wire.gone_at is None:
                        await wire.send(told)
                        if said.method == "POST" and self.again[0] and self.chance.random() < self.again[0]:
                            self.place.start(self._says_again(wire, said.headers.get("req-id", ""), told))
                    for job in held:
                        if wire.gone_at is None:
                            job.taken = True
                    held.clear()
        except (OSError, httptools.HttpParserError):
            pass
        finally:
            if self.place.alive:
                wire.close()

    async def _says_again(self, wire: Wire, tag: str, told: bytes) -> None:
        """A second answer on the same connection some milliseconds on, when another call may be out there."""
        _, how, latest = self.again
        await asyncio.sleep(0.001 + max(0.0, latest - 0.001) * self.chance.random())
        told = {"decline": speech.answer(503, {"Srv-Declined": "1"}), "taken": speech.answer(202)}.get(
            how, told
        )
        if wire.gone_at is None:
            try:
                await wire.send(told)
            except OSError:
                return
            self.world.add("said_again", id=tag, worker=self.name, how=how)

    def _unheard(self, said: Said, dispatcher: int, reset: bool = False) -> None:
        """What its sender wrote whole and it never got: for all that the sender can know it may have run. `reset`:
        the sender learns at once that it is out no more.
        """
        if said.method != "POST":
            return
        try:
            told = msgspec.json.decode(said.body)
            work, slots = int(told["work"]), float(told["slots"])
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            return
        self.world.events.add(
            said.whole,
            "came",
            id=said.headers.get("req-id", ""),
            worker=self.name,
            dispatcher=dispatcher,
            begun=said.begun,
            work=work,
            slots=slots,
            zone=self.zone,
            scheme=said.target.partition("?")[0].lstrip("/"),
            cell=self.cell,
            lease=int(said.headers.get("job-lease", "0")),
        )
        if reset:
            self.world.events.add(
                said.whole, "withdrawn", id=said.headers.get("req-id", ""), worker=self.name, ran=True
            )

    def _hear(self, said: Said, dispatcher: int, wire: Wire, held: list[Job]) -> bytes | None:
        if said.method == "GET" and said.target in ("/health", "/status/load"):
            self.world.events.add(said.begun, "looked", worker=self.name, dispatcher=dispatcher)
            report = self.report()
            body = msgspec.json.encode(report) if said.target == "/status/load" else b""
            return speech.answer(200, body=body)
        if said.method == "GET" and said.target.startswith("/jobs/") and self.kind.tells:
            return self._what_became(said, dispatcher)
        if said.method == "DELETE":
            tag = said.target.rpartition("/")[2]
            job = self.jobs.get((tag, dispatcher))
            if job is not None:
                self._withdraw(job, said.whole)
            return speech.answer(204)
        if said.method == "POST":
            return self._posting(said, dispatcher, wire, held)
        return speech.answer(404)

    def _what_became(self, said: Said, dispatcher: int) -> bytes:
        """Its word on a job by id. Since a restart it can't say of one that it does not know whether it ran."""
        tag, _, query = said.target[len("/jobs/") :].partition("?")
        fence = int(query.rpartition("=")[2] or 0)
        job = self.jobs.get((tag, dispatcher))
        if job is not None and not job.over:
            told: dict[str, Any] = {"state": "running", "lease": job.lease}
        elif tag in self.results:
            told = {"state": self.results[tag], "result": f"done {tag}"}
        elif self.started is not None:
            return speech.answer(404)
        else:
            self.fences[tag] = max(fence, self.fences.get(tag, 0))
            self.world.add("said_never", id=tag, worker=self.name, fence=fence)
            told = {"state": "never", "fence": fence}
        return speech.answer(200, body=msgspec.json.encode(told))

    def _posting(self, said: Said, dispatcher: int, wire: Wire, held: list[Job]) -> bytes | None:
        tag = said.headers.get("req-id", "")
        scheme = self.schemes.get(said.target.partition("?")[0].lstrip("/"))
        try:
            told = msgspec.json.decode(said.body)
            work, slots = int(told["work"]), float(told["slots"])
            memory = float(told["memory"])
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            work, scheme = 0, None
        if not tag or scheme is None:
            self.world.events.add(said.whole, "nonsense", worker=self.name, dispatcher=dispatcher)
            return speech.answer(400)
        self.world.events.add(
            said.whole,
            "came",
            id=tag,
            worker=self.name,
            dispatcher=dispatcher,
            begun=said.begun,
            scheme=scheme.name,
            work=work,
            slots=slots,
            zone=self.zone,
            cell=self.cell,
            lease=int(said.headers.get("job-lease", "0")),
        )
        if wire.gone_at is not None:
            self.world.events.add(wire.gone_at, "withdrawn", id=tag, worker=self.name, ran=False)
            return None
        lease = int(said.headers.get("job-lease", "0"))
        job = Job(tag, scheme, work, slots, memory, dispatcher, lease, left=float(work), wire=wire)
        if lease and lease <= self.fences.get(tag, 0):
            self.world.add("turned_away", id=tag, worker=self.name)
            return speech.answer(503, {"Srv-Declined": "1", "Srv-Load": self._load_line()})
        if scheme.name in self.untaken:
            held.append(job)
            return None
        if self.errors and self.chance.random() < self.errors:
            if self.chance.random() < 0.5:
                self._ended(job, "error")
                return speech.answer(500)
            job.failing = True
        if self._topples(work * slots):
            return None
        first = (
            self.memories.of(scheme, self.zone, self.cell).knows(tag, self.world.now(), scheme.window)
            if scheme.semantics == "referenced" and self.world.plan.fleet.repeats
            else None
        )
        if first is not None:
            self.world.add("dropped_repeat", id=tag, worker=self.name)
            held.append(job)  # until its 202 is out: a connection that breaks before ends this posting, too
            first.also.append((self, job))
            self.jobs[tag, dispatcher] = job
            if first.over:
                self.place.start(self._later(job))
            return speech.answer(202)
        if slots > self.kind.slots or (not self._fits(job) and len(self.line) >= self.kind.line):
            self.world.add("turned_away", id=tag, worker=self.name)
            return speech.answer(503, {"Srv-Declined": "1", "Srv-Load": self._load_line()})
        self.jobs[tag, dispatcher] = job
        if scheme.semantics == "referenced":
            self.memories.of(scheme, self.zone, self.cell).marks[tag] = (said.whole, job)
        held.append(job)
        self._advance()
        self.line.append(job)
        self._admit()
        self._plan()
        return speech.answer(202)

    async def _later(self, job: Job) -> None:
        await asyncio.sleep(0.001)
        self._repeat_ends(job)

    def _repeat_ends(self, job: Job) -> None:
        if not job.over and self.place.alive:
            self._over(job, "repeat")
            self.place.start(
                self._call_back(
                    self.place, job, {"state": "done", "result": f"done {job.tag}", "load": self.report()}
                )
            )

    # Running.

    def _fits(self, job: Job) -> bool:
        return not self.line and self.free >= job.slots and self.room >= job.memory

    def _admit(self) -> None:
        """The first that waits starts as soon as it fits; the others behind it wait."""
        while self.line and self.free >= self.line[0].slots and self.room >= self.line[0].memory:
            job = self.line.popleft()
            self.free -= job.slots
            self.room -= job.memory
            self.running[job] = None
            job.started = self.world.now()
            self.world.add("ran", id=job.tag, worker=self.name)
            if self.world.charter.reports.starts and not self.hung:
                self.place.start(self._call_back(self.place, job, {"state": "started"}))
            self._note_later(job)
            if job.failing:
                job.left = min(job.left, 20.0)
        self._changed()

    def _note_later(self, job: Job) -> None:
        every = self.world.charter.reports.progress
        if every:
            job.note = self.world.loop.call_later(every / TICKS, self._note, job)

    def _note(self, job: Job) -> None:
        if job.over or not self.place.alive:
            return
        if not self.frozen and not self.hung:
            self._advance()
            share = max(0.0, min(1.0, 1.0 - job.left / max(1, job.work)))
            self.place.start(self._call_back(self.place, job, {"state": "running", "share": round(share, 3)}))
        self._note_later(job)

    def able(self) -> float:
        """What part of its work it can do: less for a while after its start."""
        rules = self.world.charter.rules
        if self.started is None:
            return 1.0
        warm = min(1.0, (self.world.now() - self.started) / max(1, rules.cold_time))
        return rules.cold_share + (1.0 - rules.cold_share) * warm

    def _rate(self) -> float:
        return 0.0 if self.frozen or self.hung else self.speed * self.able() * (1.0 - self.slow)

    def _advance(self) -> None:
        now = self.world.now()
        gone = (now - self.at) * self._rate()
        self.at = now
        for job in self.running:
            job.left -= gone

    def _plan(self) -> None:
        """When to look again: at the next job's end, and now and then while the speed grows."""
        if self.alarm is not None:
            self.alarm.cancel()
            self.alarm = None
        rate = self._rate()
        if not self.running or not rate or not self.place.alive:
            return
        due = max(0.0, min(job.left for job in self.running)) / rate / TICKS
        if self.able() < 1.0:
            due = min(due, COLD_STEP)
        self.alarm = self.world.loop.call_later(max(0.0001, due), self._due)

    def _due(self) -> None:
        if not self.place.alive:
            return
        self._advance()
        for job in [job for job in self.running if job.left <= 0.5]:
            self._leave(job)
            self.results[job.tag] = "failed" if job.failing else "done"
            self._ended(job, self.results[job.tag])
            told: dict[str, Any] = (
                {"state": "failed"} if job.failing else {"state": "done", "result": f"done {job.tag}"}
            )
            told["load"] = self.report()
            self.place.start(self._call_back(self.place, job, told))
        self._admit()
        self._plan()

    def _leave(self, job: Job) -> None:
        if job in self.running:
            del self.running[job]
            self.free += job.slots
            self.room += job.memory
        elif job in self.line:
            self.line.remove(job)

    def _ended(self, job: Job, how: str) -> None:
        self._over(job, how)
        for other, repeat in job.also:
            other._repeat_ends(repeat)

    def _over(self, job: Job, how: str) -> None:
        job.over = True
        self.jobs.pop((job.tag, job.dispatcher), None)
        if job.note is not None:
            job.note.cancel()
        self.world.add("ended", id=job.tag, worker=self.name, how=how)

    def _withdraw(self, job: Job, at: int) -> None:
        """Given up by its dispatcher: what becomes of it is the plan's `withdrawal`."""
        if job.over:
            return
        does = self.world.plan.fleet.withdrawal
        self._advance()
        stops = (
            (job in self.line and does != "nothing")
            or (job in self.running and does == "all")
            or (job not in self.line and job not in self.running)
        )
        self.world.events.add(at, "withdrawn", id=job.tag, worker=self.name, ran=job.started is not None)
        if stops:
            self._leave(job)
            self._over(job, "withdrawn")
            shared = self.memories.of(job.scheme, self.zone, self.cell)
            if job.started is None and shared.marks.get(job.tag, (0, None))[1] is job:
                del shared.marks[job.tag]
            self._admit()
            self._plan()

    def _topples(self, work: float) -> bool:
        """Sent more than so many times what it can do for so long while cold, it falls over and stays down."""
        rules = self.world.charter.rules
        able = self.able()
        if able >= 1.0 or not rules.fall_multiple:
            return False
        now = self.world.now()
        self.heavy.append((now, work))
        while self.heavy[0][0] <= now - rules.fall_time:
            self.heavy.popleft()
        most = rules.fall_multiple * able * self.kind.slots * self.speed * rules.fall_time
        if sum(part for _, part in self.heavy) <= most:
            return False
        self.world.add("fell", worker=self.name)
        self.fell = True
        self.crash()
        return True

    # What it tells.

    def _changed(self) -> None:
        self.past.append((self.world.now(), self.free, len(self.line), len(self.running) + len(self.line)))

    def report(self) -> dict[str, float]:
        """As of its last refresh, or older; a liar claims to be idle."""
        fresh = max(1, self.world.plan.fleet.fresh)
        moment = self.world.now() // fresh * fresh - self.late
        free, line, held = self._truth(moment)
        slots = float(self.kind.slots)
        if self.lies == "zero":
            free, line, held = slots, 0, 0
        elif self.lies == "low":
            free, line, held = (
                slots - (slots - free) * self.shown,
                int(line * self.shown),
                int(held * self.shown),
            )
        elif self.lies == "stuck":
            free, line, held = self.stuck
        elif self.lies == "full":
            free, line, held = 0.0, max(line, self.kind.line), self.kind.slots + max(line, self.kind.line)
        figures = {"x0": free, "queue": line, "inflight": held, "waiting": line, "active": held}
        return {name: figures[name] for name in self.world.charter.reports.fields if name in figures}

    def _truth(self, moment: int | None = None) -> tuple[float, int, int]:
        """Free slots, the line and jobs held as of a moment, now where none is given."""
        for when, *told in reversed(self.past):
            if moment is None or when <= moment:
                return told[0], int(told[1]), int(told[2])
        return float(self.kind.slots), 0, 0

    def weight(self) -> float:
        """As the list has it: its size, lowered the more it says that it holds, where the plan's weights are live."""
        if self.world.plan.fleet.weights == "even":
            return 1.0
        told = self.report()
        held = float(self.kind.slots) - told.get("x0", float(self.kind.slots)) + told.get("queue", 0.0)
        return round(self.kind.slots / (1.0 + held / self.kind.slots), 3)

    def _load_line(self) -> str:
        return ",".join(f"{name}={value:g}" for name, value in self.report().items())

    async def _call_back(self, place: Any, job: Job, told: dict[str, Any]) -> None:
        body = msgspec.json.encode({"id": job.tag, "from": self.name, **told})
        call = speech.call("POST", "/callback", {}, body)
        again = self.twice and told["state"] not in ("running", "started")
        for n in range(TRIES):
            await self.awake()
            if job.unheard:
                return
            if place is self.place and (
                self._side(job.dispatcher, "refuse") or self._loses(job.dispatcher, True)
            ):
                if self._side(job.dispatcher, "hole"):
                    return  # answers are lost like postings, and whoever sends them never learns of it
                await asyncio.sleep(ANSWERS_IN / TICKS)
                continue
            if await self._tell(place, job.dispatcher, call):
                self.world.add("told", id=job.tag, worker=self.name, state=told["state"])
                if not again:
                    return
                again = False
            await asyncio.sleep(0.05 * (1 << min(n, 5)))

    async def _tell(self, place: Any, dispatcher: int, call: bytes) -> bool:
        """One try on a kept connection or a new one; whether it was answered."""
        kept = self.links.setdefault(dispatcher, []) if place is self.place else []
        wire = None
        try:
            async with asyncio.timeout(ANSWERS_IN / TICKS):
                while kept:
                    wire, hearing = kept.pop()
                    if wire.gone_at is None:
                        break
                    wire.close()
                    wire = None
                if wire is None:
                    sock, peer = place.stream(self.sites.listen_of(dispatcher))
                    try:
                        await self.world.weather.passes(
                            self.zone, self.sites.zone_of(dispatcher), self.name, f"d{dispatcher}"
                        )
                        await self.world.loop.sock_connect(sock, peer)
                    except BaseException:
                        place.let_go(sock)
                        raise
                    wire = Wire(
                        self.world,
                        place,
                        sock,
                        self.sites.zone_of(dispatcher),
                        self.name,
                        f"d{dispatcher}",
                        gate=self.awake,
                    )
                    hearing = Hearing(calls=False)
                await wire.send(call)
                said = await wire.said(hearing)
                if said is None:
                    wire.close()
                    return False
                if said.keep and place is self.place:
                    kept.append((wire, hearing))
                else:
                    wire.close()
                return said.status in (200, 204)
        except (OSError, TimeoutError, httptools.HttpParserError):
            if wire is not None:
                wire.close()
            return False
