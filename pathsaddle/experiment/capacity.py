"""What each role costs at a target's size, from the slopes of kept plays: Markdown tables, worst fit first.

A target file says how large (`[numbers]`), what is assumed beside it (`[[assumptions]]`) and which figure of
which plan is held against which limit (`[[rows]]`). Nothing is measured here: plans are read for units and
candidates, results from their folder.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from pathsaddle.config.schema import ConfigTable
from pathsaddle.config.validation import (
    ConfigKeyError,
    DuplicateError,
    InvalidConfigError,
    InvalidValueError,
    MissingKeyError,
    NotAllowedValueError,
    WrongTypeError,
    display_value,
    load_toml,
    validate,
)
from pathsaddle.errors import Error, access, why
from pathsaddle.experiment import scale
from pathsaddle.experiment.slope import WORDS, FewPoints, Prediction, Slope, fit, judged, number, told

FAR = 3.0  # times the last measured point: beyond, a figure is marked
MARK = "‼"
KINDS = ("real", "hollow", "emulated", "simulated", "reckoned")
BEGIN, END = "<!-- capacity: begin, made by `pathsaddle experiment capacity` -->", "<!-- capacity: end -->"
Above = Annotated[float, Meta(gt=0)]
Text = Annotated[str, Meta(min_length=1)]


class NoSlope(Error):
    name = "experiment.no-slope"
    what = "{file}: {path}: {figure} has no slope: {why}"
    do = "{mend}, or see the other rows with --partial"


class NoMarks(Error):
    name = "experiment.no-marks"
    what = "{page}: the lines between which the tables stand are not there, once each and in this order"
    do = "write in {page} a line `{begin}` and below it a line `{end}`"


class NoPage(Error):
    name = "experiment.no-page"
    what = "{page}: the page can't be read: {why}"


class Numbers(ConfigTable):
    """How large, in the operators' numbers.

    workers: machines that run tasks.
    accelerators: among them.
    jobs_per_day: handed in on a day.
    starts_per_second: tasks that start at the peak.
    open_tasks: that run at once.
    gang: slots that one job takes at once, at most.
    teams: with quotas.
    urgent_seconds: within which urgent work starts.
    regions: places far from each other.
    zones: in all regions together.
    changes_per_day: of configuration.
    in_force_seconds: within which each change holds everywhere.
    control_core: part of a core that a dispatcher may spend on control.
    memory_mb: that it may take for it, in 10^6 bytes.
    bytes_per_second: that it may send and receive for it.
    machines: set aside for control.
    failures_per_day: machines that fail on an ordinary day.
    replaced_per_day: machines that are restarted or replaced.
    """

    workers: Above
    accelerators: Above
    jobs_per_day: Above
    starts_per_second: Above
    open_tasks: Above
    gang: Above
    teams: Above
    urgent_seconds: Above
    regions: Above
    zones: Above
    changes_per_day: Above
    in_force_seconds: Above
    control_core: Above
    memory_mb: Above
    bytes_per_second: Above
    machines: Above
    failures_per_day: Above
    replaced_per_day: Above


class Assumption(ConfigTable):
    """What the numbers do not say.

    what: in words.
    value: a number or a text.
    reason: why so.
    if_twice: what follows from twice as much.
    key: by which rows may name it as they name a number; its value is a number then.
    """

    what: Text
    value: float | str
    reason: Text
    if_twice: Text
    key: str = ""

    def amiss(self) -> Iterator[InvalidValueError]:
        if self.key and not isinstance(self.value, float | int):
            yield InvalidValueError(
                "value", WrongTypeError, shown=display_value(self.value), may="a number, as it has a key,"
            )


class Row(ConfigTable):
    """One figure against one limit; or what nothing carries.

    role: whose: dispatcher, list, voter, keeper, planner, store, worker, client, operator.
    what: in words, with the unit of figure and limit.
    figure: PLAN.FIGURE of kept plays.
    at: what size it is wanted at: a key of numbers or of an assumption, or a number.
    at_factor: the size is so many times that.
    at_reason: why, where it is not 1.
    times: keys by whose numbers the figure is multiplied.
    per: keys by whose numbers it is divided.
    factor: by which it is multiplied as well.
    factor_reason: why, where it is not 1.
    value: instead of a figure, what was reckoned.
    source: from what.
    limit: a number or a key.
    least: the limit is what the figure must reach, not what it must stay under.
    carrier: whether some mechanism carries it.
    mechanism: its module.
    instead: without one: what happens instead.
    hurts_at: without one: at which size that begins to hurt.
    note: whatever else is to be said.
    """

    role: Text
    what: Text
    figure: str = ""
    at: float | str = ""
    at_factor: Above = 1.0
    at_reason: str = ""
    times: list[str] = msgspec.field(default_factory=list)
    per: list[str] = msgspec.field(default_factory=list)
    factor: Above = 1.0
    factor_reason: str = ""
    value: float | None = None
    source: str = ""
    limit: float | str = ""
    least: bool = False
    carrier: bool = True
    mechanism: str = ""
    instead: str = ""
    hurts_at: str = ""
    note: str = ""

    def amiss(self) -> Iterator[InvalidValueError]:
        def missing(key: str, may: str) -> InvalidValueError:
            return InvalidValueError(key, MissingKeyError, may=may)

        if self.figure and self.value is not None:
            yield InvalidValueError(
                "value", ConfigKeyError, "a value stands there beside a figure", "take one of them out"
            )
        if self.figure and (len(self.figure.split(".")) != 2 or "/" in self.figure):
            yield InvalidValueError(
                "figure",
                WrongTypeError,
                shown=display_value(self.figure),
                may="PLAN.FIGURE, such as tally.bytes,",
            )
        if self.figure and self.at == "":
            yield missing("at", "a key of numbers, or a number")
        if self.value is not None and not self.source:
            yield missing("source", "from what the value was reckoned")
        if self.at_factor != 1 and not self.at_reason:
            yield missing("at_reason", "why at_factor is not 1")
        if self.factor != 1 and not self.factor_reason:
            yield missing("factor_reason", "why factor is not 1")
        if not self.carrier:
            if not self.instead:
                yield missing("instead", "what happens instead")
            if not self.hurts_at:
                yield missing("hurts_at", "at which size it begins to hurt")
            return
        if not self.figure and self.value is None:
            yield missing("figure", "PLAN.FIGURE, such as tally.bytes,")
        if self.limit == "":
            yield missing("limit", "a number, or a key of numbers")
        if not self.mechanism:
            yield missing("mechanism", "the module that carries it")


class Target(ConfigTable):
    """A size to plan for.

    name: how it is called.
    about: whose it is.
    numbers: how large.
    assumptions: what they don't say.
    rows: figures against limits.
    """

    name: str
    numbers: Numbers
    rows: list[Row]
    about: str = ""
    assumptions: list[Assumption] = msgspec.field(default_factory=list)


def read(path: str | Path) -> Target:
    """The target in a file; raises Faulty with all that is wrong in it."""
    file = str(path)
    target = validate(Target, load_toml(path), file)
    faults: list[ConfigKeyError] = []
    known = list(msgspec.structs.asdict(target.numbers))
    for i, one in enumerate(target.assumptions):
        if one.key in known:
            faults.append(DuplicateError(file, f"assumptions[{i}].key", shown=display_value(one.key)))
        elif one.key:
            known.append(one.key)
    for i, row in enumerate(target.rows):
        keys = [
            ("at", row.at),
            ("limit", row.limit),
            *((f"times[{j}]", key) for j, key in enumerate(row.times)),
            *((f"per[{j}]", key) for j, key in enumerate(row.per)),
        ]
        faults += [
            NotAllowedValueError(
                file,
                f"rows[{i}].{key}",
                shown=display_value(value),
                may=f"one of {', '.join(known)}, or a number",
            )
            for key, value in keys
            if isinstance(value, str) and value and value not in known
        ]
    if faults:
        raise InvalidConfigError(faults)
    return target


def sizes(target: Target) -> dict[str, float]:
    """By key: the numbers, and what is assumed under a key."""
    return msgspec.structs.asdict(target.numbers) | {
        one.key: float(one.value) for one in target.assumptions if one.key
    }


@dataclass
class Plays:
    """A plan's kept plays, the last whole one of each point and seed. old: of another text of the measure or
    setting. faulted: points and seeds that never came to their end.
    """

    plan: scale.Scale
    results: list[scale.Kept]
    old: int = 0
    faulted: int = 0


@dataclass
class Folder:
    """Plans beside the target, and their kept results."""

    file: str  # the target's
    plans: Path
    kept: Path
    seen: dict[str, Plays] = field(default_factory=dict)
    slopes: dict[str, Slope] = field(default_factory=dict)

    def plays(self, name: str) -> Plays:
        """Raises Faulty, of a plan that can't be used, and Unkept."""
        if name not in self.seen:
            plan = scale.read(self.plans / f"{name}.toml")
            last: dict[tuple[int, int], scale.Kept] = {}
            faulted: dict[tuple[int, int], None] = {}
            for one in scale.Store(self.kept / f"{name}.jsonl").read():
                if one.point in plan.plan.points and one.fault:
                    faulted[one.point, one.seed] = None
                elif one.point in plan.plan.points:
                    last[one.point, one.seed] = one
            results = [last[key] for key in sorted(last)]
            self.seen[name] = Plays(
                plan,
                results,
                sum(one.digest != plan.digest(one.point) for one in results),
                sum(key not in last for key in faulted),
            )
        return self.seen[name]

    def slope(self, path: str, figure: str) -> Slope:
        """Raises NoSlope. `path`: of the row that asks."""
        if figure in self.slopes:
            return self.slopes[figure]
        name, _, short = figure.partition(".")
        run = f"run `pathsaddle experiment run {self.plans / name}.toml`"

        def none(why: str, mend: str) -> NoSlope:
            return NoSlope(file=self.file, path=path, figure=figure, why=why, mend=mend)

        if not (self.plans / f"{name}.toml").exists():
            raise none(f"there is no plan {name}.toml", f"write {self.plans / name}.toml")
        try:
            plays = self.plays(name)
        except InvalidConfigError as fault:
            raise none(
                f"its plan can't be used: {fault.faults[0].text}",
                f"mend what `pathsaddle check --plan {self.plans / name}.toml` says",
            ) from None
        if short not in plays.plan.module.FIGURES:
            raise none(
                f"measure {plays.plan.plan.measure} has no such figure",
                f"write one of {scale.listed(plays.plan.module.FIGURES)} there",
            )
        if not plays.results:
            raise none(f"no play of it is kept in {self.kept / name}.jsonl", run)
        law = next((one.law for one in plays.plan.plan.slopes if one.figure == short), None)
        try:
            slope = fit(figure, scale.by_point(plays.results, short), *([law] if law else []))
        except FewPoints as fault:
            raise none(fault.what.partition(": ")[2], run) from None
        self.slopes[figure] = slope
        return slope

    def unit(self, figure: str) -> str:
        name, _, short = figure.partition(".")
        unit: str = self.seen[name].plan.module.FIGURES[short][0]
        return unit

    def kind(self, figure: str) -> str:
        """What its sentence calls it: real, hollow, emulated ..."""
        name, _, short = figure.partition(".")
        words: str = self.seen[name].plan.module.FIGURES[short][1]
        return ", ".join(kind for kind in KINDS if re.search(rf"\b{kind}\b", words, re.IGNORECASE))


@dataclass
class Held:
    """A row with its figure at the target. fits: how many times the limit holds it."""

    row: Row
    value: float
    limit: float | None
    fits: float
    n: float = 0.0
    slope: Slope | None = None
    prediction: Prediction | None = None


def held(row: Row, path: str, folder: Folder, known: dict[str, float]) -> Held:
    """Raises NoSlope."""

    def of(value: float | str) -> float:
        return known[value] if isinstance(value, str) else float(value)

    limit = None if row.limit == "" else of(row.limit)
    n, slope, prediction = 0.0, None, None
    if row.figure:
        slope = folder.slope(path, row.figure)
        n = of(row.at) * row.at_factor
        prediction = slope.predicts(n)
        value = prediction.value
    else:
        value = row.value or 0.0
    value *= (
        row.factor * math.prod(known[key] for key in row.times) / math.prod(known[key] for key in row.per)
    )
    above, below = (value, limit) if row.least else (limit, value)
    fits = math.inf if above is None or below is None or below <= 0 else above / below
    return Held(row, value, limit, fits, n, slope, prediction)


def how(one: Held, folder: Folder) -> str:
    """How the figure is known: measured, between points, or from which points, by which law, how far
    beyond.
    """
    row, slope, prediction = one.row, one.slope, one.prediction
    if slope is None or prediction is None:
        return f"reckoned: {row.source}"
    plan = folder.seen[row.figure.partition(".")[0]].plan.plan
    words = [folder.kind(row.figure)] if folder.kind(row.figure) else []
    at = f"{one.n:,.10g} {plan.against}"
    if prediction.measured:
        words.append(
            f"measured at {at}, {slope.plays} plays or more that differ by {slope.spread:.1%} at most"
        )
    elif prediction.beyond <= 1:
        words.append(f"at {at}, between measured points, by {told(slope)}")
    else:
        points = ", ".join(f"{point:,g}" for point in slope.points)
        words.append(
            f"extrapolated to {at} from {points} by {told(slope)}, {prediction.beyond:.2g} times beyond the "
            f"last{f' {MARK}' if prediction.beyond > FAR else ''}"
        )
        others = []
        for law in slope.rivals:
            plays = scale.by_point(folder.seen[plan.name].results, row.figure.partition(".")[2])
            other = fit(row.figure, plays, [law]).at(one.n)
            others.append(
                f"{number(other * (one.value / prediction.value if prediction.value else 1))} by {WORDS[law]}"
            )
        if others:
            words.append(f"not ruled out: {', '.join(others)}")
    if row.at_factor != 1:
        words.append(f"{row.at_factor:,g} times {row.at}: {row.at_reason}")
    if row.times:
        words.append(f"times {', '.join(row.times)}")
    if row.per:
        words.append(f"divided by {', '.join(row.per)}")
    if row.factor != 1:
        words.append(f"times {number(row.factor)}: {row.factor_reason}")
    return "; ".join(words)


def table(head: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> list[str]:
    def line(cells: tuple[str, ...]) -> str:
        return "| " + " | ".join(cell.replace("|", "/").replace("\n", " ") for cell in cells) + " |"

    return [line(head), line(("---",) * len(head)), *map(line, rows), ""]


def unmeasured(row: Row, error: NoSlope) -> tuple[str, ...]:
    return row.role, row.what, f"`{row.figure}`", str(error.told["why"])


def times(value: float) -> str:
    text = "any" if math.isinf(value) else number(value)
    return f"**{text}**" if value < 1 else text


def limit(one: Held) -> str:
    name = f" ({one.row.limit})" if isinstance(one.row.limit, str) else ""
    return f"{'at least ' if one.row.least else ''}{number(one.limit or 0.0)}{name}"


def tables(path: str | Path, kept: str | Path | None = None, partial: bool = False) -> tuple[str, list[str]]:
    """(the tables as Markdown, what is to be said of the results beside them). Without `partial` a row
    without a slope raises NoSlope; with it such rows are listed as not measured.
    """
    target = read(path)
    folder = Folder(str(path), Path(path).parent, Path(kept) if kept else Path(path).parent / "kept")
    known = sizes(target)
    carried: list[Held] = []
    without: list[tuple[Row, Held | None]] = []
    not_measured: list[tuple[str, ...]] = []
    for i, row in enumerate(target.rows):
        one = None
        if row.figure or row.value is not None:
            try:
                one = held(row, f"rows[{i}].figure", folder, known)
            except NoSlope as fault:
                if not partial:
                    raise
                not_measured.append(unmeasured(row, fault))
                if row.carrier:
                    continue
        if row.carrier and one is not None:
            carried.append(one)
        else:
            without.append((row, one))
    carried.sort(key=lambda one: one.fits)
    text: list[str] = []
    if without:
        text += [
            "### What nothing carries",
            "",
            *table(
                ("role", "what", "what happens instead", "begins to hurt at", "at the target", "note"),
                [
                    (
                        row.role,
                        row.what,
                        row.instead,
                        row.hurts_at,
                        f"{number(one.value)}; {how(one, folder)}" if one else "-",
                        row.note or "-",
                    )
                    for row, one in without
                ],
            ),
        ]
    if carried:
        text += [
            "### What is carried, worst fit first",
            "",
            *table(
                (
                    "fits",
                    "role",
                    "what",
                    "at the target",
                    "limit",
                    "how it is known",
                    "mechanism",
                    "plan",
                    "note",
                ),
                [
                    (
                        times(one.fits),
                        one.row.role,
                        one.row.what,
                        number(one.value),
                        limit(one),
                        how(one, folder),
                        f"`{one.row.mechanism}`",
                        f"`{one.row.figure}`" if one.row.figure else "-",
                        one.row.note or "-",
                    )
                    for one in carried
                ],
            ),
        ]
    if not_measured:
        text += ["### Not measured yet", "", *table(("role", "what", "figure", "why"), not_measured)]
    text += assumed(target, folder, known, carried)
    text += sources(folder)
    notes = [
        f"{name}: {plays.old} of {len(plays.results)} kept plays are of another text of the measure or its "
        "setting"
        for name, plays in folder.seen.items()
        if plays.old
    ]
    return "\n".join(text).rstrip() + "\n", notes


def assumed(target: Target, folder: Folder, known: dict[str, float], carried: list[Held]) -> list[str]:
    """The assumptions, and for those with a key the row that fits worst at twice as much."""
    rows = []
    for one in target.assumptions:
        worst = "-"
        if one.key:
            twice = known | {one.key: 2 * known[one.key]}
            again = [
                held(row.row, "", folder, twice)
                for row in carried
                if one.key in (row.row.at, row.row.limit, *row.row.times, *row.row.per)
            ]
            again.sort(key=lambda held: held.fits)
            worst = (
                f"{again[0].row.role}, {again[0].row.what}: fits {times(again[0].fits)}"
                if again
                else "no row names it"
            )
        value = number(one.value) if isinstance(one.value, float | int) else one.value
        rows.append((one.what, value, one.reason, one.if_twice, worst))
    return (
        [
            "### Assumptions",
            "",
            *table(("what", "value", "reason", "if it is twice as much", "worst of its rows then"), rows),
        ]
        if rows
        else []
    )


def sources(folder: Folder) -> list[str]:
    """Each law that a row rests on, and the plays behind them."""
    laws = []
    for figure, slope in sorted(folder.slopes.items()):
        plan = folder.seen[figure.partition(".")[0]].plan.plan
        laws.append(
            (
                f"`{figure}`",
                f"{folder.unit(figure)}{f', {folder.kind(figure)}' if folder.kind(figure) else ''}",
                f"{', '.join(f'{point:,g}' for point in slope.points)} {plan.against}",
                str(slope.plays),
                told(slope),
                judged(slope) or "-",
                f"{slope.unexplained:.2%}",
                f"{slope.worst:.1%} at {slope.worst_at:,g}",
                f"{slope.spread:.1%}",
            )
        )
    text = (
        [
            "### Slopes",
            "",
            *table(
                (
                    "figure",
                    "unit",
                    "points",
                    "plays",
                    "law",
                    "other laws",
                    "unexplained",
                    "worst point",
                    "plays differ by",
                ),
                laws,
            ),
        ]
        if laws
        else []
    )
    plays = [
        (
            f"`{name}`",
            str(len(one.results)),
            str(one.faulted),
            "; ".join(sorted({kept.machine for kept in one.results})),
            ", ".join(sorted({kept.commit for kept in one.results})),
            ", ".join(sorted({kept.when[:10] for kept in one.results})),
        )
        for name, one in sorted(folder.seen.items())
        if one.results
    ]
    if plays:
        text += [
            "### Plays",
            "",
            *table(("plan", "plays", "never ended", "machine", "commits", "days"), plays),
        ]
    return text


def paged(page: str, made: str, name: str) -> str:
    """The page with the tables between its two marks. Raises NoMarks."""
    before, begin, rest = page.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end or BEGIN in rest or END in after or END in before:
        raise NoMarks(page=name, begin=BEGIN, end=END)
    return f"{before}{BEGIN}\n\n{made}\n{END}{after}"


def read_page(path: Path) -> str:
    """Raises NoPage."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeError) as fault:
        raise NoPage("", access(fault, path), page=path, why=why(fault)) from None
