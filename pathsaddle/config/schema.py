"""What may stand in an operator's file. `check --explain` and docs/charter.md are made from these docstrings."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterator
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from pathsaddle.config.register_schema import Owners
from pathsaddle.config.units import Duration, Size
from pathsaddle.config.validation import (
    ConfigKeyError,
    DuplicateError,
    InvalidValueError,
    MissingKeyError,
    NotAllowedValueError,
    OutOfBoundsError,
    TooLongError,
    display_value,
)

Part = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
Some = Annotated[float, Meta(ge=0)]
Address = Annotated[str, Meta(extra={"address": "any", "words": 'an address such as "127.0.0.1:8080"'})]
Reached = Annotated[
    str, Meta(extra={"address": "IPv4", "words": 'host:port of IPv4, such as "127.0.0.1:7100"'})
]
File = Annotated[str, Meta(extra={"path": "file", "words": "the path of a file"})]
Folder = Annotated[str, Meta(extra={"path": "folder", "words": "the path of a folder"})]
Secret = Annotated[str, Meta(min_length=16, extra={"secret": True})]
NAME = r"[A-Za-z0-9._-]{1,64}"  # of a member, its zone, its fleet: they go into file names and each datagram
MS, S = 10, 10_000
MIB = 1 << 20


class ConfigTable(Struct, kw_only=True, forbid_unknown_fields=True):
    """A table of the file."""

    def amiss(self) -> Iterator[InvalidValueError]:
        """What in it doesn't fit together, beyond each key's own kind; asked where each key is of its kind."""
        yield from ()


class WindowRequiredError(ConfigKeyError):
    name = "charter.needs-window"
    what = "a referenced scheme needs a window, and {scheme} has none"
    do = 'write at {path} for how long its workers drop repeats, such as "6s", or make it repeatable'


class NotLoopbackError(ConfigKeyError):
    name = "charter.not-loopback"
    what = "{shown} stands there, which others reach, and nobody signs in there"
    do = 'write an address of the loopback, such as "127.0.0.1:7199", at {path}'


class UnreachableAddressError(ConfigKeyError):
    name = "charter.not-reached"
    what = "{shown} stands there, to which no other member can send"
    do = "write at {path} the address, host:port, by which the others reach this one"


class TooSlowError(ConfigKeyError):
    name = "charter.patience"
    what = "patience {patience} leaves no time for asking others within a beat of {beat}"
    do = "write less than half of the beat, and more than 0, at {path}"


class NameRequiredError(ConfigKeyError):
    name = "charter.needs-name"
    what = 'with a fleet each dispatcher needs a name of its own, and "pathsaddle" is what all have'
    do = "write a name that no other member has at {path}"


class Limits(ConfigTable):
    """What the process may take of its machine.

    sockets: descriptors it may hold; a quarter of what is free at start is for connections to workers.
    memory: its own pages at most; a third of what is free at start bounds the connections accepted, a quarter
      the bodies held.
    open: txns open at once at most; beyond, they are declined at once.
    """

    sockets: Annotated[int, Meta(ge=64)] = 1024
    memory: Size = Size(192 * MIB)
    open: Count | None = None

    def amiss(self) -> Iterator[InvalidValueError]:
        if self.memory < 32_000_000:  # the program itself takes 21 MB: it would warn four times a second
            yield InvalidValueError(
                "memory", OutOfBoundsError, shown=display_value(self.memory), may='a size of at least "32MB"'
            )


class RequestClassTable(ConfigTable):
    """A kind of job.

    name: as the first part of a call's path says it.
    semantics: whether a job may run again. Referenced jobs carry a mark by which a group of workers drops
      repeats.
    sla: the time within which an answer is wanted, before `stretch` is added.
    stretch: how many times its own running time is added to `sla`.
    expiry: the time after which its client gives up.
    value: what an answer in time is worth.
    late_value: what an answer after the SLA time and before expiry is worth.
    group: which workers drop a referenced job's repeats together.
    window: for how long they remember it.
    machine: the only kind of machine that can run it, by its place in `machines`.
    """

    name: str
    semantics: Literal["repeatable", "referenced", "once-only"]
    expiry: Duration
    sla: Duration | None = None
    stretch: Some = 0.0
    value: Some = 1.0
    late_value: Some = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    window: Duration = Duration(0)
    machine: str | None = None

    def amiss(self) -> Iterator[InvalidValueError]:
        if not re.fullmatch(r"[A-Za-z0-9._~-]+", self.name) or self.name in ("ready", "callback"):
            yield InvalidValueError(
                "name",
                NotAllowedValueError,
                shown=display_value(self.name),
                may="letters, digits and ._~- "
                "(a call's path begins with it; `ready` and `callback` are taken)",
            )
        if self.semantics == "referenced" and not self.window:
            yield InvalidValueError("window", WindowRequiredError, scheme=self.name)
        if not self.expiry:
            yield InvalidValueError(
                "expiry", OutOfBoundsError, shown=display_value(self.expiry), may='a time above "0ms"'
            )


class TenantTable(ConfigTable):
    """Who sends jobs.

    name: as the header of a call says it.
    allowance: jobs a second within its share, over all dispatchers; 0 sets none.
    portion: its part of all value.
    """

    name: str
    allowance: Some = 0.0
    portion: Part = 0.0


class Rules(ConfigTable):
    """The figures of the rules.

    answer_slack: by how much a final answer may come after expiry.
    drain_grace: for how long something new may still go to a worker after we are told that it drains.
    dropped_stay_open: whether only a draining that was told binds: a worker listed as gone, or left out, that
      was not told to drain may still be posted to.
    ask_within: the list must be watched or asked for at least this often.
    cold_share: what part of its work a worker can do that has just started.
    cold_time: how long until it can do all.
    fall_multiple: sent more than so many times what it can do ...
    fall_time: ... for so long, by all dispatchers together, a cold worker falls over.
    """

    answer_slack: Duration = Duration(0)
    drain_grace: Duration = Duration(500 * MS)
    dropped_stay_open: bool = False
    ask_within: Duration = Duration(10 * S)
    cold_share: Part = 0.3
    cold_time: Duration = Duration(9 * S)
    fall_multiple: Some = 4.0
    fall_time: Duration = Duration(2 * S)


class Allowed(ConfigTable):
    """What a dispatcher may do.

    postings: for one txn at most.
    two_at_once: whether a second posting may go out while the first runs, where the scheme allows a repeat.
    cancel: whether postings may be withdrawn.
    probe: whether workers may be looked at.
    come_back: the longest wait that a declined client may be told; "0s" where clients take no advice.
    """

    postings: Count = 4
    two_at_once: bool = True
    cancel: bool = True
    probe: bool = True
    come_back: Duration = Duration(2 * S)


class Reports(ConfigTable):
    """What workers tell of themselves.

    source: where their load reports stand.
    fields: the names of a report's figures.
    progress: how often they tell of running jobs; "0s" never.
    starts: whether they tell when a job starts.
    order: how they serve their line: the first waits until it fits, whatever fits goes first, or by priority.
    """

    source: Literal["none", "answers", "probe"] = "answers"
    fields: list[str] = field(default_factory=lambda: ["x0", "queue", "inflight"])
    progress: Duration = Duration(2 * S)
    starts: bool = False
    order: Literal["fifo", "backfill", "priority"] = "fifo"


class Prices(ConfigTable):
    """What things cost, in units of the mean job's value.

    cross: a job that crosses zones.
    probe: a look at a worker.
    waste: work done in vain, as much as was asked for.
    late: all failing only after the SLA time.
    handshake: a new connection for each job.
    over_share: what part of the usual value a customer's jobs have beyond its share.
    by_work: whether value is counted for each unit of work.
    """

    cross: Some = 0.0
    probe: Some = 0.0
    waste: Some = 0.0
    late: Some = 0.0
    handshake: Some = 0.0
    over_share: Part = 0.1
    by_work: bool = False


class Reach(ConfigTable):
    """Connections to workers.

    connect: how long one may take to come up.
    idle: how long one may stand idle before the worker closes it.
    """

    connect: Duration = Duration(S)
    idle: Duration = Duration(60 * S)


class Jobs(ConfigTable):
    """Durable jobs: taken on by a store on disk, recovered after a crash.

    path: the store's file, on a disk that lasts; one process alone may have it.
    lease: how long a worker may be without a sign of life before it is asked what became of a job.
    retention: how long a job's final answer stays to be asked for.
    longest_poll: how long a client may have a poll wait for a change.
    recover_within: how long after a start the list of workers is waited for before leases are matched.
    margin: by so much earlier than its expiry a job is decided, for its answer to be on disk in time.
    """

    path: File
    lease: Duration = Duration(20 * S)
    retention: Duration = Duration(3600 * S)
    longest_poll: Duration = Duration(30 * S)
    recover_within: Duration = Duration(3 * S)
    margin: Duration = Duration(50 * MS)


class FleetTable(ConfigTable):
    """This dispatcher among others: who else is there, told by datagrams; off where the table is missing.

    name: the fleet's; datagrams of another are not read.
    key: the secret that all members share, 16 characters at least; whoever has it can speak as any member.
    listen: where datagrams come, host:port (UDP).
    address: where other members send them, if that is not `listen`.
    seeds: addresses of other members, by which a fleet is found at the start; none: whoever names us finds us.
    folder: where the number of the last life is kept, on a disk that lasts; none: the clock alone numbers lives.
    control: where `pathsaddle fleet` asks, host:port, on the loopback; none: nowhere.
    beat: between two probes of this member; the shorter, the sooner a death is known and the more is sent.
    patience: how long a direct answer is waited for before others are asked; over the usual way there and back.
    bytes: that this member sends in any second at most.
    datagrams: that it sends in any second at most.
    lifeguard: own health, witnesses and the word to the accused; off only to measure what they bring.
    budgets: rates in units a second that all members together keep, by name; none: nothing is shared.
    parts: this member's units of a budget, where they are not equal parts by `number` of `dispatchers`; all members'
      parts together must not pass the budget.
    lease: for how long units that are not wanted are lent to others.
    owners: one owner at a time for a key of the fleet's work; off where the table is missing.
    """

    name: str
    key: Secret
    listen: Reached
    address: Reached = ""
    seeds: list[Reached] = field(default_factory=list)
    folder: Folder = ""
    control: Reached = ""
    beat: Duration = Duration(S)
    patience: Duration = Duration(300 * MS)
    bytes: Annotated[int, Meta(ge=6000)] = 24_000
    datagrams: Annotated[int, Meta(ge=16)] = 60
    lifeguard: bool = True
    budgets: dict[str, Annotated[int, Meta(ge=1, le=1_000_000)]] = field(default_factory=dict)
    parts: dict[str, Annotated[int, Meta(ge=0)]] = field(default_factory=dict)
    lease: Duration = Duration(10 * S)
    owners: Owners | None = None

    def amiss(self) -> Iterator[InvalidValueError]:
        if self.control and not self.control.startswith("127."):
            yield InvalidValueError("control", NotLoopbackError, shown=display_value(self.control))
        if not re.fullmatch(NAME, self.name):
            yield InvalidValueError(
                "name",
                NotAllowedValueError,
                shown=display_value(self.name),
                may="1 to 64 letters, digits and ._-",
            )
        if self.control.endswith(":0"):
            yield InvalidValueError(
                "control",
                OutOfBoundsError,
                shown=display_value(self.control),
                may="a port above 0, which can be asked at,",
            )
        for i, seed in enumerate(self.seeds):
            if seed.endswith(":0"):
                yield InvalidValueError(
                    f"seeds[{i}]",
                    OutOfBoundsError,
                    shown=display_value(seed),
                    may="fleet.address of another member",
                )
        where = self.address or self.listen
        if where.startswith("0.0.0.0:") or where.endswith(":0"):
            yield InvalidValueError("address", UnreachableAddressError, shown=display_value(where))
        if not self.listen:
            yield InvalidValueError("listen", MissingKeyError, may="an address, host:port")
        if self.beat < 50 * MS:
            yield InvalidValueError(
                "beat", OutOfBoundsError, shown=display_value(self.beat), may="50ms at least"
            )
        elif not 0 < self.patience < self.beat // 2:
            yield InvalidValueError(
                "patience", TooSlowError, patience=display_value(self.patience), beat=display_value(self.beat)
            )
        if len(self.budgets) > 16:
            yield InvalidValueError(
                "budgets", TooLongError, shown="a table", count=len(self.budgets), unit="budgets", most=16
            )
        for name in self.budgets:
            if not re.fullmatch(r"[A-Za-z0-9_.-]{1,32}", name):
                yield InvalidValueError(
                    "budgets",
                    NotAllowedValueError,
                    shown=display_value(name),
                    may="names of 1 to 32 letters, digits and ._-",
                )
        for name, part in self.parts.items():
            if name not in self.budgets:
                yield InvalidValueError(
                    f"parts.{name}",
                    NotAllowedValueError,
                    shown=display_value(name),
                    may=f"a name of budgets ({', '.join(self.budgets) or 'none is there'})",
                )
            elif part > self.budgets[name]:
                yield InvalidValueError(
                    f"parts.{name}",
                    OutOfBoundsError,
                    shown=display_value(part),
                    may=f"at most budgets.{name} ({self.budgets[name]})",
                )
        if not 2 * S <= self.lease <= 600 * S:
            yield InvalidValueError(
                "lease", OutOfBoundsError, shown=display_value(self.lease), may="2s to 10min"
            )


class Federation(ConfigTable):
    """Other regions, by the spec that `ground` names.

    ground: the file of the federation's members and keepers (docs/federation.md).
    member: this dispatcher's name there.
    doors: region -> where its dispatchers take clients' calls, host:port.
    room: how many txns may be open here before nothing is lent to other regions.
    """

    ground: str
    member: str
    doors: dict[str, list[str]] = field(default_factory=dict)
    room: Count = 64


class Settings(ConfigTable):
    """Settings that all dispatchers share, changed at keepers; off where the table is missing.

    ground: the file of keepers, voters and members (docs/settings-store.md).
    member: this dispatcher's name there, as at members.NAME.
    """

    ground: File
    member: str


class Log(ConfigTable):
    """What is logged, to standard error.

    level: the least that is logged.
    form: text for people, or one JSON object a line.
    """

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    form: Literal["text", "json"] = "text"


class Control(ConfigTable):
    """What control may cost, apart from txns: the list, membership, what members share, owners, settings, the spec.

    core: the part of a core that it may take, as a mean over a minute; beyond, a line says so; none: whatever it takes.
    bytes: that it may send, and receive, in any second; likewise.
    meter: whether its cost is metered, by what it was for (docs/running.md).
    """

    core: Annotated[float, Meta(gt=0, le=1)] | None = None
    bytes: Count | None = None
    meter: bool = True


class Configuration(ConfigTable):
    """One dispatcher, as its operator wants it.

    name: its name, in its log.
    listen: where clients and workers' callbacks connect, host:port.
    discovery: where the list of workers is watched, host:port.
    seed: hexadecimal; all chance comes from it.
    number: which of the dispatchers this is, from 0.
    dispatchers: how many there are.
    zones: the zones' names; workers elsewhere are in further ones.
    zone: the one that this dispatcher is in.
    machines: the kinds of machine that schemes may ask for.
    tick: the decisions' finest step of time.
    limits: what the process may take of its machine.
    schemes: the kinds of job.
    customers: who sends them; none: anybody.
    rules: the figures of the rules.
    allowed: what a dispatcher may do.
    reports: what workers tell of themselves.
    prices: what things cost.
    reach: connections to workers.
    log: what is logged.
    control: what control may cost.
    jobs: durable jobs; off where the table is missing.
    fleet: other dispatchers, and who of them is there; off where the table is missing.
    federation: other regions; off where the table is missing.
    settings: what all dispatchers share, changed without a restart; off where the table is missing.
    """

    listen: Address
    discovery: Address
    schemes: list[RequestClassTable]
    name: str = "pathsaddle"
    seed: str = "0"
    number: Annotated[int, Meta(ge=0)] = 0
    dispatchers: Count = 1
    zones: list[str] = field(default_factory=lambda: ["here"])
    zone: str | None = None
    machines: list[str] = field(default_factory=list)
    tick: Duration = Duration(2 * MS)
    limits: Limits = field(default_factory=Limits)
    customers: list[TenantTable] = field(default_factory=list)
    rules: Rules = field(default_factory=Rules)
    allowed: Allowed = field(default_factory=Allowed)
    reports: Reports = field(default_factory=Reports)
    prices: Prices = field(default_factory=Prices)
    reach: Reach = field(default_factory=Reach)
    log: Log = field(default_factory=Log)
    control: Control = field(default_factory=Control)
    jobs: Jobs | None = None
    fleet: FleetTable | None = None
    federation: Federation | None = None
    settings: Settings | None = None

    def amiss(self) -> Iterator[InvalidValueError]:
        for key in ("listen", "discovery"):
            if not getattr(self, key):
                yield InvalidValueError(key, MissingKeyError, may="an address, host:port")
        if not re.fullmatch(r"[0-9a-fA-F]{1,64}", self.seed):
            yield InvalidValueError(
                "seed", NotAllowedValueError, shown=display_value(self.seed), may="1 to 64 hexadecimal digits"
            )
        if self.number >= self.dispatchers:
            yield InvalidValueError(
                "number",
                OutOfBoundsError,
                shown=display_value(self.number),
                may=f"less than dispatchers ({self.dispatchers})",
            )
        if not self.schemes:
            yield InvalidValueError("schemes", MissingKeyError, may="at least one table, [[schemes]],")
        for key, names in (
            ("schemes", [s.name for s in self.schemes]),
            ("zones", self.zones),
            ("customers", [c.name for c in self.customers]),
            ("machines", self.machines),
        ):
            for name, times in Counter(names).items():  # of hundreds: not a count of all for each
                if times > 1:
                    yield InvalidValueError(key, DuplicateError, shown=display_value(name))
        if not self.zones:
            yield InvalidValueError("zones", MissingKeyError, may="at least one zone's name")
        if self.fleet is not None and self.name == "pathsaddle" and self.dispatchers > 1:
            yield InvalidValueError("name", NameRequiredError)
        if self.fleet is not None:
            for key, name in (("name", self.name), ("zone", self.zone or "".join(self.zones[:1]))):
                if not re.fullmatch(NAME, name):
                    yield InvalidValueError(
                        key,
                        NotAllowedValueError,
                        shown=display_value(name),
                        may="1 to 64 letters, digits and ._-",
                    )
        if self.jobs is not None and self.federation is not None:
            yield InvalidValueError(
                "federation",
                ConfigKeyError,
                "stands beside jobs, and durable jobs don't leave their region",
                "take [jobs] or [federation] out",
            )
        if self.jobs is not None and any(scheme.name == "jobs" for scheme in self.schemes):
            yield InvalidValueError(
                "schemes",
                NotAllowedValueError,
                shown='the name "jobs"',
                may="another name for that scheme, since /jobs/ is the path of durable jobs,",
            )
        if self.zone is not None and self.zone not in self.zones:
            yield InvalidValueError(
                "zone",
                NotAllowedValueError,
                shown=display_value(self.zone),
                may=f"one of zones ({', '.join(self.zones)})",
            )
        for i, scheme in enumerate(self.schemes):
            if scheme.machine is not None and scheme.machine not in self.machines:
                yield InvalidValueError(
                    f"schemes[{i}].machine",
                    NotAllowedValueError,
                    shown=display_value(scheme.machine),
                    may=f"one of machines ({', '.join(self.machines) or 'none is named there'})",
                )


# What may change in service; `config/reload.py` has the few cases in which one of these may not.
RELOADABLE_KEYS = frozenset(
    (
        "discovery",
        "log.level",
        "zones",
        "schemes",
        "customers",
        "rules.answer_slack",
        "rules.drain_grace",
        "rules.dropped_stay_open",
        "rules.cold_share",
        "rules.cold_time",
        "rules.fall_multiple",
        "rules.fall_time",
        "allowed.postings",
        "allowed.cancel",
        "allowed.come_back",
        "prices.cross",
        "prices.over_share",
        "fleet.budgets",
        "control.core",
        "control.bytes",
    )
)


def changed_keys(before: Configuration, after: Configuration) -> list[str]:
    """The key paths at which two charters differ."""

    def flat(form: Struct, path: str) -> dict[str, object]:
        rows: dict[str, object] = {}
        for name in form.__struct_fields__:
            value = getattr(form, name)
            if isinstance(value, Struct):
                rows |= flat(value, f"{path}{name}.")
            else:
                rows[path + name] = value
        return rows

    old, new = flat(before, ""), flat(after, "")
    return [path for path in dict.fromkeys([*new, *old]) if old.get(path) != new.get(path)]
