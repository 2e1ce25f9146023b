"""What goes wrong with ownership and reaches an operator, all of the one family (docs/errors.md)."""

from __future__ import annotations

from pathsaddle.errors import Error


class ConsensusError(Error):
    """Any of ownership's."""


class AlreadyInitializedError(ConsensusError):
    """To be founded where there is a register already."""

    name = "ownership.founded"


class VoterSetMismatchError(ConsensusError):
    """The charter's voters are not those that the register was founded with."""

    name = "ownership.other-voters"


class StorageError(ConsensusError):
    """The folder can't be read or written."""

    name = "ownership.no-disk"


class MissingTableError(ConsensusError):
    name = "ownership.no-table"
    what = "{charter}: fleet.owners: no such table"
    do = "write [fleet.owners] in {charter}, as docs/ownership.md shows"
