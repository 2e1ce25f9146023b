"""Membership's datagrams, file, control answer and emulated runs are those of commit f469a1f, byte by byte."""

import json
import tempfile
import unittest
from pathlib import Path
from random import Random

import msgspec

from pathsaddle.fleet import messages
from pathsaddle.fleet.control_messages import membership_view
from pathsaddle.fleet.incarnation_store import IncarnationStore
from pathsaddle.fleet.membership import Membership, MembershipOptions, next_incarnation
from pathsaddle.fleet.messages import MemberRecord, Message, MessageKind, SeenAge
from tests.data.write_membership import (
    FIELDS,
    KEY,
    KINDS,
    PLAIN_ROW,
    ROW,
    SECOND,
    SEEDS,
    control_answer,
    play,
)

GOLDEN = json.loads((Path(__file__).parent / "data" / "membership.json").read_text(encoding="ascii"))


class Core(Membership):
    """The new core under the names by which the script drives the old one."""

    @property
    def out(self):
        return self.sender.out

    @out.setter
    def out(self, datagrams):
        self.sender.out = datagrams

    @property
    def changes(self):
        return self.table.changes

    @changes.setter
    def changes(self, changes):
        self.table.changes = changes

    @property
    def counts(self):
        return self.counters

    @property
    def silent(self):
        return self.is_silent

    alone = Membership.is_alone


def make(name, incarnation, address, seeds, rng, now, lifeguard):
    options = MembershipOptions(
        "f", KEY, most_bytes=9000, most_datagrams=40, most_dead=3, forget=20 * SECOND, lifeguard=lifeguard
    )
    return Core(MemberRecord(name, incarnation, 0, 0, address, "here"), options, seeds, rng, now)


def message(number, case):
    count, recipient, echo, subject, after, up_to, heard = FIELDS[case]
    record = MemberRecord(*(ROW if case == "full" else PLAIN_ROW))
    records = [MemberRecord(*PLAIN_ROW), record] if case == "full" else []
    seen = [SeenAge(*one) for one in heard]
    return Message("f", record, count, recipient, number, echo, subject, after, up_to, seen, records)


class GoldenMembershipTest(unittest.TestCase):
    def test_each_kind_of_message_is_encoded_and_decoded_as_before(self):
        self.assertEqual(len(GOLDEN["datagrams"]), len(MessageKind) * len(FIELDS))
        for number, kind in enumerate(KINDS):
            for case in FIELDS:
                with self.subTest(kind=kind, case=case):
                    data = bytes.fromhex(GOLDEN["datagrams"][f"{kind} {case}"])
                    self.assertEqual(messages.encode(message(MessageKind(number), case), KEY), data)
                    decoded = messages.decode(data, KEY, "f")
                    self.assertEqual(decoded, message(number, case))
                    self.assertEqual(messages.encode(decoded, KEY), data)

    def test_the_incarnation_file_and_the_numbers_of_incarnations_are_as_before(self):
        with tempfile.TemporaryDirectory() as directory:
            store = IncarnationStore(Path(directory), "a")
            self.assertEqual(store.last(), 0)
            store.keep(123456789012345)
            self.assertEqual(store.last(), 123456789012345)
            files = {path.name: path.read_text("ascii") for path in Path(directory).iterdir()}
        self.assertEqual(files, GOLDEN["files"])
        made = [
            next_incarnation(ms, last, Random(ms)) for ms, last in ((1000, 0), (1000, 5 << 20), (1 << 40, 9))
        ]
        self.assertEqual(made, GOLDEN["lives"])

    def test_the_control_answer_to_members_is_as_before(self):
        answer = control_answer(
            make,
            Core.on_datagram,
            lambda core, now: json.loads(json.dumps(membership_view(core, now), default=msgspec.to_builtins)),
        )
        self.assertEqual(json.dumps(answer), json.dumps(GOLDEN["members"]))

    def test_a_fleet_on_a_lossy_network_sends_the_same_datagrams_in_the_same_order(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(play(make, Core.on_datagram, seed), GOLDEN["plays"][str(seed)])
