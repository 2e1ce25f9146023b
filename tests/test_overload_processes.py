"""Real processes that exchange load summaries, with faults of the network and of processes between them."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from pathsaddle.emulator.overload.judge import Judge
from pathsaddle.emulator.overload.processes import Times, play
from pathsaddle.scheduler_types import SECOND


class Processes(unittest.TestCase):
    def test_invariants_hold_with_a_third_partitioned_off_the_most_loaded_stopped_and_half_killed(
        self,
    ) -> None:
        times = Times(cut=(6.0, 11.0), stop=(14.0, 18.0), kill=21.0, end=26.0)
        with tempfile.TemporaryDirectory() as directory:
            events = asyncio.run(play(Path(directory), times, 1))
        checker = Judge()
        checker.read(events)
        self.assertEqual([], checker.found[:3])
        last_levels = {
            event.more["who"]: event.more["level"] for event in events if event.what == "shed.level"
        }
        levels = [last_levels[name] for name in ("d0", "d1", "d2", "d3", "d4")]
        self.assertGreater(min(levels), 2.0)  # twice capacity still, now offered to half of them
        self.assertLess(max(levels) - min(levels), 1.0)
        # The member that was stopped past its lease used nothing of what it held by then, and went on.
        self.assertTrue(
            any(
                event.more["who"] == "d0" and event.at > 19 * SECOND
                for event in events
                if event.what == "shed.in"
            )
        )
        self.assertGreater(checker.figures.repeats, 50)
        # All members want to try a worker again in the same moment of each second: three a second may.
        self.assertGreater(checker.figures.trials, 20)


if __name__ == "__main__":
    unittest.main()
