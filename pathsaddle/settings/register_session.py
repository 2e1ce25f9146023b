"""The register that has the latest revision.

This module has its value's format, and the session in which one server may change it.

The register is `consensus`'s, under one key; a server campaigns for the key while it has changes, and no
longer. Used by `change_committer.py` and `server_driver.py`.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import NamedTuple

import msgspec

from pathsaddle.consensus.messages import Value
from pathsaddle.consensus.udp_driver import RegisterConfig, RegisterDriver
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service.ground import Environment
from pathsaddle.net.wire.terms import parse_peer
from pathsaddle.settings.documents import INITIAL_REVISION, InvalidDocumentError, RevisionId
from pathsaddle.settings.errors import NoQuorumError
from pathsaddle.settings.timing import SECOND

REGISTER_KEY = "settings"  # the voters' key
POLL_SECONDS = 0.02  # between two looks at whether the key is ours


@dataclass(frozen=True)
class VoterConfig:
    """The register's voters, as a server is told of them.

    Attributes:
        names: Addresses by name.
        fleet: The voters' fleet.
        key: The voters' secret.
        lease_ticks: Of the register's key.
        listen: Where this server's own socket to them is; its voter's, if it is one.
    """

    names: dict[str, str]
    fleet: str
    key: bytes
    lease_ticks: int
    listen: str


@dataclass(frozen=True)
class RegisterLocation:
    """Where a server keeps its part of the register.

    Attributes:
        name: Of the server.
        directory: Of the server.
        location: The table and file where it is configured, for an operator.
    """

    name: str
    directory: Path
    location: str


class OwnedRevision(NamedTuple):
    """The fencing token under which the key is owned, and what the register held under it."""

    fencing_token: int
    committed: RevisionId


def encode_register_value(committed: RevisionId, size_bytes: int) -> bytes:
    """Returns what stands in the register.

    Args:
        committed: The latest revision.
        size_bytes: Of the change sets that were committed with it.
    """
    return msgspec.msgpack.encode((committed.revision, bytes.fromhex(committed.digest), size_bytes))


def decode_register_value(value: Value) -> RevisionId:
    """Reads what stands in the register.

    Raises InvalidDocumentError where somebody else writes under the key.
    """
    if not value.data:
        return INITIAL_REVISION
    try:
        revision, digest, _ = msgspec.msgpack.decode(value.data, type=tuple[int, bytes, int])
    except (msgspec.DecodeError, msgspec.ValidationError):
        raise InvalidDocumentError(
            f"the voters' key {REGISTER_KEY!r} holds what is no revision: take it out of fleet.owners.keys"
        ) from None
    return RevisionId(revision, digest.hex())


def reading_driver(where: RegisterLocation, voters: VoterConfig, rng: Random) -> RegisterDriver:
    """Returns the driver by which a server reads the register, and votes if its name is among the voters'."""
    return RegisterDriver(
        _register_config(where, voters, where.name, voters.listen, {}), Environment(), rng, Counters()
    )


def _register_config(
    where: RegisterLocation, voters: VoterConfig, name: str, listen: str, keys: dict[str, bool]
) -> RegisterConfig:
    return RegisterConfig(
        name,
        voters.fleet,
        voters.key,
        voters.names,
        listen,
        where.directory,
        voters.lease_ticks,
        keys,
        file=where.location,
    )


class RegisterSession:
    """One campaign for the register's key: from the first change until a while after the last."""

    def __init__(self, where: RegisterLocation, voters: VoterConfig, rng: Random) -> None:
        """Opens a socket of its own; `register.begin()` starts the campaign."""
        host = parse_peer(voters.listen)[0]
        listen = f"[{host}]:0" if ":" in host else f"{host}:0"
        config = _register_config(where, voters, f"{where.name}.commits", listen, {REGISTER_KEY: True})
        self.register = RegisterDriver(config, Environment(), rng, Counters())

    async def acquire(self, deadline: float) -> OwnedRevision:
        """Waits until the key is ours.

        Args:
            deadline: Seconds of the monotonic clock.

        Raises:
            NoQuorumError: It was not ours in time.
            InvalidDocumentError: Somebody else writes under the key.
        """
        while time.monotonic() < deadline:
            token = self.register.fencing_token(REGISTER_KEY)
            value = await self.register.read(REGISTER_KEY) if token else None
            if value is not None and value.number == token == self.register.fencing_token(REGISTER_KEY):
                return OwnedRevision(token, decode_register_value(value))
            await asyncio.sleep(POLL_SECONDS)
        raise NoQuorumError(
            "no majority of the voters lets us own the register: nothing was committed",
            "start those of voters.names that are down, or mend the ways to them, then apply again",
        )

    async def end(self) -> None:
        """Gives the key back; the datagram that says so may be lost once, so it is said for a while."""
        self.register.stop()
        await asyncio.sleep(2 * self.register.owner.pace / SECOND)
        self.register.end()
