"""Whether the rules were kept, and what the run was worth: worked out from the events alone.

It knows no dispatcher code. What a posting did is taken from the workers' word, what a client got from the
clients', and when something crossed from the bytes themselves.

The rules, as this judge reads them (a limit is `slack` longer where processes and sockets are real):

1. lost, late, twice, after: each txn that was taken has one whole final answer before its expiry, and no
   posting for it begins after that. Taken: the last byte of its call has crossed. Excused: its client hung up,
   or its dispatcher was killed, had ended, or stood still; no posting is excused by that.
2. repeat, decline, together: a once-only txn is posted again, or declined, only if all its earlier postings were
   turned away, handed back or never came whole; a referenced one that may have run is posted again only in its
   group and window, and declined only if the group is all workers; where two at once are forbidden none begins
   while another is out.
3. drain: nothing new begins at a worker later than the grace after the dispatcher was told, or deemed told, that
   it drains or is gone.
4. cold: no worker that has just started is sent more than it can bear, nor falls over.

5. Of jobs taken on durably (`202`): forgotten: none is unknown later, or without its end; changed: one end alone
   is ever seen, and one job under one key; ran-twice: by the workers' run logs no once-only job ran twice;
   lease: its leases' numbers only grow. Rules 2, 3 and 4 hold for them as for calls.

6. What members of a fleet believe of one another: fleet_judge.

And `false`: an answer that no worker gave. `bad`: a bad client that was neither answered nor closed in time.
"""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from pathsaddle.config.schema import Configuration, RequestClassTable
from pathsaddle.emulator.judges import fleet_judge
from pathsaddle.event_log import Event

FAR = 1 << 60
SECOND = 10_000
TOLD_WITHIN = 6 * SECOND  # what discovery has to tell counts as told by then, whether or not it arrived
BAD_WITHIN = 12 * SECOND  # of a bad client, from its connect
MOST = 3_600_000  # longest latency kept, ticks
RULES = (
    "lost",
    "late",
    "twice",
    "after",
    "repeat",
    "decline",
    "together",
    "drain",
    "cold",
    "forgotten",
    "changed",
    "ran-twice",
    "lease",
    "false",
    "bad",
    "fault",
    *fleet_judge.RULES,
)


@dataclass(slots=True)
class Finding:
    """A rule that was broken: which, when, and by what."""

    rule: str
    at: int
    text: str


@dataclass(slots=True, eq=False)
class Sent:
    """One posting as the worker saw it."""

    begun: int
    whole: int
    worker: str
    dispatcher: int
    zone: str
    cell: int
    work: float
    lease: int = 0
    never: int = FAR  # when it was known that it never ran
    over: int = FAR  # when it ended or was given up


@dataclass(slots=True, eq=False)
class Try:
    """One call of a client."""

    tag: str
    job: int
    dispatcher: int
    scheme: RequestClassTable
    at: int
    expires: int
    answers: list[tuple[int, str, int, int]] = field(default_factory=list)  # (crossed, how, seen, come back)
    hung_up: int = FAR
    early: bool = False
    lost: int = FAR
    crossed: bool = False


@dataclass(slots=True, eq=False)
class Job:
    number: int
    scheme: str
    customer: str
    work: float
    first: int
    due: int
    settled: int = FAR
    tries: int = 0
    how: str = "none"


@dataclass
class Row:
    """Figures of one scheme, one customer, or all."""

    jobs: int = 0
    settled: int = 0
    in_time: int = 0
    declined: int = 0
    reversed: int = 0
    unanswered: int = 0
    asked_value: float = 0.0
    value: float = 0.0
    p50: float = 0.0
    p99: float = 0.0

    @property
    def part(self) -> float:
        return self.value / self.asked_value if self.asked_value else 1.0


@dataclass
class Verdict:
    """What the judge has to say of a run."""

    findings: list[Finding]
    whole: Row
    schemes: dict[str, Row]
    customers: dict[str, Row]
    seconds: list[tuple[int, float]]  # value in time over value asked for, by the second of asking
    faults: dict[str, int]
    tries: int
    declines: int
    postings: int
    turned_away: int
    cpu: float = (
        0.0  # seconds of processor time that dispatchers' processes took until the end, where it is known
    )
    fleet: dict[str, Any] = field(
        default_factory=dict
    )  # what members of a fleet knew of one another, in figures

    @property
    def kept(self) -> bool:
        return not self.findings

    def broken(self) -> dict[str, int]:
        """How often each rule was broken."""
        return dict(Counter(finding.rule for finding in self.findings))

    def plain(self) -> dict[str, Any]:
        """As one JSON object."""
        told: dict[str, Any] = dataclasses.asdict(self)
        told["part"] = self.whole.part
        return told


class Judge:
    """Reads events in any order; `verdict` once."""

    def __init__(self, charter: Configuration, slack: int = 20) -> None:
        self.charter = charter
        self.slack = slack
        # What binds by rule 3; where dropped workers stay open, a draining that was told does alone.
        self.binding = ("leaving",) if charter.rules.dropped_stay_open else ("leaving", "left")
        self.schemes = {scheme.name: scheme for scheme in charter.schemes}
        self.tries: dict[str, Try] = {}
        self.jobs: dict[int, Job] = {}
        self.postings: dict[str, list[Sent]] = {}
        self.ended: dict[int, list[int]] = {}  # by dispatcher: when it was killed or had ended
        self.up: dict[int, list[int]] = {}  # when it was started
        self.stood: dict[int, list[list[int]]] = {}  # from when until when it stood still
        self.stopping: dict[int, list[int]] = {}
        self.told: dict[tuple[int, str], list[tuple[int, str]]] = {}
        self.changed: dict[str, list[tuple[int, str]]] = {}
        self.asked: dict[int, list[int]] = {}
        self.watches: dict[int, list[tuple[int, bool]]] = {}
        self.hushed: dict[int, list[int]] = {}  # when a watch that was open fell silent
        self.cold: dict[str, list[tuple[int, float]]] = {}
        self.findings: list[Finding] = []
        self.faults: Counter[str] = Counter()
        self.turned_away = 0
        self.cpu = 0.0
        self.durable: dict[str, Try] = {}
        self.by_job: dict[int, str] = {}
        self.runs: dict[str, list[tuple[int, str]]] = {}
        self.end = 0

    def read(self, events: Iterable[Event]) -> None:
        for event in sorted(events, key=lambda event: event.at):
            handle = getattr(self, "_" + event.what, None)
            if handle is not None:
                handle(event.at, event.more)

    def finds(self, rule: str, at: int, text: str) -> None:
        self.findings.append(Finding(rule, at, text))

    # Events.

    def _wanted(self, at: int, more: dict[str, Any]) -> None:
        self.jobs[more["job"]] = Job(
            more["job"], more["scheme"], more["customer"], more["work"] * more["slots"], at, more["due"]
        )

    def _asked(self, at: int, more: dict[str, Any]) -> None:
        self.tries[more["id"]] = Try(
            more["id"], more["job"], more["dispatcher"], self.schemes[more["scheme"]], at, more["expires"]
        )

    def _answered(self, at: int, more: dict[str, Any]) -> None:
        self.tries[more["id"]].answers.append((at, more["how"], more["seen"], more.get("come_back", 0)))

    def _hung_up(self, at: int, more: dict[str, Any]) -> None:
        self.tries[more["id"]].hung_up, self.tries[more["id"]].early = at, more["early"]

    def _lost(self, at: int, more: dict[str, Any]) -> None:
        self.tries[more["id"]].lost = at

    def _crossed(self, at: int, more: dict[str, Any]) -> None:
        self.tries[more["id"]].crossed = True

    def _came(self, at: int, more: dict[str, Any]) -> None:
        self.postings.setdefault(more["id"], []).append(
            Sent(
                more["begun"],
                at,
                more["worker"],
                more["dispatcher"],
                more["zone"],
                more["cell"],
                more["work"] * more["slots"],
                more.get("lease", 0),
            )
        )

    def _last(self, more: dict[str, Any]) -> Sent | None:
        for sent in reversed(self.postings.get(more["id"], [])):
            if sent.worker == more["worker"]:
                return sent
        return None

    def _turned_away(self, at: int, more: dict[str, Any]) -> None:
        self.turned_away += 1
        if (sent := self._last(more)) is not None:
            sent.never = sent.over = min(sent.never, at)

    def _said_never(self, at: int, more: dict[str, Any]) -> None:
        """The worker's own word, with which it refuses all that may still be under way of those leases."""
        for sent in self.postings.get(more["id"], []):
            if sent.worker == more["worker"] and sent.lease <= more["fence"]:
                sent.never = sent.over = min(sent.never, at)

    def _ended(self, at: int, more: dict[str, Any]) -> None:
        if (sent := self._last(more)) is not None:
            sent.over = min(sent.over, at)

    _withdrawn = _ended

    def _taken_on(self, at: int, more: dict[str, Any]) -> None:
        tag = self.by_job.setdefault(more["job"], more["id"])
        if tag != more["id"]:
            self.finds("changed", at, f"job {more['job']} is {tag} and {more['id']}")
        self.durable.setdefault(
            more["id"],
            Try(
                more["id"], more["job"], more["dispatcher"], self.schemes[more["scheme"]], at, more["expires"]
            ),
        )

    def _seen(self, at: int, more: dict[str, Any]) -> None:
        one = self.durable[more["id"]]
        if one.answers and one.answers[0][1] != more["state"]:
            self.finds("changed", at, f"{more['id']} was {one.answers[0][1]} and is {more['state']}")
        elif not one.answers:
            one.answers.append((at, more["state"], at, 0))
            if more["state"] == "garbled":
                self.finds("false", at, f"{more['id']} got what no worker made for it")

    def _forgotten(self, at: int, more: dict[str, Any]) -> None:
        self.finds("forgotten", at, f"{more['id']} was taken on, and is answered {more['status']}")

    def _ran(self, at: int, more: dict[str, Any]) -> None:
        self.runs.setdefault(more["id"], []).append((at, more["worker"]))

    def _killed(self, at: int, more: dict[str, Any]) -> None:
        self.ended.setdefault(more["dispatcher"], []).append(at)

    _ended_itself = _killed

    def _stalled(self, at: int, more: dict[str, Any]) -> None:
        self.stood.setdefault(more["dispatcher"], []).append([at, FAR])

    def _goes_on(self, at: int, more: dict[str, Any]) -> None:
        self.stood[more["dispatcher"]][-1][1] = at

    def _started(self, at: int, more: dict[str, Any]) -> None:
        self.up.setdefault(more["dispatcher"], []).append(at)

    def _stopping(self, at: int, more: dict[str, Any]) -> None:
        self.stopping.setdefault(more["dispatcher"], []).append(at)

    def _told_list(self, at: int, more: dict[str, Any]) -> None:
        self.told.setdefault((more["dispatcher"], more["worker"]), []).append((at, more["status"]))

    def _changed(self, at: int, more: dict[str, Any]) -> None:
        self.changed.setdefault(more["worker"], []).append((at, more["status"]))

    def _asked_list(self, at: int, more: dict[str, Any]) -> None:
        self.asked.setdefault(more["dispatcher"], []).append(at)

    def _hushed(self, at: int, more: dict[str, Any]) -> None:
        self.hushed.setdefault(more["dispatcher"], []).append(at)

    def _watched(self, at: int, more: dict[str, Any]) -> None:
        self.watches.setdefault(more["dispatcher"], []).append((at, True))

    def _unwatched(self, at: int, more: dict[str, Any]) -> None:
        self.watches.setdefault(more["dispatcher"], []).append((at, False))

    def _started_cold(self, at: int, more: dict[str, Any]) -> None:
        self.cold.setdefault(more["worker"], []).append((at, more["capacity"]))

    def _end(self, at: int, more: dict[str, Any]) -> None:
        self.end = at

    def _fell(self, at: int, more: dict[str, Any]) -> None:
        self.finds("cold", at, f"{more['worker']} fell over")

    def _fault(self, at: int, more: dict[str, Any]) -> None:
        self.faults[more["kind"]] += 1

    def _bad(self, at: int, more: dict[str, Any]) -> None:
        if more["status"] == 200 and more["how"] not in ("unread", "sips"):
            self.finds("bad", at, f"a bad client ({more['how']}) was served")
        elif more["took"] > BAD_WITHIN and not self._was_down(more["dispatcher"], at - more["took"], at):
            self.finds("bad", at, f"a bad client ({more['how']}) stayed for {more['took'] / SECOND:.1f} s")

    def _died(self, at: int, more: dict[str, Any]) -> None:
        self.finds("fault", at, f"dispatcher {more['dispatcher']} died: {more['why']}")
        self._killed(at, more)

    def _cpu(self, at: int, more: dict[str, Any]) -> None:
        self.cpu += more["seconds"]

    def _overdue(self, at: int, more: dict[str, Any]) -> None:
        self.finds("fault", at, f"dispatcher {more['dispatcher']} did not end when told to")

    def _fault_logged(self, at: int, more: dict[str, Any]) -> None:
        self.finds("fault", at, f"{more['host']} logged: {more['text'].strip().splitlines()[-1][:300]}")

    def _uncaught(self, at: int, more: dict[str, Any]) -> None:
        self.finds("fault", at, more["text"][:300])

    # Rules.

    def _was_down(self, dispatcher: int, since: int, until: int) -> bool:
        return any(
            since - self.slack <= at <= until + SECOND for at in self.ended.get(dispatcher, [])
        ) or self._stood(dispatcher, since, until)

    def _stood(self, dispatcher: int, since: int, until: int) -> bool:
        """Its process stood still at some time between: nobody answers then. What it does when it goes on counts."""
        return any(begun <= until and over >= since for begun, over in self.stood.get(dispatcher, ()))

    def _rule_1(self, one: Try) -> None:
        limit = one.expires + self.slack
        who = f"{one.scheme.name} {one.tag}"
        if one.crossed:
            return
        if len(one.answers) > 1:
            self.finds("twice", one.answers[1][0], f"{who} was answered {len(one.answers)} times")
        end = one.answers[0][0] if one.answers else min(one.hung_up, one.lost)
        if one.answers:
            at, how, _, _ = one.answers[0]
            if how == "garbled":
                self.finds("false", at, f"{who} got what no worker made for it")
            if at > limit and not self._stood(one.dispatcher, one.at, limit):
                self.finds("late", at, f"{who} was answered {(at - one.expires) / 10:.1f} ms past its expiry")
        elif not one.early and not self._was_down(one.dispatcher, one.at, min(one.lost, limit + SECOND)):
            self.finds("lost", min(one.lost, limit), f"{who} has no answer")
        if end < FAR:
            for sent in self.postings.get(one.tag, []):
                if sent.begun > min(end, limit) + self.slack:
                    self.finds(
                        "after",
                        sent.begun,
                        f"{who} was posted to {sent.worker} {(sent.begun - end) / 10:.1f} ms after its end",
                    )

    def _rule_2(self, one: Try) -> None:
        scheme = one.scheme
        postings = sorted(self.postings.get(one.tag, []), key=lambda sent: (sent.begun, sent.whole))
        who = f"{scheme.name} {one.tag}"
        for i, sent in enumerate(postings):
            risky = [p for p in postings[:i] if p.never > sent.begun + self.slack]
            if risky and scheme.semantics == "once-only":
                self.finds(
                    "repeat",
                    sent.begun,
                    f"{who} went to {sent.worker} while it may have run at {risky[0].worker}",
                )
            elif risky and scheme.semantics == "referenced":
                first = risky[0]
                if not self._same_group(scheme, first, sent):
                    self.finds(
                        "repeat",
                        sent.begun,
                        f"{who} went to {sent.worker}, outside the group of {first.worker}",
                    )
                elif sent.whole - first.begun > scheme.window + self.slack:
                    self.finds(
                        "repeat",
                        sent.begun,
                        f"{who} went to {sent.worker} "
                        f"{(sent.whole - first.begun) / SECOND:.2f} s after {first.worker} had it",
                    )
            if not self.charter.allowed.two_at_once:
                out = [p for p in risky if p.over > sent.begun + self.slack]
                if out:
                    self.finds(
                        "together", sent.begun, f"{who} went to {sent.worker} while out at {out[0].worker}"
                    )
        if one.answers and one.answers[0][1] == "declined":
            at = one.answers[0][0]
            risky = [p for p in postings if p.begun <= at and p.never > at + self.slack]
            if risky and (
                scheme.semantics == "once-only"
                or (scheme.semantics == "referenced" and scheme.group != "all")
            ):
                self.finds("decline", at, f"{who} was declined while it may have run at {risky[0].worker}")

    def _rule_5(self, one: Try) -> None:
        who = f"{one.scheme.name} {one.tag}"
        postings = sorted(self.postings.get(one.tag, []), key=lambda sent: sent.begun)
        if not one.answers:
            # Its dispatcher has had time enough since it was last up.
            ups = [at for at in self.up.get(one.dispatcher, []) if at <= self.end]
            if self.end > max(one.expires, ups[-1] if ups else 0) + 10 * SECOND:
                self.finds("forgotten", self.end, f"{who} was taken on and has no end")
        else:
            for sent in postings:
                if sent.begun > one.answers[0][0] + self.slack:
                    self.finds("after", sent.begun, f"{who} was posted to {sent.worker} after its end")
        numbers = [sent.lease for sent in postings]
        if any(b <= a for a, b in pairwise(numbers)):
            self.finds("lease", postings[-1].begun, f"{who} went out under leases {numbers}")
        self._rule_2(one)

    def _run_logs(self) -> None:
        schemes = {tag: one.scheme for tag, one in (*self.tries.items(), *self.durable.items())}
        for tag, runs in self.runs.items():
            scheme = schemes.get(tag)
            if scheme is not None and scheme.semantics == "once-only" and len(runs) > 1:
                self.finds(
                    "ran-twice", runs[1][0], f"{scheme.name} {tag} ran at {runs[0][1]} and {runs[1][1]}"
                )

    @staticmethod
    def _same_group(scheme: RequestClassTable, one: Sent, other: Sent) -> bool:
        return scheme.group == "all" or (
            one.zone == other.zone and (scheme.group == "zone" or one.cell == other.cell)
        )

    def _rule_3(self) -> None:
        by_pair: dict[tuple[int, str], list[tuple[int, str]]] = {}
        for tag, postings in self.postings.items():
            for sent in postings:
                by_pair.setdefault((sent.dispatcher, sent.worker), []).append((sent.begun, tag))
        for (dispatcher, worker), sends in by_pair.items():
            spans = self._closed(dispatcher, worker)
            for begun, tag in sends:
                for since, until in spans:
                    if since + self.charter.rules.drain_grace + self.slack < begun < until:
                        self.finds(
                            "drain",
                            begun,
                            f"{tag} went to {worker} {(begun - since) / SECOND:.2f} s "
                            f"after d{dispatcher} was told that it leaves",
                        )

    def _closed(self, dispatcher: int, worker: str) -> list[tuple[int, int]]:
        """Spans in which the dispatcher knew, or is deemed to have known, that nothing new may go there."""
        marks = sorted([(at, status) for at, status in self.told.get((dispatcher, worker), [])])
        restarts = self.up.get(dispatcher, [])[1:]
        spans: list[tuple[int, int]] = []
        since: int | None = None
        for at, status in sorted(marks + [(at, "") for at in restarts], key=lambda mark: mark[0]):
            # A new process knows nothing of what the old one was told.
            if status in ("active", "") and since is not None:
                spans.append((since, at))
                since = None
            elif status in self.binding and since is None:
                since = at
        if since is not None:
            spans.append((since, FAR))
        for at, status in self.changed.get(worker, []):
            if status not in self.binding:
                continue
            until = min(
                [when for when, later in self.changed[worker] if when > at and later == "active"], default=FAR
            )
            for begun, ended in self._lives(dispatcher):
                deemed = self._deemed(dispatcher, max(at, begun), ended)
                if deemed < min(until, ended):
                    spans.append((deemed, min(until, ended)))
        return spans

    def _lives(self, dispatcher: int) -> list[tuple[int, int]]:
        ups, ends = self.up.get(dispatcher, []), self.ended.get(dispatcher, [])
        return [(up, min([end for end in ends if end >= up], default=FAR)) for up in ups]

    def _deemed(self, dispatcher: int, at: int, until: int) -> int:
        """When a change at that moment counts as told: a watch that stays open for long enough has had it to
        tell; and who neither watches nor asks is taken to know.
        """
        watches = [(when, on) for when, on in self.watches.get(dispatcher, []) if when <= until]
        for silent in self.hushed.get(dispatcher, []):
            # What a silent watch misses counts as told, asked for again or not.
            if silent <= at < silent + TOLD_WITHIN and not any(
                on and silent < when <= at for when, on in watches
            ):
                return silent + TOLD_WITHIN
        asked = self.asked.get(dispatcher, [])
        open_since = FAR
        for when, on in watches:
            if when <= at:
                open_since = at if on else FAR
            elif on and open_since == FAR:
                open_since = when
            elif not on:
                if when - open_since >= TOLD_WITHIN:
                    return open_since + TOLD_WITHIN
                open_since = FAR
        if open_since != FAR and until - open_since >= TOLD_WITHIN:
            return open_since + TOLD_WITHIN
        # Neither watched nor asked: looked for between the last sign before and the next one after.
        signs = sorted(
            [
                at,
                *[when for when in asked if at <= when <= until],
                *[when for when, _ in watches if when >= at],
            ]
        )
        for one, other in zip(signs, [*signs[1:], until]):
            if open_since == FAR and other - one > self.charter.rules.ask_within + TOLD_WITHIN:
                return one + self.charter.rules.ask_within + TOLD_WITHIN
        return FAR

    def _rule_4(self) -> None:
        rules = self.charter.rules
        if not rules.fall_multiple:
            return
        by_worker: dict[str, list[tuple[int, float]]] = {}
        for postings in self.postings.values():
            for sent in postings:
                if sent.worker in self.cold:
                    by_worker.setdefault(sent.worker, []).append((sent.whole, sent.work))
        for worker, starts in self.cold.items():
            sends = sorted(by_worker.get(worker, []))
            for start, capacity in starts:
                span = [(at, work) for at, work in sends if start <= at < start + rules.cold_time]
                for i, (at, _) in enumerate(span):
                    able = rules.cold_share + (1 - rules.cold_share) * (at - start) / rules.cold_time
                    whole = sum(work for when, work in span[: i + 1] if when > at - rules.fall_time)
                    if whole > rules.fall_multiple * able * capacity * rules.fall_time * 1.001:
                        self.finds(
                            "cold",
                            at,
                            f"{worker} was sent {whole / SECOND:.2f} s of work in "
                            f"{rules.fall_time / SECOND:g} s, {(at - start) / SECOND:.2f} s after its start",
                        )
                        break

    # The whole.

    def verdict(self) -> Verdict:
        for one in self.tries.values():
            self._rule_1(one)
            self._rule_2(one)
        for one in self.durable.values():
            self._rule_5(one)
        self._run_logs()
        self._rule_3()
        self._rule_4()
        self.findings.sort(key=lambda finding: finding.at)
        return Verdict(
            self.findings,
            *self._worth(),
            faults=dict(self.faults),
            tries=len(self.tries),
            declines=sum(1 for t in self.tries.values() if t.answers and t.answers[0][1] == "declined"),
            postings=sum(map(len, self.postings.values())),
            turned_away=self.turned_away,
            cpu=self.cpu,
        )

    def _worth(self) -> tuple[Row, dict[str, Row], dict[str, Row], list[tuple[int, float]]]:
        by_work = self.charter.prices.by_work
        for one in self.tries.values():
            job = self.jobs[one.job]
            job.tries += 1
            if one.answers:
                _, how, seen, _ = one.answers[0]
                job.how = how
                if how == "settled":
                    job.settled = min(job.settled, seen)
            else:
                job.how = "unanswered"
        for one in self.durable.values():
            job = self.jobs[one.job]
            job.tries += 1
            if one.answers:
                job.how = one.answers[0][1]
                if job.how == "settled":
                    job.settled = min(job.settled, one.answers[0][2])
        rows: dict[tuple[str, str], Row] = {("", ""): Row()}
        times: dict[tuple[str, str], Any] = {}
        by_second: dict[int, list[float]] = {}
        for job in self.jobs.values():
            scheme = self.schemes[job.scheme]
            worth = scheme.value * (job.work if by_work else 1.0)
            settled = job.settled < FAR
            got = (
                worth
                if job.settled <= job.due
                else (scheme.late_value * (job.work if by_work else 1.0) if settled else 0.0)
            )
            sums = by_second.setdefault(job.first // SECOND, [0.0, 0.0])
            sums[0] += got
            sums[1] += worth
            for key in (("", ""), ("scheme", job.scheme), ("customer", job.customer)):
                row = rows.setdefault(key, Row())
                row.jobs += 1
                row.asked_value += worth
                row.value += got
                row.settled += settled
                row.in_time += job.settled <= job.due
                row.declined += not settled and job.how == "declined"
                row.reversed += not settled and job.how in ("reversed", "garbled")
                row.unanswered += not settled and job.how in ("none", "unanswered", "unseen", "cancelled")
                if settled:
                    times.setdefault(key, HdrHistogram(1, MOST, 3)).record_value(
                        max(1, min(MOST, job.settled - job.first))
                    )
        for key, histogram in times.items():
            rows[key].p50 = histogram.get_value_at_percentile(50) / 10
            rows[key].p99 = histogram.get_value_at_percentile(99) / 10
        return (
            rows["", ""],
            {name: row for (kind, name), row in rows.items() if kind == "scheme"},
            {name: row for (kind, name), row in rows.items() if kind == "customer"},
            [(second, got / asked if asked else 1.0) for second, (got, asked) in sorted(by_second.items())],
        )


def judge(charter: Configuration, events: Iterable[Event], slack: int = 20) -> Verdict:
    """`slack`: ticks by which each limit is longer: 500 where sockets are real, little in virtual time."""
    one = Judge(charter, slack)
    events = list(events)
    one.read(events)
    verdict = one.verdict()
    if charter.fleet is not None:
        members = fleet_judge.judge_fleet(charter.fleet, charter.dispatchers, events, slack)
        verdict.fleet = dataclasses.asdict(members.figures)
        verdict.findings += [Finding(rule, at, text) for rule, at, text in members.found]
        verdict.findings.sort(key=lambda finding: finding.at)
    return verdict


def line(verdict: Verdict) -> bytes:
    return msgspec.json.encode(verdict.plain())
