"""Wrong histories on purpose: the worlds with one rule left out each, and right ones that look wrong.

A checker is proven by both: each fault is found under its name, by seeds,
and nothing is found in what is right.
"""

from __future__ import annotations

from random import Random
from typing import Any

from pathsaddle.histories.checkers import CHECKERS
from pathsaddle.histories.logs import SECOND, Checker, Event
from pathsaddle.histories.worlds import (
    MS,
    CountsWorld,
    FederationWorld,
    PlacementWorld,
    RegisterWorld,
    SettingsWorld,
    SharesWorld,
    SheddingWorld,
    TxnsWorld,
    World,
    by_clocks,
)


def proving(name: str, skew: int = 0) -> Checker:
    """With the bounds that hold in the worlds."""
    bounds: dict[str, Any] = {}
    if name == "shedding":
        bounds = {
            "value": SheddingWorld.VALUE,
            "pace": SheddingWorld.PACE,
            "lag": SheddingWorld.LAG,
            "returns": SheddingWorld.RETURNS,
            "strict": True,
            "band": SheddingWorld.BAND,
        }
    return CHECKERS[name](skew, **bounds)


# Register. Each fault comes now and then, as faults do.


class OneVoterReads(RegisterWorld):
    """A read answered by one voter, whose copy is older."""

    def arrive(
        self, who: str, op: str, key: str, kind: str, more: dict[str, Any], called: int, back: int | None
    ) -> None:
        old = list(self.state[key])
        super().arrive(who, op, key, kind, more, called, back)
        if kind in ("take", "set") and old != self.state[key] and self.chance.random() < 0.3:
            self.ops += 1
            self.then(SECOND, self.stale, f"m4/old{self.ops}", key, old)

    def stale(self, op: str, key: str, old: list[Any]) -> None:
        self.say("reg.call", who="m4", op=op, key=key, kind="read")
        self.then(
            MS,
            self.end,
            "m4",
            op,
            {"outcome": "ok", "number": old[0], "owner": old[1], "value": old[2], "revision": old[3]},
        )


class SetsLost(RegisterWorld):
    """A set that was told ok and is not there."""

    def arrive(
        self, who: str, op: str, key: str, kind: str, more: dict[str, Any], called: int, back: int | None
    ) -> None:
        old = self.state[key][2:4]
        super().arrive(who, op, key, kind, more, called, back)
        if kind == "set" and back is not None and self.chance.random() < 0.2:
            self.state[key][2:4] = old


class RefusedYetThere(RegisterWorld):
    """A set that was told refused, and changed the value."""

    def arrive(
        self, who: str, op: str, key: str, kind: str, more: dict[str, Any], called: int, back: int | None
    ) -> None:
        old = self.state[key][3]
        super().arrive(who, op, key, kind, more, called, back)
        if kind == "set" and self.state[key][3] == old and self.chance.random() < 0.2:
            self.state[key][2] = more["value"]


class TwoMajorities(RegisterWorld):
    """Both sides of a cut grant, by the same number."""

    def arrive(
        self, who: str, op: str, key: str, kind: str, more: dict[str, Any], called: int, back: int | None
    ) -> None:
        if kind == "take" and self.state[key][0] and back is not None and self.chance.random() < 0.2:
            state = self.state[key]
            told = {
                "outcome": "ok",
                "number": state[0],
                "owner": who,
                "value": state[2],
                "revision": state[3],
            }
            self.then(back, self.end, who, op, told, key, kind, called)
            return
        super().arrive(who, op, key, kind, more, called, back)


class LostDisks(RegisterWorld):
    """Voters begin anew from nothing: numbers are dealt out again."""

    def arrive(
        self, who: str, op: str, key: str, kind: str, more: dict[str, Any], called: int, back: int | None
    ) -> None:
        if kind == "take" and self.state[key][0] > 4 and self.chance.random() < 0.2:
            self.state[key] = [1, "", None, 0, -1]
        super().arrive(who, op, key, kind, more, called, back)


class NoFence(RegisterWorld):
    """Receivers take whatever comes."""

    def effect(self, receiver: str, who: str, key: str, number: int, name: int) -> None:
        self.say("effect", who=receiver, key=key, number=number, by=who, taken=True, id=name)


class LeaseByArrival(RegisterWorld):
    """A lease reckoned from when the answer came, and the member stood still before it read that."""

    STILL = 0.2

    def end(
        self, who: str, op: str, told: dict[str, Any], key: str = "", kind: str = "", called: int = 0
    ) -> None:
        super().end(who, op, told, key, kind, self.now + 3 * SECOND if kind in ("take", "renew") else called)


class ActsLate(RegisterWorld):
    """Looked at the lease, stood still, acted."""

    def act(self, who: str, key: str, number: int) -> None:
        held = self.held.get((who, key))
        if held is not None and held[0] == number and self.chance.random() < 0.3:
            self.then(held[1] - self.now + MS, self.late, who, key, number)
        else:
            super().act(who, key, number)

    def late(self, who: str, key: str, number: int) -> None:
        self.ops += 1
        self.say("act", who=who, key=key, number=number, id=self.ops)


class BorrowedNumber(RegisterWorld):
    """A member that was refused acts by the number that it was told, which is another's."""

    def end(
        self, who: str, op: str, told: dict[str, Any], key: str = "", kind: str = "", called: int = 0
    ) -> None:
        super().end(who, op, told, key, kind, called)
        if kind == "take" and told["outcome"] == "refused":
            self.ops += 1
            self.effect("w1", who, key, told["number"], self.ops)


class EffectsTwice(RegisterWorld):
    """An effect that comes twice, at two receivers."""

    def effect(self, receiver: str, who: str, key: str, number: int, name: int) -> None:
        super().effect(receiver, who, key, number, name)
        if self.chance.random() < 0.2:
            super().effect("w1" if receiver != "w1" else "w2", who, key, number, name)


# Shares and counts.


class CreditedTwice(SharesWorld):
    """The same loan delivered twice counts twice."""

    def arrive(self, budget: str, taker: str, moved: list[list[Any]], end: int) -> None:
        super().arrive(budget, taker, moved, end)
        mine = sum(unit[1] == taker for unit in self.units[budget])
        self.say("share.rights", who=taker, budget=budget, units=mine + len(moved), until=end, floor=0)


class LoanByArrival(SharesWorld):
    """The taker reckons the loan from when it came, and its owner from before."""

    def over(self, budget: str, taker: str, moved: list[list[Any]]) -> None:
        if taker not in self.dead:
            late = self.now + 3 * SECOND
            twins = [["", taker, late, self.now, False] for _ in moved]
            self.units[budget] += twins
            self.tell(budget, taker)
            self.then(3 * SECOND, super().over, budget, taker, twins)
        super().over(budget, taker, moved)


class ForgetsLoans(SharesWorld):
    """A new life uses all of its part, whatever the old one lent; and it restarts often."""

    def lend(self, budget: str) -> None:
        super().lend(budget)
        name = self.chance.choice(self.names)
        if name not in self.dead and self.chance.random() < 0.1:
            self.say("member.ended", who=name, why="killed")
            self.dead[name] = None
            self.rise(name)

    def rise(self, name: str) -> None:
        super().rise(name)
        for budget in self.budgets:
            mine = sum(unit[1] == name or unit[0] == name for unit in self.units[budget])
            self.say("share.rights", who=name, budget=budget, units=mine)


class SpendsTwice(SharesWorld):
    """Bucket filled anew at each arrival of rights: units spent again within the second."""

    def spend(self, budget: str) -> None:
        super().spend(budget)
        for unit in self.units[budget]:
            if unit[1] and unit[1] not in self.dead and self.chance.random() < 0.05:
                self.say("share.spend", who=unit[1], budget=budget, units=1)


class OpensMore(SharesWorld):
    """Work that is begun is not counted while its answer is out."""

    def open(self, budget: str) -> None:
        super().open(budget)
        if self.now > 2 * SECOND:
            self.say("share.spend", who="m0", budget=f"{budget}-open", units=1)


class SpendsWithout(SharesWorld):
    """One that never had a right spends."""

    def spend(self, budget: str) -> None:
        if self.chance.random() < 0.01:
            self.say("share.spend", who="m9", budget=budget, units=1)
        super().spend(budget)


class CountsDoubled(CountsWorld):
    """A delta credited twice."""

    def tell(self) -> None:
        super().tell()
        if self.past[-1][1] > 30 and self.chance.random() < 0.1:
            sum_ = self.past[-1][1]
            self.say("count.told", who="m1", name="open", low=2 * sum_, high=2 * sum_ + 3, age=SECOND)


class CountsTooYoung(CountsWorld):
    """An old count told as a young one."""

    def tell(self) -> None:
        super().tell()
        if len(self.past) > 300 and self.chance.random() < 0.2:
            sum_ = self.past[len(self.past) // 3][1]
            self.say("count.told", who="m1", name="open", low=sum_, high=sum_ + 1, age=MS)


class DeadCounted(CountsWorld):
    """A dead member's part lives on."""

    def tell(self) -> None:
        super().tell()
        if self.now > 4 * SECOND and self.own.get("m0", 0) > 3:
            sum_, part = self.past[-1][1], self.own.pop("m0")
            self.names.remove("m0")
            self.say("member.ended", who="m0", why="killed")
            self.past = [(self.now, sum_ - part)]
            self.then(2 * SECOND, self.old, part)

    def old(self, part: int) -> None:
        sum_ = self.past[-1][1] + part + 40
        self.say("count.told", who="m1", name="open", low=sum_, high=sum_, age=SECOND // 10)


# Shedding.


class Dice(SheddingWorld):
    """Within the band each throws its own dice."""

    def arrive(self, again: tuple[Any, ...] | None) -> None:
        before = len(self.events)
        super().arrive(again)
        event = self.events[-1]
        if len(self.events) > before and event.what == "shed.out" and "why" not in event.more:
            more = {name: value for name, value in event.more.items() if name != "wait"}
            more["standing"] = int(more["standing"]) + self.chance.random()
            if more["standing"] >= more["level"]:
                self.txns += 1
                self.say("shed.in", **{**more, "who": self.chance.choice(self.names), "txn": self.txns})


class AgainstLevel(SheddingWorld):
    """A member that lets in whom its level declines, while it has room."""

    def arrive(self, again: tuple[Any, ...] | None) -> None:
        before = len(self.events)
        super().arrive(again)
        event = self.events[-1]
        if (
            len(self.events) > before
            and event.what == "shed.out"
            and "why" not in event.more
            and self.chance.random() < 0.1
        ):
            more = {name: value for name, value in event.more.items() if name != "wait"}
            self.txns += 1
            self.say("shed.in", **{**more, "who": "m3", "txn": self.txns})


class StuckLevel(SheddingWorld):
    """One member's level stays what it was: it was stopped, or hears nothing and does not know."""

    def move(self) -> None:
        super().move()
        self.level = 3.0 if self.now < 2 * SECOND else self.level + (0.25 if self.level < 16 else 0)

    def view(self) -> float:
        return 1.0 if self.chance.random() < 0.05 and self.now > 3 * SECOND else super().view()


class AdviceForgotten(SheddingWorld):
    """Who was told to wait is let in elsewhere at once."""

    def arrive(self, again: tuple[Any, ...] | None) -> None:
        super().arrive(again)
        event = self.events[-1]
        if event.what == "shed.out" and event.more["wait"] > 0 and self.chance.random() < 0.1:
            more = {name: value for name, value in event.more.items() if name != "wait"}
            self.txns += 1
            more.update(who="m7", txn=self.txns, level=0.0, standing=more["standing"] + 30)
            self.say("shed.in", **more)


class SameWait(SheddingWorld):
    """All are told the same wait."""

    def wait(self) -> int:
        return 3 * SECOND - self.now % (3 * SECOND) + 1


class BackEarly(SheddingWorld):
    """Clients that are said to obey come before."""

    def back(self, who: str, name: dict[str, Any], told: int, again: tuple[Any, ...]) -> None:
        if self.chance.random() < 0.2:
            self.say("shed.back", who=who, declined=told, until=self.now + SECOND, obeys=True, **name)
        super().back(who, name, told, again)


# Placement.


class Unchecked(PlacementWorld):
    """Now and then a reservation is taken that one check would have refused;
    the books are kept as if it had been.
    """

    left_out = ""

    def reserve(self) -> None:
        super().reserve()
        event = self.events[-1]
        if event.what != "bay.reserve" or event.more["taken"]:
            return
        more, unit, bay, island = event.more, event.more["unit"], event.more["bay"], event.more["island"]
        used, limits, needs = self.used[island], self.limits[island], {"bays": 1, **self.needs[unit]}
        wrong = {
            "bay": bay in self.bays,
            "unit": unit in self.held,
            "limits": any(used[what] + needs[what] > limits[what] for what in limits),
            "number": more["number"] < self.number,
            "revision": more["revision"] < more["now"],
        }
        if [what for what, is_ in wrong.items() if is_] in ([self.left_out], [self.left_out, "revision"]):
            event.more["taken"] = True


class BayUnchecked(Unchecked):
    """A bay that another holds is given away."""

    left_out = "bay"


class UnitUnchecked(Unchecked):
    """A unit that holds a bay gets another."""

    left_out = "unit"


class LimitsUnchecked(Unchecked):
    """An island gets more than it bears."""

    left_out = "limits"


class NumberUnchecked(Unchecked):
    """A planner that woke late reserves."""

    left_out = "number"


class RevisionUnchecked(Unchecked):
    """Reserved on an inventory that is no more."""

    left_out = "revision"


class OrderIgnored(PlacementWorld):
    """Warmed before it is in its bay."""

    def walk(self, who: str, plan: int, first: int, unit: str, bay: str, step: int) -> None:
        super().walk(who, plan, first, unit, bay, 1 if step == 0 and self.chance.random() < 0.2 else step)


class ColdIgnored(PlacementWorld):
    """Warms whatever is installed."""

    def room(self) -> bool:
        return True


class WalksWithout(PlacementWorld):
    """A walker that goes on after its reservation is gone."""

    def lapse(self) -> None:
        before = len(self.events)
        super().lapse()
        for event in self.events[before:]:
            if event.what == "bay.release" and self.chance.random() < 0.5:
                self.then(SECOND, self.on, event.more["unit"], event.more["bay"])

    def on(self, unit: str, bay: str) -> None:
        if unit not in self.held:
            self.say("bay.install", who="walk1", unit=unit, bay=bay)


class ReleasedEarly(PlacementWorld):
    """A lease taken to have ended because its holder is silent."""

    def lapse(self) -> None:
        before = len(self.events)
        super().lapse()
        for event in self.events[before:]:
            if event.what == "bay.release" and event.more["why"] == "word":
                event.more["why"] = "lease"


# Federation.


class ForceByCount(FederationWorld):
    """Told in force when most have it."""

    def renew(self, name: str) -> None:
        super().renew(name)
        newest = len(self.versions)
        if newest > self.force and sum(held >= newest for held, _ in self.held.values()) >= 5:
            self.force = newest
            self.say("spec.version", who="k", version=newest, state="force")


class NoLease(FederationWorld):
    """A member that hears nothing goes by what it had."""

    def send(self, name: str, again: tuple[Any, ...] | None = None) -> None:
        version, until = self.held.get(name, (0, 0))
        if version and until <= self.now:
            self.held[name] = version, self.now + 1
            super().send(name, again)
            self.held[name] = version, until
        else:
            super().send(name, again)


class LoosenedOnArrival(FederationWorld):
    """What is proposed is used by whom it reaches, before it is committed."""

    def commit(self) -> None:
        super().commit()
        event = self.events.pop()
        self.then(2 * SECOND, self.committed, event)

    def committed(self, event: Event) -> None:
        self.say(event.what, **event.more)


class ForbiddenRegion(FederationWorld):
    """The order of failing over is walked without a look at what is allowed."""

    def send(self, name: str, again: tuple[Any, ...] | None = None) -> None:
        super().send(name, again)
        event = self.events[-1]
        if event.what == "abroad.sent" and event.more["who"] == name and self.chance.random() < 0.2:
            event.more["to"] = next(
                region for region in self.REGIONS if region not in (event.more["to"], event.more["origin"])
            )


class CrossesTwice(FederationWorld):
    """A region that took a txn from abroad sends it on."""

    def arrive(self, name: str, again: tuple[Any, ...], post: str, kind: str, to: str, fate: str) -> None:
        if fate == "declined" and self.chance.random() < 0.2:
            origin = self.members[name]
            other = next(region for region in self.REGIONS if region not in (to, origin))
            self.say(
                "abroad.sent",
                who=f"{to}0",
                post=f"{post}/on",
                txn=again[0],
                scheme=again[1],
                kind=kind,
                origin=origin,
                to=self.on_to(other, origin),
                version=len(self.versions),
                **{"from": to},
            )
        super().arrive(name, again, post, kind, to, fate)

    def on_to(self, other: str, origin: str) -> str:
        return other


class Circles(CrossesTwice):
    """And back to where it came from."""

    def on_to(self, other: str, origin: str) -> str:
        return origin


class AgainAfterSilence(FederationWorld):
    """A once-only job whose answer was lost crosses again."""

    def ended(self, name: str, again: tuple[Any, ...], post: str, kind: str, fate: str) -> None:
        super().ended(name, again, post, kind, fate)
        if fate.startswith("unknown") and kind == "once-only":
            self.send(name, again)


class TwoRegions(AgainAfterSilence):
    """And runs in both."""

    def arrive(self, name: str, again: tuple[Any, ...], post: str, kind: str, to: str, fate: str) -> None:
        super().arrive(name, again, post, kind, to, "unknown, ran" if fate == "unknown" else fate)


class StaleCopies(FederationWorld):
    """A copy that stopped being refreshed is read."""

    def say(self, what: str, **more: Any) -> None:
        if what == "data.read" and self.chance.random() < 0.1:
            more["age"] = more["staleness"] + 1
        super().say(what, **more)


class TighteningIgnored(FederationWorld):
    """A member that has the newer version finishes its queue by the older."""

    def send(self, name: str, again: tuple[Any, ...] | None = None) -> None:
        version, until = self.held.get(name, (0, 0))
        if version > 1 and self.chance.random() < 0.3:
            self.held[name] = version - 1, until
            super().send(name, again)
            self.held[name] = version, until
        else:
            super().send(name, again)


# Settings.


class TwoAtOneRevision(SettingsWorld):
    """Two keepers are both told that theirs is the group of a revision."""

    def end(self, keeper: str, group: dict[str, Any], outcome: str) -> None:
        super().end(keeper, group, "ok" if outcome == "refused" else outcome)


class OfferTaken(SettingsWorld):
    """A member goes by what a keeper only offered, and which was refused."""

    def end(self, keeper: str, group: dict[str, Any], outcome: str) -> None:
        super().end(keeper, group, outcome)
        name = self.chance.choice(self.members)
        revision, until = self.held.get(name, (group["revision"], self.now))
        if outcome == "refused" and revision <= group["revision"]:
            self.held[name] = group["revision"], until
            self.say(
                "settings.rows",
                who=name,
                revision=group["revision"],
                digest=group["digest"],
                rows=group["puts"],
            )


class OutOfNothing(SettingsWorld):
    """A keeper tells in force what nobody began: its disk had another line."""

    def judge(self) -> None:
        before = self.force
        super().judge()
        if self.force > before and self.chance.random() < 0.6:
            self.say("settings.force", who="k2", revision=self.force, digest="other")


class BeforeUnchecked(SettingsWorld):
    """The register compares the revision and not what the group comes after."""

    def call(self, keeper: str, puts: dict[str, Any], fate: str) -> None:
        wrong = len(self.line) > 2 and fate == "ok" and self.chance.random() < 0.1
        if not wrong:
            super().call(keeper, puts, fate)
            return
        before = self.line[-1]["digest"]
        self.line[-1]["digest"] = self.line[-2]["digest"]  # as one that is a group behind takes it to be
        super().call(keeper, puts, fate)
        self.line[-1]["digest"] = before


class GoesBeforeCommit(SettingsWorld):
    """A member goes by a group that its keeper has prepared, and has not yet called the register for."""

    def call(self, keeper: str, puts: dict[str, Any], fate: str) -> None:
        name = self.chance.choice(self.members)
        if fate != "ok" or name not in self.held or self.chance.random() < 0.7:
            super().call(keeper, puts, fate)
            return
        told = {"revision": len(self.line) + 1, "digest": f"d{self.ops + 1}"}
        self.say("settings.rows", who=name, rows=puts, **told)
        self.then(SECOND // 10, super().call, keeper, puts, fate)


class DiskForgets(SettingsWorld):
    """Its disk is synced later than its word goes out."""

    def restart(self, name: str, lost: bool) -> None:
        super().restart(name, lost)
        if name in self.held and self.held[name][0] > 2:
            self.held[name] = self.held[name][0] - 1, self.now


class ToldByCount(SettingsWorld):
    """In force once most have it."""

    def judge(self) -> None:
        super().judge()
        newest = len(self.line)
        if newest > self.force and sum(revision >= newest for revision, _ in self.held.values()) >= 3:
            self.force = newest
            self.say("settings.force", who="k1", revision=newest, digest=self.line[-1]["digest"])


class WithdrawnUnheard(SettingsWorld):
    """In force once all leases on older ones are over, though who hears nothing goes on by what was withdrawn."""

    def stands(self, revision: int, number: int) -> bool:
        return True


class OfferWidens(SettingsWorld):
    """What was offered, and not yet committed, binds where it is wider too."""

    def value(self, name: str, row: dict[str, Any] | None) -> dict[str, Any] | None:
        return (
            {"allowance": 50} if row is not None and self.chance.random() < 0.05 else super().value(name, row)
        )


class ByHalves(SettingsWorld):
    """Of a group with several rows the last are missing for a moment."""

    def say(self, what: str, **more: Any) -> None:
        if what == "settings.rows" and len(more["rows"]) > 1 and self.chance.random() < 0.3:
            before = self.line[more["revision"] - 2]["rows"]
            last = list(more["rows"])[-1]
            more["rows"] = {**more["rows"], last: before.get(last)}
        super().say(what, **more)


# Txns.


class AnswersTwice(TxnsWorld):
    """A late callback answers again."""

    def got(self, txn: str, outcome: str) -> None:
        super().got(txn, outcome)
        if self.chance.random() < 0.05:
            self.say("txn.answer", who=txn.split("/")[0], txn=txn, outcome="settled")


class NeverAnswers(TxnsWorld):
    """A txn that fell out of all queues."""

    def ended(self, who: str, life: int, txn: str, kind: str, post: str, fate: str, tries: int) -> None:
        if tries < 3 and self.chance.random() < 0.05:
            return
        super().ended(who, life, txn, kind, post, fate, tries)


class AnswersLate(TxnsWorld):
    """An answer held back."""

    def ended(self, who: str, life: int, txn: str, kind: str, post: str, fate: str, tries: int) -> None:
        if self.chance.random() < 0.05 and tries < 9:
            self.then(9 * SECOND, self.ended, who, life, txn, kind, post, fate, 9)
            return
        super().ended(who, life, txn, kind, post, fate, tries)


class SendsOn(TxnsWorld):
    """A second posting that was due goes out though the answer is given."""

    def got(self, txn: str, outcome: str) -> None:
        super().got(txn, outcome)
        if self.chance.random() < 0.05:
            self.say(
                "post.sent",
                who=txn.split("/")[0],
                post=f"{txn}/late",
                txn=txn,
                worker="w0",
                kind="repeatable",
            )


class OnceAgain(TxnsWorld):
    """A once-only job whose connection broke is posted again."""

    def ended(self, who: str, life: int, txn: str, kind: str, post: str, fate: str, tries: int) -> None:
        if kind == "once-only" and fate.startswith("broken") and tries < 3 and self.lives[who] == life:
            self.say("post.ended", who=who, post=post, txn=txn, outcome="unknown")
            self.post(who, life, txn, kind, tries + 1)
            return
        super().ended(who, life, txn, kind, post, fate, tries)


class DeclinesUnknown(TxnsWorld):
    """A once-only job that may have run is declined."""

    def ended(self, who: str, life: int, txn: str, kind: str, post: str, fate: str, tries: int) -> None:
        if kind == "once-only" and fate.startswith("broken") and self.lives[who] == life:
            self.say("post.ended", who=who, post=post, txn=txn, outcome="unknown")
            self.say("txn.answer", who=who, txn=txn, outcome="declined")
            return
        super().ended(who, life, txn, kind, post, fate, tries)


class SettlesUnrun(TxnsWorld):
    """Settled by a reading of an answer that was not one."""

    def ended(self, who: str, life: int, txn: str, kind: str, post: str, fate: str, tries: int) -> None:
        wrong = kind == "once-only" and fate == "declined" and self.chance.random() < 0.3
        super().ended(who, life, txn, kind, post, "settled" if wrong else fate, tries)


class AnswersDiffer(TxnsWorld):
    """A client got another txn's answer."""

    def got(self, txn: str, outcome: str) -> None:
        super().got(txn, "failed" if outcome == "settled" and self.chance.random() < 0.05 else outcome)


class OutsideGroup(TxnsWorld):
    """A referenced job that may have run is repeated in another group."""

    def say(self, what: str, **more: Any) -> None:
        if what == "post.sent" and more.get("group") and more["post"][-1] != "0":
            more["group"] = "west"
        super().say(what, **more)


PLANTED: dict[str, dict[str, tuple[str, type[World]]]] = {
    "register": {
        "one-voter-reads": ("register-not-linearizable", OneVoterReads),
        "sets-lost": ("register-not-linearizable", SetsLost),
        "refused-yet-there": ("register-not-linearizable", RefusedYetThere),
        "two-majorities": ("number-twice", TwoMajorities),
        "lost-disks": ("number-back", LostDisks),
        "no-fence": ("effect-unfenced", NoFence),
        "lease-by-arrival": ("leases-overlap", LeaseByArrival),
        "acts-late": ("act-without-lease", ActsLate),
        "borrowed-number": ("effect-two-owners", BorrowedNumber),
        "effects-twice": ("effect-twice", EffectsTwice),
    },
    "shares": {
        "credited-twice": ("rights-over-budget", CreditedTwice),
        "loan-by-arrival": ("rights-over-budget", LoanByArrival),
        "forgets-loans": ("rights-over-budget", ForgetsLoans),
        "spends-twice": ("spent-over-budget", SpendsTwice),
        "opens-more": ("spent-over-budget", OpensMore),
        "spends-without": ("spent-without-rights", SpendsWithout),
    },
    "counts": {
        "counts-doubled": ("count-outside", CountsDoubled),
        "counts-too-young": ("count-outside", CountsTooYoung),
        "dead-counted": ("count-outside", DeadCounted),
    },
    "shedding": {
        "dice": ("draw-differs", Dice),
        "against-level": ("identity-split", AgainstLevel),
        "lets-in-below": ("against-level", AgainstLevel),
        "stuck-level": ("inversion", StuckLevel),
        "advice-forgotten": ("let-in-against-advice", AdviceForgotten),
        "same-wait": ("advice-bunched", SameWait),
        "back-early": ("back-early", BackEarly),
    },
    "placement": {
        "bay-unchecked": ("bay-twice", BayUnchecked),
        "unit-unchecked": ("unit-twice", UnitUnchecked),
        "limits-unchecked": ("island-over", LimitsUnchecked),
        "number-unchecked": ("late-planner", NumberUnchecked),
        "revision-unchecked": ("stale-revision", RevisionUnchecked),
        "order-ignored": ("step-order", OrderIgnored),
        "cold-ignored": ("cold-over", ColdIgnored),
        "walks-without": ("unreserved", WalksWithout),
        "released-early": ("released-early", ReleasedEarly),
    },
    "federation": {
        "force-by-count": ("force-early", ForceByCount),
        "no-lease": ("beyond-lease", NoLease),
        "loosened-on-arrival": ("loosened-early", LoosenedOnArrival),
        "forbidden-region": ("forbidden-region", ForbiddenRegion),
        "tightening-ignored": ("tightening-ignored", TighteningIgnored),
        "crosses-twice": ("crossed-twice", CrossesTwice),
        "circles": ("circle", Circles),
        "again-after-silence": ("crossed-again", AgainAfterSilence),
        "two-regions": ("two-regions", TwoRegions),
        "stale-copies": ("stale-copy", StaleCopies),
    },
    "settings": {
        "two-at-one-revision": ("two-digests", TwoAtOneRevision),
        "offer-taken": ("never-committed", OfferTaken),
        "out-of-nothing": ("never-committed", OutOfNothing),
        "before-unchecked": ("chain-broken", BeforeUnchecked),
        "goes-before-commit": ("before-commit", GoesBeforeCommit),
        "disk-forgets": ("went-back", DiskForgets),
        "told-by-count": ("leased-behind", ToldByCount),
        "withdrawn-unheard": ("forbidden-in-force", WithdrawnUnheard),
        "offer-widens": ("more-than-allowed", OfferWidens),
        "by-halves": ("group-in-part", ByHalves),
    },
    "txns": {
        "answers-twice": ("answered-twice", AnswersTwice),
        "never-answers": ("unanswered", NeverAnswers),
        "answers-late": ("answered-late", AnswersLate),
        "sends-on": ("sent-after-answer", SendsOn),
        "once-again": ("two-at-once", OnceAgain),
        "once-ran-twice": ("ran-twice", OnceAgain),
        "declines-unknown": ("declined-but-ran", DeclinesUnknown),
        "settles-unrun": ("settled-without-run", SettlesUnrun),
        "answers-differ": ("answers-differ", AnswersDiffer),
        "outside-group": ("again-outside-group", OutsideGroup),
    },
}


def wrong(name: str, kind: str, seed: int, size: int, skew: int = 0) -> tuple[str, list[Event]]:
    """The finding that is expected, and a history of about so many events in which one rule was left out."""
    expected, world = PLANTED[name][kind]
    chance = Random(f"{name}/{kind}/{seed}")
    return expected, by_clocks(world(chance, size).run(), chance, skew)
