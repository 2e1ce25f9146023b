"""What can be wrong, each with a stable name, what happened, and what an operator can do."""

from __future__ import annotations


class FederationFault(Exception):
    """One that reaches an operator. name: stable. what: happened. do: a sentence with the key, file or
    member."""

    name = "federation"

    def __init__(self, what: str, do: str) -> None:
        super().__init__(f"{what}; {do}")
        self.what, self.do = what, do


class SpecFaulty(FederationFault):
    """The spec can't be used. lines: all that is wrong in it, a line a fault."""

    name = "federation.spec-faulty"

    def __init__(self, file: str, lines: list[str]) -> None:
        super().__init__(f"{file} has {len(lines)} faults: " + " / ".join(lines[:3]),
                         f"mend the lines named in {file}; no version was made of it")
        self.lines = lines


class Outrun(FederationFault):
    """Another spec was committed under the number that this one was to have."""

    name = "federation.spec-outrun"


class NoSpec(FederationFault):
    """A member without any version can't say what is forbidden, so it doesn't start."""

    name = "federation.spec-missing"


class BadKey(FederationFault):
    name = "federation.key"


class NoWay(FederationFault):
    """A socket or folder that can't be used."""

    name = "federation.way"
