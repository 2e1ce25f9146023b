"""Shares of a budget on lease: the bound at every instant, in every order of events to a stated depth."""

import unittest
from dataclasses import replace
from random import Random
from unittest import mock

from pathsaddle.fleet.quota import model_checker
from pathsaddle.fleet.quota.leases import Lease, QuotaLedger, new_ledger

LEASE = 10_000


class SharesStory(unittest.TestCase):
    def two(self):
        return new_ledger("a", 1, 10, LEASE, -9 * LEASE), new_ledger("b", 1, 10, LEASE, -9 * LEASE)

    def test_what_is_lent_is_out_of_its_owners_use_before_it_is_in_the_takers(self):
        a, b = self.two()
        b, want = b.want(4, 0)
        a, lend = a.asked_by(want, 9, 5)
        self.assertEqual((a.usable(5), b.usable(5)), (6, 10))
        b = b.lent_by(lend, 10)
        self.assertEqual((a.usable(10), b.usable(10)), (6, 14))

    def test_who_hears_nothing_falls_back_to_its_part_one_lease_later_and_lends_no_more_than_half(self):
        a, b = self.two()
        b, want = b.want(40, 0)
        a, lend = a.asked_by(want, 10, 0)
        self.assertEqual(lend.units, 5)
        b = b.lent_by(lend, 0)
        self.assertEqual((a.usable(LEASE), b.usable(LEASE)), (5, 10))
        self.assertEqual(a.usable(LEASE + LEASE // 20), 10)

    def test_the_same_loan_twice_an_hour_late_and_after_restarts_of_both_is_credited_once_or_never(self):
        a, b = self.two()
        b, want = b.want(4, 0)
        a, lend = a.asked_by(want, 9, 0)
        once = b.lent_by(lend, 100)
        self.assertEqual(once.lent_by(lend, 200), once)
        self.assertEqual(a.asked_by(want, 9, 100)[1], None)
        hour = 3600 * 10_000
        self.assertEqual(b.lent_by(lend, hour).usable(hour), 10)
        again = new_ledger("b", 2, 10, LEASE, 300)
        self.assertEqual(again.lent_by(lend, 300).usable(300 + 2 * LEASE), 10)
        self.assertEqual(again.lent_by(lend, 300).held, ())

    def test_an_owner_that_begins_anew_does_not_use_what_its_old_life_may_have_lent(self):
        a = new_ledger("a", 2, 10, LEASE, 0)
        self.assertEqual((a.usable(1), a.usable(2 * LEASE)), (5, 10))
        self.assertIsNone(a.asked_by(self.two()[1].want(4, 0)[1], 9, 1)[1])

    def test_a_taker_that_stood_still_for_longer_than_the_lease_has_nothing_of_it_when_it_goes_on(self):
        a, b = self.two()
        b, want = b.want(4, 0)
        a, lend = a.asked_by(want, 9, 0)
        b = b.lent_by(lend, 10)
        self.assertEqual(b.usable(5 * LEASE), 10)

    def test_a_loan_that_goes_on_stands_at_its_taker_once_and_what_is_given_back_rests_first(self):
        a, b = self.two()
        a = replace(a, guard=1000)
        b, want = b.want(4, 0)
        a, lend = a.asked_by(want, 9, 0)
        b = b.lent_by(lend, 0)
        b, again = b.want(4, 6000, renews=want.number)
        a, more = a.asked_by(again, 0, 6000)
        self.assertEqual((a.usable(6001), more.units), (6, 4))
        b = b.lent_by(more, 6001).lent_by(lend, 6002).lent_by(more, 6003)
        self.assertEqual((b.usable(6003), b.usable(LEASE + 5000)), (14, 14))
        b, back = b.returns(more.number, 7000)
        a = a.returned(back, 7001)
        self.assertEqual((b.usable(7001), a.usable(7001), a.usable(8100)), (10, 6, 10))

    def test_an_owner_that_lacks_units_lets_only_the_rest_of_a_loan_go_on(self):
        a, b = self.two()
        b, want = b.want(4, 0)
        a, lend = a.asked_by(want, 9, 0)
        b, again = b.lent_by(lend, 0).want(4, 6000, renews=want.number)
        a, more = a.asked_by(again, -3, 6000)
        self.assertEqual(more.units, 1)
        self.assertEqual((a.usable(6001), a.usable(11_000)), (6, 9))

    def test_two_hundred_members_of_a_budget_of_ten_never_use_more_under_loss_restarts_and_drift(self):
        chance = Random(3)
        names = [f"m{i}" for i in range(200)]
        members = {name: new_ledger(name, 1, int(i < 10), LEASE, -9 * LEASE) for i, name in enumerate(names)}
        members["m0"] = replace(members["m0"], part=3)  # one with something to lend
        budget = sum(m.part for m in members.values())
        rates = {name: 1 + 0.02 * (chance.random() - 0.5) for name in names}
        now, air, most = 0, [], 0
        for _ in range(6000):
            now += chance.randrange(200)
            name = chance.choice(names)
            mine = int(now * rates[name])
            what = chance.random()
            if what < 0.4:
                members[name], want = members[name].want(2, mine)
                air.append(want)
            elif what < 0.45:
                members[name] = new_ledger(name, members[name].life + 1, members[name].part, LEASE, mine)
            elif air:
                message = chance.choice(air[-400:])
                if hasattr(message, "owner"):
                    name = message.taker
                    members[name] = members[name].lent_by(message, int(now * rates[name]))
                else:
                    name = chance.choice(("m0", name))
                    members[name], lend = members[name].asked_by(message, 9, int(now * rates[name]))
                    air += [lend] * 20 if lend is not None else []
            used = sum(m.usable(int(now * rates[n])) for n, m in members.items())
            most = max(most, used)
            self.assertLessEqual(used, budget)
        self.assertTrue(any(hasattr(message, "owner") for message in air))


class EveryOrderStory(unittest.TestCase):
    """Three members with two units each: asked, lent, taken, doubled, late, clocks 1% slow, begun anew."""

    def test_the_bound_holds_in_every_world_within_six_steps(self):
        count = model_checker.check(6)
        print(f"shares: {count} worlds to depth 6", flush=True)
        self.assertGreater(count, 100_000)

    def test_no_second_holds_more_uses_than_the_budget_in_every_world_within_seven_steps(self):
        """With loans that go on and loans given back. To depth 9,
        2.9 million worlds of (2, 0) and 5.7 of (1, 1), by hand.
        """
        count = model_checker.check(7, parts=(2, 0), uses=True)
        print(f"uses: {count} worlds to depth 7", flush=True)
        self.assertGreater(count, 100_000)
        with (
            mock.patch.object(model_checker, "WINDOW", 0),
            self.assertRaises(model_checker.InvariantViolationError),
        ):
            model_checker.check(4, parts=(1, 1), uses=True)

    def test_what_breaks_the_bound_is_found(self):
        """A lease counted from its arrival, a loan credited twice,
        one that the owner's new life has forgotten.
        """
        lent_by, surely = QuotaLedger.lent_by, QuotaLedger._surely

        def by_arrival(self, lend, now):
            after = lent_by(self, lend, now)
            return replace(
                after,
                held=tuple(
                    (*row[:3], Lease(row[3].units, now + self.lease)) if row not in self.held else row
                    for row in after.held
                ),
            )

        def twice(self, lend, now):
            after = lent_by(self, lend, now)
            return after if after != self else replace(self, held=(*self.held, *self.held)[:4])

        def forgets(self, now):
            return self.part - sum(loan.units for loan in self.lent if now < loan.until)

        def any_life(self, lend, now):
            return lent_by(self, replace(lend, taker_life=self.life), now)

        depths = {"by arrival": 8, "life ignored": 9}
        for name, patch in {
            "life ignored": mock.patch.object(QuotaLedger, "lent_by", any_life),
            "by arrival": mock.patch.object(QuotaLedger, "lent_by", by_arrival),
            "twice": mock.patch.object(QuotaLedger, "lent_by", twice),
            "forgets": mock.patch.object(QuotaLedger, "own", forgets),
            "owner's short": mock.patch.object(QuotaLedger, "_surely", lambda self: surely(self) // 2),
        }.items():
            with self.subTest(name), patch, self.assertRaises(model_checker.InvariantViolationError):
                model_checker.check(depths.get(name, 6), parts=(2, 0))


if __name__ == "__main__":
    unittest.main()
