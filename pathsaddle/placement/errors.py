"""What an operator reads of placement, all of the one family (docs/errors.md)."""

from __future__ import annotations

from pathsaddle.errors import Error


class PlacementError(Error):
    """Any of placement's."""


class Unreadable(PlacementError):
    name = "placement.unreadable"
    what = "{file}: can't be read: {why}"


class NoToml(PlacementError):
    name = "placement.no-toml"
    what = "{file}: is not TOML: {why}"
    do = "mend that place of {file}; docs/placement.md shows the form"


class Key(PlacementError):
    """a key of an inventory, or of a plan to emulate, is none or has a value of another kind"""

    name = "placement.key"


class Untrue(PlacementError):
    """the inventory contradicts itself, or breaks a rule that never breaks"""

    name = "placement.untrue"


class Unusable(PlacementError):
    """a ledger is not there, or can't be used: held by another, another program's, on a full disk"""

    name = "placement.ledger"


class PlanRejectedError(Exception):
    """A change that the ledger did not make; nothing was changed. It steers our own code and never leaves it.

    why: `number` (a later planner has begun), `base` (what the change was reckoned on is no longer so),
    `plan` (it is not of the plan that counts), `state`, `bay`, `limit`, `order`, `budget`, `lease`.
    """

    def __init__(self, why: str, more: str) -> None:
        super().__init__(f"{why}: {more}")
        self.why = why
