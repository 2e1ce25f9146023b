"""What an operator reads of placement: each fault has a stable name, what happened, and what an operator can
do."""

from __future__ import annotations


class PlacementFault(Exception):
    """Of placement. name: stable; what: what happened; do: what an operator can do, with the very key, file
    or member."""

    name = "placement"

    def __init__(self, what: str, do: str) -> None:
        super().__init__(f"{self.name}: {what}; {do}")
        self.what = what
        self.do = do


class Unreadable(PlacementFault):
    name = "inventory-unreadable"


class Untrue(PlacementFault):
    """The inventory contradicts itself, or breaks a rule that never breaks."""

    name = "inventory-untrue"


class Unusable(PlacementFault):
    name = "placement-ledger-unusable"


class Refused(Exception):
    """A change that the ledger did not make; nothing was changed. It steers our own code and never leaves it.

    why: `number` (a later planner has begun), `base` (what the change was reckoned on is no longer so),
    `plan` (it is not of the plan that counts), `state`, `bay`, `limit`, `order`, `budget`, `lease`.
    """

    def __init__(self, why: str, more: str) -> None:
        super().__init__(f"{why}: {more}")
        self.why = why
