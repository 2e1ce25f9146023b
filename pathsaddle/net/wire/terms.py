"""What a dispatcher is told at its start, by the bench's first message and by the configuration alike.

The wire counts nanoseconds; a time that limits us is rounded down and a time that has passed is rounded up,
so that no limit is overstepped.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from pathsaddle.scheduler_types import (
    SECOND,
    Customer,
    DeduplicationGroup,
    LoadReport,
    SchedulerConfig,
    Scheme,
    Semantics,
)

TICK = 100_000  # nanoseconds in a tenth of a millisecond

SEMANTICS = {"safe": Semantics.REPEATABLE, "keyed": Semantics.REFERENCED, "unsafe": Semantics.ONCE_ONLY}
REPORT_FIELDS = {
    "x0": "free_slots",
    "waiting": "queued_jobs",
    "queue": "queued_jobs",
    "active": "held_slots",
    "inflight": "held_slots",
    "err_rps": "error_rate",
    "eps": "error_rate",
    "rps": "request_rate",
    "qps": "request_rate",
}
GROUPS = tuple(group.value for group in DeduplicationGroup)
# What is meant for ever may come as the longest span that the platform's language has. Nothing is meant beyond.
MOST = 1 << 63
LONGEST = 24 * 3600 * SECOND  # no client means to wait for longer


Peer = tuple[str, int]


def peer_of(address: str) -> Peer:
    """An address as sockets want it; raises ValueError where it is none."""
    host, _, port = address.rpartition(":")
    if not host or not 0 <= int(port) < 1 << 16:
        raise ValueError(f"no address: {address[:80]!r}")
    return host.strip("[]"), int(port)


def limit(ns: int) -> int:
    return ns // TICK


def bound(ns: int) -> int:
    """A limit of which 0 stands for "not set": a span below our clock's step must not come out as that."""
    return max(1, limit(ns)) if ns else 0


def passed(ns: int) -> int:
    return -(-ns // TICK)


class Amiss(ValueError):
    """What stands at a key can't be meant. Whoever has read the file says it to its operator."""

    def __init__(self, key: str, why: str) -> None:
        self.key, self.why = key, why
        super().__init__(f"{key}: {why}")


def shown(value: Any) -> str:
    """As it stands in the file, the long and the nested cut short."""
    if isinstance(value, (dict, list)):
        return "an object" if isinstance(value, dict) else "a list"
    if value is None or isinstance(value, bool):
        return "null" if value is None else str(value).lower()
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def is_number(value: Any, most: float = MOST) -> bool:
    """Of 0 or more; nan is in no span."""
    return type(value) in (int, float) and 0 <= value <= most


class Told:
    """One object of what is told. Each key is read by its kind, so that what can't be meant is refused by its
    name: taken as it came, a text failed far from its cause, nan passed every comparison, "false" was true.

    A key that is missing or null stands for its default, since the platform leaves out what it does not set;
    keys that we don't know are passed over.
    """

    __slots__ = ("_given", "path")

    def __init__(self, given: Any, path: str) -> None:
        if given is not None and not isinstance(given, dict):
            raise Amiss(path, f"{shown(given)} stands there, and an object belongs there")
        self._given: dict[str, Any] = given or {}
        self.path = path

    def amiss(self, name: str, may: str, index: int | None = None) -> Amiss:
        key, there = f"{self.path}.{name}" if self.path else name, self._given.get(name)
        if index is not None and there is not None:
            key, there = f"{key}[{index}]", there[index]
        stands = shown(there) if name in self._given else "nothing"
        return Amiss(key, f"{stands} stands there, and {may} belongs there")

    def part(self, name: str) -> Told:
        return Told(self._given.get(name), f"{self.path}.{name}")

    def entries(self, name: str) -> list[Any]:
        found = self._given.get(name)
        if found is not None and not isinstance(found, list):
            raise self.amiss(name, "a list")
        return found or []

    def rows(self, name: str) -> list[Told]:
        found = self.entries(name)
        for i, row in enumerate(found):
            if not isinstance(row, dict):
                raise self.amiss(name, "an object", i)
        return [Told(row, f"{self.path}.{name}[{i}]") for i, row in enumerate(found)]

    def names(self, name: str) -> list[str]:
        found = self.entries(name)
        for i, text in enumerate(found):
            if not isinstance(text, str) or text in found[:i]:
                raise self.amiss(name, "a name that no other has", i)
        return found

    def beside(self, name: str, index: int) -> Any:
        """The entry for one scheme of a list that runs beside theirs, and may be short of it."""
        found = self.entries(name)
        return found[index] if index < len(found) else None

    def number(self, name: str, most: float = MOST) -> float:
        """0 where it is missing."""
        value = self._given.get(name)
        if value is None:
            return 0.0
        if not is_number(value, most):
            raise self.amiss(name, "a number of 0 to 1" if most == 1 else "a number of 0 or more")
        return float(value)

    def whole(self, name: str) -> int:
        """A count, or a span in nanoseconds; 0 where it is missing."""
        value = self._given.get(name)
        if value is None:
            return 0
        if not is_number(value) or value % 1:
            raise self.amiss(name, "a whole number of 0 to 2^63")
        return int(value)

    def flag(self, name: str) -> bool:
        value = self._given.get(name)
        if value is not None and not isinstance(value, bool):
            raise self.amiss(name, "true or false")
        return bool(value)

    def text(self, name: str) -> str:
        """ "" where it is missing."""
        value = self._given.get(name)
        if value is not None and not isinstance(value, str):
            raise self.amiss(name, "a word")
        return value or ""

    def among(self, name: str, known: Iterable[str]) -> str:
        """A word on which a rule rests: one that we don't know is refused, a missing one is "" here too."""
        value = self.text(name)
        if value and value not in known:
            raise self.amiss(name, f"one of {', '.join(known)}")
        return value


def scheme(index: int, row: Told, job: Told, machines: int) -> Scheme:
    stretch, machine = job.beside("ClassStretch", index), job.beside("ClassKind", index)
    if stretch is not None and not is_number(stretch):
        raise job.amiss("ClassStretch", "a number of 0 or more", index)
    if machine is not None and (type(machine) is not int or machine >= (machines or MOST)):
        raise job.amiss("ClassKind", f"-1 or a place among the {machines} of settings.Kinds", index)
    expiry = row.whole("Expiry")
    if not expiry:
        raise row.amiss("Expiry", "the time that a client of the scheme waits, in nanoseconds and above 0,")
    return Scheme(
        index=index,
        semantics=SEMANTICS[row.among("Semantics", SEMANTICS) or "unsafe"],
        sla_time=bound(row.whole("SlaTime") or expiry),
        expiry=min(LONGEST, bound(expiry)),
        value=row.number("Value"),
        late_value=row.number("OverdueValue"),
        stretch=row.number("AimStretch") or float(stretch or 0),
        group=DeduplicationGroup(row.among("Group", GROUPS) or "all"),
        window=limit(row.whole("Window")),
        machine=machine if machine is not None and machine >= 0 else None,
    )


def terms(given: dict[str, Any]) -> SchedulerConfig:
    """Raises Amiss; docs/settings.md has each key's default, what 0 means there and what is refused."""
    told = Told(given, "settings")
    job, allowed, duty, price, report = map(
        told.part, ("FamilyInfo", "Limits", "Obligations", "Prices", "Report")
    )
    source, zone, number = report.text("Source"), told.whole("Zone"), told.whole("Me")
    if zone >= (len(told.names("Azs")) or MOST):
        raise told.amiss("Zone", "a place among those of settings.Azs, from 0,")
    machines = len(told.names("Kinds"))
    advised = limit(allowed.whole("MaxRetryAfter"))
    return SchedulerConfig(
        schemes=[scheme(i, row, job, machines) for i, row in enumerate(told.rows("Schemes"))],
        customers=[
            Customer(i, row.number("AllowancePerS"), row.number("Portion"))
            for i, row in enumerate(told.rows("Customers"))
        ],
        # Told of fewer than our own number says, we would take another's part of what a cold worker bears.
        dispatchers=max(1, told.whole("Balancers"), number + 1),
        number=number,
        zone=zone,
        tick=passed(told.whole("Period")),
        list_needs_subscription=told.among("Discovery", ("automatic", "subscribe")) == "subscribe",
        list_poll_interval=bound(duty.whole("AskEvery")),
        answer_slack=limit(duty.whole("AnswerSlack")),
        drain_grace=limit(duty.whole("DrainGrace")),
        slow_start_share=duty.number("ColdShare", most=1),
        slow_start_time=passed(duty.whole("RampTime")),
        overload_multiple=duty.number("FallMultiple"),
        overload_window=passed(duty.whole("Fall")),
        max_postings=allowed.whole("MaxPostings") or 1,
        allows_hedging=allowed.flag("MayDuplicate"),
        can_cancel=allowed.flag("Cancelling"),
        can_probe=allowed.flag("Probing"),
        max_retry_after=advised if allowed.flag("RetryAfter") else 0,
        progress_interval=passed(job.whole("Progress")),
        reports_start=job.flag("TellsStart"),
        over_share_value=told.number("ExcessValue"),
        value_by_work=told.text("ValueBasis") == "work",
        price_cross=price.number("CrossZone"),
        price_probe=price.number("Probe"),
        price_waste=price.number("Waste"),
        price_late=price.number("LateFail"),
        price_handshake=price.number("Handshake"),
        reports_in_answers=source == "answers",
        reports_in_probes=source in ("answers", "probe"),
        allows_backfill=job.text("QueueOrder") == "backfill",
        delisted_workers_usable=duty.flag("DroppedStayOpen"),
        max_open_txns=allowed.whole("OpenCap") or 1 << 60,
    )


def report_fields(given: dict[str, Any]) -> list[str]:
    """The names of a load report's figures, in the order in which a row gives them."""
    return Told(given, "settings").part("Report").names("Fields")


def report(figures: list[tuple[str, Any]]) -> LoadReport | None:
    """Figures that we do not use, and those left out, stay None."""
    told = LoadReport()
    for name, value in figures:
        if name in REPORT_FIELDS and value not in (None, "", "-"):
            setattr(told, REPORT_FIELDS[name], float(value))
    return told if figures else None


@dataclass(slots=True, frozen=True)
class Reach:
    """How long connections to workers may take to come up and may stand idle."""

    connect_within: int
    idle_within: int


def reach(given: dict[str, Any]) -> Reach:
    allowed = Told(given, "settings").part("Limits")
    return Reach(
        bound(allowed.whole("ConnectTimeout")) or SECOND, bound(allowed.whole("IdleClose")) or 60 * SECOND
    )
