"""The errors of placement: those that an operator reads (docs/errors.md), and the one that rejects a change.

Every module of the package raises them; they depend on nothing of the package.
"""

from __future__ import annotations

from enum import StrEnum

from pathsaddle.errors import Error


class PlacementError(Error):
    """The base of every placement error that an operator reads; it is never raised itself."""


class InventoryUnreadableError(PlacementError):
    """A file that the operator named cannot be read."""

    name = "placement.unreadable"
    what = "{file}: can't be read: {why}"


class InvalidTomlError(PlacementError):
    """A file that the operator named is not TOML."""

    name = "placement.no-toml"
    what = "{file}: is not TOML: {why}"
    do = "mend that place of {file}; docs/placement.md shows the form"


class InventoryKeyError(PlacementError):
    """A key is unknown or has a value of another type. Sentence and remedy are given where it is raised."""

    name = "placement.key"
    what = "a key of an inventory, or of a plan to emulate, is none or has a value of another kind"
    do = "as it says"


class InvalidInventoryError(PlacementError):
    """The inventory contradicts itself. Sentence and remedy are given where it is raised."""

    name = "placement.untrue"
    what = "the inventory contradicts itself, or breaks a rule that never breaks"
    do = "as it says"


class LedgerUnusableError(PlacementError):
    """A ledger cannot be used. Sentence and remedy are given where it is raised."""

    name = "placement.ledger"
    what = "a ledger is not there, or can't be used: held by another, another program's, on a full disk"
    do = "as it says"


class RejectionReason(StrEnum):
    """Why a change was rejected. The values stand in audit events and in the planner's output."""

    NUMBER = "number"  # a later planner has begun
    BASE = "base"  # the inventory is no longer the one that the plan was made for
    PLAN = "plan"  # the step is not one of the current plan
    STATE = "state"  # the unit is in another state
    BAY = "bay"  # the bay is held, blocked, or on no island that is up
    LIMIT = "limit"  # the island would exceed a limit, or may not hold the kind
    ORDER = "order"  # a step that must be done before is not done
    BUDGET = "budget"  # the cold budget is used up
    LEASE = "lease"  # the reservation is another one than the one that expired


class PlanRejectedError(Exception):
    """A change that the ledger rejected; nothing was changed. It is handled inside the program.

    Attributes:
        reason: the rule that rejects the change.
    """

    def __init__(self, reason: RejectionReason, detail: str) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
