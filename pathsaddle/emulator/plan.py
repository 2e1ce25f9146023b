"""What a run is told: the fleet, the load, the faults, the bounds. Checked whole before anything starts."""

from __future__ import annotations

import copy
import fnmatch
import re
from pathlib import Path
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field
from msgspec.structs import fields

from pathsaddle.config.schema import ConfigTable, Configuration
from pathsaddle.config.units import Duration
from pathsaddle.config.validation import ConfigKeyError, InvalidConfigError, load_toml, validate
from pathsaddle.errors import access, why

MS, S = 10, 10_000
Part = Annotated[float, Meta(ge=0, le=1)]
Span = Annotated[list[float], Meta(min_length=2, max_length=2)]
Times = Annotated[list[Duration], Meta(min_length=2, max_length=2)]


class Machines(ConfigTable):
    """Workers of one kind.

    count: how many; they are named kind-0, kind-1 ... and spread over the zones in turn.
    kind: their kind of machine.
    slots: how many jobs each runs at once.
    speed: from, to; each worker's own is drawn between. Hints count work at speed 1.
    line: how many jobs may wait; more are turned away.
    memory: what its jobs together may take; 0 is no bound.
    cell: how many neighbours share a small group.
    tells: whether it can say, asked by a job's id, what became of it, and then refuses older leases.
    zones: where they stand; none: in all zones in turn.
    """

    count: Annotated[int, Meta(ge=1, le=5000)]
    kind: str = "node"
    slots: Annotated[int, Meta(ge=1)] = 2
    speed: Span = field(default_factory=lambda: [1.0, 1.0])
    line: Annotated[int, Meta(ge=0)] = 8
    memory: Annotated[float, Meta(ge=0)] = 0.0
    cell: Annotated[int, Meta(ge=1)] = 4
    tells: bool = True
    zones: list[str] = field(default_factory=list)


class Network(ConfigTable):
    """What lies between.

    near: one way within a zone.
    far: one way between zones.
    spread: a message takes up to so much longer, as a part.
    """

    near: Duration = Duration(2)
    far: Duration = Duration(40)
    spread: Annotated[float, Meta(ge=0)] = 0.3


class Fleet(ConfigTable):
    """Who serves.

    dispatchers: how many; they stand in the charter's zones in turn.
    workers: kinds of workers.
    network: what lies between.
    withdrawal: what a withdrawn posting's job does: nothing stops, waiting ones are dropped, all stop.
    repeats: whether workers drop repeats of referenced txns within their group and window.
    weights: what the list says of a worker's size: the same for all, or lowered by what each says that it holds.
    fresh: how often a worker's report is made anew.
    lag: how late discovery tells, drawn between.
    roster_rate: calls a second that discovery works through in turn, for all dispatchers together, also those
        that it has told after two seconds that they waited too long; 0: any number.
    sync: how long a sync of a dispatcher's disk takes, about.
    notice: after how long the front layer notices a dead dispatcher, drawn between.
    parts: named parts of the dispatchers, each a list of patterns of their names.
    old_list: what a restarted dispatcher has: the list of the run's start, or that of its death.
    """

    dispatchers: Annotated[int, Meta(ge=1, le=1000)] = 4
    workers: list[Machines] = field(default_factory=lambda: [Machines(count=8)])
    network: Network = field(default_factory=Network)
    withdrawal: Literal["nothing", "waiting", "all"] = "waiting"
    repeats: bool = True
    weights: Literal["even", "live"] = "even"
    fresh: Duration = Duration(5 * MS)
    lag: Times = field(default_factory=lambda: [Duration(200 * MS), Duration(1500 * MS)])
    roster_rate: Annotated[float, Meta(ge=0)] = 0.0
    sync: Duration = Duration(2 * MS)
    notice: Times = field(default_factory=lambda: [Duration(S), Duration(3 * S)])
    parts: dict[str, list[str]] = field(default_factory=dict)
    old_list: Literal["start", "death"] = "start"


class Kind(ConfigTable):
    """How jobs of a scheme look.

    part: of all jobs.
    run: mean time of running at speed 1, drawn between per run.
    spread: how uneven the jobs are (sigma of a lognormal).
    slots: that a job takes.
    memory: that a job takes.
    hint: how far the client's guess at the work is off, as a factor at most; 0 gives none.
    body: bytes that a call's body holds at least.
    """

    part: Part = 1.0
    run: Times = field(default_factory=lambda: [Duration(200 * MS), Duration(200 * MS)])
    spread: Annotated[float, Meta(ge=0, le=3)] = 0.5
    slots: Annotated[float, Meta(gt=0)] = 1.0
    memory: Annotated[float, Meta(ge=0)] = 0.0
    hint: Annotated[float, Meta(ge=0)] = 1.5
    body: Annotated[int, Meta(ge=0, le=60_000)] = 0


class Load(ConfigTable):
    """What clients do.

    rate: jobs a second, all together; arrivals do not wait for answers.
    shape: poisson, or bursts (four times the rate for a tenth of the time), or a trace that is replayed.
    trace: the file with one line a job: seconds, scheme, milliseconds of work, customer.
    jobs: how the jobs of each scheme look, by its name.
    retries: how often a client tries again.
    wait: before it does, where it is told no other time, drawn between.
    marks: whether tries are marked as such.
    hang_up: part of the clients that go away at some moment before their answer.
    stays: part of the jobs that come on connections to dispatchers which the front layer has taken out, as long as some
      of these stay open.
    durable: part of the jobs that are handed in by `POST /jobs/...` and asked for; needs `charter.jobs`.
    cancels: part of those that are cancelled at some moment.
    bad: bad clients a second: half calls, noise, two lengths, silence, giant bodies, calls never read.
    warm: at the start, no job of this time counts for value.
    """

    rate: Annotated[float, Meta(gt=0)] = 20.0
    shape: Literal["poisson", "bursts", "trace"] = "poisson"
    trace: str = ""
    jobs: dict[str, Kind] = field(default_factory=dict)
    retries: Annotated[int, Meta(ge=0, le=10)] = 2
    wait: Times = field(default_factory=lambda: [Duration(200 * MS), Duration(800 * MS)])
    marks: bool = True
    hang_up: Part = 0.0
    stays: Part = 0.0
    durable: Part = 0.0
    cancels: Part = 0.0
    bad: Annotated[float, Meta(ge=0)] = 0.0
    warm: Duration = Duration(0)


FAULTS = {
    "freeze": "worker",
    "crash": "worker",
    "drain": "worker",
    "slow": "worker",
    "errors": "worker",
    "untaken": "worker",
    "lie": "worker",
    "late-reports": "worker",
    "full-accept": "worker",
    "callbacks-twice": "worker",
    "silent": "worker",
    "flap": "worker",
    "one-sided": "worker",
    "reap": "worker",
    "second-answer": "worker",
    "slow-link": "zone",
    "disk-ill": "dispatcher",
    "disk-slow": "dispatcher",
    "kill": "dispatcher",
    "term": "dispatcher",
    "hup": "dispatcher",
    "stall": "dispatcher",
    "clock-step": "dispatcher",
    "clock-rate": "dispatcher",
    "link-cut": "link",
    "link-lossy": "link",
    "link-slow": "link",
    "link-doubles": "link",
    "link-shuffles": "link",
    "outage": "roster",
    "roster-restart": "roster",
    "roster-moves": "roster",
    "roster-late": "roster",
    "watch-silent": "roster",
    "reset": "network",
    "cut": "zone",
    "cut-worker": "worker",
    "heavy": "load",
    "surge": "load",
}


HOW = {  # the forms that a fault may take; the first where none is named
    "lie": ("zero", "low", "stuck", "full"),
    "flap": ("crash", "silence", "hang", "errors"),
    "one-sided": ("loss", "hole", "refuse", "slow"),
    "reap": ("reset", "silence"),
    "second-answer": ("same", "decline", "taken"),
    "kill": ("synced", "empty", "old"),
    "clock-rate": ("fast", "slow"),
    "clock-step": ("forward", "back"),
}


class Trouble(ConfigTable):
    """One fault, or one that comes again.

    kind: what goes wrong; docs/emulator.md lists them.
    how: in which of its forms, where it has several; none: the first that docs/emulator.md names.
    of: whom it strikes: a worker's, dispatcher's or zone's name, * and ? allowed; none: one drawn by the seed. Of a
      link: dispatchers, by a pattern of their names, their zone or a part of `fleet.parts`.
    at: when; or the first time, where it comes again.
    for: for how long; a kill's or a crash's is the time until the restart. 0s: never ends.
    every: it comes again after so long.
    rate: instead of `at`: so many a minute, at random.
    until: no more after this moment; 0s: until the end.
    strength: how much, where that has a meaning: a part, a factor, a count.
    scheme: which scheme, where it strikes one alone.
    among: the dispatchers for which a worker is bad, * and ? allowed, or the zone at the other end of a slow link;
      none: half of the dispatchers, drawn by the seed; all other zones. Of a link: who is at its other end, said as
      in `of`; none: everybody else.
    oneway: of a link: only what goes from `of` to `among`.
    extra: so much longer each way.
    turn: how long a worker that flaps is up and down once, about.
    listed: whether discovery tells of what happens to a worker that flaps.
    after: the kind of another fault of this plan: `at` counts from each of its starts.
    """

    kind: str
    how: str = ""
    of: str = ""
    at: Duration | None = None
    for_: Duration = field(default=Duration(5 * S), name="for")
    every: Duration = Duration(0)
    rate: Annotated[float, Meta(ge=0)] = 0.0
    until: Duration = Duration(0)
    strength: Annotated[float, Meta(ge=0)] = 0.5
    scheme: str = ""
    among: str = ""
    extra: Duration = Duration(0)
    oneway: bool = False
    turn: Duration = Duration(6 * S)
    listed: bool = True
    after: str = ""

    def __post_init__(self) -> None:
        if self.how and self.how not in HOW.get(self.kind, ()):
            raise ValueError(
                f'how: "{self.how}" stands there; {" or ".join(HOW.get(self.kind, ("none",)))} may'
            )
        if self.kind not in FAULTS:
            raise ValueError(f'kind: "{self.kind}" stands there; one of {", ".join(FAULTS)} may')
        if (self.at is None) == (self.rate == 0):
            raise ValueError('either at or rate must be given; write one, such as at = "5s", and not both')
        if self.after and (self.at is None or self.every):
            raise ValueError(
                "after another fault at must be given, and every can't; write at and take every out"
            )


class Bounds(ConfigTable):
    """What a run must show, besides every rule kept.

    value: the least part of all value that is answered in time.
    settled: the least part of all jobs that is settled.
    declined: the largest part of all tries that is declined.
    p99: the longest 99th percentile over all settled jobs.
    known: the longest time until a death is known to all members that are connected.
    lines: the most lines of Python that the plan's first seed may run, the same on any machine. On the virtual
      ground alone; that seed takes three times as long.
    """

    value: Part = 0.0
    settled: Part = 0.0
    declined: Part = 1.0
    p99: Duration | None = None
    known: Duration | None = None
    lines: Annotated[int, Meta(gt=0)] | None = None


class Variant(ConfigTable):
    """Another way of the same plan.

    name: how it is called in reports.
    charter: keys of the charter that differ, as a table.
    plan: keys of the plan that differ, as a table; a list stands for the whole of the plan's.
    policy: a baseline that decides instead of the design: random, round-robin, least-outstanding, two-choices.
    commit: an earlier commit of ours that runs instead, in a work tree of its own.
    """

    name: str
    charter: dict[str, Any] = field(default_factory=dict)
    plan: dict[str, Any] = field(default_factory=dict)
    policy: Literal["", "random", "round-robin", "least-outstanding", "two-choices"] = ""
    commit: str = ""


class Throughput(ConfigTable):
    """As many jobs as one dispatcher takes: real processes, jobs of no length, closed loop.

    workers: with how many workers, one measurement each.
    clients: connections that each ask again as soon as they have their answer.
    times: measurements of each; all are told.
    rates: jobs a second that the clients ask for together; 0: as many as they can.
    recovery: instead, how long a dispatcher takes with a store of so many open jobs.
    """

    workers: list[Annotated[int, Meta(ge=1, le=2000)]] = field(default_factory=lambda: [12, 100, 1000])
    clients: Annotated[int, Meta(ge=1, le=512)] = 32
    times: Annotated[int, Meta(ge=1)] = 3
    rates: list[Annotated[float, Meta(ge=0)]] = field(default_factory=lambda: [0.0])
    recovery: list[Annotated[int, Meta(ge=1)]] = field(default_factory=list)


class Plan(ConfigTable):
    """An experiment.

    name: how it is called.
    about: what it is to show.
    seconds: how long each run lasts, in its own time; a few more to end what is open.
    seeds: one run each; a list, or "1..300".
    ground: sockets (real processes, real time) or virtual.
    charter: the dispatchers' charter; listen, discovery, seed, number and zone are filled in for each.
    fleet: who serves.
    load: what clients do.
    faults: what goes wrong.
    variants: other ways of the same plan, each run with the same seeds.
    bounds: what it must show.
    found: seeds that once found something, kept and run first.
    only: "fleet": only what dispatchers tell one another, with no jobs, workers or discovery, on the virtual
        ground.
    throughput: instead of the emulated fleet, as many jobs as one dispatcher takes.
    """

    name: str
    seconds: Annotated[float, Meta(gt=0, le=7200)]
    charter: dict[str, Any]
    about: str = ""
    seeds: list[int] | str = field(default_factory=lambda: [1])
    ground: Literal["sockets", "virtual"] = "virtual"
    fleet: Fleet = field(default_factory=Fleet)
    load: Load = field(default_factory=Load)
    faults: list[Trouble] = field(default_factory=list)
    variants: list[Variant] = field(default_factory=list)
    bounds: Bounds = field(default_factory=Bounds)
    found: list[int] = field(default_factory=list)
    only: Literal["", "fleet"] = ""
    throughput: Throughput | None = None

    def __post_init__(self) -> None:
        if isinstance(self.seeds, str):
            first, dots, last = self.seeds.partition("..")
            if not dots or not first.isdigit() or not last.isdigit() or int(first) > int(last):
                raise ValueError(f'seeds: "{self.seeds}" stands there; a list, or such as "1..300", may')

    @property
    def all_seeds(self) -> list[int]:
        """Those that once found something first."""
        if isinstance(self.seeds, str):
            first, _, last = self.seeds.partition("..")
            seeds = list(range(int(first), int(last) + 1))
        else:
            seeds = self.seeds
        return list(dict.fromkeys([*self.found, *seeds]))


SECRET = "a key that is told to nobody else"  # of emulated fleets
FILLED = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1"}


def charter_of(plan: Plan, file: str = "plan", **more: Any) -> Configuration:
    """The charter that a plan's table stands for, with the keys that the emulator fills in."""
    table = {**FILLED, **plan.charter, "dispatchers": plan.fleet.dispatchers, **more}
    if isinstance(table.get("fleet"), dict):
        table["fleet"] = {"name": "emulated", "key": SECRET, "listen": "127.0.0.1:1", **table["fleet"]}
        table.setdefault("name", "d0")
    return validate(Configuration, table, f"{file}: charter")


def named(plan: Plan, charter: Configuration, who: str) -> list[str]:
    """The dispatchers that a pattern, a zone or a part stands for."""
    names = [f"d{d}" for d in range(plan.fleet.dispatchers)]
    if who in plan.fleet.parts:
        return [name for name in names if any(fnmatch.fnmatch(name, one) for one in plan.fleet.parts[who])]
    if who in charter.zones:
        return [name for d, name in enumerate(names) if charter.zones[d % len(charter.zones)] == who]
    return fnmatch.filter(names, who)


def read(path: str | Path) -> Plan:
    """The plan in a file; raises Faulty with all that is wrong in it."""
    return of(load_toml(path), str(path))


def of(table: dict[str, Any], file: str) -> Plan:
    """The plan that a table stands for."""
    plan = validate(Plan, table, file)
    faults = []
    try:
        charter = charter_of(plan, file)
    except InvalidConfigError as fault:
        raise InvalidConfigError(fault.faults) from None
    schemes = [scheme.name for scheme in charter.schemes]
    for name in plan.load.jobs:
        if name not in schemes:
            faults.append(
                ConfigKeyError(
                    file,
                    f"load.jobs.{name}",
                    "no such scheme",
                    f"name one of charter.schemes there ({', '.join(schemes)})",
                )
            )
    if plan.load.shape == "trace":
        faults += traced(plan, file, schemes)
    workers = worker_names(plan)
    dispatchers = [f"d{i}" for i in range(plan.fleet.dispatchers)]
    for i, machines in enumerate(plan.fleet.workers):
        for zone in machines.zones:
            if zone not in charter.zones:
                faults.append(
                    ConfigKeyError(
                        file,
                        f"fleet.workers[{i}].zones",
                        f'"{zone}" stands there; one of {", ".join(charter.zones)} may',
                    )
                )
    known = {"worker": workers, "dispatcher": dispatchers, "zone": list(charter.zones)}
    for i, trouble in enumerate(plan.faults):
        if trouble.after and trouble.after not in [other.kind for other in plan.faults if not other.after]:
            faults.append(
                ConfigKeyError(
                    file,
                    f"faults[{i}].after",
                    f'"{trouble.after}" stands there; the kind of another '
                    "fault, that follows none itself, may",
                )
            )
        names = known.get(FAULTS[trouble.kind])
        if FAULTS[trouble.kind] == "link":
            if charter.fleet is None:
                faults.append(
                    ConfigKeyError(
                        file,
                        f"faults[{i}].kind",
                        f"{trouble.kind} strikes what dispatchers tell one "
                        "another, and charter.fleet is missing",
                        "add the table [charter.fleet]",
                    )
                )
            for key, who in (("of", trouble.of), ("among", trouble.among)):
                if who and not named(plan, charter, who):
                    faults.append(
                        ConfigKeyError(
                            file,
                            f"faults[{i}].{key}",
                            f'"{who}" stands there, and no dispatcher, zone or part is called so',
                            f"write {dispatchers[0]} to {dispatchers[-1]}, a "
                            f"zone or a part of fleet.parts at faults[{i}].{key}",
                        )
                    )
        if trouble.of and names is not None and not fnmatch.filter(names, trouble.of):
            faults.append(
                ConfigKeyError(
                    file,
                    f"faults[{i}].of",
                    f'"{trouble.of}" stands there, and no {FAULTS[trouble.kind]} is called so',
                    f"write one of {names[0]} to {names[-1]} at faults[{i}].of",
                )
            )
        if trouble.scheme and trouble.scheme not in schemes:
            faults.append(
                ConfigKeyError(
                    file,
                    f"faults[{i}].scheme",
                    f'"{trouble.scheme}" stands there; one of {", ".join(schemes)} may',
                )
            )
    if plan.only == "fleet" and (charter.fleet is None or plan.ground != "virtual"):
        faults.append(
            ConfigKeyError(
                file,
                "only",
                "charter.fleet and the virtual ground are needed for it",
                'add the table [charter.fleet] and ground = "virtual", or take `only` out',
            )
        )
    if plan.only != "fleet" and plan.fleet.dispatchers > 250:
        faults.append(
            ConfigKeyError(
                file,
                "fleet.dispatchers",
                f'{plan.fleet.dispatchers} stands there; at most 250 may, or only = "fleet"',
            )
        )
    for i, variant in enumerate(plan.variants):
        try:
            varied(plan, variant)
        except InvalidConfigError as fault:
            faults += [ConfigKeyError(file, f"variants[{i}]: {one.path}", one.text) for one in fault.faults]
    if faults:
        raise InvalidConfigError(faults)
    return plan


def traced(plan: Plan, file: str, schemes: list[str]) -> list[ConfigKeyError]:
    """What is wrong with the trace: that it can't be read, or its first bad line."""
    path = plan.load.trace
    if not path:
        return [
            ConfigKeyError(
                file,
                "load.trace",
                "no file stands there, and shape is a trace",
                "write a trace's path at load.trace",
            )
        ]
    try:
        for number, line in enumerate(Path(path).read_text(encoding="utf-8").splitlines(), 1):
            parts = line.split(",")
            if (
                len(parts) != 4
                or parts[1] not in schemes
                or not all(map(NUMBER.fullmatch, (parts[0], parts[2])))
            ):
                return [
                    ConfigKeyError(
                        file,
                        "load.trace",
                        f"{path}, line {number}: {line[:60]!r} stands there",
                        f"write in {path} lines of seconds,scheme,milliseconds of work,customer (schemes: "
                        f"{', '.join(schemes)})",
                    )
                ]
    except (OSError, UnicodeDecodeError) as fault:
        return [
            ConfigKeyError(file, "load.trace", f"{path} can't be read: {why(fault)}", access(fault, path))
        ]
    return []


NUMBER = re.compile(r" *[0-9]+([.][0-9]*)?(e-?[0-9]+)? *")


def varied(plan: Plan, variant: Variant) -> Plan:
    """The plan as the variant has it."""
    other = copy.deepcopy(plan)
    if variant.plan:
        table = plain(plan) | {"variants": []}
        merge(table, variant.plan)
        other = of(table, f"variant {variant.name}")
    merge(other.charter, variant.charter)
    charter_of(other, f"variant {variant.name}")
    return other


def merge(into: dict[str, Any], more: dict[str, Any]) -> None:
    for key, value in more.items():
        if isinstance(value, dict) and isinstance(into.get(key), dict):
            merge(into[key], value)
        else:
            into[key] = value


def worker_names(plan: Plan) -> list[str]:
    count: dict[str, int] = {}
    names = []
    for machines in plan.fleet.workers:
        for _ in range(machines.count):
            number = count[machines.kind] = count.get(machines.kind, -1) + 1
            names.append(f"{machines.kind}-{number}")
    return names


def plain(plan: Plan) -> dict[str, Any]:
    """The plan as a table, the way it stands in a file; durations in ticks become texts again."""

    def text(value: Any) -> Any:
        if isinstance(value, Struct):
            rows = {field.encode_name: text(getattr(value, field.name)) for field in fields(value)}
            return {key: row for key, row in rows.items() if row is not None}
        if isinstance(value, dict):
            return {key: text(row) for key, row in value.items()}
        if isinstance(value, list):
            return [text(row) for row in value]
        return f"{value * 100}us" if isinstance(value, Duration) else value

    told: dict[str, Any] = text(plan)
    return told
