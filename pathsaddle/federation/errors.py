"""What an operator reads of the federation, all of the one family (docs/errors.md). An address that can't be had is
`pathsaddle.net.service.place`'s.
"""

from __future__ import annotations

from collections.abc import Sequence

from pathsaddle.config.validation import ConfigKeyError
from pathsaddle.errors import FINDING, Error


class FederationFault(Error):
    """Any of the federation's."""


class Contradiction(ConfigKeyError):
    """two keys of a spec can't both be meant, or one names what nobody has"""

    name = "federation.contradiction"
    what = ""
    do = ""


class TooBig(ConfigKeyError):
    name = "federation.spec-size"
    what = "{count} bytes stand there"
    do = "split {file}: {most} bytes at most may stand in one"


class InvalidSpecError(FederationFault):
    """A file can't be used; holds all that is wrong in it, and prints as one line each."""

    name = "federation.spec-faulty"
    what = "{count} things are wrong in {file}: {all}"
    do = "mend them all in {file}, then `python -m pathsaddle.federation check {file}`"

    def __init__(self, file: str, faults: Sequence[ConfigKeyError]) -> None:
        super().__init__(count=len(faults), file=file, all=" / ".join(map(str, faults[:3])))
        self.faults = faults
        self.args = (file, faults)

    @property
    def lines(self) -> list[str]:
        return list(map(str, self.faults))

    def __str__(self) -> str:
        return "\n".join(self.lines)


class GroundFaulty(InvalidSpecError):
    """As that, of the file of members and keepers."""

    name = "federation.ground-faulty"
    do = "mend all of them in {file}; docs/federation.md has its keys"


class Outrun(FederationFault):
    """Another spec was committed under the number that this one was to have."""

    name = "federation.spec-outrun"
    what = "another spec was committed as version {number} meanwhile, {path}"
    do = "compare yours with it by `python -m pathsaddle.federation compare {path} YOURS`, and commit again"
    code = FINDING


class NoMember(FederationFault):
    name = "federation.no-member"
    what = "{file}: {table}.{who} is missing"
    do = "add [{table}.{who}] to {file}, or name one that stands there: {known}"


class BadKey(FederationFault):
    name = "federation.key"
    what = "{file}: key: a text stands there, of {count} characters"
    do = "write 16 characters at least at key in {file}, the same in the files of all members and keepers"


class NoAddress(FederationFault):
    name = "federation.address"
    what = "{file}: {key}: {address!r} is no address"
    do = 'write host:port, such as "10.0.0.7:7946", at {key} in {file}'


class NoFolder(FederationFault):
    name = "federation.folder"
    what = "{file}: {key}: {folder} can't be used: {why}"


class NoWay(FederationFault):
    """The voters that keep the specs are not told rightly, can't be asked, or their register can't be had."""

    name = "federation.voters"
