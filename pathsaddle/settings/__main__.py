"""python -m pathsaddle.settings: found a keeper's voter, run a keeper, run a member alone."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from random import Random, SystemRandom
from typing import Any

import click
import msgspec

from pathsaddle.consensus.udp_driver import monotonic_ticks
from pathsaddle.errors import Error, access, why
from pathsaddle.net.service import logbook
from pathsaddle.settings.cluster_file import ClusterFile, entry_named, load_cluster_file
from pathsaddle.settings.dispatcher_subscription import driver_config as member_told
from pathsaddle.settings.documents import content_hash
from pathsaddle.settings.driver import (
    ConfigServerDriver,
    ConfigSubscriberDriver,
    Driver,
    DriverConfig,
    VoterConfig,
)
from pathsaddle.settings.errors import StorageError


@click.group()
def main() -> None:
    """Shared settings (docs/settings-store.md). Exit codes: 0; 1 for a finding; 2 for usage or a bad file."""


@main.command("found")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--keeper", required=True, help="Its name, as at keepers.NAME and voters.names.")
def found_command(file: str, keeper: str) -> None:
    """Begins the register of a keeper that votes: once in its life, before its first start."""
    from pathsaddle.consensus.acceptor_log import create_log

    ground = load_cluster_file(file)
    row = entry_named(file, "keepers", ground.keepers, keeper)
    entry_named(file, "voters.names", ground.voters.names, keeper)
    folder = Path(row.disk)
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as fault:
        raise StorageError(
            f"{folder}: {why(fault)}", access(fault, folder, folder) + f", at keepers.{keeper}.disk in {file}"
        ) from None
    create_log(folder, keeper, ground.voters.names)


@main.command("keep")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--keeper", help="Its name, as at keepers.NAME; none where FILE has only one.")
def keep_command(file: str, keeper: str | None) -> None:
    """Runs a keeper until SIGTERM; it votes, too, if its name is among the voters."""
    ground = load_cluster_file(file)
    name = keeper or (next(iter(ground.keepers)) if len(ground.keepers) == 1 else "")
    row = entry_named(file, "keepers", ground.keepers, name)
    voters = ground.voters
    at = row.votes_at or voters.names.get(name, "") or f"{(row.listen or row.address).rpartition(':')[0]}:0"
    told = DriverConfig(
        name,
        row.region,
        ground.key.encode(),
        row.listen or row.address,
        {one: keeper.address for one, keeper in ground.keepers.items()},
        Path(row.disk),
        f"keepers.{name} in {file}",
        int(ground.lease),
        row.control,
        ground.bytes,
        max(200, ground.bytes // 200),
    )
    asyncio.run(
        _runs(
            lambda: ConfigServerDriver(
                told,
                VoterConfig(dict(voters.names), voters.fleet, voters.key.encode(), int(voters.lease), at),
                SystemRandom(),
                _log(ground, name),
            )
        )
    )


@main.command("follow")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--member", "name", required=True, help="Its name, as at members.NAME.")
@click.option("--acts", default=0.0, help="Acts a second that it logs, each by one row of those it goes by.")
def follow_command(file: str, name: str, acts: float) -> None:
    """Runs a member alone until SIGTERM, and logs by what it acts."""
    ground = load_cluster_file(file)
    told = member_told(ground, file, name)
    chance = SystemRandom()
    tell = _log(ground, name)

    def made() -> ConfigSubscriberDriver:
        member = ConfigSubscriberDriver(told, chance, tell)
        member.hear.append(
            lambda acting: tell(
                "acting", revision=acting.revision, digest=acting.digest, rows=len(acting.rows)
            )
        )
        return member

    asyncio.run(_runs(made, None if not acts else lambda member: _acts(member, acts, chance, tell)))


async def _acts(
    member: ConfigSubscriberDriver, rate: float, chance: Random, tell: Callable[..., None]
) -> None:
    """Effects, as far as a log has any: by what they go is looked at in the moment that the line has."""
    whole: tuple[object, str] = (None, "")
    while True:
        acting, at = member.acting, monotonic_ticks()
        leased = member.leased()
        if acting.revision:
            if whole[0] is not acting:
                whole = (
                    acting,
                    "" if acting.offers else content_hash(repr(sorted(acting.rows.items())).encode()),
                )
            key = chance.choice(sorted(acting.rows)) if acting.rows else "zones"
            value = acting.rows.get(key)
            tell(
                "acts",
                at,
                life=member.life,
                revision=acting.revision,
                digest=acting.digest,
                leased=leased,
                key=key,
                value=None if value is None else value.decode(),
                whole=whole[1],
            )
        await asyncio.sleep(chance.uniform(0.5, 1.5) / rate)


async def _runs(made: Callable[[], Driver[Any]], works: Callable[[Any], Any] | None = None) -> None:
    """Until SIGTERM, or it ends by itself. Raises what it ended by."""
    stop = asyncio.Event()
    events = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        events.add_signal_handler(number, stop.set)
    driver = made()
    await driver.begin()
    waits: list[asyncio.Future[Any]] = [
        asyncio.ensure_future(stop.wait()),
        asyncio.ensure_future(driver.ended.wait()),
    ]
    if works is not None:
        waits.append(asyncio.ensure_future(works(driver)))
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for one in waits:
        one.cancel()
    await driver.end()
    for one in waits:
        if one.done() and not one.cancelled() and (fault := one.exception()) is not None:
            raise fault
    if driver.fault is not None:
        raise driver.fault


def _log(ground: ClusterFile, name: str) -> Callable[..., None]:
    """A line of JSON for each thing that happens: `at`, ticks of the machine's monotonic clock; `time`, ms since 1970."""
    logbook.open_log("WARNING", "json")  # the register's own lines: voters, disks, faults
    if ground.log:
        folder = Path(ground.log)
        try:
            folder.mkdir(parents=True, exist_ok=True)
            file = (folder / f"{name}.jsonl").open("ab", buffering=0)
        except OSError as fault:
            raise StorageError(
                f"{folder}: {why(fault)}", access(fault, folder, folder) + ", at log in the file of keepers"
            ) from None
        write = file.write
    else:
        write = sys.stderr.buffer.raw.write if hasattr(sys.stderr.buffer, "raw") else sys.stderr.buffer.write

    def tell(what: str, at: int | None = None, **more: Any) -> None:
        row = {
            "at": monotonic_ticks() if at is None else at,
            "what": what,
            "more": {"time": time.time_ns() // 1_000_000, "who": name, **more},
        }
        write(msgspec.json.encode(row) + b"\n")

    return tell


if __name__ == "__main__":
    try:
        main(standalone_mode=False)
    except Error as fault:
        click.echo(str(fault), err=True)
        sys.exit(fault.code)
    except click.ClickException as fault:
        fault.show()
        sys.exit(2)
    except (KeyboardInterrupt, click.Abort):
        sys.exit(130)
