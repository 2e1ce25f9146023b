"""The errors of shared settings that an operator reads, all of the one family (docs/errors.md)."""

from __future__ import annotations

from collections.abc import Sequence

from pathsaddle.errors import FINDING, Error


class SettingsError(Error):
    """The base of all errors of shared settings."""


class RevisionConflictError(SettingsError):
    """Another change was committed first, and the change asked to follow a certain revision."""

    name = "settings.outrun"
    what = (
        "revision {revision} was committed meanwhile by {author!r} ({reason!r}), and {expected} was expected"
    )
    do = "read what holds now by `pathsaddle settings get`, and apply again with --expect {revision}"
    code = FINDING


class NoQuorumError(SettingsError):
    """No majority of voters, or of servers, answered in time.

    Nothing was committed, or the outcome is unknown.
    """

    name = "settings.no-majority"
    code = FINDING


class ChangeRejectedError(SettingsError):
    """A change that is not valid; it has all that is wrong with it, and prints as one line each."""

    name = "settings.refused"
    code = FINDING

    def __init__(self, lines: Sequence[str]) -> None:
        """Holds the lines, each an error of the family as it prints."""
        super().__init__("; ".join(lines), "mend them all, and apply again")
        self.lines = tuple(lines)
        self.args = (lines,)

    def __str__(self) -> str:
        return "\n".join(self.lines)


class ValidationError(SettingsError):
    """An entry, or something else that an operator gave, is not valid."""

    name = "settings.unfit"
    what = "{key}: {why}"
    do = "change {key} in what is applied"
    code = FINDING


class RestartRequiredError(SettingsError):
    """A key that each process takes from its own configuration file at its start."""

    name = "settings.restart"
    what = "{key} is no shared setting: {why}"
    do = "write {key} in the charters of those whom it is meant for, and restart them"
    code = FINDING


class NotYetActiveError(SettingsError):
    """A revision is committed, and was not active in the time that its author gave it."""

    name = "settings.waits"
    what = "revision {revision} is committed, and not in force after {within:g} s: it waits for {names}"
    do = (
        "start or let go on those named, or apply `gone = true` at members.NAME for one that never "
        "starts again with its disk; `pathsaddle settings status` tells when it is in force"
    )
    code = FINDING


class ServerUnreachableError(SettingsError):
    """Nobody answers at a control address, or what answers is no config server."""

    name = "settings.unreached"
    what = "{address}: no answer to {word!r}: {why}"
    do = (
        "start the keeper that has {address} at its control (`python -m pathsaddle.settings keep FILE`), "
        "or name another keeper's by --at"
    )
    code = FINDING


class ServerDefectError(SettingsError):
    """A defect of ours in the process that was asked."""

    name = "settings.defect"
    what = "{address}: {why}"
    do = "report the trace in the log of the keeper at {address}"
    code = FINDING


class ClusterFileError(SettingsError):
    """The file of servers and subscribers, or of a change, says what can't be meant."""

    name = "settings.file"


class StorageError(SettingsError):
    """A directory can't be read or written, or is not as it was written."""

    name = "settings.disk"
