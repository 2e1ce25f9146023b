"""The file of config servers (`keepers`), voters and subscribers (`members`).

Each of their processes is started by it.

Commands find a server's control address in it. Fields of the tables are the file's keys.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from typing import TypeVar

from msgspec import field

from pathsaddle.config.schema import ConfigTable
from pathsaddle.config.units import Duration
from pathsaddle.config.validation import load_toml, validate
from pathsaddle.net.wire.terms import parse_peer
from pathsaddle.scheduler_types import SECOND
from pathsaddle.settings.errors import ClusterFileError

E = TypeVar("E")
MIN_KEY_CHARS = 16
VOTER_COUNTS = (3, 5)  # by which majorities are those that the voters' own configuration allows
MIN_LEASE = SECOND // 2  # ticks


class VoterTable(ConfigTable):
    """The voters, which are the register's acceptors.

    names: 3 or 5, each with its address (UDP) as the others reach it, as at the voters'
        `fleet.owners.voters`.
    fleet: as at their `fleet.name`.
    key: as at their `fleet.key`.
    lease: for which a server that stands still while it commits prevents others from committing.
    """

    names: dict[str, str]
    fleet: str
    key: str
    lease: Duration = Duration(3 * SECOND)


class ServerEntry(ConfigTable):
    """One config server.

    region: whose subscribers it serves first.
    address: where others send to it, host:port (UDP).
    listen: where it takes datagrams, if that differs.
    disk: a directory of its own.
    control: where commands ask it, host:port (TCP) on the loopback; none: nowhere.
    votes_at: where its voter takes datagrams, if it is a voter by its name and that differs from
        `voters.names`.
    """

    region: str
    address: str
    disk: str
    listen: str = ""
    control: str = ""
    votes_at: str = ""


class SubscriberEntry(ConfigTable):
    """One subscriber that runs alone (`follow`); dispatchers have it in their configuration files.

    region: it asks the servers of its region first.
    listen: where it takes datagrams, host:port (UDP).
    disk: a directory of its own.
    control: where commands ask it, host:port (TCP) on the loopback; none: nowhere.
    """

    region: str
    listen: str
    disk: str
    control: str = ""


class ClusterFile(ConfigTable):
    """The file.

    key: the secret of servers and subscribers, 16 characters at least.
    lease: of subscribers on the settings; the same at all.
    log: a directory in which each process logs what happens, a line of JSON each; none: on standard error.
    voters: the register's acceptors.
    keepers: the config servers, by name.
    members: the subscribers that run alone, by name.
    bytes: what a server may send in any second.
    """

    key: str
    voters: VoterTable
    keepers: dict[str, ServerEntry]
    members: dict[str, SubscriberEntry] = field(default_factory=dict)
    lease: Duration = Duration(10 * SECOND)
    log: str = ""
    bytes: int = 200_000


def load_cluster_file(path: str) -> ClusterFile:
    """Reads and checks the file.

    Raises:
        InvalidConfigError: A key is missing, unknown or of another type.
        ClusterFileError: What it says can't be meant.
    """
    file = validate(ClusterFile, load_toml(path), path)
    _check_secrets(path, file)
    if len(file.voters.names) not in VOTER_COUNTS:
        raise ClusterFileError(
            f"{path}: voters.names has {len(file.voters.names)}",
            f"write the 3 or 5 voters' names and addresses at voters.names in {path}",
        )
    if min(file.voters.lease, file.lease) < MIN_LEASE:
        raise ClusterFileError(
            f"{path}: a lease is under half a second",
            f"write 500ms at least at lease and voters.lease in {path}",
        )
    if not file.keepers:
        raise ClusterFileError(f"{path}: keepers is empty", f"write a table [keepers.NAME] in {path}")
    _check_addresses(path, file)
    _check_control_addresses(path, file)
    return file


def _check_secrets(path: str, file: ClusterFile) -> None:
    for key, secret in (("key", file.key), ("voters.key", file.voters.key)):
        if len(secret) < MIN_KEY_CHARS:
            raise ClusterFileError(
                f"{path}: {key}: a text stands there, of {len(secret)} characters",
                f"write {MIN_KEY_CHARS} characters at least at {key} in {path}, the same at all that "
                "talk to one another",
            )


def _check_addresses(path: str, file: ClusterFile) -> None:
    addresses = {f"voters.names.{name}": address for name, address in file.voters.names.items()}
    for name, server in file.keepers.items():
        addresses |= {
            f"keepers.{name}.{key}": address
            for key, address in (
                ("address", server.address),
                ("listen", server.listen),
                ("votes_at", server.votes_at),
            )
            if address
        }
    addresses |= {f"members.{name}.listen": entry.listen for name, entry in file.members.items()}
    for key, address in addresses.items():
        try:
            parse_peer(address)
        except ValueError:
            raise ClusterFileError(
                f"{path}: {key}: {address!r} is no address",
                f'write host:port, such as "10.0.0.7:7946", at {key} in {path}',
            ) from None


def _check_control_addresses(path: str, file: ClusterFile) -> None:
    addresses = {f"keepers.{name}.control": entry.control for name, entry in file.keepers.items()}
    addresses |= {f"members.{name}.control": entry.control for name, entry in file.members.items()}
    for key, address in addresses.items():
        if address and not is_loopback(address):
            raise ClusterFileError(
                f"{path}: {key}: {address!r} is no address of the loopback, and nobody signs in there",
                f'write one such as "127.0.0.1:7198" at {key} in {path}',
            )


def is_loopback(address: str) -> bool:
    """Whether host:port is on the loopback."""
    try:
        host = parse_peer(address)[0]
        return host == "localhost" or ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def entry_named(path: str, table: str, entries: Mapping[str, E], name: str) -> E:
    """Returns the entry of that name; raises ClusterFileError, which names those that are there.

    Args:
        path: Of the file, for the error.
        table: Where the entries stand in it, for the error.
        entries: By name.
        name: Which one is wanted.
    """
    if name not in entries:
        raise ClusterFileError(
            f"{path}: {table}.{name} is missing",
            f"add [{table}.{name}] to {path}, or name one that stands there: "
            f"{', '.join(sorted(entries)) or 'nobody'}",
        )
    return entries[name]
