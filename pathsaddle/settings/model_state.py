"""The model of settings that `model_checker.py` checks: one state, and the first one.

The cores are the program's own; a state is cloned before a step. No I/O.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, replace
from random import Random
from typing import Any, NamedTuple, TypeVar

from pathsaddle import leased_versions
from pathsaddle.settings.active_revision import ActiveRevisionTracker
from pathsaddle.settings.active_terms import ActiveTerms
from pathsaddle.settings.applied_gossip import AppliedGossip
from pathsaddle.settings.catch_up import CatchUp
from pathsaddle.settings.chunks import ChunkReceiver
from pathsaddle.settings.documents import Change, ChangeSet, RevisionId, canonical, digest_of
from pathsaddle.settings.messages import LeaseRenewal
from pathsaddle.settings.output import AddressedMessage, DiskWrite, Outbox
from pathsaddle.settings.proposals import ProposalStore
from pathsaddle.settings.proposer import Proposer
from pathsaddle.settings.register_readings import ReadingNumber, RegisterReadings
from pathsaddle.settings.server import ConfigServer
from pathsaddle.settings.server_selection import ServerSelection
from pathsaddle.settings.store import Store
from pathsaddle.settings.subscriber import ConfigSubscriber
from pathsaddle.settings.subscriber_state import SubscriberState
from pathsaddle.settings.subscriber_table import SubscriberRecord, SubscriberTable
from pathsaddle.settings.sync_peer import PeerConfig, PeerResources

LEASE = 300  # ticks
MOMENT = 160  # ticks
SLOW = 50  # of so many ticks one is lost by a slow clock
TIGHTER, LOOSER = (10, 5, 8), (10, 20, 5)  # allowances of revisions 1, 2, 3
PAIR = ("customers.a", "customers.b")
# What a core is made of, besides values: cloned with it.
PARTS = frozenset(
    (
        ActiveRevisionTracker,
        AppliedGossip,
        CatchUp,
        ChunkReceiver,
        Outbox,
        ProposalStore,
        Proposer,
        RegisterReadings,
        ServerSelection,
        SubscriberState,
        SubscriberTable,
    )
)
P = TypeVar("P")


class InvariantViolationError(AssertionError):
    """An invariant does not hold; its text is which, and how that came about."""


class _Ample:
    def try_consume(self, size: int, now: int, spare: float = 0.0) -> bool:
        """Pays for all."""
        return True


class Line:
    """What is committed, one after another, computed apart from the program's store.

    Attributes:
        changesets: That may be committed, the first one from the start on.
        entries: At each revision, from 0 on.
        digests: Of each revision.
        terms: At each revision.
    """

    def __init__(self, members: int, allowances: Iterable[int]) -> None:
        """Makes a change set for each allowance; the first one names the subscribers as well."""
        self.changesets: list[ChangeSet] = []
        self.entries: list[dict[str, bytes]] = [{}]
        self.digests = [""]
        for i, allowance in enumerate(allowances):
            changes = [Change(key, canonical({"allowance": allowance})) for key in PAIR]
            if not i:
                changes += [Change(f"members.m{n}", canonical({"region": "north"})) for n in range(members)]
            changeset = ChangeSet(i + 1, self.digests[-1], "model", "", 0, tuple(changes))
            self.changesets.append(changeset)
            self.digests.append(digest_of(changeset))
            values = {change.key: change.value for change in changes if change.value is not None}
            self.entries.append(self.entries[-1] | values)
        self.terms = [ActiveTerms(entries) for entries in self.entries]

    def store(self, revision: int) -> Store:
        """Returns a store at a revision."""
        return Store(None, self.changesets[:revision])

    def id_at(self, revision: int) -> RevisionId:
        """Returns a revision with its digest."""
        return RevisionId(revision, self.digests[revision])


class ServerDisk(NamedTuple):
    """What the server has on disk."""

    store: Store
    proposals: tuple[ChangeSet, ...]


class OpenReading(NamedTuple):
    """A reading that has begun, and the revision that the register had then."""

    number: ReadingNumber
    revision: int


class Step(NamedTuple):
    """What may happen next, and the state after it."""

    name: str
    state: State


class CheckLimits(NamedTuple):
    """How often subscribers ask for a sync in all, and how often processes begin again."""

    requests: int = 1
    restarts: int = 1


@dataclass(frozen=True)
class State:
    """One state of the model.

    Attributes:
        line: What may be committed.
        subscribers: Their cores.
        disks: Of the subscribers.
        server: Its core.
        server_disk: Of the server.
        clocks: Each subscriber's own, and the server's at the end, in ticks.
        messages: Under way, each with its recipient; none is ever lost from here.
        register: The revision that the register has.
        is_batch: Whether what follows is proposed and committed together.
        reading: That has begun.
        active: The highest revision that was proven active.
        restarts: How often a process began again.
    """

    line: Line
    subscribers: tuple[ConfigSubscriber, ...]
    disks: tuple[Store, ...]
    server: ConfigServer
    server_disk: ServerDisk
    clocks: tuple[int, ...]
    messages: frozenset[AddressedMessage]
    register: int = 1
    is_batch: bool = False
    reading: OpenReading | None = None
    active: int = 1
    restarts: int = 0

    def key(self) -> Hashable:
        """Returns all that what comes next depends on."""
        return (
            tuple(map(_subscriber_key, self.subscribers)),
            tuple(disk.revision for disk in self.disks),
            _server_key(self.server),
            self.server_disk.store.revision,
            len(self.server_disk.proposals),
            self.clocks,
            self.messages,
            self.register,
            self.reading,
            self.active,
            self.restarts,
        )


def _subscriber_key(core: ConfigSubscriber) -> Hashable:
    state = core.state
    return (
        core.incarnation,
        state.versions,
        core.store.revision,
        tuple(state.pending),
        tuple(state.proposals),
        core.lag_tries > 0,
    )


def _server_key(core: ConfigServer) -> Hashable:
    versions = core.tracker.versions
    return (
        core.incarnation,
        versions,
        versions.learnt,
        core.store.revision,
        tuple(core.proposer.proposals.held),
        tuple(sorted(core.subscribers.records.items(), key=lambda record: record[0])),
        tuple(core.readings.waiting.items()),
        tuple((number, tuple(requests.items())) for number, requests in core.readings.answering.items()),
        core.proposer.round is not None,
    )


def clone(core: P) -> P:
    """Returns a core as it is now, parts and all; what can't be changed is shared.

    It is most of what checking costs, so it goes around `copy.copy`, which takes longer.
    """
    return _clone_part(core, {})


def _clone_part(part: P, clones: dict[int, Any]) -> P:
    """Clones a part once, wherever it is found again."""
    found = clones.get(id(part))
    if found is not None:
        cloned: P = found
        return cloned
    cloned = clones[id(part)] = object.__new__(type(part))
    fields = vars(cloned)
    for name, value in vars(part).items():
        kind = type(value)
        if kind is dict or kind is list:
            fields[name] = value.copy()
        elif kind is Store:
            fields[name] = clones.get(id(value)) or clones.setdefault(id(value), value.copy())
        elif kind in PARTS:
            fields[name] = _clone_part(value, clones)
        else:
            fields[name] = value
    return cloned


def stored(disk: Store, writes: Iterable[DiskWrite]) -> Store:
    """Returns what is on a disk after writes."""
    committed = [write for write in writes if write.is_committed]
    if not committed:
        return disk
    disk = disk.copy()
    for write in committed:
        if write.snapshot is not None:
            disk.replace(write.snapshot)
        elif write.changeset is not None:
            disk.append(write.changeset)
    return disk


def start(line: Line, members: int, is_batch: bool = False) -> State:
    """Returns the first state.

    All subscribers took a lease on revision 1 in this moment, and acknowledged it; revision 2 is proposed,
    in a batch with all others.
    """
    subscribers = []
    for i in range(members):
        subscriber = new_subscriber(f"m{i}", 1, line.store(1), 0)
        subscriber.request_sync(0)
        subscriber.on_message(LeaseRenewal("k", subscriber.name, 1, 1, *line.id_at(1)), 0)
        subscriber.take_output()
        subscribers.append(subscriber)
    server = new_server(1, ServerDisk(line.store(1), ()), 0)
    tracker = server.tracker
    for i in range(members):
        tracker.versions = tracker.versions.hears(leased_versions.AppliedAck(f"m{i}", *line.id_at(1)))
        server.subscribers.records[f"m{i}"] = SubscriberRecord(0, line.id_at(1))
    tracker.versions = replace(tracker.versions, force=1)
    server.propose(line.changesets[1:] if is_batch else line.changesets[1:2], 0)
    output = server.take_output()
    proposals = tuple(write.changeset for write in output.writes if write.changeset is not None)
    return State(
        line,
        tuple(subscribers),
        tuple(line.store(1) for _ in subscribers),
        server,
        ServerDisk(line.store(1), proposals),
        (0,) * (members + 1),
        frozenset(output.messages),
        is_batch=is_batch,
    )


def new_subscriber(name: str, incarnation: int, disk: Store, now: int) -> ConfigSubscriber:
    """Returns a subscriber that begins by its disk."""
    config = PeerConfig(name, "north", incarnation, ("k",), LEASE)
    return ConfigSubscriber(config, disk.copy(), PeerResources(Random(0), _Ample()), now)


def new_server(incarnation: int, disk: ServerDisk, now: int) -> ConfigServer:
    """Returns the server, which begins by its disk."""
    config = PeerConfig("k", "north", incarnation, (), LEASE)
    return ConfigServer(config, disk.store.copy(), PeerResources(Random(0), _Ample()), now, disk.proposals)
