"""Wrong histories on purpose: the worlds with one rule left out each, and right ones that look wrong.

A checker is proven by both: each fault is found under its name, by seeds, and nothing is found in what is right.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from pathsaddle.histories.federation import Federation
from pathsaddle.histories.logs import SECOND, Checker, Event, in_order
from pathsaddle.histories.placement import Placement
from pathsaddle.histories.register import Register
from pathsaddle.histories.shares import Counts, Shares
from pathsaddle.histories.shedding import Shedding
from pathsaddle.histories.txns import Txns
from pathsaddle.histories.worlds import (
    MS,
    CountsWorld,
    FederationWorld,
    PlacementWorld,
    RegisterWorld,
    SharesWorld,
    SheddingWorld,
    TxnsWorld,
    World,
    by_clocks,
)


def checker(name: str, skew: int = 0, **bounds: Any) -> Checker:
    """A new checker by its name. bounds: those of its __init__. Raises KeyError, TypeError."""
    if name == "shedding" and not bounds:
        bounds = {"value": SheddingWorld.VALUE, "pace": SheddingWorld.PACE, "lag": SheddingWorld.LAG,
                  "returns": SheddingWorld.RETURNS}
    return CHECKERS[name](skew, **bounds)


CHECKERS: dict[str, Callable[..., Checker]] = {
    "register": Register, "shares": Shares, "counts": Counts, "shedding": Shedding, "placement": Placement,
    "federation": Federation, "txns": Txns,
}


# Register. Each fault comes now and then, as faults do.

class OneVoterReads(RegisterWorld):
    """A read answered by one voter, whose copy is older."""

    def arrive(self, who: str, op: str, key: str, kind: str, more: dict[str, Any], called: int,
               back: int | None) -> None:
        old = list(self.state[key])
        super().arrive(who, op, key, kind, more, called, back)
        if kind in ("take", "set") and old != self.state[key] and self.chance.random() < 0.3:
            self.ops += 1
            self.then(SECOND, self.stale, f"m4/old{self.ops}", key, old)

    def stale(self, op: str, key: str, old: list[Any]) -> None:
        self.say("reg.call", who="m4", op=op, key=key, kind="read")
        self.then(MS, self.end, "m4", op, {"outcome": "ok", "number": old[0], "owner": old[1], "value": old[2],
                                           "revision": old[3]})


class SetsLost(RegisterWorld):
    """A set that was told ok and is not there."""

    def arrive(self, who: str, op: str, key: str, kind: str, more: dict[str, Any], called: int,
               back: int | None) -> None:
        old = self.state[key][2:4]
        super().arrive(who, op, key, kind, more, called, back)
        if kind == "set" and back is not None and self.chance.random() < 0.2:
            self.state[key][2:4] = old


class RefusedYetThere(RegisterWorld):
    """A set that was told refused, and changed the value."""

    def arrive(self, who: str, op: str, key: str, kind: str, more: dict[str, Any], called: int,
               back: int | None) -> None:
        old = self.state[key][3]
        super().arrive(who, op, key, kind, more, called, back)
        if kind == "set" and self.state[key][3] == old and self.chance.random() < 0.2:
            self.state[key][2] = more["value"]


class TwoMajorities(RegisterWorld):
    """Both sides of a cut grant, by the same number."""

    def arrive(self, who: str, op: str, key: str, kind: str, more: dict[str, Any], called: int,
               back: int | None) -> None:
        if kind == "take" and self.state[key][0] and back is not None and self.chance.random() < 0.2:
            state = self.state[key]
            told = {"outcome": "ok", "number": state[0], "owner": who, "value": state[2], "revision": state[3]}
            self.then(back, self.end, who, op, told, key, kind, called)
            return
        super().arrive(who, op, key, kind, more, called, back)


class LostDisks(RegisterWorld):
    """Voters begin anew from nothing: numbers are dealt out again."""

    def arrive(self, who: str, op: str, key: str, kind: str, more: dict[str, Any], called: int,
               back: int | None) -> None:
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

    def end(self, who: str, op: str, told: dict[str, Any], key: str = "", kind: str = "", called: int = 0) -> None:
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

    def end(self, who: str, op: str, told: dict[str, Any], key: str = "", kind: str = "", called: int = 0) -> None:
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
            if more["standing"] > more["level"] and self.chance.random() < 0.3:
                self.txns += 1
                self.say("shed.in", **{**more, "who": self.chance.choice(self.names), "txn": self.txns})


class StuckLevel(SheddingWorld):
    """One member's level stays what it was: it was stopped, or hears nothing and does not know."""

    def move(self) -> None:
        super().move()
        self.level = 0.3 if self.now < 2 * SECOND else self.level + (0.025 if self.level < 1.6 else 0)

    def view(self) -> float:
        return 0.1 if self.chance.random() < 0.05 and self.now > 3 * SECOND else super().view()


class AdviceForgotten(SheddingWorld):
    """Who was told to wait is let in elsewhere at once."""

    def arrive(self, again: tuple[Any, ...] | None) -> None:
        super().arrive(again)
        event = self.events[-1]
        if event.what == "shed.out" and event.more["wait"] > 0 and self.chance.random() < 0.1:
            more = {name: value for name, value in event.more.items() if name != "wait"}
            self.txns += 1
            more.update(who="m7", txn=self.txns, level=0.0, standing=more["standing"] + 3)
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
    """Now and then a reservation is taken that one check would have refused; the books are kept as if it had been."""

    left_out = ""

    def reserve(self) -> None:
        super().reserve()
        event = self.events[-1]
        if event.what != "bay.reserve" or event.more["taken"]:
            return
        more, unit, bay, island = event.more, event.more["unit"], event.more["bay"], event.more["island"]
        used, limits, needs = self.used[island], self.limits[island], {"bays": 1, **self.needs[unit]}
        wrong = {
            "bay": bay in self.bays, "unit": unit in self.held,
            "limits": any(used[what] + needs[what] > limits[what] for what in limits),
            "number": more["number"] < self.number, "revision": more["revision"] < more["now"],
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
            event.more["to"] = next(region for region in self.REGIONS
                                    if region not in (event.more["to"], event.more["origin"]))


class CrossesTwice(FederationWorld):
    """A region that took a txn from abroad sends it on."""

    def arrive(self, name: str, again: tuple[Any, ...], post: str, kind: str, to: str, fate: str) -> None:
        if fate == "declined" and self.chance.random() < 0.2:
            origin = self.members[name]
            other = next(region for region in self.REGIONS if region not in (to, origin))
            self.say("abroad.sent", who=f"{to}0", post=f"{post}/on", txn=again[0], scheme=again[1], kind=kind,
                     origin=origin, to=self.on_to(other, origin), version=len(self.versions), **{"from": to})
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
        if self.chance.random() < 0.02 and tries < 9:
            self.then(9 * SECOND, self.ended, who, life, txn, kind, post, fate, 9)
            return
        super().ended(who, life, txn, kind, post, fate, tries)


class SendsOn(TxnsWorld):
    """A second posting that was due goes out though the answer is given."""

    def got(self, txn: str, outcome: str) -> None:
        super().got(txn, outcome)
        if self.chance.random() < 0.05:
            self.say("post.sent", who=txn.split("/")[0], post=f"{txn}/late", txn=txn, worker="w0", kind="repeatable")


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
        "dice": ("identity-split", Dice),
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


def looks_wrong(name: str) -> dict[str, list[Event]]:
    """Right histories that a hasty reader would accuse; by what they look like."""
    return {kind: in_order([Event(at, what, dict(more)) for at, what, more in rows])
            for kind, rows in LOOKS_WRONG[name].items()}


def _call(at: int, who: str, op: str, kind: str, **more: Any) -> tuple[int, str, dict[str, Any]]:
    return at, "reg.call", {"who": who, "op": op, "key": "plan", "kind": kind, **more}


def _end(at: int, who: str, op: str, outcome: str, **more: Any) -> tuple[int, str, dict[str, Any]]:
    return at, "reg.end", {"who": who, "op": op, "outcome": outcome, **more}


def _say(at: int, what: str, who: str, **more: Any) -> tuple[int, str, dict[str, Any]]:
    return at, what, {"who": who, **more}


_ID = {"customer": "north", "key": 7, "scheme": "render", "period": 1}
_MAY = {"may": {"render": ["north", "west"], "sign": ["north", "west"]}, "data": {"textures": ["north", "west"]}}
_HOME = {"may": {"render": ["north"], "sign": ["north"]}, "data": {"textures": ["north"]}}

LOOKS_WRONG: dict[str, dict[str, list[tuple[int, str, dict[str, Any]]]]] = {
    "register": {
        "a take that nobody answered is there an hour later": [
            _call(0, "a", "1", "take"), _end(10, "a", "1", "unknown"),
            _call(20, "b", "2", "take"), _end(30, "b", "2", "ok", number=1, owner="b"),
            _call(40, "b", "3", "read"), _end(50, "b", "3", "ok", number=1, owner="b"),
            _call(3600 * SECOND, "b", "4", "read"), _end(3600 * SECOND + 9, "b", "4", "ok", number=2, owner="a")],
        "a read that began first saw the new, one that ended later the old": [
            _call(0, "a", "1", "take"), _call(1, "b", "2", "read"), _call(2, "c", "3", "read"),
            _end(5, "b", "2", "ok", number=1, owner="a"), _end(9, "c", "3", "ok", number=0, owner=""),
            _end(20, "a", "1", "ok", number=1, owner="a")],
        "a refused call that tells a number from before another's end": [
            _call(0, "a", "1", "take"), _call(1, "b", "2", "take"),
            _end(5, "a", "1", "ok", number=4, owner="a"), _end(9, "b", "2", "refused", number=0, owner="")],
        "a lower number at a receiver that saw no higher one, and refused at the other": [
            _say(0, "effect", "w1", key="plan", number=2, by="b", taken=True),
            _say(5, "effect", "w2", key="plan", number=1, by="a", taken=True),
            _say(9, "effect", "w1", key="plan", number=1, by="a", taken=False)],
        "a lease given up in the moment in which the next begins": [
            _say(0, "lease", "a", key="plan", number=1, **{"from": 0, "until": 900}),
            _say(500, "lease", "b", key="plan", number=2, **{"from": 500, "until": 1400}),
            _say(500, "lease.end", "a", key="plan", number=1)],
        "two unknown sets, of which the later came to be first": [
            _call(0, "a", "1", "take"), _end(1, "a", "1", "ok", number=1, owner="a"),
            _call(2, "a", "2", "set", value="x"), _end(3, "a", "2", "unknown"),
            _call(4, "a", "3", "set", value="y"), _end(5, "a", "3", "unknown"),
            _call(6, "b", "4", "read"), _end(7, "b", "4", "ok", value="y"),
            _call(8, "b", "5", "read"), _end(9, "b", "5", "ok", value="x")],
    },
    "shares": {
        "a part falls at one and rises at another in one moment": [
            _say(0, "share.budget", "a", budget="looks", units=10),
            _say(0, "share.rights", "a", budget="looks", units=10),
            _say(50, "share.rights", "b", budget="looks", units=4, until=90, floor=0),
            _say(50, "share.rights", "a", budget="looks", units=6),
            _say(90, "share.rights", "a", budget="looks", units=10)],
        "charters that differ for a while": [
            _say(0, "share.budget", "a", budget="looks", units=10),
            _say(0, "share.budget", "b", budget="looks", units=10),
            _say(0, "share.rights", "a", budget="looks", units=5),
            _say(0, "share.rights", "b", budget="looks", units=5),
            _say(9, "share.budget", "a", budget="looks", units=6),
            _say(9, "share.rights", "a", budget="looks", units=3)],
        "a whole second's rights spent at its end and again at the next one's": [
            _say(0, "share.budget", "a", budget="looks", units=3),
            _say(0, "share.rights", "a", budget="looks", units=3),
            _say(9_999, "share.spend", "a", budget="looks", units=3),
            _say(19_999, "share.spend", "a", budget="looks", units=3)],
        "spent by a right that was told away just before": [
            _say(0, "share.budget", "a", budget="looks", units=3),
            _say(0, "share.rights", "a", budget="looks", units=3),
            _say(500, "share.rights", "a", budget="looks", units=0),
            _say(600, "share.spend", "a", budget="looks", units=1)],
    },
    "counts": {
        "an interval that held only where its age begins": [
            _say(0, "count.true", "a", name="open", units=5), _say(5_000, "count.true", "a", name="open", units=50),
            _say(9_000, "count.told", "b", name="open", low=5, high=6, age=4_500)],
        "a part dropped with its member, and told as before within the age": [
            _say(0, "count.true", "a", name="open", units=5), _say(5_000, "member.ended", "a", why="killed"),
            _say(5_500, "count.told", "b", name="open", low=5, high=5, age=1_000),
            _say(9_000, "count.told", "b", name="open", low=0, high=0, age=1_000)],
        "a sum passed through": [
            _say(0, "count.true", "a", name="open", units=1), _say(10, "count.true", "a", name="open", units=9),
            _say(20, "count.true", "a", name="open", units=1),
            _say(30, "count.told", "b", name="open", low=9, high=9, age=25)],
    },
    "shedding": {
        "a dear one declined for want of room beside a cheap one let in": [
            _say(0, "shed.in", "a", txn=1, standing=0.1, level=0.0, **_ID),
            _say(5, "shed.out", "b", txn=2, standing=2.0, level=0.0, wait=0, why="room", **{**_ID, "key": 8})],
        "the same identity in the next period": [
            _say(0, "shed.out", "a", txn=1, standing=1.0, level=1.1, wait=0, **_ID),
            _say(5, "shed.in", "b", txn=2, standing=1.0, level=1.1, **{**_ID, "period": 2})],
        "a cheap one let in because it may have run": [
            _say(0, "shed.out", "a", txn=1, standing=1.0, level=1.1, wait=500, **_ID),
            _say(5, "shed.in", "b", txn=2, standing=0.1, level=1.1, forced=True, **_ID)],
        "levels that differ by no more than is stated": [
            _say(0, "shed.out", "a", txn=1, standing=1.3, level=1.31, wait=0, **_ID),
            _say(5, "shed.in", "b", txn=2, standing=1.11, level=1.1, **{**_ID, "key": 9})],
        "declined first, let in once the level had fallen": [
            _say(0, "shed.out", "a", txn=1, standing=1.0, level=1.1, wait=500, **_ID),
            _say(500, "shed.in", "b", txn=2, standing=1.0, level=0.95, **_ID)],
    },
    "placement": {
        "an old planner that wakes late and is refused": [
            _say(0, "bay.reserve", "k", unit="u1", bay="b1", island="i", by="p2", number=2, revision=1, now=1, taken=True),
            _say(9, "bay.reserve", "k", unit="u2", bay="b1", island="i", by="p1", number=1, revision=1, now=2, taken=False)],
        "a bay given to the next in the moment in which it is released": [
            _say(0, "bay.reserve", "k", unit="u1", bay="b1", island="i", by="p", number=1, revision=1, now=1, taken=True),
            _say(9, "bay.release", "k", unit="u1", bay="b1", why="word"),
            _say(9, "bay.reserve", "k", unit="u2", bay="b1", island="i", by="p", number=1, revision=3, now=3, taken=True)],
        "a limit lowered under what is reserved": [
            _say(0, "island.limits", "k", island="i", bays=8, ports=10), _say(0, "unit.needs", "k", unit="u1", ports=6),
            _say(1, "bay.reserve", "k", unit="u1", bay="b1", island="i", by="p", number=1, revision=1, now=1, taken=True),
            _say(9, "island.limits", "k", island="i", bays=8, ports=4)],
        "the same reservation again": [
            _say(0, "island.limits", "k", island="i", bays=1),
            _say(0, "bay.reserve", "k", unit="u1", bay="b1", island="i", by="p", number=1, revision=1, now=1, taken=True),
            _say(9, "bay.reserve", "k", unit="u1", bay="b1", island="i", by="p", number=1, revision=2, now=2, taken=True)],
    },
    "federation": {
        "an old version used after a tighter one was committed, before that is in force": [
            _say(0, "spec.version", "k", version=1, state="committed", **_MAY),
            _say(1, "spec.version", "a", version=1, state="held", until=900),
            _say(9, "spec.version", "k", version=2, state="committed", **_HOME),
            _say(20, "abroad.sent", "a", post="1", txn="1", scheme="render", origin="north", to="west", version=1,
                 **{"from": "north"})],
        "in force while one holds an older version whose lease has ended": [
            _say(0, "spec.version", "k", version=1, state="committed", **_MAY),
            _say(1, "spec.version", "a", version=1, state="held", until=500),
            _say(2, "spec.version", "b", version=1, state="held", until=900),
            _say(9, "spec.version", "k", version=2, state="committed", **_HOME),
            _say(20, "spec.version", "b", version=2, state="held", until=2000),
            _say(600, "spec.version", "k", version=2, state="force")],
        "a once-only job that crosses again once it was declined": [
            _say(0, "spec.version", "k", version=1, state="committed", **_MAY),
            _say(9, "abroad.sent", "a", post="1", txn="1", scheme="sign", kind="once-only", origin="north", to="west",
                 version=1, **{"from": "north"}),
            _say(20, "abroad.ended", "a", post="1", txn="1", outcome="declined"),
            _say(21, "abroad.sent", "a", post="2", txn="1", scheme="sign", kind="once-only", origin="north", to="west",
                 version=1, **{"from": "north"})],
        "a region forbidden by a version and allowed by the next": [
            _say(0, "spec.version", "k", version=1, state="committed", **_HOME),
            _say(5, "spec.version", "k", version=1, state="force"),
            _say(9, "spec.version", "k", version=2, state="committed", **_MAY),
            _say(20, "abroad.sent", "a", post="1", txn="1", scheme="render", origin="north", to="west", version=2,
                 **{"from": "north"})],
    },
    "txns": {
        "once-only again after a decline, and it ran once": [
            _say(0, "txn.taken", "a", txn="1", scheme="pay", kind="once-only", expiry=900),
            _say(1, "post.sent", "a", post="1/1", txn="1", worker="w1", kind="once-only"),
            _say(9, "post.ended", "a", post="1/1", txn="1", outcome="declined"),
            _say(10, "post.sent", "a", post="1/2", txn="1", worker="w2", kind="once-only"),
            _say(20, "post.ran", "w2", post="1/2", txn="1", kind="once-only"),
            _say(30, "post.ended", "a", post="1/2", txn="1", outcome="settled"),
            _say(31, "txn.answer", "a", txn="1", outcome="settled"),
            _say(40, "client.got", "c", txn="1", outcome="none")],
        "it ran, and its client was told that it failed": [
            _say(0, "txn.taken", "a", txn="1", scheme="pay", kind="once-only", expiry=900),
            _say(1, "post.sent", "a", post="1/1", txn="1", worker="w1", kind="once-only"),
            _say(9, "post.ran", "w1", post="1/1", txn="1", kind="once-only"),
            _say(20, "post.ended", "a", post="1/1", txn="1", outcome="unknown"),
            _say(21, "txn.answer", "a", txn="1", outcome="failed"), _say(30, "client.got", "c", txn="1", outcome="failed")],
        "no answer from one that was killed, and a late one from one that was stopped": [
            _say(0, "txn.taken", "a", txn="1", scheme="look", kind="repeatable", expiry=900),
            _say(0, "txn.taken", "b", txn="2", scheme="look", kind="repeatable", expiry=900),
            _say(100, "member.ended", "a", why="killed"),
            _say(2000, "txn.answer", "b", txn="2", outcome="failed"),
            _say(2001, "member.stood", "b", **{"from": 200, "until": 1990})],
        "a repeatable job that ran three times": [
            _say(0, "txn.taken", "a", txn="1", scheme="look", kind="repeatable", expiry=900),
            _say(1, "post.sent", "a", post="1/1", txn="1", worker="w1", kind="repeatable"),
            _say(2, "post.sent", "a", post="1/2", txn="1", worker="w2", kind="repeatable"),
            _say(5, "post.ran", "w1", post="1/1", txn="1", kind="repeatable"),
            _say(6, "post.ran", "w2", post="1/2", txn="1", kind="repeatable"),
            _say(7, "post.ran", "w2", post="1/2", txn="1", kind="repeatable"),
            _say(900, "txn.answer", "a", txn="1", outcome="settled")],
    },
}
