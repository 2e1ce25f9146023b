"""Checks of a dispatcher's keys against each other.

`config/schema.py` and `config/serving_tables.py` call them once each key has its own type, in the order in
which the operator reads the errors. A check takes the values that it compares, and yields what contradicts
itself.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterator, Sequence

from pathsaddle.config.display import display_value
from pathsaddle.config.errors import (
    ConfigKeyError,
    DuplicateError,
    InvalidValueError,
    MissingKeyError,
    NameRequiredError,
    NotAllowedValueError,
    OutOfBoundsError,
    WindowRequiredError,
)
from pathsaddle.config.units import Duration, Size

# Of a member, its zone and its fleet: they go into names of files and into each datagram.
MEMBER_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
MEMBER_NAME_RULE = "1 to 64 letters, digits and ._-"
REQUEST_CLASS_NAME = re.compile(r"[A-Za-z0-9._~-]+")
RESERVED_PATHS = ("ready", "callback")  # first parts of a call's path that the dispatcher answers itself
JOBS_PATH = "jobs"  # the same, where durable jobs are on
DEFAULT_NAME = "pathsaddle"
MIN_MEMORY = Size(32_000_000)  # the program itself takes 21 MB: below, it would warn four times a second


def check_memory(memory: Size) -> Iterator[InvalidValueError]:
    """`limits.memory` must leave room beyond the program itself."""
    if memory < MIN_MEMORY:
        yield InvalidValueError(
            "memory", OutOfBoundsError, shown=display_value(memory), may='a size of at least "32MB"'
        )


def check_request_class_name(name: str) -> Iterator[InvalidValueError]:
    """The name of a request class must be able to begin a call's path."""
    if not REQUEST_CLASS_NAME.fullmatch(name) or name in RESERVED_PATHS:
        yield InvalidValueError(
            "name",
            NotAllowedValueError,
            shown=display_value(name),
            may="letters, digits and ._~- (a call's path begins with it; `ready` and `callback` are taken)",
        )


def check_window(name: str, semantics: str, window: Duration) -> Iterator[InvalidValueError]:
    """A deduplicated request class needs a window."""
    if semantics == "referenced" and not window:
        yield InvalidValueError("window", WindowRequiredError, scheme=name)


def check_expiry(expiry: Duration) -> Iterator[InvalidValueError]:
    """The deadline must be later than now."""
    if not expiry:
        yield InvalidValueError(
            "expiry", OutOfBoundsError, shown=display_value(expiry), may='a time above "0ms"'
        )


def check_address_given(key: str, address: str) -> Iterator[InvalidValueError]:
    """An address must not be empty."""
    if not address:
        yield InvalidValueError(key, MissingKeyError, may="an address, host:port")


def check_seed(seed: str) -> Iterator[InvalidValueError]:
    """The seed must be hexadecimal."""
    if not re.fullmatch(r"[0-9a-fA-F]{1,64}", seed):
        yield InvalidValueError(
            "seed", NotAllowedValueError, shown=display_value(seed), may="1 to 64 hexadecimal digits"
        )


def check_number(number: int, dispatchers: int) -> Iterator[InvalidValueError]:
    """A dispatcher's number must be one of 0 to `dispatchers` - 1."""
    if number >= dispatchers:
        yield InvalidValueError(
            "number",
            OutOfBoundsError,
            shown=display_value(number),
            may=f"less than dispatchers ({dispatchers})",
        )


def check_request_classes_given(names: Sequence[str]) -> Iterator[InvalidValueError]:
    """There must be a request class."""
    if not names:
        yield InvalidValueError("schemes", MissingKeyError, may="at least one table, [[schemes]],")


def check_unique(key: str, names: Sequence[str]) -> Iterator[InvalidValueError]:
    """Names must differ. Counted once for all of them, since there may be hundreds."""
    for name, count in Counter(names).items():
        if count > 1:
            yield InvalidValueError(key, DuplicateError, shown=display_value(name))


def check_zones_given(zones: Sequence[str]) -> Iterator[InvalidValueError]:
    """There must be a zone."""
    if not zones:
        yield InvalidValueError("zones", MissingKeyError, may="at least one zone's name")


def check_member_names(name: str, dispatchers: int, zone: str) -> Iterator[InvalidValueError]:
    """In a fleet the dispatcher's name must be its own, and name and zone must fit a datagram."""
    if name == DEFAULT_NAME and dispatchers > 1:
        yield InvalidValueError("name", NameRequiredError)
    for key, value in (("name", name), ("zone", zone)):
        if not MEMBER_NAME.fullmatch(value):
            yield InvalidValueError(
                key, NotAllowedValueError, shown=display_value(value), may=MEMBER_NAME_RULE
            )


def check_jobs(request_classes: Sequence[str], has_federation: bool) -> Iterator[InvalidValueError]:
    """What durable jobs exclude: a federation, and a request class of the same path."""
    if has_federation:
        yield InvalidValueError(
            "federation",
            ConfigKeyError,
            "stands beside jobs, and durable jobs don't leave their region",
            "take [jobs] or [federation] out",
        )
    if JOBS_PATH in request_classes:
        yield InvalidValueError(
            "schemes",
            NotAllowedValueError,
            shown='the name "jobs"',
            may="another name for that scheme, since /jobs/ is the path of durable jobs,",
        )


def check_home_zone(zone: str | None, zones: Sequence[str]) -> Iterator[InvalidValueError]:
    """The dispatcher's own zone must be one of the zones."""
    if zone is not None and zone not in zones:
        yield InvalidValueError(
            "zone", NotAllowedValueError, shown=display_value(zone), may=f"one of zones ({', '.join(zones)})"
        )


def check_machine(index: int, machine: str | None, machines: Sequence[str]) -> Iterator[InvalidValueError]:
    """The kind of machine that the request class at this index asks for must be one of the machines."""
    if machine is not None and machine not in machines:
        yield InvalidValueError(
            f"schemes[{index}].machine",
            NotAllowedValueError,
            shown=display_value(machine),
            may=f"one of machines ({', '.join(machines) or 'none is named there'})",
        )
