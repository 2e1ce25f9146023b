"""Writes placement.json beside it: what placement wrote at commit f469a1f, before its names changed.

Run in a checkout of that commit: python write_placement.py CHECKOUT. The scenario below is also what
tests/test_golden_placement.py replays, with changes by the names under which audit events store them.
"""

import json
import sqlite3
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

INVENTORY = Path(__file__).with_name("placement-inventory.toml")
DATA = Path(__file__).with_name("placement.json")


def run_command(root, *words):
    """One command of the program: its end code and output, with the directory's name taken out."""
    done = subprocess.run(
        [sys.executable, "-m", "pathsaddle.placement", *map(str, words)],
        cwd=root,
        timeout=120,
        check=False,
        capture_output=True,
        text=True,
    )
    return done.returncode, done.stdout, done.stderr


def stored(path):
    """Every row of a ledger, without the moments of its audit events."""
    base = sqlite3.connect(path)
    try:
        rows = {
            table: [
                [value.decode() if isinstance(value, bytes) else value for value in row]
                for row in base.execute(query)
            ]
            for table, query in (
                ("schema", "SELECT name, sql FROM sqlite_master ORDER BY name"),
                ("meta", "SELECT key, value FROM meta ORDER BY key"),
                ("parts", "SELECT name, value FROM parts ORDER BY name"),
                ("units", "SELECT name, place, value FROM units ORDER BY place"),
                ("story", "SELECT row, what, more FROM story ORDER BY row"),
            )
        }
    finally:
        base.close()
    return rows


def scenario(read, apply, model):
    """Every change, made and refused, on a ledger that has planner 1 and its plan.

    Args:
        read: returns (inventory, plan).
        apply: makes a change, by name and arguments; returns None or the reason of a refusal.
        model: has Unit, Demand, Target, State and `replace`.
    """
    answers = []

    def change(name, *arguments):
        answers.append([name, apply(name, *arguments)])

    def plan_step(name, at):
        inventory, plan = read()
        change(name, 1, inventory.base, plan.name, at)

    plan = read()[1]
    placed = [at for at, step in enumerate(plan.steps) if step.does == "place"]
    withdrawn = [at for at, step in enumerate(plan.steps) if step.does == "withdraw"]
    first, second, third = (plan.steps[at] for at in placed[:3])
    for at in placed[:3]:
        plan_step("reserve", at)
    plan_step("reserve", placed[0])
    plan_step("withdraw", placed[0])
    change("renew", 1)
    for step in (first, second, third):
        change("put", step.unit, step.bay)
        change("cold", 1, step.unit)
    change("warmed", first.unit)
    change("warmed", second.unit)
    change("warmed", second.unit)
    for at in withdrawn:
        plan_step("withdraw", at)
    change("take", 1)
    plan_step("reserve", placed[3])
    change("take", 2)
    plan_step("reserve", placed[4])
    change("lapse", 2, plan.steps[placed[3]].unit, 0)
    change("lapse", 2, "nobody", 0)
    change("dead", first.unit)
    change("pulled", first.unit)
    change("put", "stranger", "c/3")
    change("put", second.unit, "c/2")
    change("cleared", "c/3")
    change("cleared", "c/3")
    change(
        "came", model.Unit("late", "gpu", model.State.HERE), model.Unit("new", "deep", model.State.ORDERED)
    )
    island = read()[0].islands[0]
    change("island", model.replace(island, up=False))
    change("island", model.replace(island, power=9000))
    change("asked", (model.Demand("gpu", 8, 9, 90),), (model.Target("gpu", 8),))
    return answers


def move_scenario(read, apply, model):
    """A unit that serves is withdrawn, pulled, and reserved again elsewhere."""
    answers = []
    inventory, plan = read()
    for at, step in enumerate(plan.steps[:3]):
        name = "reserve" if step.does == "place" else "withdraw"
        answers.append([name, apply(name, 1, inventory.base, plan.name, at)])
        answers.append(["pulled", apply("pulled", step.unit)])
    return answers


def write_move_inventory(path):
    """The inventory with nothing but what serves on one island."""
    before, _, after = INVENTORY.read_text().partition('[[units]]\nname = "n"')
    fourth = '[[units]]\nname = "s4"\nkind = "gpu"\nstate = "serving"\nbay = "a/4"\n'
    demand = after[after.index("[[demand]]") :].replace('kind = "deep"', 'kind = "gpu"')
    path.write_text(before + fourth + demand)


def commands(root, directory):
    """The program's commands on one ledger, as an operator would give them."""
    ledger = directory / "commands.db"
    rows = [
        [" ".join(words), *run_command(root, *real)]
        for words, real in (
            (("plan", "--json"), (INVENTORY, "--json")),
            (("plan",), ("plan", INVENTORY)),
            (("plan", "--ledger"), (INVENTORY, "--json", "--ledger", ledger)),
            *(
                (("tell", *words), ("tell", ledger, *words))
                for words in (
                    ("put", "n-1", "b/1"),
                    ("dead", "n-2"),
                    ("here", "late", "gpu"),
                    ("ordered", "x", "deep"),
                    ("put", "who", "c/1"),
                    ("cleared", "c/1"),
                    ("lost", "c"),
                    ("back", "c"),
                    ("warmed", "n-1"),
                    ("pulled", "n-1"),
                    ("dead", "nobody"),
                    ("put", "n-1"),
                    ("island", "a"),
                )
            ),
            (("tell", "inventory"), ("tell", ledger, "inventory", INVENTORY)),
            (("walk", "--number", "1"), ("walk", ledger, "--number", "1")),
            (("history",), ("history", ledger)),
            (("history", "none"), ("history", directory / "none.db")),
        )
    ]
    for row in rows:
        if row[0].startswith(("history", "walk")):
            row[2] = [json.loads(line) | {"at": 0} for line in row[2].splitlines()]
        row[3] = row[3].replace(str(directory), "DIRECTORY")
    return rows, stored(ledger)


def main(root):
    sys.path.insert(0, root)
    from dataclasses import replace
    from types import SimpleNamespace

    from pathsaddle.placement import __main__ as program
    from pathsaddle.placement.faults import Refused
    from pathsaddle.placement.inventory import Demand, State, Target, Unit
    from pathsaddle.placement.ledger import File

    with TemporaryDirectory() as name:
        directory = Path(name)
        rows, after = commands(root, directory)
        model = SimpleNamespace(Unit=Unit, Demand=Demand, Target=Target, State=State, replace=replace)
        data = {"commit": "f469a1f", "commands": rows, "ledger": after}
        write_move_inventory(directory / "move.toml")
        for key, source, play in (
            ("scenario", INVENTORY, scenario),
            ("move", directory / "move.toml", move_scenario),
        ):
            ledger = directory / f"{key}.db"
            run_command(root, source, "--ledger", ledger)
            kept = File(ledger, program.ticks)

            def read(kept=kept):
                book = kept.read()
                return book.inventory, book.plan

            def apply(does, *words, kept=kept):
                try:
                    kept.do(does, *words)
                except Refused as why:
                    return str(why)
                return None

            data[key] = {"answers": play(read, apply, model)}
            kept.close()
            data[key] |= stored(ledger)
    DATA.write_text(json.dumps(data, indent=0, sort_keys=True) + "\n")


if __name__ == "__main__":
    main(sys.argv[1])
