"""Checks of the keys of `[fleet]` against each other.

`config/member_tables.py` calls them once each key has its own type, in the order in which the operator reads
the errors.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping, Sequence

from pathsaddle.config.checks import MEMBER_NAME, MEMBER_NAME_RULE
from pathsaddle.config.display import display_value
from pathsaddle.config.errors import (
    InvalidValueError,
    MissingKeyError,
    NotAllowedValueError,
    NotLoopbackError,
    OutOfBoundsError,
    TooLongError,
    TooSlowError,
    UnreachableAddressError,
)
from pathsaddle.config.field_types import MILLISECOND_TICKS, SECOND_TICKS
from pathsaddle.config.units import Duration

ANY_PORT = ":0"  # the end of an address whose port the operating system chooses
MIN_PROBE_INTERVAL = 50 * MILLISECOND_TICKS
MIN_LEASE, MAX_LEASE = 2 * SECOND_TICKS, 600 * SECOND_TICKS
MAX_QUOTAS = 16
QUOTA_NAME = re.compile(r"[A-Za-z0-9_.-]{1,32}")


def check_control_is_local(control: str) -> Iterator[InvalidValueError]:
    """The control address must be on the loopback, since it asks for no credentials."""
    if control and not control.startswith("127."):
        yield InvalidValueError("control", NotLoopbackError, shown=display_value(control))


def check_fleet_name(name: str) -> Iterator[InvalidValueError]:
    """The fleet's name must fit a datagram."""
    if not MEMBER_NAME.fullmatch(name):
        yield InvalidValueError("name", NotAllowedValueError, shown=display_value(name), may=MEMBER_NAME_RULE)


def check_control_port(control: str) -> Iterator[InvalidValueError]:
    """The control address must have a port that `pathsaddle fleet` can know."""
    if control.endswith(ANY_PORT):
        yield InvalidValueError(
            "control",
            OutOfBoundsError,
            shown=display_value(control),
            may="a port above 0, which can be asked at,",
        )


def check_seeds(seeds: Sequence[str]) -> Iterator[InvalidValueError]:
    """Each seed must have a port to which datagrams can be sent."""
    for index, seed in enumerate(seeds):
        if seed.endswith(ANY_PORT):
            yield InvalidValueError(
                f"seeds[{index}]",
                OutOfBoundsError,
                shown=display_value(seed),
                may="fleet.address of another member",
            )


def check_reachable(address: str) -> Iterator[InvalidValueError]:
    """The address that the other members are given must be one to which they can send."""
    if address.startswith("0.0.0.0:") or address.endswith(ANY_PORT):
        yield InvalidValueError("address", UnreachableAddressError, shown=display_value(address))


def check_listen(listen: str) -> Iterator[InvalidValueError]:
    """There must be an address where datagrams arrive."""
    if not listen:
        yield InvalidValueError("listen", MissingKeyError, may="an address, host:port")


def check_probe_times(beat: Duration, patience: Duration) -> Iterator[InvalidValueError]:
    """The probe interval must not be too short, and must leave time for indirect probes."""
    if beat < MIN_PROBE_INTERVAL:
        yield InvalidValueError("beat", OutOfBoundsError, shown=display_value(beat), may="50ms at least")
    elif not 0 < patience < beat // 2:
        yield InvalidValueError(
            "patience", TooSlowError, patience=display_value(patience), beat=display_value(beat)
        )


def check_quotas(budgets: Mapping[str, int]) -> Iterator[InvalidValueError]:
    """Quotas must be few, and have short names: each member gossips of all of them."""
    if len(budgets) > MAX_QUOTAS:
        yield InvalidValueError(
            "budgets", TooLongError, shown="a table", count=len(budgets), unit="budgets", most=MAX_QUOTAS
        )
    for name in budgets:
        if not QUOTA_NAME.fullmatch(name):
            yield InvalidValueError(
                "budgets",
                NotAllowedValueError,
                shown=display_value(name),
                may="names of 1 to 32 letters, digits and ._-",
            )


def check_quota_shares(parts: Mapping[str, int], budgets: Mapping[str, int]) -> Iterator[InvalidValueError]:
    """A share must be of a quota that is there, and no more than the whole of it."""
    for name, part in parts.items():
        if name not in budgets:
            yield InvalidValueError(
                f"parts.{name}",
                NotAllowedValueError,
                shown=display_value(name),
                may=f"a name of budgets ({', '.join(budgets) or 'none is there'})",
            )
        elif part > budgets[name]:
            yield InvalidValueError(
                f"parts.{name}",
                OutOfBoundsError,
                shown=display_value(part),
                may=f"at most budgets.{name} ({budgets[name]})",
            )


def check_lease(lease: Duration) -> Iterator[InvalidValueError]:
    """The time for which units are lent must be neither too short to renew nor too long to wait for."""
    if not MIN_LEASE <= lease <= MAX_LEASE:
        yield InvalidValueError("lease", OutOfBoundsError, shown=display_value(lease), may="2s to 10min")
