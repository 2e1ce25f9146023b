"""What goes wrong with ownership and reaches an operator: each has a stable name, what happened,
what can be done."""

from __future__ import annotations


class OwnershipFault(Exception):
    """The base. name: stable. what: happened. do: what an operator can do, with the very key,
    file or voter."""

    name = "ownership"

    def __init__(self, what: str, do: str) -> None:
        super().__init__(f"{what}; {do}")
        self.what, self.do = what, do


class Founded(OwnershipFault):
    """To be founded where there is a register already."""

    name = "ownership.founded"


class OtherVoters(OwnershipFault):
    """The charter's voters are not those that the register was founded with."""

    name = "ownership.other-voters"


class NoDisk(OwnershipFault):
    """The folder can't be read or written."""

    name = "ownership.no-disk"


class NoSocket(OwnershipFault):
    """The address for datagrams can't be had."""

    name = "ownership.no-socket"
