"""Shared settings: changes that wait are committed together, each with its own revision and verdict; all or none of a round."""

import asyncio
import itertools
import random
import tempfile
import unittest
from dataclasses import dataclass, field
from pathlib import Path
from unittest import mock

import msgspec

from pathsaddle.errors import Error
from pathsaddle.settings import commit_round
from pathsaddle.settings.change_committer import ChangeCommitter
from pathsaddle.settings.commit_round import PendingChange, Verdict, plan_round
from pathsaddle.settings.control_messages import ApplyRequest, ChangeOutcome
from pathsaddle.settings.disk import SettingsDirectory
from pathsaddle.settings.documents import (
    Change,
    ChangeSet,
    InvalidDocumentError,
    RevisionId,
    canonical,
    digest_of,
    id_of,
)
from pathsaddle.settings.errors import (
    ChangeRejectedError,
    NoQuorumError,
    RevisionConflictError,
    ValidationError,
)
from pathsaddle.settings.messages import (
    MAX_DATAGRAM_BYTES,
    AppliedAck,
    CommitNotice,
    Proposal,
    ProposalAck,
    size_of,
)
from pathsaddle.settings.proposals import MAX_PROPOSALS, MAX_ROUND_CHANGESETS
from pathsaddle.settings.register_session import OwnedRevision
from pathsaddle.settings.server import ConfigServer
from pathsaddle.settings.server_driver import ConfigServerDriver
from pathsaddle.settings.store import Store
from pathsaddle.settings.subscriber import ConfigSubscriber
from pathsaddle.settings.sync_peer import PeerConfig, PeerResources


class Ample:
    def try_consume(self, size, now, spare=0.0):
        return True


def server_of(name, store, peers, proposals=()):
    config = PeerConfig(name, "north", 1, peers)
    return ConfigServer(config, store.copy(), PeerResources(random.Random(1), Ample()), 0, proposals)


def subscriber_of(store):
    config = PeerConfig("m0", "north", 1, ("k0",))
    return ConfigSubscriber(config, store.copy(), PeerResources(random.Random(1), Ample()), 0)


def quota(allowance):
    return canonical({"allowance": allowance})


def change(at, expect=None, **puts):
    return PendingChange(
        tuple(
            Change(f"customers.{key}", None if value is None else quota(value)) for key, value in puts.items()
        ),
        "ann",
        f"change {at}",
        at,
        expect,
    )


def founded():
    store = Store()
    store.append(
        ChangeSet(
            1,
            "",
            "ann",
            "founding",
            0,
            (Change("customers.a", quota(1)), Change("members.m0", canonical({"region": "north"}))),
        )
    )
    return store


def chained(store, count, reason="r", size=0):
    """That many groups, each after the other."""
    store, found = store.copy(), []
    for i in range(count):
        changeset = ChangeSet(
            store.revision + 1,
            store.digest,
            "ann",
            f"{reason} {i}" + "x" * size,
            0,
            (Change(f"customers.c{i}", quota(i)),),
        )
        store.append(changeset)
        found.append(changeset)
    return found


def unjudged(terms):
    """Rows that all fit together."""


def eight(terms):
    """Rows of which no customer may have eight."""
    if quota(8) in terms.rows().values():
        raise ValidationError(key="customers", why="eight")


KINDS = (
    lambda at: change(at, a=2),
    lambda at: change(at, a=3),
    lambda at: change(at, b=8),
    lambda at: change(at, gone=None),
    lambda at: change(at, expect=1, c=4),
    lambda at: change(at, expect=2, d=5),
    lambda at: change(at, expect=9, d=5),
    lambda at: change(at, a=None),
)


@dataclass
class Voters:
    """The register, and what each was told. fails: of the rounds, which the register didn't take."""

    store: Store
    told: dict[int, tuple[str, int]] = field(default_factory=dict)
    order: list[PendingChange] = field(default_factory=list)

    def round(self, waiting, joins, is_taken):
        found = plan_round(self.store, waiting, eight, joins)
        for verdict in found.verdicts:
            self.order.append(verdict.change)
            self.told[verdict.change.created_ms] = (verdict.verdict, verdict.committed.revision)
            waiting.remove(verdict.change)
        for planned in found.planned:
            planned.change.attempts.append(id_of(planned.changeset))
        if is_taken:
            for planned in found.planned:
                one, changeset = planned.change, planned.changeset
                self.store.append(changeset)
                self.order.append(one)
                self.told[one.created_ms] = (Verdict.ALREADY_COMMITTED, changeset.revision)
                waiting.remove(one)
        return found


class RoundStory(unittest.TestCase):
    def test_each_has_its_own_revision_author_and_reason_one_after_another(self):
        waiting = [change(1, a=5), change(2, b=6), change(3, a=7)]
        found = plan_round(founded(), waiting, unjudged, lambda changesets: True)
        self.assertEqual(
            [(changeset.revision, changeset.reason, changeset.created_ms) for changeset in found.changesets],
            [(2, "change 1", 1), (3, "change 2", 2), (4, "change 3", 3)],
        )
        self.assertEqual(
            [changeset.previous_digest for changeset in found.changesets[1:]],
            [digest_of(changeset) for changeset in found.changesets[:-1]],
        )
        self.assertEqual(found.verdicts, ())

    def test_one_that_is_refused_or_in_conflict_leaves_the_others_whole(self):
        bad, late, same = change(1, gone=None), change(2, expect=0, a=9), change(3, a=1)
        good = [change(4, a=5), change(5, b=6)]
        found = plan_round(founded(), [bad, late, same, *good], unjudged, lambda changesets: True)
        self.assertEqual(
            [(verdict.change, verdict.verdict) for verdict in found.verdicts],
            [(bad, Verdict.REJECTED), (late, Verdict.REVISION_CONFLICT), (same, Verdict.UNCHANGED)],
        )
        self.assertEqual([one.change for one in found.planned], good)
        self.assertEqual([changeset.revision for changeset in found.changesets], [2, 3])

    def test_what_one_is_told_never_rests_on_what_may_not_be_committed(self):
        """Behind another of its round each of these would be told otherwise than alone: it waits for the next."""
        first = change(1, a=5)
        for second in (change(2, a=5), change(2, a=1, gone=None), change(2, expect=1, b=6), change(2, b=8)):
            found = plan_round(founded(), [first, second], eight, lambda changesets: True)
            self.assertEqual(([one.change for one in found.planned], found.verdicts), ([first], ()))
        self.assertEqual(
            len(
                plan_round(
                    founded(), [first, change(2, expect=2, b=6)], eight, lambda changesets: True
                ).planned
            ),
            2,
        )

    def test_a_round_that_was_committed_though_nobody_could_say_so_is_not_made_again(self):
        store, waiting = founded(), [change(1, a=5), change(2, a=6)]
        found = plan_round(store, waiting, unjudged, lambda changesets: True)
        for planned in found.planned:
            planned.change.attempts.append(id_of(planned.changeset))
            store.append(planned.changeset)
        again = plan_round(store, waiting, unjudged, lambda changesets: True)
        self.assertEqual(
            [(verdict.verdict, verdict.committed.revision) for verdict in again.verdicts],
            [(Verdict.ALREADY_COMMITTED, 2), (Verdict.ALREADY_COMMITTED, 3)],
        )
        self.assertEqual((again.planned, store.terms.get("customers.a")), ((), quota(6)))

    def test_in_every_order_with_rounds_that_fail_each_is_told_as_one_after_another_would_be(self):
        """Every three of eight kinds, in each order, each of the first rounds taken or not; at most one, two or three join."""
        cases = 0
        for kinds in itertools.product(KINDS, repeat=3):
            for is_taken in itertools.product((True, False), repeat=2):
                for most in (1, 2, 3):
                    waiting = [kind(at + 1) for at, kind in enumerate(kinds)]
                    voters = Voters(founded())
                    for took in (*is_taken, *[True] * 4):
                        voters.round(waiting, lambda changesets, most=most: len(changesets) <= most, took)
                    self.assertEqual(waiting, [])
                    alone = Voters(founded())
                    for one in voters.order:
                        alone.round(
                            [
                                PendingChange(
                                    one.changes, one.author, one.reason, one.created_ms, one.expected_revision
                                )
                            ],
                            lambda changesets: True,
                            True,
                        )
                    self.assertEqual(
                        (alone.told, alone.store.digest),
                        (voters.told, voters.store.digest),
                        (voters.order, is_taken),
                    )
                    cases += 1
        self.assertEqual(cases, 8**3 * 4 * 3)

    def test_that_planted_faults_are_found_by_it(self):
        for fault in (
            mock.patch.object(commit_round, "is_expected", lambda change, revision: True),
            mock.patch.object(Store, "check_next", lambda store, changeset: None),
            mock.patch.object(
                commit_round,
                "next_changeset",
                lambda store, change: ChangeSet(
                    *store.next_link, change.author, change.reason, change.created_ms, change.changes
                ),
            ),
        ):
            with fault, self.assertRaises((AssertionError, KeyError)):
                self.one_that_is_judged()

    def one_that_is_judged(self):
        found = plan_round(
            founded(),
            [change(1, gone=None), change(2, expect=0, b=2), change(3, a=1)],
            unjudged,
            lambda changesets: True,
        )
        self.assertEqual(
            {verdict.change.created_ms: verdict.verdict for verdict in found.verdicts},
            {1: Verdict.REJECTED, 2: Verdict.REVISION_CONFLICT, 3: Verdict.UNCHANGED},
        )


class ProposalStory(unittest.TestCase):
    """A keeper's part."""

    def server(self, store, peers=("k1", "k2"), **more):
        return server_of("k0", store, peers, **more)

    def test_a_batch_goes_out_in_one_datagram_and_is_kept_once_most_have_all_of_it(self):
        store = founded()
        changesets = chained(store, 3)
        one, two = (
            self.server(store),
            server_of("k1", store, ("k0", "k2")),
        )
        one.propose(changesets, 0)
        made = one.take_output()
        proposals = [message for to, message in made.messages if to == "k1"]
        self.assertEqual(proposals, [Proposal("k0", changesets[0], tuple(changesets[1:]))])
        self.assertEqual([write.changeset for write in made.writes], changesets)
        one.on_message(ProposalAck("k1", 3, digest_of(changesets[1])), 1)  # of a part
        self.assertEqual(one.take_output().events, ())
        two.on_message(proposals[0], 1)
        made = two.take_output()
        self.assertEqual([write.changeset for write in made.writes], changesets)
        for _, message in made.messages:
            one.on_message(message, 2)
        self.assertEqual(
            [(event.log_name, event.revision) for event in one.take_output().events], [("kept", 4)]
        )
        two.on_read(two.begin_read(5), RevisionId(4, digest_of(changesets[2])), 6)
        self.assertEqual(
            (two.store.revision, [event.log_name for event in two.take_output().events].count("committed")),
            (4, 3),
        )

    def test_no_server_keeps_a_part_and_what_doesnt_follow_is_refused(self):
        store = founded()
        changesets = chained(store, 3)
        server = self.server(store)
        server.on_message(Proposal("k1", changesets[0], (changesets[2],)), 1)
        made = server.take_output()
        self.assertEqual(
            (made.writes, made.messages, [event.log_name for event in made.events]), ((), (), ["refused"])
        )
        line = chained(store, MAX_PROPOSALS - 1)  # which no reading has shown as committed, and may be
        for changeset in line:
            server.on_message(Proposal("k1", changeset), 2)
        server.take_output()
        later = store.copy()
        for changeset in line:
            later.append(changeset)
        two = chained(later, 2, "later")
        server.on_message(Proposal("k1", two[0], (two[1],)), 3)
        made = server.take_output()
        self.assertEqual(
            (made.writes, made.messages, [event.log_name for event in made.events]), ((), (), ["full"])
        )

    def test_a_server_that_is_full_of_batches_that_came_to_nothing_always_has_room_for_the_next(self):
        """Rivals make room, revision by revision: also of batches longer and shorter than it, through many that fail."""
        rng = random.Random(3)
        store = founded()
        for _ in range(60):
            server = self.server(store, proposals=[])
            here = store.copy()
            for i in range(40):
                changesets = chained(here, rng.randrange(1, MAX_ROUND_CHANGESETS + 1), f"try {i}")
                server.on_message(Proposal("k1", changesets[0], tuple(changesets[1:])), i)
                made = server.take_output()
                self.assertEqual(
                    [message for _, message in made.messages if isinstance(message, ProposalAck)],
                    [ProposalAck("k0", changesets[-1].revision, digest_of(changesets[-1]))],
                )
                self.assertLessEqual(len(server.proposer.proposals.held), MAX_PROPOSALS)
                self.assertTrue(
                    all(digest_of(changeset) in server.proposer.proposals.held for changeset in changesets)
                )
                if rng.random() < 0.3:
                    for changeset in changesets:
                        here.append(changeset)
                    server.on_message(CommitNotice("k1", RevisionId(here.revision, here.digest)), i)
                    server.take_output()
                    self.assertEqual(server.store.digest, here.digest)

    def test_disk_and_server_agree_which_proposals_made_room(self):
        """The disk kept the latest, the keeper what may count: after a crash it lacked a text that it had said to have."""
        store = founded()
        with tempfile.TemporaryDirectory() as path:
            directory = SettingsDirectory(Path(path) / "k", "k0", "x")
            self.addCleanup(directory.close)
            directory.write([mock.Mock(snapshot=store.snapshot(), changeset=None)])
            server = self.server(store)
            first = chained(store, 1)[0]
            after = store.copy()
            after.append(first)
            server.on_message(Proposal("k1", first), 1)
            for i in range(2 * MAX_PROPOSALS):  # each says that `first` was committed
                server.on_message(Proposal("k1", chained(after, 1, f"try {i}")[0]), 2 + i)
            directory.write(server.take_output().writes)
            again = SettingsDirectory(Path(path) / "k", "k0", "x")
            self.addCleanup(again.close)
            self.assertEqual({digest_of(one) for one in again.proposals}, set(server.proposer.proposals.held))
            self.assertIn(first, again.proposals)

    def test_a_batch_is_no_larger_than_a_datagram_and_a_large_change_set_goes_alone(self):
        store = founded()
        server = self.server(store)
        small = chained(store, MAX_ROUND_CHANGESETS + 1)
        self.assertEqual(
            [
                server.fits_one_round(small[:n])
                for n in (1, 2, MAX_ROUND_CHANGESETS, MAX_ROUND_CHANGESETS + 1)
            ],
            [True, True, True, False],
        )
        large = chained(store, 2, size=180)
        wide = msgspec.structs.replace(
            large[0], changes=tuple(Change(f"customers.w{i}", quota(i)) for i in range(50))
        )
        self.assertEqual(
            (server.fits_one_round([wide]), server.fits_one_round([wide, small[0]])), (True, False)
        )
        with self.assertRaises(InvalidDocumentError):
            server.propose(small, 0)
        for changesets in (small[:MAX_ROUND_CHANGESETS], small[:3]):
            self.assertLessEqual(
                size_of(Proposal("k0", changesets[0], tuple(changesets[1:]))), MAX_DATAGRAM_BYTES
            )

    def test_a_subscriber_gets_all_of_a_batch_in_one_datagram_and_not_again_what_it_was_proposaled(self):
        store = founded()
        changesets = chained(store, 3)
        server = self.server(store, peers=())
        subscriber = subscriber_of(store)
        subscriber.request_sync(0)
        for _, message in subscriber.take_output().messages:
            server.on_message(message, 0)
        server.on_read(server.begin_read(1), RevisionId(1, store.digest), 1)
        server.propose(changesets, 2)
        made = [message for to, message in server.take_output().messages if to == "m0"]
        self.assertEqual(
            [message for message in made if isinstance(message, Proposal)], [Proposal("k0", changesets[0])]
        )
        for message in made:
            subscriber.on_message(message, 3)
        self.assertEqual(
            subscriber.state.entries().keys(), store.terms.rows().keys()
        )  # it allows nothing yet
        subscriber.take_output()
        server.on_read(server.begin_read(4), RevisionId(4, digest_of(changesets[2])), 5)
        commits = [
            message
            for to, message in server.take_output().messages
            if to == "m0" and isinstance(message, CommitNotice)
        ]
        self.assertEqual(
            commits, [CommitNotice("k0", RevisionId(4, digest_of(changesets[2])), tuple(changesets[1:]))]
        )
        subscriber.on_message(commits[0], 6)
        made = subscriber.take_output()
        self.assertEqual([write.changeset for write in made.writes], changesets)
        self.assertEqual(
            [message for _, message in made.messages], [AppliedAck("m0", 4, digest_of(changesets[2]))]
        )

    def test_who_missed_the_proposal_gets_the_first_too(self):
        store = founded()
        changesets = chained(store, 2)
        subscriber = subscriber_of(store)
        subscriber.on_message(
            CommitNotice("k0", RevisionId(3, digest_of(changesets[1])), (changesets[1],)), 1
        )
        self.assertEqual(
            [
                message.revision
                for _, message in subscriber.take_output().messages
                if isinstance(message, AppliedAck)
            ],
            [1],
        )
        subscriber.on_message(
            CommitNotice("k0", RevisionId(3, digest_of(changesets[1])), tuple(changesets)), 2
        )
        self.assertEqual(subscriber.store.digest, digest_of(changesets[1]))


class CommitterStory(unittest.IsolatedAsyncioTestCase):
    """A keeper's process, its register in this test's hands: what each that waits is told."""

    def setUp(self):
        self.known, self.lost, self.rival = None, False, None

    async def asyncSetUp(self):
        self.store = founded()
        self.known = self.store.id
        server = mock.Mock(spec=ConfigServerDriver)
        server.config = mock.Mock(control="here")
        server.core = mock.Mock(
            store=self.store, fits_one_round=lambda changesets: len(changesets) <= MAX_ROUND_CHANGESETS
        )
        server.require_core = lambda: server.core
        server.start_task = lambda work: asyncio.get_running_loop().create_task(work)
        server.propose = lambda changesets: setattr(self, "proposed", changesets)
        server.report_fault = mock.Mock(side_effect=lambda fault: self.fail(repr(fault)))
        self.committer = committer = ChangeCommitter(server, mock.Mock(), mock.Mock(), random.Random(1))
        committer.session = mock.Mock()
        committer._linger = lambda count: asyncio.sleep(0)

        async def owns(until):
            await asyncio.sleep(0)
            return OwnedRevision(7, self.known)

        async def has(known, until):
            await asyncio.sleep(0)
            return True

        async def kept(core, digest, until):
            await asyncio.sleep(0)
            self.rounds.append(len(self.proposed))
            return self.kept

        self.kept, self.rounds = True, []
        committer.session.acquire = owns
        committer._await_document, committer._await_acknowledged = has, kept
        committer.session.register.fencing_token = lambda key: 7
        committer.session.register.put = self.put
        committer._await_outcome = self.settled

    async def put(self, key, data):
        if self.rival is not None:
            rival, self.rival = self.rival, None
            self.store.append(rival)
        elif self.lost != "before":
            for changeset in self.proposed:
                self.store.append(changeset)
        self.known = self.store.id

    async def settled(self, revision, until):
        if self.lost:
            self.lost = False
            raise NoQuorumError("no majority of the voters answers", "start them")
        return self.known

    async def apply(self, asked):
        return await self.committer.commit(ApplyRequest.decode({"within": 5.0, **asked}))

    async def all(self, *asked):
        return await asyncio.gather(
            *(self.apply(one) for one in asked),
            return_exceptions=True,
        )

    async def test_many_at_once_are_few_rounds_each_told_its_own_revision(self):
        found = await self.all(
            *(
                {"rows": {f"customers.c{i}": {"allowance": i + 1}}, "reason": f"{i}"}
                for i in range(2 * MAX_ROUND_CHANGESETS + 1)
            )
        )
        self.assertEqual([one.revision for one in found], list(range(2, 2 * MAX_ROUND_CHANGESETS + 3)))
        self.assertEqual(
            [changeset.reason for _, changeset in self.store.log[1:]],
            [f"{i}" for i in range(2 * MAX_ROUND_CHANGESETS + 1)],
        )
        self.assertEqual(self.rounds, [MAX_ROUND_CHANGESETS, MAX_ROUND_CHANGESETS, 1])

    async def test_who_is_refused_or_in_conflict_is_told_so_and_the_others_are_committed(self):
        found = await self.all(
            {"rows": {"budgets.a": 1}},
            {"remove": ["budgets.none"]},
            {"rows": {"budgets.b": 1}, "expect": 1},
            {"rows": {"rules": {"nonsense": 1}}},
            {"rows": {"budgets.c": 1}},
        )
        self.assertEqual([one.revision for one in found if isinstance(one, ChangeOutcome)], [2, 3])
        self.assertEqual(
            [type(found[i]) for i in (1, 2, 3)],
            [ChangeRejectedError, RevisionConflictError, ChangeRejectedError],
        )
        self.assertEqual(
            sorted(self.store.terms.rows()), ["budgets.a", "budgets.c", "customers.a", "members.m0"]
        )

    async def test_another_was_first_who_expected_nothing_goes_once_more_and_who_did_is_in_conflict(self):
        rival = ChangeSet(2, self.store.digest, "bob", "mine", 0, (Change("budgets.z", b"1"),))
        self.rival = rival
        found = await self.all({"rows": {"budgets.a": 1}, "expect": 1}, {"rows": {"budgets.b": 1}})
        self.assertIsInstance(found[0], RevisionConflictError)
        self.assertEqual(found[1].revision, 3)
        self.assertEqual([changeset.author for _, changeset in self.store.log[1:]], ["bob", ""])

    async def test_without_a_majority_of_servers_nothing_is_committed_and_each_is_told_at_its_own_time(self):
        self.kept = False
        found = await self.all(
            {"rows": {"budgets.a": 1}, "within": 0.2}, {"rows": {"budgets.b": 1}, "within": 0.4}
        )
        self.assertEqual([type(one) for one in found], [NoQuorumError, NoQuorumError])
        self.assertTrue(all("nothing was committed" in str(one) for one in found))
        self.assertEqual(self.store.revision, 1)

    async def test_where_nobody_can_say_what_came_each_is_told_that_of_its_own_revision(self):
        self.lost = True
        found = await self.all({"rows": {"budgets.a": 1}}, {"rows": {"budgets.b": 1}})
        for revision, one in zip((2, 3), found, strict=True):
            self.assertIsInstance(one, NoQuorumError)
            self.assertIn(f"whether revision {revision} was committed can't be told", str(one))
        again = await self.all({"rows": {"budgets.b": 1}})
        self.assertEqual((again[0].has_changed, self.store.revision), (False, 3))

    async def test_a_defect_ends_these_changes_alone(self):
        self.committer.server.report_fault = mock.Mock()
        with mock.patch.object(commit_round, "plan_round", side_effect=ZeroDivisionError("ours")):
            found = await self.all({"rows": {"budgets.a": 1}}, {"rows": {"budgets.b": 1}})
        self.assertEqual([one.name for one in found if isinstance(one, Error)], ["settings.defect"] * 2)
        self.assertEqual((await self.all({"rows": {"budgets.a": 1}}))[0].revision, 2)


if __name__ == "__main__":
    unittest.main()
