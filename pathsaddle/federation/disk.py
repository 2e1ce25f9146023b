"""Files: what a member goes by, synced before it says so; and a register for one machine.

`FolderRegister` is one voter: a file a number, made by a link that fails where the number is taken. Whoever
wants the register to outlast a machine names voters instead (`spec_register.py`).
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

from pathsaddle.errors import access, why
from pathsaddle.federation.errors import FederationFault, NoFolder, Outrun
from pathsaddle.federation.spec import parse
from pathsaddle.leased_versions import Version


def synced(path: Path, data: bytes) -> None:
    """Raises OSError. All of it or nothing, and on disk."""
    other = path.with_suffix(f".{os.getpid()}")
    with other.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    other.replace(path)
    _sync(path.parent)


def had(folder: Path, key: str, file: str) -> None:
    """Makes the folder, and sees that it can be written. Raises NoFolder."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
        probe = folder / f"probe.{os.getpid()}"
        probe.touch()
        probe.unlink()
    except OSError as fault:
        raise lacking(fault, folder, key, file) from None


def lacking(fault: OSError, folder: Path, key: str, file: str) -> NoFolder:
    do = (
        f"name a folder instead of the file {folder}"
        if isinstance(fault, FileExistsError)
        else access(fault, folder, folder)
    )
    return NoFolder("", f"{do}, at {key} in {file}", file=file, key=key, folder=folder, why=why(fault))


def _sync(folder: Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def version_at(path: Path, number: int) -> Version:
    """Raises OSError, ValueError, FederationFault."""
    spec = parse(path.read_bytes().decode("utf-8"), str(path))
    return Version(number, spec.digest, spec)


def _version(path: Path) -> Version:
    return version_at(path, int(path.stem.split("-")[-1]))


class Disk:
    """A member's: the one version that it goes by, the higher one where two are left."""

    def __init__(self, folder: Path, name: str, file: str) -> None:
        """file: whose key `members.NAME.disk` names the folder. Raises NoFolder."""
        self.folder, self.name, self.file = folder, name, file
        had(folder, f"members.{name}.disk", file)

    def last(self) -> Version | None:
        """What can't be read counts as not there: an older one, or the first, goes, and home alone till a
        lease.
        """
        for path in sorted(self.folder.glob(f"{self.name}-*.toml"), reverse=True):
            # A cut or changed file of ours is never a reason not to start.
            with contextlib.suppress(OSError, ValueError, FederationFault):
                return _version(path)
        return None

    def keep(self, version: Version) -> None:
        """Raises NoFolder."""
        path = self.folder / f"{self.name}-{version.number:09}.toml"
        try:
            synced(path, version.spec.text.encode())
        except OSError as fault:
            raise lacking(fault, self.folder, f"members.{self.name}.disk", self.file) from None
        for other in self.folder.glob(f"{self.name}-*.toml"):
            if other.name < path.name:
                other.unlink()


class FolderRegister:
    def __init__(self, folder: Path, file: str) -> None:
        """file: whose key `register` names the folder. Raises NoFolder."""
        self.folder, self.file = folder, file
        self._known: dict[int, Version] = {}
        had(folder, "register", file)

    def read(self) -> list[Version]:
        """All that is committed, lowest first. Raises OSError."""
        numbers = sorted(int(path.stem) for path in self.folder.glob("[0-9]*.toml") if path.stem.isdecimal())
        for number in numbers:
            if number not in self._known:
                self._known[number] = _version(self.folder / f"{number:09}.toml")
        return [self._known[number] for number in numbers]

    def commit(self, version: Version) -> None:
        """Raises Outrun where the number is taken, or is not the next; NoFolder."""
        path = self.folder / f"{version.number:09}.toml"
        have = self.read()
        if version.number != (have[-1].number if have else 0) + 1:
            raise Outrun(number=have[-1].number if have else 0, path=path)
        new = self.folder / f"new.{os.getpid()}"
        try:
            synced(new, version.spec.text.encode())
            os.link(new, path)
            _sync(self.folder)
        except FileExistsError:
            raise Outrun(number=version.number, path=path) from None
        except OSError as fault:
            raise lacking(fault, self.folder, "register", self.file) from None
        finally:
            new.unlink(missing_ok=True)
