"""What reaches an operator from here: a stable name, what happened, what to do."""

from __future__ import annotations


class OverloadFault(Exception):
    """`name`: stable. `what`: happened. `do`: what an operator can do, with the very key, file or member."""

    name = "overload"

    def __init__(self, what: str, do: str) -> None:
        super().__init__(f"{self.name}: {what}; {do}")
        self.what, self.do = what, do


class BadWord(OverloadFault):
    """A fellow's record is none."""

    name = "overload.word"


class BadPlan(OverloadFault):
    """A plan of an emulated run is none."""

    name = "overload.plan"
