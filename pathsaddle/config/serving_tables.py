"""The tables of a dispatcher by itself: what it serves, for whom, by which rules, and with what means.

`config/schema.py` puts them together. The docstrings are printed by `check --explain` and stand in
docs/charter.md.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Literal

from msgspec import Meta, field

from pathsaddle.config.checks import check_expiry, check_memory, check_request_class_name, check_window
from pathsaddle.config.errors import InvalidValueError
from pathsaddle.config.field_types import (
    MEBIBYTE,
    MILLISECOND_TICKS,
    SECOND_TICKS,
    ConfigTable,
    Count,
    FilePath,
    NonNegative,
    Part,
)
from pathsaddle.config.units import Duration, Size


class Limits(ConfigTable):
    """What the process may take of its machine.

    sockets: descriptors it may hold; a quarter of what is free at start is for connections to workers.
    memory: its own pages at most; a third of what is free at start bounds the connections accepted, a quarter
      the bodies held.
    open: txns open at once at most; beyond, they are declined at once.
    """

    sockets: Annotated[int, Meta(ge=64)] = 1024
    memory: Size = Size(192 * MEBIBYTE)
    open: Count | None = None

    def amiss(self) -> Iterator[InvalidValueError]:
        """See `ConfigTable.amiss`."""
        yield from check_memory(self.memory)


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
    stretch: NonNegative = 0.0
    value: NonNegative = 1.0
    late_value: NonNegative = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    window: Duration = Duration(0)
    machine: str | None = None

    def amiss(self) -> Iterator[InvalidValueError]:
        """See `ConfigTable.amiss`."""
        yield from check_request_class_name(self.name)
        yield from check_window(self.name, self.semantics, self.window)
        yield from check_expiry(self.expiry)


class TenantTable(ConfigTable):
    """Who sends jobs.

    name: as the header of a call says it.
    allowance: jobs a second within its share, over all dispatchers; 0 sets none.
    portion: its part of all value.
    """

    name: str
    allowance: NonNegative = 0.0
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
    drain_grace: Duration = Duration(500 * MILLISECOND_TICKS)
    dropped_stay_open: bool = False
    ask_within: Duration = Duration(10 * SECOND_TICKS)
    cold_share: Part = 0.3
    cold_time: Duration = Duration(9 * SECOND_TICKS)
    fall_multiple: NonNegative = 4.0
    fall_time: Duration = Duration(2 * SECOND_TICKS)


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
    come_back: Duration = Duration(2 * SECOND_TICKS)


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
    progress: Duration = Duration(2 * SECOND_TICKS)
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

    cross: NonNegative = 0.0
    probe: NonNegative = 0.0
    waste: NonNegative = 0.0
    late: NonNegative = 0.0
    handshake: NonNegative = 0.0
    over_share: Part = 0.1
    by_work: bool = False


class Reach(ConfigTable):
    """Connections to workers.

    connect: how long one may take to come up.
    idle: how long one may stand idle before the worker closes it.
    """

    connect: Duration = Duration(SECOND_TICKS)
    idle: Duration = Duration(60 * SECOND_TICKS)


class Jobs(ConfigTable):
    """Durable jobs: taken on by a store on disk, recovered after a crash.

    path: the store's file, on a disk that lasts; one process alone may have it.
    lease: how long a worker may be without a sign of life before it is asked what became of a job.
    retention: how long a job's final answer stays to be asked for.
    longest_poll: how long a client may have a poll wait for a change.
    recover_within: how long after a start the list of workers is waited for before leases are matched.
    margin: by so much earlier than its expiry a job is decided, for its answer to be on disk in time.
    """

    path: FilePath
    lease: Duration = Duration(20 * SECOND_TICKS)
    retention: Duration = Duration(3600 * SECOND_TICKS)
    longest_poll: Duration = Duration(30 * SECOND_TICKS)
    recover_within: Duration = Duration(3 * SECOND_TICKS)
    margin: Duration = Duration(50 * MILLISECOND_TICKS)


class Log(ConfigTable):
    """What is logged, to standard error.

    level: the least that is logged.
    form: text for people, or one JSON object a line.
    """

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    form: Literal["text", "json"] = "text"


class Control(ConfigTable):
    """What control may cost.

    Control is all but the requests: the list, membership, what members share, owners, settings, the spec.

    core: the part of a core that it may take, as a mean over a minute; beyond, a line says so; none: whatever
      it takes.
    bytes: that it may send, and receive, in any second; likewise.
    meter: whether its cost is metered, by what it was for (docs/running.md).
    """

    core: Annotated[float, Meta(gt=0, le=1)] | None = None
    bytes: Count | None = None
    meter: bool = True
