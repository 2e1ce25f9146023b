"""Real processes of the program's parts that tell each other their load, with what is between them broken."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from pathsaddle.emulator.overload.judge import Judge
from pathsaddle.emulator.overload.processes import Times, play
from pathsaddle.trade import SECOND


class Processes(unittest.TestCase):
    def test_a_third_cut_off_at_twice_capacity_the_most_loaded_stopped_half_killed(self) -> None:
        times = Times(cut=(6.0, 11.0), stop=(14.0, 18.0), kill=21.0, end=26.0)
        with tempfile.TemporaryDirectory() as folder:
            rows = asyncio.run(play(Path(folder), times, 1))
        judge = Judge()
        judge.read(rows)
        self.assertEqual([], judge.found[:3])
        last = {event.more["who"]: event.more["level"] for event in rows if event.what == "shed.level"}
        levels = [last[name] for name in ("d0", "d1", "d2", "d3", "d4")]
        self.assertGreater(min(levels), 2.0)  # twice capacity still, now offered to half of them
        self.assertLess(max(levels) - min(levels), 1.0)
        # Who was stopped past its lease used nothing of what it held by then, and was let go on.
        self.assertTrue(
            any(
                event.more["who"] == "d0" and event.at > 19 * SECOND
                for event in rows
                if event.what == "shed.in"
            )
        )
        self.assertGreater(judge.figures.repeats, 50)
        # All want to try a worker again in the same moment, each second: three a second may.
        self.assertGreater(judge.figures.trials, 20)


if __name__ == "__main__":
    unittest.main()
