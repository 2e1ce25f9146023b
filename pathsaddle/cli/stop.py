"""What ends a command before it did what it was asked for."""

from __future__ import annotations

from pathlib import Path

from pathsaddle.errors import FINDING, Error, access, why

INTERRUPTED = 130


class Usage(Error):
    name = "cli.usage"
    what = "{command}: {why}"
    do = "`{command} --help` says what it takes: {usage}"


class Interrupted(Error):
    name = "cli.interrupted"
    what = "interrupted: {at}"
    do = "{rest}"
    code = INTERRUPTED


class Unwritable(Error):
    name = "cli.unwritable"
    what = "{option}: {path} can't be written: {why}"


class Defect(Error):
    name = "cli.defect"
    what = "a defect of the program in `{command}`: {why}"
    do = "report it with the trace above and with `pathsaddle --version`"
    code = FINDING


class NoControl(Error):
    name = "fleet.no-control"
    what = "{charter}: fleet.control: none stands there, so nobody can ask the dispatcher of it"
    do = 'write an address of the loopback, such as control = "127.0.0.1:7199", in [fleet] of {charter} and restart it'


class NoPlans(Error):
    name = "experiment.no-plans"
    what = "{folder}: no plan (*.toml) is there"
    do = "go to the checkout's root, or say --plans FOLDER"


def writable(option: str, told: str | None, folder: bool = False) -> Path | None:
    """The path that an option says, made so far that it can be written; before a run that would be lost by it."""
    if told is None:
        return None
    path = Path(told)
    try:
        if folder:
            path.mkdir(parents=True, exist_ok=True)
            part = path / ".written"
            part.touch()
            part.unlink()
        else:
            path.parent.mkdir(parents=True, exist_ok=True)
            with path.open("ab"):
                pass
    except OSError as fault:
        do = access(fault, path, "" if path.is_dir() and not folder else path if folder else path.parent)
        if isinstance(fault, FileExistsError):
            do = f"name a folder instead of the file {path}"
        raise Unwritable("", f"{do}, at {option}", option=option, path=path, why=why(fault)) from None
    return path
