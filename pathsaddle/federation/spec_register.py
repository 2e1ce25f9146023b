"""The register of specs kept by voters (`pathsaddle.consensus`): a key whose value says what is committed, by number and digest.

Texts are not in it: who has one serves it, and its digest proves it. A commit is a change of the value by who owns the key,
under the number that it owns it with: between its look and its change nobody else's can have come, or its own is refused.

Bound: a number is committed once, with one digest, and a majority of keepers had that text on disk before. A committer that
stood still changes nothing when it wakes. A reading is one that a majority of voters proves, or none.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from pathsaddle.config.units import Duration
from pathsaddle.consensus.events import (
    BallotEnded,
    BallotStarted,
    LeaseAcquired,
    LeaseEvent,
    LeaseLost,
    LeaseRenewed,
    OperationKind,
    Outcome,
    OwnLeaseReleased,
)
from pathsaddle.consensus.udp_driver import RegisterConfig, RegisterDriver, monotonic_ticks
from pathsaddle.errors import access, why
from pathsaddle.federation.disk import synced, version_at
from pathsaddle.federation.errors import FederationFault, NoAddress, NoWay, Outrun
from pathsaddle.leased_versions import Version
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service.ground import Environment
from pathsaddle.net.wire.terms import parse_peer
from pathsaddle.scheduler_types import SECOND

KEY = "spec"
LATEST = 32  # committed versions that the value names: 29 bytes each at most, of the 1,024 that it may have
OFFERS = 8  # texts not committed that a keeper has on disk; the oldest goes


class VotersForm(msgspec.Struct, kw_only=True):
    """Who keeps the register.

    names: 3 or 5, each with its address (UDP), as at the voters' `fleet.owners.voters`. fleet, key: as at their `fleet.name`
    and `fleet.key`. lease: for which a committer that says nothing keeps others from committing.
    """

    names: dict[str, str]
    fleet: str
    key: str
    lease: Duration = msgspec.field(default_factory=lambda: Duration(3 * SECOND))


def checked(form: VotersForm, file: str) -> None:
    """Raises NoAddress, NoWay."""
    if len(form.key) < 16:
        raise NoWay(
            f"{file}: voters.key: a text stands there, of {len(form.key)} characters",
            f"write the voters' fleet.key, 16 characters at least, at voters.key in {file}",
        )
    if len(form.names) not in (3, 5):
        raise NoWay(
            f"{file}: voters.names has {len(form.names)}",
            f"write the 3 or 5 of the voters' fleet.owners.voters at voters.names in {file}",
        )
    if form.lease < SECOND // 2:
        raise NoWay(
            f"{file}: voters.lease is {form.lease / SECOND} s",
            f"write 500ms at least at voters.lease in {file}",
        )
    for name, address in form.names.items():
        try:
            parse_peer(address)
        except ValueError:
            raise NoAddress(file=file, key=f"voters.names.{name}", address=address) from None


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One committed version. size: bytes of its text."""

    number: int
    digest: bytes
    size: int

    @property
    def known(self) -> tuple[int, str]:
        return self.number, self.digest.hex()


_entries = msgspec.msgpack.Decoder(tuple[Entry, ...]).decode


def entries(data: bytes) -> tuple[Entry, ...]:
    """The latest committed, lowest first. Raises NoWay where somebody else writes under the key."""
    try:
        return _entries(data) if data else ()
    except (msgspec.DecodeError, msgspec.ValidationError):
        raise NoWay(
            f"the voters' key {KEY!r} holds what is no list of versions",
            f"take {KEY!r} out of fleet.owners.keys wherever it stands: commits alone own it",
        ) from None


class Voted:
    """What keepers read and committers change. tell: each thing that happens, as histories name it."""

    def __init__(
        self,
        form: VotersForm,
        name: str,
        listen: str,
        folder: Path,
        chance: Random,
        tell: Callable[..., None],
        commits: bool = False,
    ) -> None:
        """name: nobody else's in this moment, among at most some thousands ever. Raises what
        ownership's Register does.
        """
        told = RegisterConfig(
            name,
            form.fleet,
            form.key.encode(),
            dict(form.names),
            f"{parse_peer(listen)[0]}:0",
            folder,
            int(form.lease),
            {KEY: True} if commits else {},
        )
        self.tell, self.name, self.asked = tell, name, 0
        self.register = RegisterDriver(told, Environment(), chance, Counters())
        self.register.lease_manager.record_history()
        self.register.on_event.append(self._log_event)

    def begin(self) -> None:
        self.register.begin()

    async def end(self) -> None:
        """The key is given back, and that may be lost once."""
        self.register.stop()
        await asyncio.sleep(2 * self.register.lease_manager.pace / SECOND)
        self.register.end()

    async def read(self) -> tuple[int, tuple[Entry, ...]] | None:
        """The number of the last owner, and what was committed after this was called or then; None: no majority proved it.
        Raises NoWay.
        """
        self.asked += 1
        op = f"{self.name}/{self.register.lease_manager.incarnation}/read/{self.asked}"
        self.tell("reg.call", who=self.name, op=op, key=KEY, kind="read")
        value = await self.register.read(KEY)
        if value is None:
            self.tell("reg.end", who=self.name, op=op, outcome="unknown")
            return None
        self.tell(
            "reg.end",
            who=self.name,
            op=op,
            outcome="ok",
            number=value.fencing_token,
            owner=value.holder,
            revision=value.revision,
            value=value.data.hex() or None,
        )
        return value.fencing_token, entries(value.data)

    async def first(self, until: float) -> tuple[Entry, ...]:
        """Raises NoWay where no majority proves anything before `until` (of `time.monotonic`)."""
        while time.monotonic() < until:
            found = await self.read()
            if found is not None:
                return found[1]
            await asyncio.sleep(0.02)
        raise NoWay(
            "no majority of the voters answers: nothing was committed",
            "start those of voters.names that are down, or mend the ways to them, and commit again",
        )

    async def commit(self, entry: Entry, until: float) -> None:
        """Raises Outrun where the number is taken, NoWay where nobody can be asked in time."""
        tried = False
        while time.monotonic() < until:
            number = self.register.fencing_token(KEY)
            found = await self.read() if number else None
            if found is None or found[0] != number:
                await asyncio.sleep(0.02)
                continue
            line = found[1]
            if entry in line:
                return  # a change of ours of which we heard nothing, carried on by the voters
            if (line[-1].number if line else 0) != entry.number - 1:
                raise Outrun(
                    f"another spec was committed as {entry.number} ({line[-1].number if line else 0} is the highest)",
                    "compare yours with what is committed now and commit again",
                )
            if self.register.fencing_token(KEY) != number:
                continue  # owned anew since the reading: what was read may be no longer so
            # From here on the number guards it: voters take the change only while this very owning is the last.
            tried = True
            if await self.register.put(KEY, msgspec.msgpack.encode((*line, entry)[-LATEST:])):
                return
        raise NoWay(
            f"no majority of the voters answers: whether {entry.number} was committed can't be told"
            if tried
            else "no majority of the voters lets us own the register: nothing was committed",
            "start those of voters.names that are down, or mend the ways to them, then commit again: a spec that is committed "
            "already is told as such",
        )

    def _log_event(self, event: LeaseEvent) -> None:
        incarnation = self.register.lease_manager.incarnation
        match event:
            case LeaseAcquired() | LeaseRenewed():
                # The log's clock and the register's are not the same one where a machine sleeps.
                now = int(time.monotonic() * SECOND)
                self.tell(
                    "lease",
                    now,
                    who=self.name,
                    key=event.key,
                    number=event.fencing_token,
                    life=incarnation,
                    until=event.lease_end - monotonic_ticks() + now,
                    **{"from": now},
                )
            case LeaseLost() | OwnLeaseReleased():
                self.tell(
                    "lease.end",
                    who=self.name,
                    key=event.key,
                    number=event.fencing_token,
                    life=incarnation,
                    why=event.reason,
                )
            case BallotStarted():
                self._log_ballot_started(event)
            case BallotEnded():
                self._log_ballot_ended(event)

    def _log_ballot_started(self, event: BallotStarted) -> None:
        members: dict[str, Any] = {
            "who": self.name,
            "op": event.operation_id,
            "key": event.key,
            "kind": event.kind,
        }
        if event.kind != OperationKind.TAKE:
            members["number"] = event.fencing_token
        if event.kind == OperationKind.SET:
            members |= {"value": event.data.hex(), "revision": event.revision}
        self.tell("reg.call", **members)

    def _log_ballot_ended(self, event: BallotEnded) -> None:
        members: dict[str, Any] = {
            "who": self.name,
            "op": event.operation_id,
            "outcome": event.outcome,
        }
        if event.outcome == Outcome.OK:
            members |= {
                "number": event.fencing_token,
                "owner": self.name,
                "revision": event.revision,
                "value": event.data.hex() or None,
            }
        self.tell("reg.end", **members)


class Texts:
    """A keeper's, on disk: `NUMBER.toml` committed, `NUMBER-DIGEST.toml` offered.

    Bound: all that were committed, and at most OFFERS that were not.
    """

    def __init__(self, folder: Path, name: str) -> None:
        """Raises NoWay."""
        self.folder, self.have = folder, dict[tuple[int, str], Version]()
        self.committed: list[Version] = []
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as fault:
            raise NoWay(
                f"{folder} can't be made: {why(fault)}",
                access(fault, folder, folder) + f", at keepers.{name}.disk",
            ) from None
        for path in sorted(folder.glob("[0-9]*.toml")):
            # A cut file is not there: another keeper has it.
            with contextlib.suppress(OSError, ValueError, FederationFault):
                version = version_at(path, int(path.stem[:9]))
                if path.stem not in (f"{version.number:09}", f"{version.number:09}-{version.digest}"):
                    continue
                self.have[version.number, version.digest] = version
                if len(path.stem) == 9:
                    self.committed.append(version)

    def keep(self, version: Version) -> None:
        """An offer, or one committed that was not there. Raises OSError."""
        offers = sorted(self.folder.glob("[0-9]*-*.toml"), key=lambda path: path.stat().st_mtime_ns)
        for path in offers[: max(0, len(offers) + 1 - OFFERS)]:
            self.have.pop((int(path.stem[:9]), path.stem[10:]), None)
            path.unlink()
        synced(self.folder / f"{version.number:09}-{version.digest}.toml", version.spec.text.encode())
        self.have[version.number, version.digest] = version

    def commit(self, version: Version) -> None:
        """It is so by a majority's word. Raises OSError."""
        if version in self.committed:
            return
        synced(self.folder / f"{version.number:09}.toml", version.spec.text.encode())
        self.committed.append(version)
        # Nobody will ever commit another under a number that is taken.
        for path in self.folder.glob("[0-9]*-*.toml"):
            if int(path.stem[:9]) <= version.number:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(path)
                if (int(path.stem[:9]), path.stem[10:]) != (version.number, version.digest):
                    self.have.pop((int(path.stem[:9]), path.stem[10:]), None)
