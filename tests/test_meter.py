"""Tests of the meter that counts what emulated members send while another thread reads it."""

import sys
import threading
import unittest

from pathsaddle.emulator.ground.air import BINS, Meter

ADDED_BINS = 20_000


class MeterTests(unittest.TestCase):
    def test_a_reader_gets_a_consistent_copy_while_another_thread_adds(self):
        """Guards against reading the bins in place: a bin that the relays' thread adds meanwhile ended the test's
        read with "dictionary changed size during iteration".
        """
        meter, started = Meter(), threading.Event()
        interval = sys.getswitchinterval()
        self.addCleanup(sys.setswitchinterval, interval)
        sys.setswitchinterval(1e-6)

        def add():
            started.set()
            for number in range(ADDED_BINS):
                meter.add(number / BINS, 7)

        writer = threading.Thread(target=add)
        writer.start()
        self.addCleanup(writer.join)
        started.wait()
        reads = 0
        while writer.is_alive():
            self.assertLessEqual(meter.most(1), BINS)
            self.assertLessEqual(meter.most(0), 7 * BINS)
            reads += 1
        writer.join()
        self.assertGreater(reads, 0)
        self.assertEqual((meter.datagrams, meter.bytes), (ADDED_BINS, 7 * ADDED_BINS))
        self.assertEqual((meter.most(0), meter.most(1)), (7 * BINS, BINS))


if __name__ == "__main__":
    unittest.main()
