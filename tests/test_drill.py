"""Tests of the bench's wire."""

import io
import json
import unittest

from pathsaddle.drill.codec import MalformedLineError
from pathsaddle.drill.stand import BenchServer

SETTINGS = json.dumps(
    {
        "Balancers": 1,
        "Discovery": "automatic",
        "SomethingNew": {"x": 1},
        "Period": 2000000,
        "Limits": {"MaxPostings": 4, "MayDuplicate": True, "Cancelling": True},
        "Obligations": {
            "DrainGrace": 500000000,
            "ColdShare": 0.3,
            "RampTime": 9000000000,
            "Fall": 2000000000,
            "FallMultiple": 4.0,
        },
        "Report": {"Fields": ["x0", "waiting", "active"], "Source": "answers"},
        "Schemes": [{"Expiry": 10000000000, "SlaTime": 400000000, "Semantics": "safe", "Value": 1.0}],
    }
)
BORN = f"BORN 3 7 {SETTINGS}\nBACKENDS_CHANGED 3 C 1 1\nROW 1 - 0 0 0 Ready 10.0.0.1:5000\n"
ASK = "ASK 3 r-a 0 - - 10000000000 - - - -\n"


def run_batches(*batches: str) -> str:
    sink = io.StringIO()
    text = "".join(f"MARK {(n + 1) * 10**9}\n{batch}GO\n" for n, batch in enumerate(batches))
    BenchServer(io.StringIO(text), sink).run()
    return sink.getvalue()


class WireTest(unittest.TestCase):
    def test_a_txn_is_posted_and_its_outcome_is_accepted(self) -> None:
        reply = run_batches(BORN, ASK, "SETTLED 3 r-a 5000000 1 10.0.0.1:5000 - 0 1 1,0,1\nHANGUP 3 r-a\n")
        self.assertIn("HAND_OFF 3 r-a 10000000000 10.0.0.1:5000", reply)
        self.assertEqual(reply.count("END"), 3)

    def test_an_instance_restarted_within_a_batch_forgets_its_txns(self) -> None:
        reply = run_batches(BORN, ASK + "EXIT 3\n" + BORN, ASK.replace("r-a", "r-b"))
        self.assertNotIn("r-a", reply)
        self.assertIn("HAND_OFF 3 r-b", reply)

    def test_a_malformed_line_is_quoted_in_the_error(self) -> None:
        for line in ("WHAT 3 x\n", "ASK 3 r-a zero - - 1 - - -\n", "ASK 9 r-a 0 - - 1 - - -\n", "ASK 3\n"):
            with self.assertRaisesRegex(MalformedLineError, line.split()[0]):
                run_batches(BORN, line)

    def test_an_exception_of_the_scheduler_is_reported_with_its_cause(self) -> None:
        server = BenchServer(io.StringIO(f"MARK 1000000000\n{BORN}GO\n"), io.StringIO())
        server.run()
        server.instances["3"].driver.scheduler.workers.clear()
        del server.instances["3"].driver.scheduler.waiting
        server.source = io.StringIO(f"MARK 2000000000\n{ASK}GO\n")
        server.run()
        assert isinstance(server.sink, io.StringIO)
        self.assertRegex(server.sink.getvalue(), "EXCEPTION 3 AttributeError.*waiting")


if __name__ == "__main__":
    unittest.main()
