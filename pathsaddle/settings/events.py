"""What happens inside a config server's or subscriber's core, one Struct for each kind.

Drivers write events to the log and act by some of them. `log_name` and the members of `log_fields` are read
from logs by operators and by the emulator's judge; they stay as they are. No I/O.
"""

from __future__ import annotations

from typing import ClassVar

from msgspec import Struct

MAX_LOGGED_KEYS = 16  # of the entries that an event names
# Members of a log line, each with the attribute that it comes from; those that an event lacks, or that say
# nothing, are left out.
_LOG_MEMBERS = (("revision", "revision"), ("digest", "digest"), ("name", "name"), ("why", "reason"))


class Event(Struct, frozen=True):
    """The base of all events."""

    log_name: ClassVar[str]

    def log_fields(self) -> dict[str, object]:
        """Returns the members of the event's line in the log."""
        found = {member: value for member, name in _LOG_MEMBERS if (value := getattr(self, name, None))}
        if keys := getattr(self, "keys", ()):
            found["keys"] = list(keys[:MAX_LOGGED_KEYS])
        return found


class RevisionApplied(Event, frozen=True):
    """A subscriber acts by this revision; `keys` are the entries whose effective value may have changed."""

    revision: int
    digest: str
    keys: tuple[str, ...]
    log_name: ClassVar[str] = "applied"


class ProposalHeld(Event, frozen=True):
    """A subscriber or server holds a change set that is not committed.

    `keys` are the entries that it changes.
    """

    revision: int
    digest: str
    keys: tuple[str, ...]
    log_name: ClassVar[str] = "offered"


class LeaseObtained(Event, frozen=True):
    """A subscriber has a lease again, until `until_ticks` of its clock."""

    revision: int
    digest: str
    until_ticks: int
    log_name: ClassVar[str] = "leased"


class LeaseLost(Event, frozen=True):
    """A subscriber has no lease any more; the last one ended at `until_ticks` of its clock."""

    revision: int
    digest: str
    until_ticks: int
    log_name: ClassVar[str] = "alone"


class RevisionCommitted(Event, frozen=True):
    """A server knows that this revision is committed, and has its change set or a snapshot."""

    revision: int
    digest: str
    keys: tuple[str, ...]
    log_name: ClassVar[str] = "committed"


class RevisionActivated(Event, frozen=True):
    """By a server's proof this revision is active."""

    revision: int
    digest: str
    log_name: ClassVar[str] = "force"


class ProposalAcknowledged(Event, frozen=True):
    """A majority of servers has all proposed change sets on disk.

    The register may be changed to the last one.
    """

    revision: int
    digest: str
    log_name: ClassVar[str] = "kept"


class HistoryDiverged(Event, frozen=True):
    """What is on disk is not what was committed under that revision; `reason` has what is there."""

    revision: int
    digest: str
    reason: str
    log_name: ClassVar[str] = "diverged"


class QueueFull(Event, frozen=True):
    """A bounded queue is full and dropped something.

    `reason` says which one and what, `name` whom it concerns.
    """

    reason: str
    revision: int = 0
    digest: str = ""
    name: str = ""
    log_name: ClassVar[str] = "full"


class ServerSilent(Event, frozen=True):
    """The subscriber's server `name` does not answer; `reason` names the next one."""

    name: str
    reason: str
    log_name: ClassVar[str] = "silent"


class InputRejected(Event, frozen=True):
    """A document or message can't be used; `reason` says why, `name` who sent it where that is known."""

    reason: str
    revision: int = 0
    digest: str = ""
    name: str = ""
    log_name: ClassVar[str] = "refused"
