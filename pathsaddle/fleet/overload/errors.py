"""The errors of overload control."""

from __future__ import annotations

from pathsaddle.errors import Error


class InvalidSummaryError(Exception):
    """The bytes are no load summary. The gate skips such a record; the error never leaves this package."""


class InvalidPlanError(Error):
    """A plan of overload to emulate can't be used. Whoever raises it hands in both sentences whole."""

    name = "overload.plan"
    what = "a plan of overload to emulate can't be used"
    do = "as it says"
