"""Requests and answers at a config server's or subscriber's control address, one type for each kind.

A request is one line of JSON, decoded leniently here: members that are lacking have defaults, unknown ones
are passed over. Answers are Structs whose `name=` is the JSON member where the attribute has another name.
No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from msgspec import Struct, field

from pathsaddle.errors import Error
from pathsaddle.settings.changes import changes_from_tables
from pathsaddle.settings.documents import MAX_TEXT_CHARS, Change, ChangeSet, decode_value
from pathsaddle.settings.errors import ChangeRejectedError, ValidationError

CHANGE_TIMEOUT_SECONDS = 10.0  # in which a change is committed, unless the request says another
MAX_CHANGE_TIMEOUT_SECONDS = 60.0
HISTORY_CHANGESETS = 50  # that `history` answers, unless the request says another


@dataclass(frozen=True)
class GetRequest:
    """`get`: the entries, or those of one key or table.

    Attributes:
        prefix: A whole key, or its beginning up to a dot; empty: all.
    """

    prefix: str

    @classmethod
    def decode(cls, members: Mapping[str, Any]) -> GetRequest:
        """Reads the request's members."""
        return cls(str(members.get("key", "")))

    def select(self, entries: Mapping[str, bytes]) -> dict[str, Any]:
        """Returns the wanted entries, their values decoded."""
        return {
            key: decode_value(value)
            for key, value in sorted(entries.items())
            if not self.prefix or key == self.prefix or key.startswith(self.prefix + ".")
        }


@dataclass(frozen=True)
class StatusRequest:
    """`status`: how the process is, and whether a revision is active.

    Attributes:
        revision: Which; None: none is asked for.
    """

    revision: int | None

    @classmethod
    def decode(cls, members: Mapping[str, Any]) -> StatusRequest:
        """Reads the request's members; raises ValueError or TypeError."""
        revision = members.get("revision")
        return cls(None if revision is None else int(revision))


@dataclass(frozen=True)
class HistoryRequest:
    """`history`: the latest change sets.

    Attributes:
        max_changesets: How many.
    """

    max_changesets: int

    @classmethod
    def decode(cls, members: Mapping[str, Any]) -> HistoryRequest:
        """Reads the request's members; raises ValueError or TypeError."""
        return cls(max(1, int(members.get("most") or HISTORY_CHANGESETS)))


@dataclass(frozen=True)
class ApplyRequest:
    """`apply`: commit a change.

    Attributes:
        changes: Of entries, each key once.
        author: For people.
        reason: For people.
        expected_revision: Which it must follow; None: any.
        timeout_seconds: In which it is committed, or answered that it is not.
    """

    changes: tuple[Change, ...]
    author: str
    reason: str
    expected_revision: int | None
    timeout_seconds: float

    @classmethod
    def decode(cls, members: Mapping[str, Any]) -> ApplyRequest:
        """Reads and checks the request's members; raises ChangeRejectedError, ValueError or TypeError."""
        entries, removed = members.get("rows") or {}, members.get("remove") or []
        author, reason = str(members.get("author", "")), str(members.get("reason", ""))
        changes = changes_from_tables(entries, removed)
        if max(len(author), len(reason)) > MAX_TEXT_CHARS:
            raise ChangeRejectedError(
                [str(ValidationError(key="reason", why=f"{MAX_TEXT_CHARS} characters at most"))]
            )
        timeout = min(MAX_CHANGE_TIMEOUT_SECONDS, float(members.get("within", CHANGE_TIMEOUT_SECONDS)))
        return cls(changes, author, reason, members.get("expect"), timeout)


Request = GetRequest | StatusRequest | HistoryRequest | ApplyRequest


class SubscriberEntries(Struct, frozen=True):
    """A subscriber's answer to `get`."""

    revision: int
    digest: str
    is_leased: bool = field(name="leased")
    entries: dict[str, Any] = field(name="rows")


class ServerEntries(Struct, frozen=True):
    """A server's answer to `get`.

    `proved_ms` is the time since a majority of voters proved what is the latest; None: it never did.
    """

    revision: int
    digest: str
    proved_ms: int | None
    entries: dict[str, Any] = field(name="rows")


class SubscriberView(Struct, frozen=True):
    """A subscriber's answer to `status`."""

    name: str
    region: str
    incarnation: int = field(name="life")
    revision: int
    digest: str
    entry_count: int = field(name="rows")
    committed_revision: int = field(name="known")
    is_leased: bool = field(name="leased")
    lease_left_ms: int = field(name="left_ms")
    proved_ms: int | None
    proposed_revisions: tuple[int, ...] = field(name="offers")
    server: str = field(name="keeper")
    disk_age_ms: int | None
    rejected_datagrams: dict[str, int] = field(name="datagrams")


class ServerView(Struct, frozen=True):
    """A server's answer to `status`."""

    name: str
    region: str
    incarnation: int = field(name="life")
    revision: int
    digest: str
    committed_revision: int = field(name="known")
    active_revision: int = field(name="force")
    waits_for: tuple[str, ...]
    acknowledged: dict[str, int] = field(name="rows")
    queue_length: int = field(name="queue")
    proposed_revisions: tuple[int, ...] = field(name="offers")
    proved_ms: int | None
    is_active: bool = field(name="in_force")
    members: tuple[str, ...]
    retired: tuple[str, ...] = field(name="gone")
    subscribers: tuple[str, ...] = field(name="clients")
    servers: tuple[str, ...] = field(name="keepers")
    voters: tuple[str, ...]
    rejected_datagrams: dict[str, int] = field(name="datagrams")


class CommittedChangeSet(Struct, frozen=True):
    """One change set of `history`."""

    revision: int
    digest: str
    author: str
    reason: str
    created_ms: int = field(name="at")
    changes: dict[str, Any] = field(name="puts")

    @classmethod
    def of(cls, digest: str, changeset: ChangeSet) -> CommittedChangeSet:
        """Returns a change set with its values decoded."""
        return cls(
            changeset.revision,
            digest,
            changeset.author,
            changeset.reason,
            changeset.created_ms,
            {
                change.key: None if change.value is None else decode_value(change.value)
                for change in changeset.changes
            },
        )


class History(Struct, frozen=True):
    """A server's answer to `history`."""

    revision: int
    changesets: tuple[CommittedChangeSet, ...] = field(name="groups")


class ChangeOutcome(Struct, frozen=True):
    """A server's answer to `apply`.

    `has_changed` says whether the change set was committed, or changes nothing.
    """

    revision: int
    digest: str
    has_changed: bool = field(name="changed")


class ErrorDetail(Struct, frozen=True, omit_defaults=True):
    """An error as it is printed.

    It has its stable name, what is wrong, what to do, the exit code, and a line for each fault.
    """

    name: str
    what: str
    remedy: str = field(name="do")
    code: int
    lines: tuple[str, ...] | None = None


class ErrorAnswer(Struct, frozen=True):
    """The answer to a request that failed."""

    error: ErrorDetail

    @classmethod
    def of(cls, error: Error) -> ErrorAnswer:
        """Returns the answer for an error that an operator may read."""
        lines = tuple(getattr(error, "lines", ()))
        return cls(ErrorDetail(error.name, error.what, error.do, error.code, lines))

    @classmethod
    def of_defect(cls, fault: Exception) -> ErrorAnswer:
        """Returns the answer for a defect of ours."""
        return cls(ErrorDetail("settings.defect", f"{type(fault).__name__}: {fault}", "", 1))


Answer = (
    SubscriberEntries | ServerEntries | SubscriberView | ServerView | History | ChangeOutcome | ErrorAnswer
)
