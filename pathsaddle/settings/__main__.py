"""python -m pathsaddle.settings: found a config server's voter, run a config server, run a subscriber alone.

Commands, options and the log's members keep their words: a server is a keeper there, a subscriber a member.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random, SystemRandom
from typing import Any, TypeVar

import click
import msgspec

from pathsaddle.consensus.udp_driver import monotonic_ticks
from pathsaddle.errors import Error, access, why
from pathsaddle.net.service import logbook
from pathsaddle.settings.active_settings import ActiveSettings
from pathsaddle.settings.cluster_file import ClusterFile, entry_named, load_cluster_file
from pathsaddle.settings.dispatcher_subscription import driver_config
from pathsaddle.settings.documents import content_hash
from pathsaddle.settings.driver_config import DriverConfig
from pathsaddle.settings.errors import StorageError
from pathsaddle.settings.register_session import VoterConfig
from pathsaddle.settings.server_driver import ConfigServerDriver
from pathsaddle.settings.subscriber_driver import ConfigSubscriberDriver
from pathsaddle.settings.udp_driver import SettingsDriver

BYTES_PER_DATAGRAM = (
    200  # at least, of what a server may send in a second: so many fewer datagrams than bytes
)
MIN_DATAGRAMS_PER_SECOND = 200


D = TypeVar("D", bound=SettingsDriver[Any])
# Logs an event: its name, when it happened (ticks) if that is not now, then its fields as keywords.
LogAt = Callable[..., None]


@click.group()
def main() -> None:
    """Shared settings (docs/settings-store.md). Exit codes: 0; 1 for a finding; 2 for usage or a bad file."""


@main.command("found")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--keeper", required=True, help="Its name, as at keepers.NAME and voters.names.")
def found_command(file: str, keeper: str) -> None:
    """Begins the register of a keeper that votes: once in its life, before its first start."""
    from pathsaddle.consensus.acceptor_log import create_log

    cluster = load_cluster_file(file)
    entry = entry_named(file, "keepers", cluster.keepers, keeper)
    entry_named(file, "voters.names", cluster.voters.names, keeper)
    directory = Path(entry.disk)
    try:
        directory.mkdir(parents=True, exist_ok=True)
    except OSError as fault:
        raise StorageError(
            f"{directory}: {why(fault)}",
            access(fault, directory, directory) + f", at keepers.{keeper}.disk in {file}",
        ) from None
    create_log(directory, keeper, cluster.voters.names)


@main.command("keep")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--keeper", help="Its name, as at keepers.NAME; none where FILE has only one.")
def keep_command(file: str, keeper: str | None) -> None:
    """Runs a keeper until SIGTERM; it votes, too, if its name is among the voters."""
    cluster = load_cluster_file(file)
    name = keeper or (next(iter(cluster.keepers)) if len(cluster.keepers) == 1 else "")
    entry = entry_named(file, "keepers", cluster.keepers, name)
    voters = cluster.voters
    listen = entry.listen or entry.address
    voters_listen = entry.votes_at or voters.names.get(name, "") or f"{listen.rpartition(':')[0]}:0"
    config = DriverConfig(
        name,
        entry.region,
        cluster.key.encode(),
        listen,
        {one: server.address for one, server in cluster.keepers.items()},
        Path(entry.disk),
        f"keepers.{name} in {file}",
        int(cluster.lease),
        entry.control,
        cluster.bytes,
        max(MIN_DATAGRAMS_PER_SECOND, cluster.bytes // BYTES_PER_DATAGRAM),
    )
    voter_config = VoterConfig(
        dict(voters.names), voters.fleet, voters.key.encode(), int(voters.lease), voters_listen
    )
    log = _open_log(cluster, name)
    asyncio.run(_run(lambda: ConfigServerDriver(config, voter_config, SystemRandom(), log)))


@main.command("follow")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--member", "name", required=True, help="Its name, as at members.NAME.")
@click.option("--acts", default=0.0, help="Acts a second that it logs, each by one row of those it goes by.")
def follow_command(file: str, name: str, acts: float) -> None:
    """Runs a member alone until SIGTERM, and logs by what it acts."""
    cluster = load_cluster_file(file)
    config = driver_config(cluster, file, name)
    rng = SystemRandom()
    log = _open_log(cluster, name)

    def make_driver() -> ConfigSubscriberDriver:
        """Makes the driver, and logs by what it acts."""
        driver = ConfigSubscriberDriver(config, rng, log)
        driver.listeners.append(
            lambda acting: log(
                "acting", revision=acting.revision, digest=acting.digest, rows=len(acting.rows)
            )
        )
        return driver

    asyncio.run(_run(make_driver, None if not acts else lambda driver: _log_acts(driver, acts, rng, log)))


async def _log_acts(driver: ConfigSubscriberDriver, rate: float, rng: Random, log: LogAt) -> None:
    """Logs effects, as far as a log has any: by what they go is looked at in the moment that the line has.

    Args:
        driver: The subscriber's.
        rate: Effects a second.
        rng: Draws their entries and times.
        log: Gets a line for each.
    """
    hashed: ActiveSettings | None = None
    entries_hash = ""
    while True:
        acting, at = driver.acting, monotonic_ticks()
        is_leased = driver.is_leased()
        if acting.revision:
            if hashed is not acting:
                hashed = acting
                entries_hash = (
                    "" if acting.offers else content_hash(repr(sorted(acting.rows.items())).encode())
                )
            key = rng.choice(sorted(acting.rows)) if acting.rows else "zones"
            value = acting.rows.get(key)
            log(
                "acts",
                at,
                life=driver.incarnation,
                revision=acting.revision,
                digest=acting.digest,
                leased=is_leased,
                key=key,
                value=None if value is None else value.decode(),
                whole=entries_hash,
            )
        await asyncio.sleep(rng.uniform(0.5, 1.5) / rate)


async def _run(
    make_driver: Callable[[], D], work: Callable[[D], Coroutine[Any, Any, None]] | None = None
) -> None:
    """Runs a driver until SIGTERM, or until it ends by itself; raises what it ended by."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    driver = make_driver()
    await driver.begin()
    tasks: list[asyncio.Future[Any]] = [
        asyncio.ensure_future(stop.wait()),
        asyncio.ensure_future(driver.ended.wait()),
    ]
    if work is not None:
        tasks.append(asyncio.ensure_future(work(driver)))
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
    await driver.end()
    for task in tasks:
        if task.done() and not task.cancelled() and (fault := task.exception()) is not None:
            raise fault
    if driver.fault is not None:
        raise driver.fault


def _open_log(cluster: ClusterFile, name: str) -> LogAt:
    """Returns what logs an event as a line of JSON.

    Its members: `at`, ticks of the machine's monotonic clock; `time`, milliseconds since 1970.
    """
    logbook.open_log("WARNING", "json")  # the register's own lines: voters, disks, faults
    if cluster.log:
        directory = Path(cluster.log)
        try:
            directory.mkdir(parents=True, exist_ok=True)
            file = (directory / f"{name}.jsonl").open("ab", buffering=0)
        except OSError as fault:
            raise StorageError(
                f"{directory}: {why(fault)}",
                access(fault, directory, directory) + ", at log in the file of keepers",
            ) from None
        write = file.write
    else:
        write = sys.stderr.buffer.raw.write if hasattr(sys.stderr.buffer, "raw") else sys.stderr.buffer.write

    def log(event: str, at: int | None = None, **fields: object) -> None:
        """Writes one line."""
        line = {
            "at": monotonic_ticks() if at is None else at,
            "what": event,
            "more": {"time": time.time_ns() // 1_000_000, "who": name, **fields},
        }
        write(msgspec.json.encode(line) + b"\n")

    return log


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
