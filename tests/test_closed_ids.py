"""Ids of closed txns: none is forgotten while a repeat may come, whatever the rate, in bounded memory."""

import unittest

from pathsaddle.net.memory.closed_ids import ClosedIds
from pathsaddle.scheduler_types import SECOND

KEPT = 10 * SECOND


class ClosedIdsTest(unittest.TestCase):
    def fill(self, ids: ClosedIds, now: int, name: str = "id") -> int:
        """Remember ids at this moment while there is room; return how many."""
        count = 0
        while ids.has_room(0, now):
            ids.add(f"{name}-{count}", now + KEPT, now)
            count += 1
        return count

    def test_none_that_is_needed_is_forgotten_and_the_memory_is_bounded(self) -> None:
        ids = ClosedIds(max_bytes=1 << 18)
        count = self.fill(ids, now=0)
        self.assertGreater(count, 10_000)
        self.assertLessEqual(ids.size_bytes, ids.max_bytes)
        self.assertTrue(all(f"id-{number}" in ids for number in range(count)))
        self.assertFalse(ids.has_room(0, now=KEPT - 1))
        self.assertTrue(ids.has_room(0, now=KEPT))

    def test_ids_of_txns_that_are_open_find_room_when_they_close(self) -> None:
        ids = ClosedIds(max_bytes=1 << 18)
        open_count = 500
        closed_count = 0
        while ids.has_room(open_count, now=0):
            ids.add(f"id-{closed_count}", KEPT, now=0)
            closed_count += 1
        self.assertTrue(ids.has_room(open_count // 2, now=0))
        for number in range(2 * open_count):  # more than were counted: none is refused, and none forgotten
            ids.add(f"late-{number}", KEPT, now=0)
        self.assertTrue(all(f"late-{number}" in ids for number in range(2 * open_count)))

    def test_at_a_steady_rate_memory_stays_and_the_last_ids_are_known(self) -> None:
        ids = ClosedIds(max_bytes=1 << 18)
        for number in range(60_000):
            now = number * SECOND // 1000  # a thousand a second
            self.assertTrue(ids.has_room(100, now))
            ids.add(str(number), now + KEPT, now)
        self.assertLessEqual(ids.size_bytes, ids.max_bytes)
        self.assertTrue(all(str(number) in ids for number in range(50_000, 60_000)))
        self.assertNotIn("0", ids)
        self.assertNotIn("another", ids)


if __name__ == "__main__":
    unittest.main()
