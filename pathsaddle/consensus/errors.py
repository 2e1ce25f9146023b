"""What goes wrong with ownership and reaches an operator, all of the one family (docs/errors.md)."""

from __future__ import annotations

from pathsaddle.errors import Error


class OwnershipFault(Error):
    """Any of ownership's."""


class Founded(OwnershipFault):
    """To be founded where there is a register already."""

    name = "ownership.founded"


class OtherVoters(OwnershipFault):
    """The charter's voters are not those that the register was founded with."""

    name = "ownership.other-voters"


class NoDisk(OwnershipFault):
    """The folder can't be read or written."""

    name = "ownership.no-disk"


class NoTable(OwnershipFault):
    name = "ownership.no-table"
    what = "{charter}: fleet.owners: no such table"
    do = "write [fleet.owners] in {charter}, as docs/ownership.md shows"
