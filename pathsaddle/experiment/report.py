"""One HTML page of a plan's results: tables, and plots that stand in the page itself."""

from __future__ import annotations

import base64
import html
import io
import statistics
from pathlib import Path
from typing import Any

from pathsaddle.experiment.compare import FIGURES, compare
from pathsaddle.experiment.keep import NoResults, Result

STYLE = """body{font:15px/1.5 sans-serif;max-width:70em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .7em;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}img{max-width:100%}.bad{color:#b00020;font-weight:bold}"""


def groups(results: list[Result]) -> dict[str, list[Result]]:
    found: dict[str, list[Result]] = {}
    for result in results:
        if not result.fault:
            found.setdefault(result.variant, []).append(result)
    return found


def spread(values: list[float], form: str = ".3f") -> str:
    return f"{statistics.median(values):{form}} [{min(values):{form}} to {max(values):{form}}]"


def quantiles(values: list[float]) -> str:
    """Middle, 99th in a hundred and most, of sorted values."""
    if not values:
        return "none"
    return f"{values[len(values) // 2]:.0f}, p99 {values[len(values) * 99 // 100]:.0f}, most {values[-1]:.0f}"


def table(head: list[str], rows: list[list[str]]) -> str:
    lines = ["<table><tr>" + "".join(f"<th>{html.escape(cell)}</th>" for cell in head) + "</tr>"]
    lines += ["<tr>" + "".join(f"<td>{cell}</td>" for cell in row) + "</tr>" for row in rows]
    return "\n".join([*lines, "</table>"])


def drawn(figure: Any) -> bytes:
    from matplotlib import pyplot

    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=90, bbox_inches="tight")
    pyplot.close(figure)
    return data.getvalue()


def picture(png: bytes) -> str:
    return f'<img alt="plot" src="data:image/png;base64,{base64.b64encode(png).decode()}">'


def plots(found: dict[str, list[Result]]) -> list[bytes]:
    """Pictures: value and p99 by variant, value by second."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    made = []
    figure, axes = pyplot.subplots(1, 2, figsize=(11, 3.6))
    for axis, name in zip(axes, ("value", "p99 ms"), strict=True):
        axis.boxplot(
            [[FIGURES[name][0](r) for r in rs] for rs in found.values()],
            orientation="horizontal",
            tick_labels=list(found),
        )
        axis.set_title(
            "value in SLA time over value asked for" if name == "value" else "p99 of the settled, ms"
        )
        axis.grid(alpha=0.3)
    figure.tight_layout()
    made.append(drawn(figure))
    figure, axis = pyplot.subplots(figsize=(11, 3.2))
    for variant, results in found.items():
        by_second: dict[int, list[float]] = {}
        for result in results:
            for second, part in result.verdict["seconds"]:
                by_second.setdefault(second, []).append(part)
        seconds = sorted(by_second)
        axis.plot(seconds, [statistics.mean(by_second[s]) for s in seconds], label=variant, lw=1.2)
    axis.set_xlabel("second of asking")
    axis.set_title("value in SLA time by second, mean over seeds")
    axis.grid(alpha=0.3)
    axis.legend()
    made.append(drawn(figure))
    seen = {
        variant: those
        for variant, rs in found.items()
        if (those := [r.verdict["fleet"] for r in rs if r.verdict.get("fleet")])
    }
    if seen:
        made.append(fleet_plot(seen))
    return made


def fleet_plot(seen: dict[str, list[dict[str, Any]]]) -> bytes:
    """What members of a fleet knew: by variant, when deaths were known to all, wrong accusations, bytes."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(13, 1.4 + 0.26 * len(seen)), sharey=True)
    rows = {
        "a death is known to all after, s": [
            [ms / 1000 for one in those for ms in one["known"]] for those in seen.values()
        ],
        "wrong accusations a run": [[one["false"] for one in those] for those in seen.values()],
        "bytes a second and member": [[one["rate"] for one in those] for those in seen.values()],
    }
    for axis, (title, values) in zip(axes, rows.items(), strict=True):
        axis.boxplot(values, orientation="horizontal", tick_labels=list(seen), whis=(0, 100))
        axis.set_title(title)
        axis.grid(alpha=0.3)
    figure.tight_layout()
    return drawn(figure)


def page(results: list[Result]) -> str:
    """The whole page; raises NoResults."""
    found = groups(results)
    if not found:
        raise NoResults(path="what is to be shown", variant="any run")
    first = next(iter(found.values()))[0]
    commits = dict.fromkeys(r.commit for r in results)
    parts = [
        "<!doctype html><meta charset=utf-8>",
        f"<title>{html.escape(first.plan)}</title>",
        f"<style>{STYLE}</style>",
        f"<h1>{html.escape(first.plan)}</h1>",
        (
            f"<p>Emulated, {html.escape(first.ground)} ground; {html.escape(first.machine)}; "
            f"commits {html.escape(', '.join(commits))}. Figures: median [least to most] over seeds.</p>"
        ),
    ]
    rows = []
    for variant, rs in found.items():
        broken = sum(not r.kept for r in rs)
        rows.append(
            [
                html.escape(variant),
                str(len(rs)),
                *(
                    spread([figure(r) for r in rs], ".0f" if "ms" in name else ".3f")
                    for name, (figure, _) in FIGURES.items()
                ),
                f'<span class="bad">{broken}</span>' if broken else "0",
            ]
        )
    parts.append(table(["variant", "runs", *FIGURES, "runs with a broken rule"], rows))
    parts += map(picture, plots(found))
    base = found.get("base")
    if base and len(found) > 1:
        parts.append(
            "<h2>Against base, paired by seed</h2><p>Mean difference and its 95% bootstrap interval.</p>"
        )
        rows = []
        for variant, rs in found.items():
            if variant != "base":
                rows.append(
                    [html.escape(variant)]
                    + [f"{d.mean:+.3f} [{d.low:+.3f} to {d.high:+.3f}]" for d in compare(base, rs)]
                )
        parts.append(table(["variant", *FIGURES], rows))
    parts.append("<h2>By scheme</h2>")
    rows = []
    for variant, rs in found.items():
        for scheme in rs[0].verdict["schemes"]:
            those = [r.verdict["schemes"][scheme] for r in rs if scheme in r.verdict["schemes"]]
            rows.append(
                [
                    f"{html.escape(variant)}: {html.escape(scheme)}",
                    str(sum(t["jobs"] for t in those)),
                    spread([t["value"] / t["asked_value"] if t["asked_value"] else 1.0 for t in those]),
                    spread([t["p50"] for t in those], ".0f"),
                    spread([t["p99"] for t in those], ".0f"),
                ]
            )
    parts.append(table(["variant: scheme", "jobs", "value", "p50 ms", "p99 ms"], rows))
    faulty = [r for r in results if not r.kept]
    if faulty:
        parts.append("<h2>Findings</h2><ul>")
        for r in faulty[:50]:
            told = (
                r.fault.splitlines()[0]
                if r.fault
                else "; ".join(f["rule"] + ": " + f["text"] for f in r.verdict["findings"][:3])
            )
            parts.append(f"<li>{html.escape(r.variant)}, seed {r.seed}: {html.escape(told)}</li>")
        parts.append("</ul>")
    return "\n".join(parts)


def write(results: list[Result], path: Path, png: Path | None = None) -> None:
    """`png`: where the plots go as files too, numbered."""
    text = page(results)
    if png is not None:
        for number, data in enumerate(plots(groups(results)), 1):
            png.with_name(f"{png.stem}-{number}.png").write_bytes(data)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text, encoding="utf-8")
