"""Planners as real processes over one ledger: stopped between look and reservation, killed at each step, shut
out.

The hands are this test: they obey each order that a process prints. Whatever happens here, all of them are
ended.
"""

import os
import signal
import sqlite3
import subprocess
import sys
import tempfile
import threading
import unittest
from pathlib import Path
from queue import Empty, Queue

import msgspec

from pathsaddle.emulator.placement.judge import judged
from pathsaddle.event_log import Event
from pathsaddle.placement.changes import ReportUnitFound, ReportUnitPulled, ReportUnitWarm
from pathsaddle.placement.clocks import wall_clock_ticks
from pathsaddle.placement.invariants import find_violations
from pathsaddle.placement.inventory import Demand, Inventory, Island, Kind, Target, Unit, UnitState
from pathsaddle.placement.ledger_file import create_ledger

ROOT = Path(__file__).resolve().parent.parent


def inventory(islands, bays, serving, here):
    """So many units serve on the first island, so many are here."""
    rows = tuple(
        Island(f"i{n}", "z", tuple(f"i{n}/{bay}" for bay in range(bays)), 10**6, 10**6, 10**6)
        for n in range(islands)
    )
    units = tuple(Unit(f"s{n}", "gpu", UnitState.SERVING, f"i0/{n}") for n in range(serving))
    return Inventory(
        (Kind("gpu", 8, 1000, 2, 10),),
        rows,
        units + tuple(Unit(f"n{n}", "gpu", UnitState.HERE) for n in range(here)),
        (Demand("gpu", 8, 2, 6),),
        (Target("gpu", 24),),
    )


class Planner:
    """One process; its lines come as they are printed."""

    def __init__(self, ledger, name, lease, *options):
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "pathsaddle.placement",
                "walk",
                str(ledger),
                "--name",
                name,
                "--lease",
                str(lease),
                *options,
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            start_new_session=True,
        )
        self.lines = Queue()
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        for line in self.process.stdout:
            self.lines.put(msgspec.json.decode(line, type=Event))
        self.lines.put(None)

    def next(self):
        try:
            event = self.lines.get(timeout=60)
        except Empty:
            raise AssertionError("nothing came for a minute") from None
        if event is None:
            raise AssertionError(f"it ended: {self.process.stderr.read().decode()}")
        return event

    def until(self, what, does=None, hands=None):
        while True:
            event = self.next()
            if hands is not None:
                hands.obey(event)
            if event.what == what and does in (None, event.more.get("does")):
                return event

    def sent(self, which):
        os.kill(self.process.pid, which)

    def end(self):
        if self.process.poll() is None:
            os.killpg(self.process.pid, signal.SIGKILL)
        self.process.wait()
        self.process.stdout.close()
        self.process.stderr.close()


class Hands:
    def __init__(self, ledger):
        self.ledger = ledger

    def obey(self, event):
        if event.what == "order":
            unit, bay = event.more["unit"], event.more["bay"]
            reports = {
                "install": ReportUnitFound(unit, bay),
                "warm": ReportUnitWarm(unit),
                "pull": ReportUnitPulled(unit),
            }
            self.ledger.apply(reports[event.more["does"]])


class Processes(unittest.TestCase):
    def create_ledger(self, *shape):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, "placement.db")
        ledger = create_ledger(self.path, inventory(*shape), wall_clock_ticks)
        self.addCleanup(ledger.close)
        return ledger

    def planner(self, name, lease=1.0, *options):
        planner = Planner(self.path, name, lease, *options)
        self.addCleanup(planner.end)
        return planner

    def stopped(self, planner):
        """Stands still, outside a commit: inside one it bars the ledger for all, which is safe and lets
        nobody on.
        """
        other = sqlite3.connect(self.path, isolation_level=None, timeout=0.5)
        self.addCleanup(other.close)
        for _ in range(50):
            planner.sent(signal.SIGSTOP)
            try:
                other.execute("BEGIN IMMEDIATE")
                other.execute("ROLLBACK")
                return
            except sqlite3.OperationalError:
                planner.sent(signal.SIGCONT)
                planner.next()
        raise AssertionError("fifty times inside a commit")

    def ended_well(self, ledger, serve):
        found = ledger.read().inventory
        self.assertEqual(serve, sum(unit.state is UnitState.SERVING for unit in found.units))
        self.assertEqual([], find_violations(found))
        self.assertEqual([], judged(Event(at, what, more) for at, what, more in ledger.audit_events()))

    def walked(self, planner, hands):
        """To its end: nothing is left to do."""
        while True:
            event = planner.lines.get(timeout=60)
            if event is None:
                break
            hands.obey(event)
        self.assertEqual(0, planner.process.wait(60))

    def test_three_planners_two_stopped_between_look_and_reservation_and_refused_when_they_wake(self):
        ledger = self.create_ledger(60, 6, 4, 60)
        hands = Hands(ledger)
        first = self.planner("first")
        first.until("plan.began")
        first.sent(signal.SIGSTOP)  # it has looked, and reserved nothing
        self.assertFalse([unit for unit in ledger.read().inventory.units if unit.state is UnitState.RESERVED])
        second = self.planner("second")
        second.until("did", "reserve")
        self.stopped(second)  # amid its reservations
        third = self.planner("third", 1.0, "--once")
        third.until("did", "lapse", hands)  # the second's lease surely ended
        for late in (first, second):
            late.sent(signal.SIGCONT)
            self.assertEqual("number", late.until("planner.ended").more["why"])
            self.assertEqual(1, late.process.wait(60))
        self.walked(third, hands)
        self.ended_well(ledger, 64)
        refused = [
            more for _, what, more in ledger.audit_events() if what == "refused" and more["why"] == "number"
        ]
        self.assertTrue(refused)

    def test_kill_9_at_each_step_of_a_rollout(self):
        # Eight serve on one island: half of them must move, one at a time,
        # so that the rollout has steps of all kinds.
        ledger = self.create_ledger(2, 9, 8, 1)
        hands = Hands(ledger)
        for lines in range(1, 14):
            planner = self.planner(f"p{lines}", 0.2)
            for _ in range(lines):
                event = planner.next()
                hands.obey(event)
                if event.what == "did" and event.more["does"] != "plan" and lines > 3:
                    break
            planner.end()
        self.walked(self.planner("last", 0.2, "--once"), hands)
        self.ended_well(ledger, 9)

    def test_shut_out_of_the_ledger_it_goes_on_with_what_is_reserved_and_reserves_nothing_new(self):
        ledger = self.create_ledger(3, 9, 0, 20)
        hands = Hands(ledger)
        planner = self.planner("alone", 6.0, "--once")
        planner.until("did", "reserve")
        other = sqlite3.connect(self.path, isolation_level=None, timeout=10)
        self.addCleanup(other.close)
        other.execute("BEGIN IMMEDIATE")
        before = ledger.read().inventory
        reserved = [unit.name for unit in before.units if unit.state is UnitState.RESERVED]
        events = []
        while sum(event.what == "unheard" for event in events) < 2:
            events.append(planner.next())
        self.assertIn("open for writing", events[-1].more["do"])
        self.assertEqual(before, ledger.read().inventory)
        installs = [event.more["unit"] for event in events if event.what == "order"]
        self.assertTrue(installs)
        self.assertLessEqual(set(installs), set(reserved))
        other.execute("ROLLBACK")
        for event in events:
            hands.obey(event)
        self.walked(planner, hands)
        self.ended_well(ledger, 20)


if __name__ == "__main__":
    unittest.main()
