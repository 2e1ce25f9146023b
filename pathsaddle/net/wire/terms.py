"""The settings of a dispatcher, as both its configuration file and the bench's first message state them.

The wire counts nanoseconds. A time limit is rounded down to ticks and an elapsed time is rounded up, so that
no limit is exceeded.
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
# The platform writes "for ever" as its longest duration, 2^63 - 1 ns; no larger number is valid.
MAX_INTEGER = 1 << 63
LONGEST = 24 * 3600 * SECOND  # the limit on an expiry; no client waits for longer


Peer = tuple[str, int]


def parse_peer(address: str) -> Peer:
    """Split a `host:port` address into the pair that sockets take; raises ValueError if it is malformed."""
    host, _, port = address.rpartition(":")
    if not host or not 0 <= int(port) < 1 << 16:
        raise ValueError(f"address is not host:port: {address[:80]!r}")
    return host.strip("[]"), int(port)


def limit(ns: int) -> int:
    """Convert a time limit to ticks, rounded down."""
    return ns // TICK


def nonzero_limit(ns: int) -> int:
    """Convert a limit where 0 means "not set"; any other limit becomes one tick at least."""
    return max(1, limit(ns)) if ns else 0


def passed(ns: int) -> int:
    """Convert an elapsed time to ticks, rounded up."""
    return -(-ns // TICK)


class InvalidSettingError(ValueError):
    """The value of a key is invalid; the reader of the file reports it to the operator."""

    def __init__(self, key: str, why: str) -> None:
        self.key, self.why = key, why
        super().__init__(f"{key}: {why}")


def display_value(value: Any) -> str:
    """Return a value as JSON shows it, with long texts truncated and containers named by their type."""
    if isinstance(value, (dict, list)):
        return "an object" if isinstance(value, dict) else "a list"
    if value is None or isinstance(value, bool):
        return "null" if value is None else str(value).lower()
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def is_number(value: Any, maximum: float = MAX_INTEGER) -> bool:
    """Return whether a value is a number from 0 to `maximum`; NaN and booleans are not."""
    return type(value) in (int, float) and 0 <= value <= maximum


class SettingsSection:
    """An object of the settings, whose keys are read with a check of their type.

    Without the check a text in place of a number failed far from its cause, NaN passed every comparison, and
    "false" was true. An invalid value raises InvalidSettingError, which names its key.

    A key that is missing or null has its default, since the platform omits what it does not set. Unknown keys
    are ignored.
    """

    __slots__ = ("_values", "path")

    def __init__(self, values: Any, path: str) -> None:
        if values is not None and not isinstance(values, dict):
            raise InvalidSettingError(path, f"{display_value(values)} was given where an object is expected")
        self._values: dict[str, Any] = values or {}
        self.path = path

    def invalid(self, name: str, expected: str, index: int | None = None) -> InvalidSettingError:
        """Return the error for a key, or for an entry of its list; `expected` says what is valid there."""
        key, value = f"{self.path}.{name}" if self.path else name, self._values.get(name)
        if index is not None and value is not None:
            key, value = f"{key}[{index}]", value[index]
        found = display_value(value) if name in self._values else "nothing"
        return InvalidSettingError(key, f"{found} was given where {expected} is expected")

    def section(self, name: str) -> SettingsSection:
        """Return the object at a key; an empty one if it is missing."""
        return SettingsSection(self._values.get(name), f"{self.path}.{name}")

    def entries(self, name: str) -> list[Any]:
        """Return the list at a key; an empty one if it is missing."""
        found = self._values.get(name)
        if found is not None and not isinstance(found, list):
            raise self.invalid(name, "a list")
        return found or []

    def rows(self, name: str) -> list[SettingsSection]:
        """Return the list of objects at a key; an empty one if it is missing."""
        found = self.entries(name)
        for i, row in enumerate(found):
            if not isinstance(row, dict):
                raise self.invalid(name, "an object", i)
        return [SettingsSection(row, f"{self.path}.{name}[{i}]") for i, row in enumerate(found)]

    def names(self, name: str) -> list[str]:
        """Return the list of unique texts at a key; an empty one if it is missing."""
        found = self.entries(name)
        for i, text in enumerate(found):
            if not isinstance(text, str) or text in found[:i]:
                raise self.invalid(name, "a unique name", i)
        return found

    def parallel_entry(self, name: str, index: int) -> Any:
        """Return the entry of a list that is parallel to the schemes; None if the list is too short."""
        found = self.entries(name)
        return found[index] if index < len(found) else None

    def number(self, name: str, maximum: float = MAX_INTEGER) -> float:
        """Return the number at a key; 0 if it is missing."""
        value = self._values.get(name)
        if value is None:
            return 0.0
        if not is_number(value, maximum):
            raise self.invalid(name, "a number of 0 to 1" if maximum == 1 else "a number of 0 or more")
        return float(value)

    def integer(self, name: str) -> int:
        """Return the count, or the nanoseconds, at a key; 0 if it is missing."""
        value = self._values.get(name)
        if value is None:
            return 0
        if not is_number(value) or value % 1:
            raise self.invalid(name, "a whole number of 0 to 2^63")
        return int(value)

    def flag(self, name: str) -> bool:
        """Return the boolean at a key; False if it is missing."""
        value = self._values.get(name)
        if value is not None and not isinstance(value, bool):
            raise self.invalid(name, "true or false")
        return bool(value)

    def text(self, name: str) -> str:
        """Return the text at a key; an empty one if it is missing."""
        value = self._values.get(name)
        if value is not None and not isinstance(value, str):
            raise self.invalid(name, "a text")
        return value or ""

    def one_of(self, name: str, known: Iterable[str]) -> str:
        """Return the text at a key that must be one of `known`; an empty one if it is missing."""
        value = self.text(name)
        if value and value not in known:
            raise self.invalid(name, f"one of {', '.join(known)}")
        return value


def read_scheme(index: int, row: SettingsSection, family: SettingsSection, machines: int) -> Scheme:
    """Read the scheme of one row, with its entries in the parallel lists of `family`."""
    stretch, machine = family.parallel_entry("ClassStretch", index), family.parallel_entry("ClassKind", index)
    if stretch is not None and not is_number(stretch):
        raise family.invalid("ClassStretch", "a number of 0 or more", index)
    if machine is not None and (type(machine) is not int or machine >= (machines or MAX_INTEGER)):
        raise family.invalid(
            "ClassKind", f"-1 or an index into the {machines} entries of settings.Kinds", index
        )
    expiry = row.integer("Expiry")
    if not expiry:
        raise row.invalid("Expiry", "the nanoseconds, above 0, that a client of the scheme waits")
    return Scheme(
        index=index,
        semantics=SEMANTICS[row.one_of("Semantics", SEMANTICS) or "unsafe"],
        sla_time=nonzero_limit(row.integer("SlaTime") or expiry),
        expiry=min(LONGEST, nonzero_limit(expiry)),
        value=row.number("Value"),
        late_value=row.number("OverdueValue"),
        stretch=row.number("AimStretch") or float(stretch or 0),
        group=DeduplicationGroup(row.one_of("Group", GROUPS) or "all"),
        window=limit(row.integer("Window")),
        machine=machine if machine is not None and machine >= 0 else None,
    )


def terms(values: dict[str, Any]) -> SchedulerConfig:
    """Read the scheduler's configuration.

    docs/settings.md states each key's default, the meaning of 0 and the invalid values.

    Raises:
        InvalidSettingError: A value is invalid.
    """
    settings = SettingsSection(values, "settings")
    family, limits, duties, prices, reports = map(
        settings.section, ("FamilyInfo", "Limits", "Obligations", "Prices", "Report")
    )
    source, zone, number = reports.text("Source"), settings.integer("Zone"), settings.integer("Me")
    if zone >= (len(settings.names("Azs")) or MAX_INTEGER):
        raise settings.invalid("Zone", "an index into settings.Azs, from 0")
    machines = len(settings.names("Kinds"))
    max_retry_after = limit(limits.integer("MaxRetryAfter"))
    return SchedulerConfig(
        schemes=[read_scheme(i, row, family, machines) for i, row in enumerate(settings.rows("Schemes"))],
        customers=[
            Customer(i, row.number("AllowancePerS"), row.number("Portion"))
            for i, row in enumerate(settings.rows("Customers"))
        ],
        # A smaller count than this dispatcher's own number implies would give it another's share of what a
        # cold worker can take.
        dispatchers=max(1, settings.integer("Balancers"), number + 1),
        number=number,
        zone=zone,
        tick=passed(settings.integer("Period")),
        list_needs_subscription=settings.one_of("Discovery", ("automatic", "subscribe")) == "subscribe",
        list_poll_interval=nonzero_limit(duties.integer("AskEvery")),
        answer_slack=limit(duties.integer("AnswerSlack")),
        drain_grace=limit(duties.integer("DrainGrace")),
        slow_start_share=duties.number("ColdShare", maximum=1),
        slow_start_time=passed(duties.integer("RampTime")),
        overload_multiple=duties.number("FallMultiple"),
        overload_window=passed(duties.integer("Fall")),
        max_postings=limits.integer("MaxPostings") or 1,
        allows_hedging=limits.flag("MayDuplicate"),
        can_cancel=limits.flag("Cancelling"),
        can_probe=limits.flag("Probing"),
        max_retry_after=max_retry_after if limits.flag("RetryAfter") else 0,
        progress_interval=passed(family.integer("Progress")),
        reports_start=family.flag("TellsStart"),
        over_share_value=settings.number("ExcessValue"),
        value_by_work=settings.text("ValueBasis") == "work",
        price_cross=prices.number("CrossZone"),
        price_probe=prices.number("Probe"),
        price_waste=prices.number("Waste"),
        price_late=prices.number("LateFail"),
        price_handshake=prices.number("Handshake"),
        reports_in_answers=source == "answers",
        reports_in_probes=source in ("answers", "probe"),
        allows_backfill=family.text("QueueOrder") == "backfill",
        delisted_workers_usable=duties.flag("DroppedStayOpen"),
        max_open_txns=limits.integer("OpenCap") or 1 << 60,
    )


def report_fields(values: dict[str, Any]) -> list[str]:
    """Return the field names of a load report, in the order of a row's values."""
    return SettingsSection(values, "settings").section("Report").names("Fields")


def report(values: list[tuple[str, Any]]) -> LoadReport | None:
    """Build a load report from named values, of which unused ones are ignored; None without any value."""
    load_report = LoadReport()
    for name, value in values:
        if name in REPORT_FIELDS and value not in (None, "", "-"):
            setattr(load_report, REPORT_FIELDS[name], float(value))
    return load_report if values else None


@dataclass(slots=True, frozen=True)
class ConnectionTimeouts:
    """The timeouts of connections to workers, in ticks."""

    connect_timeout: int
    idle_timeout: int


def reach(values: dict[str, Any]) -> ConnectionTimeouts:
    """Read the timeouts of connections to workers; raises InvalidSettingError."""
    limits = SettingsSection(values, "settings").section("Limits")
    return ConnectionTimeouts(
        nonzero_limit(limits.integer("ConnectTimeout")) or SECOND,
        nonzero_limit(limits.integer("IdleClose")) or 60 * SECOND,
    )
