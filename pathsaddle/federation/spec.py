"""What developers declare: where a scheme's jobs may run, where to when home fails, how old its data may be.

Checked whole: the form by `config.validation`, then what contradicts itself, a line a fault, each of which says
what to change. The text as written is what is carried and what the digest stands for, so that a reason can
name its line.
"""

from __future__ import annotations

import difflib
import hashlib
import re
import tomllib
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field as kept
from functools import lru_cache
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from pathsaddle.config.units import Duration
from pathsaddle.config.validation import (
    InvalidConfigError,
    NotUtf8Error,
    TomlSyntaxError,
    UnreadableFileError,
    validate,
)
from pathsaddle.errors import access, why
from pathsaddle.federation.errors import Contradiction, InvalidSpecError, TooBig

Part = Annotated[float, Meta(gt=0, le=1)]
Added = Annotated[float, Meta(ge=0)]
HINTS = 50  # nearest names are looked for so often: a file that is wrong throughout is checked as fast
MOST = 8 << 20  # bytes of a spec


class RegionForm(Struct, kw_only=True, forbid_unknown_fields=True):
    """One region.

    members: the dispatchers that are of it, by name; whoever isn't named sends nothing abroad.
    group: regions of one group drop repeats of a referenced txn together.
    repeats: something there may post a job again by itself.
    lend: of its capacity, in jobs a second, what foreigners may have at the most.
    """

    members: list[str]
    group: str = ""
    repeats: bool = False
    lend: Part = 0.5


class DataForm(Struct, kw_only=True, forbid_unknown_fields=True):
    """Data that jobs read.

    copies: region -> how old the copy there is by the way it is kept.
    may: where it may be read at all; none given: anywhere.
    fetch: seconds that fetching from afar adds to a job.
    """

    copies: dict[str, Duration]
    may: list[str] | None = None
    fetch: Added = 0.0


class SchemeForm(Struct, kw_only=True, forbid_unknown_fields=True):
    """One scheme.

    semantics: as in the charter.
    home: where its jobs belong.
    may: residency: nowhere else, ever; none given: home alone.
    fail_over: where to, in this order.
    when: what makes it leave home.
    at_most: of a lender's free capacity.
    data: which data it reads; the region with a copy is preferred.
    staleness: how old a copy may be.
    stale: what becomes of a job where the copy is older.
    """

    semantics: Literal["repeatable", "referenced", "once-only"] = "repeatable"
    home: str
    may: list[str] | None = None
    fail_over: list[str] = []
    when: list[Literal["lost", "overloaded"]] = field(default_factory=lambda: ["lost"])
    at_most: Part = 0.3
    data: str | None = None
    staleness: Duration | None = None
    stale: Literal["wait", "fetch", "decline"] = "fetch"


class SpecForm(Struct, kw_only=True, forbid_unknown_fields=True):
    """The whole file.

    regions: by name.
    data: by name.
    schemes: by name.
    """

    regions: dict[str, RegionForm]
    data: dict[str, DataForm] = {}
    schemes: dict[str, SchemeForm] = {}


@dataclass(frozen=True)
class Rule:
    """What one scheme is allowed, already settled between all versions that a member knows. staleness: ticks,
    or None for any age. order: where to after home.
    """

    may: frozenset[str]
    home: str
    order: tuple[str, ...] = ()
    when: frozenset[str] = frozenset()
    at_most: float = 0.0
    staleness: int | None = None
    stale: str = "fetch"
    data: str | None = None
    semantics: str = "once-only"

    def narrowed(self, other: Rule) -> Rule:
        """What both allow; what is no right (order, home, data) is this one's."""
        ages = [age for age in (self.staleness, other.staleness) if age is not None]
        may = self.may & other.may
        return Rule(
            may,
            self.home,
            tuple(region for region in self.order if region in may),
            self.when & other.when,
            min(self.at_most, other.at_most),
            min(ages) if ages else None,
            self.stale,
            self.data,
            self.semantics,
        )

    def alone(self) -> Rule:
        """Home, where that is allowed, and nothing else."""
        return Rule(
            self.may & {self.home},
            self.home,
            staleness=self.staleness,
            stale=self.stale,
            data=self.data,
            semantics=self.semantics,
        )


@dataclass(frozen=True, eq=False)
class Spec:
    """A checked spec. text: as written; digest: of the text, hexadecimal."""

    text: str
    digest: str
    regions: dict[str, RegionForm]
    data: dict[str, DataForm]
    schemes: dict[str, SchemeForm]
    _rules: dict[str, Rule] = kept(default_factory=dict, repr=False)
    _lines: dict[str, int] = kept(default_factory=dict, repr=False)

    def rule(self, scheme: str, here: str) -> Rule:
        """A scheme that the spec doesn't name stays in the region that took it."""
        found = self._rules.get(scheme)
        if found is None:
            form = self.schemes.get(scheme)
            if form is None:
                return Rule(frozenset((here,)), here)
            found = self._rules[scheme] = Rule(
                frozenset(form.may if form.may is not None else (form.home,)),
                form.home,
                tuple(form.fail_over),
                frozenset(form.when),
                form.at_most,
                None if form.staleness is None else int(form.staleness),
                form.stale,
                form.data,
                form.semantics,
            )
        return found

    def readable(self, data: str) -> frozenset[str]:
        """Where this data may be read. Nowhere, where the spec doesn't know it."""
        form = self.data.get(data)
        if form is None:
            return frozenset()
        return frozenset(self.regions if form.may is None else form.may)

    def members(self) -> dict[str, str]:
        """Member -> its region."""
        return {name: region for region in sorted(self.regions) for name in self.regions[region].members}

    def has_member(self, name: str, here: str) -> bool:
        region = self.regions.get(here)
        return region is not None and name in region.members

    def withdrawn(self, new: Spec, here: str) -> bool:
        """Whether somebody in `here` that hears nothing would, by this, post to what `new` forbids."""
        return _withdrawn(self, new, here)

    def line(self, scheme: str, key: str) -> int:
        """On which line of the text a scheme's key stands, or its head; 0: neither does."""
        if not self._lines:
            table = ""
            for number, line in enumerate(self.text.splitlines(), 1):
                head = re.match(r'\s*\[schemes\."?([^"\]]+)"?\]', line)
                if head:
                    table = head[1]
                    self._lines[f"{table}."] = number
                elif line.lstrip().startswith("["):
                    table = ""
                elif table and (word := re.match(r"\s*([a-z_]+)\s*=", line)):
                    self._lines[f"{table}.{word[1]}"] = number
            self._lines[""] = 0
        return self._lines.get(f"{scheme}.{key}", self._lines.get(f"{scheme}.", 0))


@lru_cache(1024)
def _withdrawn(old: Spec, new: Spec, here: str) -> bool:
    return any(
        not old.rule(name, here).alone().may <= new.rule(name, here).may
        for name in {**old.schemes, **new.schemes}
    )


def load(path: str | Path) -> Spec:
    """Raises SpecFaulty, also where the file can't be read."""
    try:
        raw = Path(path).read_bytes()
        if len(raw) > MOST:
            raise InvalidSpecError(str(path), [TooBig(str(path), "-", count=len(raw), most=MOST)])
        return parse(raw.decode("utf-8"), str(path))
    except UnicodeDecodeError as fault:
        raise InvalidSpecError(str(path), [NotUtf8Error(str(path), "-", at=fault.start)]) from None
    except OSError as fault:
        raise InvalidSpecError(
            str(path), [UnreadableFileError(str(path), "-", "", access(fault, path), why=why(fault))]
        ) from None


def parse(text: str, file: str = "spec") -> Spec:
    """Raises SpecFaulty with a line for each fault."""
    try:
        form = validate(SpecForm, tomllib.loads(text), file)
    except tomllib.TOMLDecodeError as fault:
        raise InvalidSpecError(file, [TomlSyntaxError(file, "-", form="TOML", why=why(fault))]) from None
    except InvalidConfigError as fault:
        raise InvalidSpecError(file, fault.faults) from None
    found = contradictions(form, file)
    if found:
        raise InvalidSpecError(file, found)
    digest = hashlib.blake2b(text.encode(), digest_size=16).hexdigest()
    return Spec(text, digest, form.regions, form.data, form.schemes)


class _Finder:
    def __init__(self, file: str) -> None:
        self.file = file
        self.faults: list[Contradiction] = []
        self._hints = 0

    def says(self, path: str, text: str) -> None:
        """text: why, and after the first semicolon what to change."""
        self.faults.append(Contradiction(self.file, path, text))

    def unknown(self, path: str, name: str, kind: str, known: Iterable[str]) -> None:
        known = list(known)
        near = []
        if self._hints < HINTS:
            self._hints += 1
            near = difflib.get_close_matches(name, known, 1, 0.5)
        hint = f"the nearest known is {near[0]}" if near else f"known are {', '.join(known[:8]) or 'none'}"
        self.says(
            path,
            f"nobody has a {kind} {name!r} ({hint}); write one that is there, or add [{kind_table(kind)}.{name}]",
        )


def kind_table(kind: str) -> str:
    return {"region": "regions"}.get(kind, kind)


def contradictions(form: SpecForm, file: str) -> list[Contradiction]:
    """What can't all be meant, one each: its key, why, what to change. Linear in the file's size."""
    found = _Finder(file)
    names = form.regions
    of: dict[str, str] = {}
    for region, told in names.items():
        if not told.members:
            found.says(
                f"regions.{region}.members",
                f"a region that nobody has; name its dispatchers, or take [regions.{region}] out",
            )
        for member in told.members:
            if member in of:
                found.says(
                    f"regions.{region}.members", f"{member!r} is of {of[member]} already; leave it in one"
                )
            of[member] = region
    for name, data in form.data.items():
        path = f"data.{name}"
        if not data.copies:
            found.says(
                f"{path}.copies", 'no copy stands anywhere; say where one does, such as { north = "0s" }'
            )
        for region in data.copies:
            if region not in names:
                found.unknown(f"{path}.copies", region, "region", names)
            elif data.may is not None and region not in data.may:
                found.says(
                    f"{path}.copies",
                    f"a copy stands in {region}, where {path}.may forbids to read it; add "
                    f"{region!r} there or take the copy out",
                )
        for region in data.may or ():
            if region not in names:
                found.unknown(f"{path}.may", region, "region", names)
    for name, scheme in form.schemes.items():
        _scheme(f"schemes.{name}", scheme, form, found)
    return found.faults


def _scheme(path: str, scheme: SchemeForm, form: SpecForm, found: _Finder) -> None:
    names = form.regions
    may = scheme.may if scheme.may is not None else [scheme.home]
    for key, told in (("home", [scheme.home]), ("may", may), ("fail_over", scheme.fail_over)):
        if key == "may" and scheme.may is None:
            continue
        for region in dict.fromkeys(told):
            if region not in names:
                found.unknown(f"{path}.{key}", region, "region", names)
        if len(set(told)) < len(told):
            twice = next(region for region in told if told.count(region) > 1)
            found.says(
                f"{path}.{key}",
                f"{twice!r} stands there twice, a circle; leave it once"
                if key == "fail_over"
                else f"{twice!r} stands there twice; leave it once",
            )
    if scheme.home not in may:
        found.says(
            f"{path}.home",
            f"home is {scheme.home}, where {path}.may forbids it to run; add {scheme.home!r} "
            "there or move home",
        )
    if scheme.home in scheme.fail_over:
        found.says(
            f"{path}.fail_over",
            f"it fails over from {scheme.home} to itself, a circle; take {scheme.home!r} out",
        )
    for region in dict.fromkeys(scheme.fail_over):
        if region not in may and region in names:
            found.says(
                f"{path}.fail_over",
                f"it fails over to {region}, where it may not be; add {region!r} to "
                f"{path}.may or take it out here",
            )
    if scheme.semantics == "once-only":
        for region in dict.fromkeys(may):
            if region in names and names[region].repeats:
                found.says(
                    f"{path}.may",
                    f"a once-only effect could run twice in {region} (regions.{region}.repeats);"
                    f" take {region!r} out, or see to it that nothing there posts again and "
                    "write repeats = false",
                )
    if not scheme.when and scheme.fail_over:
        found.says(
            f"{path}.when", 'nothing makes it fail over; write "lost" or "overloaded", or take fail_over out'
        )
    if len(may) > 1 and not scheme.fail_over and scheme.may is not None:
        found.says(
            f"{path}.may",
            f"it may be elsewhere but never goes there; add {path}.fail_over, or leave home alone in may",
        )
    if scheme.data is None:
        if scheme.staleness is not None:
            found.says(
                f"{path}.staleness", f"staleness of nothing: no data is named; add {path}.data or take it out"
            )
        return
    data = form.data.get(scheme.data)
    if data is None:
        found.unknown(f"{path}.data", scheme.data, "data", form.data)
        return
    for region in may:
        if data.may is not None and region not in data.may and region in names:
            found.says(
                f"{path}.may",
                f"it may run in {region}, where data.{scheme.data}.may forbids to read its data; "
                f"add {region!r} there or take it out here",
            )
    if scheme.staleness is not None and data.copies:
        fresh = [region for region, age in data.copies.items() if age <= scheme.staleness]
        if not fresh:
            found.says(
                f"{path}.staleness",
                f"no copy in data.{scheme.data}.copies is ever as young as that; raise "
                "staleness or keep a copy fresher",
            )
