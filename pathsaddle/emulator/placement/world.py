"""Islands on a virtual ground: discrete events, one seed, the same story each time.

The book's keeper stands in for the register's voters; three planners take turns by a lease that they keep
badly when they are stopped; hands install what they are told, now and then into the wrong bay; hardware comes
in batches, late or dead; islands and units fail; large jobs come, hold slots of one island and end. A month
is a minute.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from random import Random
from typing import Any

from pathsaddle.emulator.placement.policies import Choose
from pathsaddle.event_log import EventLog
from pathsaddle.placement import changes
from pathsaddle.placement.audit_events import AuditEvent
from pathsaddle.placement.changes import Change
from pathsaddle.placement.errors import PlanRejectedError, RejectionReason
from pathsaddle.placement.inventory import (
    Inventory,
    Island,
    JobCount,
    Kind,
    Target,
    Unit,
    UnitState,
    sum_demand,
)
from pathsaddle.placement.ledger import MemoryLedger
from pathsaddle.placement.placement_state import PlacementState
from pathsaddle.placement.planning import make_plan
from pathsaddle.placement.problem import assess, build_problem
from pathsaddle.placement.rollout import (
    IslandOrder,
    LedgerStep,
    MakePlan,
    RenewStep,
    ReserveStep,
    Rollout,
    StopRollout,
)
from pathsaddle.scheduler_types import SECOND

CLAIM = 5 * SECOND  # a planner's lease on being the planner
LEASE = 8 * SECOND  # on a reservation
LOOK = SECOND // 2
PATIENCE = 60 * SECOND  # how long a large job waits
FRESH = 30 * SECOND


@dataclass(frozen=True)
class Trouble:
    """Rates are a minute, over all that it can befall; parts are of each case."""

    stop: float = 0.0  # a planner stands still for up to 20 s
    kill: float = 0.0
    cut: float = 0.0  # a planner from the keeper or from the islands, or one way only, for up to 20 s
    island: float = 0.0  # lost, for 20 to 60 s
    unit: float = 0.0  # a serving one dies
    dead: float = 0.0  # part of units that are dead on arrival
    wrong: float = 0.0  # part of installs into another bay
    ghost: float = 0.0  # an island tells a unit that it hasn't
    deaf: float = 0.0  # part of dispatchers that tell nothing


@dataclass(frozen=True)
class Site:
    """islands: how many; filled: part of the bays that serve at first; batches: every so many seconds; jobs:
    a second.
    """

    seconds: int = 300
    islands: int = 10
    bays: tuple[int, int] = (8, 24)
    filled: float = 0.45
    batches: float = 20.0
    batch: tuple[int, int] = (4, 16)
    load: float = 0.8  # work that comes, a part of all slots that there will be
    cold: int = 6
    trouble: Trouble = Trouble()


KINDS = (Kind("wide", 4, 900, 2, 40), Kind("deep", 8, 1200, 2, 60))
WIDTHS = {"wide": ((8, 0.5), (16, 0.35), (32, 0.15)), "deep": ((16, 0.6), (48, 0.4))}


@dataclass(slots=True)
class Job:
    name: str
    kind: str
    width: int
    hold: int
    came: int
    member: int
    on: list[tuple[str, int]] = field(default_factory=list)  # (unit, slots)
    began: int = -1


class Bench:
    """The moments of the virtual ground."""

    def __init__(self) -> None:
        self.now = 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0

    def after(self, ticks: float, what: Callable[[], None]) -> None:
        self.count += 1
        heappush(self.heap, (self.now + max(1, int(ticks)), self.count, what))

    def run(self, until: int) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, what = heappop(self.heap)
            what()
        self.now = until


@dataclass(frozen=True)
class Ask:
    """What a planner waits for: an answer from `to` (`keeper`, `register`), or a while."""

    to: str
    life: int = 0  # to the register: which life of the planner asks
    change: Change | None = None  # to the keeper; None: the state is read
    ticks: int = 0


Life = Generator[Ask, Any, None]


class Planner:
    """One of three processes. Its life is a generator, so that it can be stopped and killed between any two
    of its moves; its clock runs up to 2% off.
    """

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.rate = 1 + world.random.uniform(-0.0099, 0.0099)
        self.offset = world.random.randrange(100 * SECOND)
        self.stopped = False
        self.cut = ""  # "keeper", "islands", "answers" (its calls arrive, their answers don't)
        self.missed: list[Callable[[], None]] = []
        self.number_of_life = 0
        self.life: Life | None = None
        self.born()

    def clock(self) -> int:
        return int(self.world.bench.now * self.rate) + self.offset

    def true(self, moment: int) -> int:
        return int((moment - self.offset) / self.rate)

    def born(self) -> None:
        self.number_of_life += 1
        self.missed.clear()
        self.life = self.lived()
        self.world.events.add(self.world.bench.now, "member.began", who=self.name, life=self.number_of_life)
        self.resumed(self.number_of_life, None)

    def killed(self) -> None:
        self.life = None
        self.world.events.add(self.world.bench.now, "member.ended", who=self.name, why="killed")
        self.world.bench.after(self.world.random.uniform(1, 8) * SECOND, self.born)

    def woken(self) -> None:
        self.stopped = False
        missed, self.missed = self.missed, []
        for one in missed:
            one()

    def resumed(self, life: int, answer: Any) -> None:
        """Goes on with an answer; what comes for a life that is over is let be."""
        if life != self.number_of_life or self.life is None:
            return
        if self.stopped:
            self.missed.append(lambda: self.resumed(life, answer))
            return
        try:
            ask = self.life.send(answer)
        except StopIteration:
            self.life = None
            self.world.bench.after(SECOND, self.born)
            return
        bench, random = self.world.bench, self.world.random
        if ask.to == "while":
            bench.after(ask.ticks, lambda: self.resumed(life, None))
            return
        state = {"answered": False}

        def back(told: Any) -> None:
            if not state["answered"]:
                state["answered"] = True
                self.resumed(life, told)

        def there() -> None:
            # What is under way when its sender stops or dies still arrives.
            if self.cut == "keeper":
                return
            told = self.world.answered(self.name, ask)
            if self.cut != "answers":
                bench.after(random.uniform(10, 300), lambda: back(told))

        bench.after(random.uniform(10, 300), there)
        bench.after(SECOND, lambda: back(None))  # no answer: unknown

    def lived(self) -> Life:
        world = self.world
        walk: Rollout | None = None
        book: PlacementState | None = None
        while True:
            claim = yield Ask("register", life=self.number_of_life)
            if claim is None and walk is not None and book is not None:
                for install in walk.orders_without_ledger(book.inventory, self.clock()):
                    world.ordered(self, walk.number, install.name, install.unit, install.bay)
            if not claim:
                if claim == 0:
                    walk = None
                yield Ask("while", ticks=int(world.random.uniform(0.5, 1.5) * SECOND))
                continue
            if walk is None or walk.number != claim:
                told = yield Ask("keeper", change=changes.BeginPlanner(claim))
                if not isinstance(told, PlacementState):
                    # Unknown, or made already while its answer was lost: nobody else has this number.
                    told = yield Ask("keeper")
                    if told is None or told.number != claim:
                        walk = None
                        yield Ask("while", ticks=LOOK)
                        continue
                walk = world.walk(claim, LEASE)
                world.events.add(world.bench.now, "planner", who=self.name, number=claim)
            looked = yield Ask("keeper")
            if looked is None:
                if book is not None:
                    for install in walk.orders_without_ledger(book.inventory, self.clock()):
                        world.ordered(self, walk.number, install.name, install.unit, install.bay)
                continue
            book = looked
            for order in walk.due_steps(book, self.clock()):
                if isinstance(order, StopRollout):
                    walk = None
                    break
                if isinstance(order, IslandOrder):
                    world.ordered(self, walk.number, order.name, order.unit, order.bay)
                    continue
                if isinstance(order, MakePlan):
                    yield Ask("while", ticks=int(world.random.uniform(0.1, 0.6) * SECOND))
                    change: Change = changes.ReplacePlan(
                        make_plan(book.inventory, walk.number, book.plan, world.choose)
                    )
                else:
                    assert isinstance(order, LedgerStep)
                    change = order.change(book, walk.number)
                asked = self.clock()
                told = yield Ask("keeper", change=change)
                if isinstance(told, PlanRejectedError):
                    if told.reason in (RejectionReason.NUMBER, RejectionReason.BASE, RejectionReason.PLAN):
                        break
                elif told is not None:
                    book = told
                    if isinstance(order, ReserveStep):
                        walk.on_reserved(order.unit, asked)
                    elif isinstance(order, RenewStep):
                        walk.on_renewed(told.inventory, asked)
                    for unit, until in (
                        sorted(walk.possible_ends.items())
                        if isinstance(order, ReserveStep | RenewStep)
                        else ()
                    ):
                        world.events.add(
                            world.bench.now,
                            "bay.hold",
                            who=self.name,
                            unit=unit,
                            number=walk.number,
                            until=self.true(until),
                        )
            yield Ask("while", ticks=LOOK)


class World:
    def __init__(
        self,
        site: Site,
        seed: int,
        choose: Choose,
        *,
        book: type[PlacementState] = PlacementState,
        walk: type[Rollout] = Rollout,
        start: Inventory | None = None,
    ) -> None:
        self.site, self.choose, self.walk = site, choose, walk
        self.random = Random(seed)  # of planners, hands and trouble
        self.jobs_random = Random(seed * 7919 + 1)  # the same jobs whatever the policy
        self.events = EventLog()
        self.bench = Bench()
        self.free: dict[str, int] = {}  # of serving units
        self.kind: dict[str, str] = {}
        self.down: dict[str, bool] = {}
        self.by_island: dict[str, list[str]] = {}
        self.physical: dict[str, str] = {}  # bay: unit
        self.store: dict[str, bool] = {}
        self.busy: dict[str, bool] = {}  # units that hands are at
        self.dead: dict[str, bool] = {}
        self.seen: dict[str, int] = {}  # island: highest number that ordered there
        self.waiting: list[Job] = []
        self.running: dict[str, Job] = {}
        self.peaks: dict[tuple[int, str, int], list[tuple[int, int]]] = {}
        self.waits: list[int] = []
        self.offered = self.served = 0
        self.moves = 0
        self.samples: list[tuple[int, int, float]] = []
        inventory = start if start is not None else made(site, Random(seed * 31 + 7))
        for unit in inventory.units:
            self.kind[unit.name] = unit.kind
            if unit.bay:
                self.physical[unit.bay] = unit.name
            elif unit.state is UnitState.HERE:
                self.store[unit.name] = True
        self.owner, self.owner_life, self.claimed, self.claim_until = "", 0, 0, 0
        self.keeper = MemoryLedger(book(inventory), self.tell)
        self.planners = [Planner(self, f"p{n}") for n in range(3)]
        self.ordered_units = 0
        self.bench.after(self.random.uniform(1, 5) * SECOND, self.batch)
        self.bench.after(1, self.job)
        self.bench.after(5 * SECOND, self.counted)
        self.bench.after(SECOND, self.sampled)
        trouble = site.trouble
        for rate, what in (
            (trouble.stop, self.stop),
            (trouble.kill, self.kill),
            (trouble.cut, self.cut),
            (trouble.island, self.lose),
            (trouble.unit, self.break_unit),
            (trouble.ghost, self.ghost),
        ):
            if rate:
                self.recur(60 * SECOND / rate, what)

    # The keeper, and who is planner.

    def tell(self, event: AuditEvent) -> None:
        what, more = event.event_name, event.members()
        self.events.add(self.bench.now, what, who="k", **more)
        unit = more.get("unit", "")
        if what == "bay.serve":
            island = self.keeper_island(more["bay"])
            self.free[unit] = self.slots(unit)
            self.by_island.setdefault(island, []).append(unit)
            if self.bench.now:
                self.bench.after(1, self.started)
        elif what in ("bay.leave", "bay.fail", "bay.out"):
            for there in self.by_island.values():
                if unit in there:
                    there.remove(unit)
            if what == "bay.leave" and unit not in self.dead:
                self.moves += 1
        elif what in ("island.lost", "island.back"):
            self.down[more["island"]] = what == "island.lost"

    def keeper_island(self, bay: str) -> str:
        return bay.rpartition("/")[0]

    def slots(self, unit: str) -> int:
        return next(kind.slots for kind in KINDS if kind.name == self.kind[unit])

    def answered(self, name: str, ask: Ask) -> Any:
        if ask.to == "register":
            if self.owner != name and self.bench.now < self.claim_until:
                return 0
            # A new life does not know what the old one began: it has a number of its own.
            if (self.owner, self.owner_life) != (name, ask.life) or self.bench.now >= self.claim_until:
                self.owner, self.owner_life, self.claimed = name, ask.life, self.claimed + 1
            self.claim_until = self.bench.now + CLAIM
            return self.claimed
        if ask.change is None:
            return self.keeper.read()
        try:
            return self.keeper.apply(ask.change)
        except PlanRejectedError as why:
            return why

    def word(self, change: Change) -> None:
        """What hands and islands tell reaches the keeper some time."""
        self.bench.after(self.random.uniform(0.01, 0.5) * SECOND, lambda: self._told(change))

    def _told(self, change: Change) -> None:
        self.keeper.apply(change)

    # Hands.

    def ordered(self, planner: Planner, number: int, does: str, unit: str, bay: str) -> None:
        if planner.cut == "islands":
            return
        self.bench.after(
            self.random.uniform(10, 500), lambda: self.handled(planner.name, number, does, unit, bay)
        )

    def handled(self, by: str, number: int, does: str, unit: str, bay: str) -> None:
        island = self.keeper_island(bay)
        taken = number >= self.seen.get(island, 0)
        if self.down.get(island):
            return
        if not taken:
            self.events.add(
                self.bench.now, "effect", who=island, key="placement", number=number, by=by, taken=False
            )
            return
        self.seen[island] = number
        if self.busy.get(unit):
            return
        if does == "install" and unit in self.store:
            self.events.add(
                self.bench.now, "effect", who=island, key="placement", number=number, by=by, taken=True
            )
            del self.store[unit]
            self.busy[unit] = True
            if self.random.random() < self.site.trouble.wrong:
                empty = [
                    other
                    for one in self.keeper.state.inventory.islands
                    for other in one.bays
                    if other not in self.physical and other != bay
                ]
                bay = self.random.choice(empty) if empty else bay
            self.bench.after(self.random.uniform(1, 4) * SECOND, lambda: self.installed(unit, bay))
        elif does == "warm" and self.physical.get(bay) == unit:
            self.busy[unit] = True
            self.bench.after(self.random.uniform(2, 6) * SECOND, lambda: self.warmed(unit))
        elif (
            does == "pull"
            and self.physical.get(bay) == unit
            and not any(unit == one for job in self.running.values() for one, _ in job.on)
        ):
            self.busy[unit] = True
            self.bench.after(self.random.uniform(1, 3) * SECOND, lambda: self.pulled(unit, bay))

    def installed(self, unit: str, bay: str) -> None:
        self.busy.pop(unit, None)
        if bay in self.physical:
            # Somebody's unit is in it: back to the store, and what is there is told.
            self.store[unit] = True
            self.word(changes.ReportUnitFound(self.physical[bay], bay))
            return
        self.physical[bay] = unit
        self.events.add(self.bench.now, "island.in", who=self.keeper_island(bay), unit=unit, bay=bay)
        self.word(changes.ReportUnitFound(unit, bay))
        if unit in self.dead:
            self.bench.after(SECOND, lambda: self.word(changes.ReportUnitDead(unit)))

    def warmed(self, unit: str) -> None:
        self.busy.pop(unit, None)
        self.word(changes.ReportUnitWarm(unit))

    def pulled(self, unit: str, bay: str) -> None:
        self.busy.pop(unit, None)
        del self.physical[bay]
        self.events.add(self.bench.now, "island.out", who=self.keeper_island(bay), unit=unit, bay=bay)
        if unit not in self.dead:
            self.store[unit] = True
        self.word(changes.ReportUnitPulled(unit))

    # Hardware and trouble.

    def recur(self, mean: float, what: Callable[[], None]) -> None:
        def once() -> None:
            what()
            self.bench.after(self.random.expovariate(1) * mean, once)

        self.bench.after(self.random.expovariate(1) * mean, once)

    def batch(self) -> None:
        """Ordered now; comes when it comes."""
        batch = []
        for _ in range(self.jobs_random.randint(*self.site.batch)):
            self.ordered_units += 1
            kind = self.jobs_random.choices(KINDS, (0.6, 0.4))[0].name
            unit = Unit(f"n{self.ordered_units}", kind, UnitState.ORDERED)
            self.kind[unit.name] = kind
            if self.jobs_random.random() < self.site.trouble.dead:
                self.dead[unit.name] = True
            batch.append(unit)
        self.keeper.apply(changes.AddUnits(tuple(batch)))

        def came() -> None:
            for unit in batch:
                self.store[unit.name] = True
            self.keeper.apply(changes.AddUnits(tuple(replace(unit, state=UnitState.HERE) for unit in batch)))

        self.bench.after(self.jobs_random.uniform(0.1, 1.5) * self.site.batches * SECOND, came)
        self.bench.after(self.site.batches * SECOND, self.batch)

    def stop(self) -> None:
        planner = self.random.choice(self.planners)
        if not planner.stopped:
            planner.stopped = True
            self.bench.after(self.random.uniform(0.5, 20) * SECOND, planner.woken)

    def kill(self) -> None:
        planner = self.random.choice(self.planners)
        if planner.life is not None:
            planner.killed()

    def cut(self) -> None:
        planner = self.random.choice(self.planners)
        planner.cut = self.random.choice(("keeper", "islands", "answers"))

        def healed() -> None:
            planner.cut = ""

        self.bench.after(self.random.uniform(1, 20) * SECOND, healed)

    def lose(self) -> None:
        island = self.random.choice(self.keeper.state.inventory.islands)
        if not island.up:
            return
        for job in [
            job
            for job in self.running.values()
            if any(unit in self.by_island.get(island.name, ()) for unit, _ in job.on)
        ]:
            self.dropped(job)
        self.word(changes.ChangeIsland(replace(island, up=False)))
        self.bench.after(
            self.random.uniform(20, 60) * SECOND, lambda: self.word(changes.ChangeIsland(island))
        )

    def break_unit(self) -> None:
        serving = [unit for units in self.by_island.values() for unit in units]
        if serving:
            unit = self.random.choice(serving)
            self.dead[unit] = True
            for job in [job for job in self.running.values() if any(one == unit for one, _ in job.on)]:
                self.dropped(job)
            self.word(changes.ReportUnitDead(unit))

    def ghost(self) -> None:
        """An island tells a unit in an empty bay of its that stands elsewhere, and clears that up later."""
        empty = [
            bay
            for island in self.keeper.state.inventory.islands
            for bay in island.bays
            if bay not in self.physical
        ]
        if empty and self.physical:
            bay, unit = self.random.choice(empty), self.random.choice(sorted(self.physical.values()))
            self.word(changes.ReportUnitFound(unit, bay))
            self.bench.after(10 * SECOND, lambda: self.word(changes.ReportBayCleared(bay)))

    # Large jobs.

    def job(self) -> None:
        random, site = self.jobs_random, self.site
        kind = KINDS[0] if random.random() < 0.6 else KINDS[1]
        widths = WIDTHS[kind.name]
        width = random.choices([one for one, _ in widths], [part for _, part in widths])[0]
        hold = int(random.uniform(10, 30) * SECOND)
        job = Job(
            f"j{len(self.waits) + len(self.waiting) + len(self.running)}-{self.bench.now}",
            kind.name,
            width,
            hold,
            self.bench.now,
            random.randrange(4),
        )
        self.offered += width * hold
        self.waiting.append(job)
        self.started()
        self.bench.after(PATIENCE, lambda: self.gave_up(job))
        bays = site.islands * sum(site.bays) / 2
        mean = 18.9 * 20  # slots times seconds of the mean job
        rate = site.load * bays * 0.8 * 5.6 / mean
        self.bench.after(random.expovariate(rate) * SECOND, self.job)

    def gave_up(self, job: Job) -> None:
        if job in self.waiting:
            self.waiting.remove(job)
            self.waits.append(PATIENCE)

    def started(self) -> None:
        """Whoever fits begins, in the order of coming, on the island where it leaves least free."""
        room: dict[tuple[str, str], int] = {}
        for island, units in self.by_island.items():
            if not self.down.get(island):
                for unit in units:
                    key = (island, self.kind[unit])
                    room[key] = room.get(key, 0) + self.free[unit]
        for job in list(self.waiting):
            can = sorted(
                (free, island)
                for (island, kind), free in room.items()
                if kind == job.kind and free >= job.width
            )
            if not can:
                continue
            free, island = can[0]
            room[island, job.kind] = free - job.width
            left = job.width
            for unit in self.by_island[island]:
                if left and self.kind[unit] == job.kind and self.free[unit]:
                    take = min(left, self.free[unit])
                    self.free[unit] -= take
                    left -= take
                    job.on.append((unit, take))
            job.began = self.bench.now
            self.waiting.remove(job)
            self.running[job.name] = job
            self.events.add(
                self.bench.now,
                "bay.job",
                who=island,
                job=job.name,
                island=island,
                width=job.width,
                state="begun",
            )
            began = job.began
            self.bench.after(job.hold, lambda job=job, began=began: self.finished(job, began))  # type: ignore[misc]

    def left(self, job: Job) -> None:
        del self.running[job.name]
        for unit, slots in job.on:
            self.free[unit] += slots
        job.on = []
        self.events.add(
            self.bench.now, "bay.job", who="jobs", job=job.name, island="", width=job.width, state="ended"
        )

    def finished(self, job: Job, began: int) -> None:
        if self.running.get(job.name) is job and job.began == began:
            self.left(job)
            self.served += job.width * job.hold
            self.waits.append(began - job.came)
            self.started()

    def dropped(self, job: Job) -> None:
        """What it ran on is gone: it waits again, from its beginning."""
        self.left(job)
        self.waiting.append(job)
        if self.bench.now >= job.came + PATIENCE:
            self.gave_up(job)

    # What dispatchers count, and what is measured.

    def counted(self) -> None:
        now = self.bench.now
        open_: dict[tuple[int, str, int], int] = {}
        for job in [*self.waiting, *self.running.values()]:
            key = (job.member, job.kind, job.width)
            open_[key] = open_.get(key, 0) + 1
        counts = []
        for member in range(4):
            for kind, widths in WIDTHS.items():
                for width, _ in widths:
                    key = (member, kind, width)
                    rows = self.peaks.setdefault(key, [])
                    rows.append((now, open_.get(key, 0)))
                    rows[:] = [row for row in rows if row[0] > now - 60 * SECOND]
                    age = 0 if member >= self.site.trouble.deaf * 4 else now + 2 * FRESH
                    counts.append(JobCount(f"d{member}", kind, width, max(jobs for _, jobs in rows), age))
        asked = sum_demand(tuple(counts), tuple(f"d{member}" for member in range(4)), FRESH, 2)
        self.keeper.apply(changes.ChangeDemand(asked, self.keeper.state.inventory.targets))
        self.bench.after(5 * SECOND, self.counted)

    def sampled(self) -> None:
        inventory = self.keeper.state.inventory
        problem = build_problem(inventory)
        found = assess(problem, [list(row) for row in problem.serving])
        whole = sum(
            (problem.total_units(k) - sum(row[k] for row in problem.serving)) * kind.slots
            for k, kind in enumerate(problem.kinds)
        )
        fits = [
            min(1.0, wide / width)
            for wide, width in zip(found.widest, problem.target_width, strict=True)
            if width
        ]
        self.samples.append((found.stranded - whole, found.headroom or 0, min(fits, default=1.0)))
        self.bench.after(SECOND, self.sampled)

    def ran(self) -> World:
        self.bench.run(self.site.seconds * SECOND)
        return self

    def measured(self) -> dict[str, float]:
        """work: part of the work that came and ended; waits in seconds (a job that gave up: its patience);
        the rest are means over time. widest: part of the target that fits after the loss of any one island,
        the worst kind.
        """
        end = self.bench.now
        came = self.offered - sum(job.width * job.hold for job in [*self.waiting, *self.running.values()])
        waits = sorted([*self.waits, *(end - job.came for job in self.waiting)])
        count = max(1, len(self.samples))
        return {
            "work": self.served / max(1, came),
            "wait p50": waits[len(waits) // 2] / SECOND,
            "wait p99": waits[len(waits) * 99 // 100] / SECOND,
            "stranded": sum(row[0] for row in self.samples) / count,
            "headroom": sum(row[1] for row in self.samples) / count / 1000,
            "widest": sum(row[2] for row in self.samples) / count,
            "moves": float(self.moves),
        }


def made(site: Site, random: Random) -> Inventory:
    """Islands of different sizes, some short of power; some bays filled by whoever filled them."""
    islands: list[Island] = []
    units: list[Unit] = []
    for n in range(site.islands):
        bays = random.randint(*site.bays)
        name = f"i{n}"
        islands.append(
            Island(
                name,
                f"z{n % 3}",
                tuple(f"{name}/{bay + 1}" for bay in range(bays)),
                bays * random.choice((850, 1000, 1200)),
                bays * 2,
                bays * 60,
            )
        )
        power = 0
        for bay in range(bays):
            kind = random.choices(KINDS, (0.6, 0.4))[0]
            if random.random() < site.filled and power + kind.power <= islands[-1].power:
                power += kind.power
                units.append(Unit(f"u{len(units)}", kind.name, UnitState.SERVING, f"{name}/{bay + 1}"))
    targets = tuple(Target(kind, max(width for width, _ in widths)) for kind, widths in WIDTHS.items())
    return Inventory(KINDS, tuple(islands), tuple(units), (), targets, cold_budget=site.cold)
