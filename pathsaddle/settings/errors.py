"""What an operator reads of shared settings, all of the one family (docs/errors.md)."""

from __future__ import annotations

from collections.abc import Sequence

from pathsaddle.errors import FINDING, Error


class SettingsError(Error):
    """Any of shared settings'."""


class RevisionConflictError(SettingsError):
    name = "settings.outrun"
    what = (
        "revision {revision} was committed meanwhile by {author!r} ({reason!r}), and {expected} was expected"
    )
    do = "read what holds now by `pathsaddle settings get`, and apply again with --expect {revision}"
    code = FINDING


class NoQuorumError(SettingsError):
    """No majority of voters, or of keepers, answered in time: nothing was committed, or nobody can say whether it was."""

    name = "settings.no-majority"
    code = FINDING


class ChangeRejectedError(SettingsError):
    """A change that nobody may make; holds all that is wrong with it, and prints as one line each."""

    name = "settings.refused"
    code = FINDING

    def __init__(self, lines: Sequence[str]) -> None:
        """lines: each an error of the family as it prints."""
        super().__init__("; ".join(lines), "mend them all, and apply again")
        self.lines = tuple(lines)
        self.args = (lines,)

    def __str__(self) -> str:
        return "\n".join(self.lines)


class ValidationError(SettingsError):
    name = "settings.unfit"
    what = "{key}: {why}"
    do = "change {key} in what is applied"
    code = FINDING


class RestartRequiredError(SettingsError):
    name = "settings.restart"
    what = "{key} is no shared setting: {why}"
    do = "write {key} in the charters of those whom it is meant for, and restart them"
    code = FINDING


class NotYetActiveError(SettingsError):
    name = "settings.waits"
    what = "revision {revision} is committed, and not in force after {within:g} s: it waits for {names}"
    do = (
        "start or let go on those named, or apply `gone = true` at members.NAME for one that never starts again with its "
        "disk; `pathsaddle settings status` tells when it is in force"
    )
    code = FINDING


class ServerUnreachableError(SettingsError):
    name = "settings.unreached"
    what = "{address}: no answer to {word!r}: {why}"
    do = (
        "start the keeper that has {address} at its control (`python -m pathsaddle.settings keep FILE`), or name another "
        "keeper's by --at"
    )
    code = FINDING


class ServerDefectError(SettingsError):
    name = "settings.defect"
    what = "{address}: {why}"
    do = "report the trace in the log of the keeper at {address}"
    code = FINDING


class ClusterFileError(SettingsError):
    """The file of keepers and members, or of a change, says what can't be meant."""

    name = "settings.file"


class StorageError(SettingsError):
    """A folder can't be read or written, or holds what we did not write."""

    name = "settings.disk"
