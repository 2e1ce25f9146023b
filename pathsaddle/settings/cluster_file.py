"""The file of keepers, voters and members, by which each of their processes is started, and commands find a keeper."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from typing import Any

from msgspec import field

from pathsaddle.config.schema import ConfigTable
from pathsaddle.config.units import Duration
from pathsaddle.config.validation import load_toml, validate
from pathsaddle.net.wire.terms import peer_of
from pathsaddle.settings.errors import ClusterFileError
from pathsaddle.trade import SECOND

LEAST_KEY = 16


class VoterTable(ConfigTable):
    """Who keeps the register.

    names: 3 or 5, each with its address (UDP) as the others reach it, as at the voters' `fleet.owners.voters`.
    fleet: as at their `fleet.name`.
    key: as at their `fleet.key`.
    lease: for which a keeper that stands still while it commits keeps others from committing.
    """

    names: dict[str, str]
    fleet: str
    key: str
    lease: Duration = Duration(3 * SECOND)


class ServerEntry(ConfigTable):
    """One keeper.

    region: which members' pushes it is meant for.
    address: where others send to it, host:port (UDP).
    listen: where it takes datagrams, if that differs.
    disk: a folder of its own.
    control: where commands ask it, host:port (TCP) on the loopback; none: nowhere.
    votes_at: where its voter takes datagrams, if it is a voter by its name and that differs from `voters.names`.
    """

    region: str
    address: str
    disk: str
    listen: str = ""
    control: str = ""
    votes_at: str = ""


class SubscriberEntry(ConfigTable):
    """One member that runs alone (`follow`); dispatchers are told by their charters.

    region: it asks the keepers of its region first.
    listen: where it takes datagrams, host:port (UDP).
    disk: a folder of its own.
    control: where commands ask it, host:port (TCP) on the loopback; none: nowhere.
    """

    region: str
    listen: str
    disk: str
    control: str = ""


class ClusterFile(ConfigTable):
    """Who there is.

    key: the secret of keepers and members, 16 characters at least.
    lease: of members on the settings; the same at all.
    log: a folder in which each process tells what happens, a line of JSON each; none: on standard error.
    voters: who keeps the register.
    keepers: by name.
    members: by name, those that run alone.
    bytes: what a keeper may send in any second.
    """

    key: str
    voters: VoterTable
    keepers: dict[str, ServerEntry]
    members: dict[str, SubscriberEntry] = field(default_factory=dict)
    lease: Duration = Duration(10 * SECOND)
    log: str = ""
    bytes: int = 200_000


def load_cluster_file(path: str) -> ClusterFile:
    """Raises charter.check.Faulty, BadFile."""
    form = validate(ClusterFile, load_toml(path), path)
    for key, secret in (("key", form.key), ("voters.key", form.voters.key)):
        if len(secret) < LEAST_KEY:
            raise ClusterFileError(
                f"{path}: {key}: a text stands there, of {len(secret)} characters",
                f"write {LEAST_KEY} characters at least at {key} in {path}, the same at all that talk to one another",
            )
    if len(form.voters.names) not in (3, 5):
        raise ClusterFileError(
            f"{path}: voters.names has {len(form.voters.names)}",
            f"write the 3 or 5 voters' names and addresses at voters.names in {path}",
        )
    if min(form.voters.lease, form.lease) < SECOND // 2:
        raise ClusterFileError(
            f"{path}: a lease is under half a second",
            f"write 500ms at least at lease and voters.lease in {path}",
        )
    if not form.keepers:
        raise ClusterFileError(f"{path}: keepers is empty", f"write a table [keepers.NAME] in {path}")
    addresses = {f"voters.names.{name}": one for name, one in form.voters.names.items()}
    for name, keeper in form.keepers.items():
        addresses |= {
            f"keepers.{name}.{key}": one
            for key, one in (
                ("address", keeper.address),
                ("listen", keeper.listen),
                ("votes_at", keeper.votes_at),
            )
            if one
        }
    addresses |= {f"members.{name}.listen": row.listen for name, row in form.members.items()}
    for key, address in addresses.items():
        try:
            peer_of(address)
        except ValueError:
            raise ClusterFileError(
                f"{path}: {key}: {address!r} is no address",
                f'write host:port, such as "10.0.0.7:7946", at {key} in {path}',
            ) from None
    for table, rows in (("keepers", form.keepers), ("members", form.members)):
        for name, one in rows.items():
            if one.control and not is_loopback(one.control):
                raise ClusterFileError(
                    f"{path}: {table}.{name}.control: {one.control!r} is no address of the loopback, and nobody "
                    "signs in there",
                    f'write one such as "127.0.0.1:7198" at {table}.{name}.control in {path}',
                )
    return form


def is_loopback(address: str) -> bool:
    try:
        host = peer_of(address)[0]
        return host == "localhost" or ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def entry_named(path: str, table: str, rows: Mapping[str, Any], name: str) -> Any:
    """Raises BadFile."""
    if name not in rows:
        raise ClusterFileError(
            f"{path}: {table}.{name} is missing",
            f"add [{table}.{name}] to {path}, or name one that stands there: {', '.join(sorted(rows)) or 'nobody'}",
        )
    return rows[name]
