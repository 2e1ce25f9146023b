"""What can be wrong with a record, and what with a plan."""

from __future__ import annotations

from pathsaddle.errors import Error


class InvalidSummaryError(Exception):
    """A fellow's record is none: it is passed over. It steers our own code and never leaves it."""


class InvalidPlanError(Error):
    """a plan of overload to emulate can't be used"""

    name = "overload.plan"
