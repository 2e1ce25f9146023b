"""What placement writes, against what it wrote at commit f469a1f: ledgers, audit events, output of commands."""

import importlib.util
import json
import sqlite3
import unittest
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory
from types import SimpleNamespace

from pathsaddle.placement import changes
from pathsaddle.placement.clocks import wall_clock_ticks
from pathsaddle.placement.errors import PlanRejectedError
from pathsaddle.placement.inventory import Demand, Target, Unit, UnitState
from pathsaddle.placement.ledger_file import LedgerFile
from pathsaddle.placement.placement_state import StepTicket

ROOT = Path(__file__).resolve().parent.parent
SCRIPT = ROOT / "tests/data/write_placement.py"
MODEL = SimpleNamespace(Unit=Unit, Demand=Demand, Target=Target, State=UnitState, replace=replace)

# The changes by the names under which audit events store them.
CHANGES = {
    "take": changes.BeginPlanner,
    "reserve": lambda *ticket: changes.ReserveBay(StepTicket(*ticket)),
    "withdraw": lambda *ticket: changes.WithdrawUnit(StepTicket(*ticket)),
    "renew": changes.RenewReservations,
    "lapse": changes.EndReservation,
    "cold": changes.StartWarmUp,
    "came": lambda *units: changes.AddUnits(units),
    "put": changes.ReportUnitFound,
    "warmed": changes.ReportUnitWarm,
    "dead": changes.ReportUnitDead,
    "pulled": changes.ReportUnitPulled,
    "cleared": changes.ReportBayCleared,
    "island": changes.ChangeIsland,
    "asked": changes.ChangeDemand,
}


def load_script():
    spec = importlib.util.spec_from_file_location("write_placement", SCRIPT)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class GoldenPlacement(unittest.TestCase):
    maxDiff = 4000

    @classmethod
    def setUpClass(cls):
        cls.script = load_script()
        cls.golden = json.loads(cls.script.DATA.read_text())

    def setUp(self):
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def as_json(self, value):
        """The value as it comes back from the golden file: tuples as lists."""
        return json.loads(json.dumps(value))

    def replay(self, key, source, play):
        path = self.directory / f"{key}.db"
        self.assertEqual(0, self.script.run_command(ROOT, source, "--ledger", path)[0])
        ledger = LedgerFile(path, wall_clock_ticks)
        self.addCleanup(ledger.close)

        def read():
            state = ledger.read()
            return state.inventory, state.plan

        def apply(name, *arguments):
            try:
                ledger.apply(CHANGES[name](*arguments))
            except PlanRejectedError as why:
                return str(why)
            return None

        answers = play(read, apply, MODEL)
        self.assertEqual(self.golden[key], self.as_json({"answers": answers, **self.script.stored(path)}))

    def test_every_change_made_or_refused_leaves_the_same_rows_and_audit_events(self):
        self.replay("scenario", self.script.INVENTORY, self.script.scenario)

    def test_a_unit_that_moves_leaves_the_same_rows_and_audit_events(self):
        source = self.directory / "move.toml"
        self.script.write_move_inventory(source)
        self.replay("move", source, self.script.move_scenario)

    def test_each_command_prints_and_stores_the_same(self):
        rows, ledger = self.script.commands(ROOT, self.directory)
        for before, now in zip(self.golden["commands"], self.as_json(rows), strict=True):
            self.assertEqual(before, now)
        self.assertEqual(self.golden["ledger"], self.as_json(ledger))

    def test_a_ledger_of_that_commit_is_read_to_the_same_values(self):
        path = self.directory / "old.db"
        base = sqlite3.connect(path)
        for _, sql in self.golden["scenario"]["schema"]:
            if sql:
                base.execute(sql)
        for table in ("meta", "parts", "units"):
            for row in self.golden["scenario"][table]:
                marks = ", ".join("?" * len(row))
                base.execute(f"INSERT INTO {table} VALUES ({marks})", row)
        base.commit()
        base.close()
        ledger = LedgerFile(path, wall_clock_ticks)
        self.addCleanup(ledger.close)
        state = ledger.read()
        for unit, (name, _, value) in zip(
            state.inventory.units, self.golden["scenario"]["units"], strict=True
        ):
            self.assertEqual((name, json.loads(value)["state"]), (unit.name, unit.state))
        parts = {name: json.loads(value) for name, value in self.golden["scenario"]["parts"]}
        self.assertEqual(parts["plan"]["name"], state.plan.name)
        self.assertEqual(len(parts["plan"]["steps"]), len(state.plan.steps))
        self.assertEqual(dict(self.golden["scenario"]["meta"])["revision"], state.inventory.revision)


if __name__ == "__main__":
    unittest.main()
