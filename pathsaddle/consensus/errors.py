"""What goes wrong with consensus and reaches an operator, all of one family (docs/errors.md).

The names of the errors say `ownership`, as commands and files do. docs/errors.md prints the first line of a
docstring here where an error's words differ from case to case; a test holds page and code together.
"""

from __future__ import annotations

from pathsaddle.errors import Error


class ConsensusError(Error):
    """Base of this package's errors."""


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
    """The configuration file has no `[fleet.owners]`."""

    name = "ownership.no-table"
    what = "{charter}: fleet.owners: no such table"
    do = "write [fleet.owners] in {charter}, as docs/ownership.md shows"
