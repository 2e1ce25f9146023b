"""The start configuration of a dispatcher process: the JSON file, parsed and checked once at the start."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from pathsaddle.errors import Error, why
from pathsaddle.net.wire import terms
from pathsaddle.net.wire.forms import ListRow, MessageDecoder
from pathsaddle.net.wire.terms import ConnectionTimeouts, InvalidSettingError, SettingsSection, parse_peer
from pathsaddle.scheduler_types import SECOND, SchedulerConfig

WHERE = "GW_CONFIG"  # the environment variable with the path of the configuration file
DEFAULT_SOCKETS = 1024  # the descriptor limit of a process on most machines
# The smallest `limits.sockets` of an operator's file, and the memory that the program itself takes.
MIN_SOCKETS, MIN_MEMORY_MB = 64, 21.0


class UnreadableConfigError(Error):
    """The configuration file cannot be read."""

    name = "start.unreadable"
    what = "what GW_CONFIG names, {file!r}, can't be read: {why}"
    do = "let GW_CONFIG name a file of JSON that is there and that the user who runs this may read"


class MalformedConfigError(Error):
    """The configuration file is not a JSON object."""

    name = "start.no-form"
    what = "what GW_CONFIG names is no JSON object: {why}"
    do = (
        "let $GW_CONFIG name a file of the form that README.md shows "
        "(a charter goes with `pathsaddle serve CHARTER`)"
    )


class MissingKeyError(Error):
    """A required key of the configuration file is missing."""

    name = "start.lacks"
    what = "what GW_CONFIG names says nothing of {key}"
    do = "write {key} in the file that $GW_CONFIG names, as README.md says"


class InvalidKeyError(Error):
    """A value in the configuration file is invalid."""

    name = "start.unfit"
    what = "what GW_CONFIG names can't be used: {key}: {why}"
    do = "mend {key} in the file that $GW_CONFIG names, by docs/settings.md"


@dataclass(slots=True)
class StartConfig:
    """The start configuration, in the types that the program uses."""

    listen: str
    discovery: str
    seed: int
    sockets: int
    memory_mb: float
    scheduler: SchedulerConfig
    decoder: MessageDecoder
    timeouts: ConnectionTimeouts
    list_index: int  # the version of the last known worker list, which may be outdated
    list_rows: list[ListRow]  # its entries


def read_discovery_address(text: str) -> str:
    """Return the address of discovery in a changed configuration file.

    All other keys are read at the start only, since open txns depend on them.

    Raises:
        MalformedConfigError: The text is not a JSON object.
        MissingKeyError: The address is missing.
        InvalidKeyError: The address is malformed.
    """
    return _discovery(_parse_object(text))


def _discovery(config: dict[str, Any]) -> str:
    address = config.get("discovery")
    if not isinstance(address, str):
        raise MissingKeyError(key="discovery")
    try:
        parse_peer(address)
    except ValueError as fault:
        raise InvalidKeyError(key="discovery", why=why(fault)) from None
    return address


def _parse_object(text: str) -> dict[str, Any]:
    try:
        config = json.loads(text)
    except (ValueError, RecursionError) as fault:
        raise MalformedConfigError(why=why(fault)) from None
    if not isinstance(config, dict):
        raise MalformedConfigError(why=f"a {type(config).__name__} was given")
    return config


def birth(text: str) -> StartConfig:
    """Parse the text of the configuration file.

    Raises:
        MalformedConfigError: The text is not a JSON object.
        MissingKeyError: A required key is missing.
        InvalidKeyError: A value is invalid.
    """
    config = _parse_object(text)
    if not isinstance(config.get("listen"), str):
        raise MissingKeyError(key="listen")
    _discovery(config)
    try:
        return _build(config)
    except InvalidSettingError as fault:
        raise InvalidKeyError(key=fault.key, why=fault.why) from None


def _build(config: dict[str, Any]) -> StartConfig:
    """Check the configuration, from the platform's or the operator's file; raises InvalidSettingError."""
    settings = {} if config.get("settings") is None else config["settings"]
    seed, limits = _seed(config), SettingsSection(config.get("limits"), "limits")
    sockets, memory_mb = (
        limits.integer("sockets") or DEFAULT_SOCKETS,
        limits.number("memory_mb") or float("inf"),
    )
    if sockets < MIN_SOCKETS:
        raise limits.invalid("sockets", f"a number of at least {MIN_SOCKETS}, or none")
    if memory_mb < MIN_MEMORY_MB:
        raise limits.invalid("memory_mb", f"a number of at least {MIN_MEMORY_MB:g}, or none")
    scheduler = terms.terms(settings)
    if settings and not scheduler.schemes:
        raise SettingsSection(settings, "settings").invalid("Schemes", "at least one scheme")
    # The list that the bench pushes unasked comes over a watch here, which the process has to request.
    scheduler.list_needs_subscription, scheduler.has_watch_heartbeats, scheduler.is_list_pushed = (
        True,
        True,
        settings.get("Discovery") == "automatic",
    )
    scheduler.list_poll_interval = scheduler.list_poll_interval or 10 * SECOND
    words = MessageDecoder(settings, scheduler)
    index, rows = _known_list(words, SettingsSection(config.get("known"), "known"))
    return StartConfig(
        config["listen"],
        config["discovery"],
        seed,
        sockets,
        memory_mb,
        scheduler,
        words,
        terms.reach(settings),
        index,
        rows,
    )


def _seed(config: dict[str, Any]) -> int:
    seed = config.get("seed")
    if seed is None or seed == "":
        return 0
    try:
        if type(seed) not in (str, int):
            raise ValueError
        return int(str(seed), 16)
    except ValueError:
        raise SettingsSection(config, "").invalid("seed", "a hexadecimal number") from None


def _known_list(words: MessageDecoder, known: SettingsSection) -> tuple[int, list[ListRow]]:
    """Read the last known list. Its hundreds of rows are checked one by one only if the whole fails."""
    index, rows = known.integer("index"), known.entries("endpoints")
    try:
        return index, words.decode_list({"index": index, "endpoints": rows})[2]
    except (LookupError, TypeError, ValueError, AttributeError, OverflowError):
        for i, row in enumerate(rows):
            try:
                words.decode_list({"index": index, "endpoints": [row]})
            except (LookupError, TypeError, ValueError, AttributeError, OverflowError):
                expected = "a worker with its name, and with numbers for group, weight and since_ms"
                raise known.invalid("endpoints", expected, i) from None
        raise
