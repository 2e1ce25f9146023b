"""Writes consensus.json beside itself: what commit f469a1f sends, stores, answers and does.

Run once, on that commit: `python write_consensus.py`. tests/test_golden_consensus.py holds today's code to it.
"""

import json
import sys
import tempfile
from pathlib import Path
from random import Random
from unittest import mock

from pathsaddle.emulator.ownership.faults import troubled
from pathsaddle.fleet.lives import Lives
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service.ground import Ground as Machine
from pathsaddle.ownership import driver, forms, log
from pathsaddle.ownership.forms import Ballot, Value
from pathsaddle.ownership.voter import Write

KEY = b"sixteen bytes or more"
VOTERS = ("a", "b", "c")
BALLOT, ACCEPTED = Ballot(9, "m", 1 << 60), Ballot(7, "n", 5)
VALUE = Value("m", 1 << 60, 12, 30_000, 4, b"\0digest\xff")
NOW = 10_000_000

MESSAGES = {
    "Prepare": forms.Prepare("key", BALLOT),
    "Promise": forms.Promise("key", BALLOT, ACCEPTED, VALUE),
    "Promise, of nothing": forms.Promise("key", BALLOT, forms.NEVER, forms.NOBODY),
    "Accept": forms.Accept("key", BALLOT, VALUE, 77),
    "Renew": forms.Hold("key", BALLOT, 78),
    "Accepted": forms.Accepted("key", BALLOT, 78),
    "Refused": forms.Refused("key", BALLOT, ACCEPTED, 250, "n", 11),
    "Release": forms.Free("key", BALLOT),
    "LeaseReleased": forms.Open("key"),
    "Read": forms.Read("key", 5),
    "ReadReply": forms.Stands("key", 5, BALLOT, ACCEPTED, VALUE),
    "SyncRequest": forms.Ask(8, "after"),
    "SyncReply": forms.Tell(8, 9, True, "after", "last", [("key", BALLOT, ACCEPTED, VALUE)]),
    "SyncReply, empty": forms.Tell(8, 8, False, "", "", []),
}


def datagrams() -> dict[str, list[str]]:
    said = forms.Said("fleet", forms.group_of(VOTERS), "m", "a", 3, [1, 2, 1 << 50], [])
    written = {
        name: [
            forms.encode(
                forms.Said(*(getattr(said, field) for field in said.__struct_fields__[:-1]), [m]), KEY
            ).hex()
        ]
        for name, m in MESSAGES.items()
    }
    written["all, thrice"] = [data.hex() for data in forms.packed(said, [*MESSAGES.values()] * 3, KEY)]
    return written


def acceptor_log(folder: Path) -> dict[str, str]:
    path = folder / "register.log"
    with mock.patch.object(log, "identity", return_value=(11, 22)):
        log.found(folder, "a", VOTERS)
        opened = log.Log(folder, "a", VOTERS)
        opened.append([Write(voter="a", start=5, whole=True)])
        opened.append([Write("key", (BALLOT, ACCEPTED, VALUE)), Write(voter="b", start=9)])
        opened.append([Write("other", (BALLOT, forms.NEVER, forms.NOBODY)), Write(voter="c", start=2)])
        opened.append([Write("key", (BALLOT, BALLOT, VALUE)), Write(voter="a", start=6, whole=True)])
        opened.close()
        appended = path.read_bytes()
        path.write_bytes(appended[:-1])
        log.Log(folder, "a", VOTERS).close()
        return {"appended": appended.hex(), "rewritten after a torn end": path.read_bytes().hex()}


def control_answers(folder: Path) -> dict[str, object]:
    log.found(folder, "a", ("a",))
    told = driver.Told("a", "fleet", KEY, {"a": "127.0.0.1:9"}, "127.0.0.1:0", folder, 30_000)
    with (
        mock.patch.object(driver, "steady", return_value=NOW),
        mock.patch.object(driver, "life_of", return_value=1234),
    ):
        register = driver.Register(told, Machine(), Random(1), Counters())
        answers: dict[str, object] = {"at start": register.view()}
        register.owner.stand("key", NOW)
        register.voter.wake(NOW)
        register.owner.wake(NOW + 4000)
        while register.owner.out or register.voter.out:
            sent, register.owner.out = register.owner.out, []
            for _, message in sent:
                register.voter.heard("a", message, NOW)
            replies, register.voter.out = register.voter.out, []
            for _, message in replies:
                register.owner.heard("a", register.voter.start, message, NOW + 4000)
        answers["lease holder"] = register.view()
        register.sock.close()
        register.disk.shutdown()
    register.log.close()
    return answers


def incarnation_file(folder: Path) -> dict[str, str]:
    Lives(folder, "a.owner").keep(123456789)
    return {path.name: path.read_text() for path in folder.iterdir()}


def event_digests() -> dict[str, str]:
    """Each seed's whole history: draws, order of events and moments."""
    return {
        f"seed {seed}, {members} members, {voters} voters, {keys} keys": troubled(
            seed, members, 20, 5, voters, keys
        ).events.digest()
        for seed, members, voters, keys in ((1, 5, 3, 1), (2, 5, 3, 2), (3, 5, 5, 1), (4, 12, 3, 3))
    }


def main() -> None:
    with (
        tempfile.TemporaryDirectory() as one,
        tempfile.TemporaryDirectory() as two,
        tempfile.TemporaryDirectory() as three,
    ):
        written = {
            "commit": "f469a1f",
            "datagrams": datagrams(),
            "log": acceptor_log(Path(one)),
            "control answers": control_answers(Path(two)),
            "incarnation file": incarnation_file(Path(three)),
            "event digests": event_digests(),
        }
    Path(__file__).with_name("consensus.json").write_text(json.dumps(written, indent=1) + "\n")


if __name__ == "__main__":
    sys.exit(main())
