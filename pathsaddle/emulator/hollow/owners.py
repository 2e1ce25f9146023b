"""What owners cost N members and the voters: the program's cores of `consensus/` in virtual time (emulated; the ground
is `emulator/ownership/simulation.py`).

Voters stand in regions of their own, members as `places.py` deals them; ways are as long as theirs. All stand for all
keys from one moment on; then, at rest, each asks at a stated rate who owns a key, and owners change their data at a
stated rate. Datagrams are packed and weighed as the driver does (`consensus/udp_driver.py`).

Counts, bytes and spans depend on the seed alone; only processor time depends on the machine.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Literal

import msgspec

from pathsaddle.consensus.events import CommitOutcomeUnknown, Committed, LeaseEvent, ReadCompleted
from pathsaddle.consensus.messages import Envelope, Message, Outgoing, acceptor_set_checksum, pack_datagrams
from pathsaddle.emulator.hollow.fleet_tally import Spent, Tally, most
from pathsaddle.emulator.hollow.places import Place, places
from pathsaddle.emulator.ownership.hosts import AcceptorHost, Host, MemberHost
from pathsaddle.emulator.ownership.simulation import Layout, Simulation
from pathsaddle.scheduler_types import SECOND

KEY = b"the hollow owners' own secret"
TENTH = SECOND // 10


class Setting(msgspec.Struct, forbid_unknown_fields=True):
    """Spans in seconds. against: what the points count; `members` or `keys` are how many there are of the other. asks: by each member for a key's owner, a second. changes: of data, a second, in the whole
    fleet; the target's 3,700 a day are 0.043. sync: that a voter's disk takes.
    """

    against: Literal["members", "keys"] = "members"
    members: int = 50
    keys: int = 4
    voters: int = 5
    lease: float = 3.0
    asks: float = 0.1
    changes: float = 1.0
    sync: float = 0.002
    loss: float = 0.0
    settle: float = 9.0
    rest: float = 30.0


FIGURES: dict[str, tuple[str, str]] = {
    "voter_out_s": ("bytes/s", "sent by a voter at rest, on the mean (hollow, emulated)"),
    "voter_in_s": ("bytes/s", "taken by a voter at rest, on the mean (hollow, emulated)"),
    "voter_most_in": ("bytes", "the most that any voter takes in any second at rest (hollow, emulated)"),
    "voter_datagrams_s": ("1/s", "datagrams that a voter sends at rest, on the mean (hollow, emulated)"),
    "voter_syncs_s": ("1/s", "syncs of a voter's disk at rest, on the mean (hollow, emulated)"),
    "voter_us_s": ("us/s", "processor time of the voter's core at rest, per voter (hollow, emulated)"),
    "member_out_s": ("bytes/s", "sent to voters by a member at rest, on the mean (hollow, emulated)"),
    "member_us_s": ("us/s", "processor time of the owner's core at rest, per member (hollow, emulated)"),
    "commit_p50_s": (
        "s",
        "from a change's asking until its owner knows it is taken, median (hollow, emulated)",
    ),
    "commit_p99_s": ("s", "the same, all but one in a hundred (hollow, emulated)"),
    "read_p50_s": ("s", "from a member's asking for an owner until it knows, median (hollow, emulated)"),
    "read_p99_s": ("s", "the same, all but one in a hundred (hollow, emulated)"),
    "changes_failed": (
        "part",
        "of all changes those refused or whose outcome nobody can say (hollow, emulated)",
    ),
    "reads_failed": ("part", "of all askings those that no majority answered (hollow, emulated)"),
    "owned_s": (
        "s",
        "from the moment at which all stand for all keys until each has an owner (hollow, emulated)",
    ),
    "start_most_in": (
        "bytes",
        "the most that any voter takes in any second while all bid at once (emulated)",
    ),
    "start_most_out": (
        "bytes",
        "the most that any voter sends in any second while all bid at once (emulated)",
    ),
}
COUNTED = frozenset(name for name in FIGURES if not name.endswith("us_s"))


def needs(point: int, setting: Setting) -> tuple[int, float]:
    members, keys = sizes(point, setting)
    return 1, 60 + members * 0.1 * (1 + keys)


def sizes(point: int, setting: Setting) -> tuple[int, int]:
    """(members, keys) of a play."""
    return (point, setting.keys) if setting.against == "members" else (setting.members, point)


class OwnersGround(Simulation):
    """Ways by place, datagrams as the driver packs them, time by what was asked."""

    def __init__(self, point: int, seed: int, setting: Setting) -> None:
        self.setting = setting
        members, keys = sizes(point, setting)
        self.places: dict[str, Place] = {f"v{i}": place for i, place in enumerate(places(setting.voters))}
        self.places |= {f"m{i}": place for i, place in enumerate(places(members))}
        self.tallies = {name: Tally() for name in self.places}
        self.spent = Spent("voter", "member")
        self.commits: list[int] = []
        self.reads: list[int] = []
        self.changed = self.refused = self.unread = 0
        self.putting: dict[tuple[str, int], int] = {}
        self.reading: dict[tuple[str, int], int] = {}
        super().__init__(
            seed,
            Layout(
                members,
                setting.voters,
                keys,
                int(setting.lease * SECOND),
                clock_error=0.0,
                work_interval_ticks=0,
            ),
        )
        self.loss = setting.loss
        for host in self.hosts.values():
            if isinstance(host, AcceptorHost):
                host.disk.sync_ticks = max(1, int(setting.sync * SECOND))
                self.spent.around("voter", host.acceptor, "on_message", "learn_incarnations", "wake")
            else:
                assert isinstance(host, MemberHost)
                self.spent.around(
                    "member",
                    host.lease_manager,
                    "on_message",
                    "learn_incarnations",
                    "wake",
                    "read",
                    "commit",
                )

    def delays(self, sender: str, receiver: str) -> list[int]:
        if self.loss and self.rng.random() < self.loss:
            return []
        return [int(self.places[sender].way(self.places[receiver]) * SECOND)]

    def send(self, host: Host, outgoing: list[Outgoing]) -> None:
        known, incarnation = host.known_incarnations(), host.envelope_incarnation()
        to: dict[str, list[Message]] = {}
        for name, message in outgoing:
            to.setdefault(name, []).append(message)
        for name, messages in to.items():
            envelope = Envelope(
                "hollow",
                acceptor_set_checksum(self.acceptors),
                self.places[host.name].name,
                self.places[name].name,
                incarnation,
                [known.get(acceptor, 0) for acceptor in self.acceptors],
                [],
            )
            for data in pack_datagrams(envelope, messages, KEY):
                self._weigh(host.name, name, len(data))
        super().send(host, outgoing)

    def _weigh(self, sender: str, taker: str, size: int) -> None:
        tally, at = self.tallies[sender], self.now // TENTH
        tally.out[at] = tally.out.get(at, 0) + size
        tally.datagrams += 1
        into = self.tallies[taker].into
        into[at] = into.get(at, 0) + size

    def on_lease_event(self, host: MemberHost, event: LeaseEvent) -> None:
        if isinstance(event, Committed) and (event.key, event.revision) in self.putting:
            self.commits.append(self.now - self.putting.pop((event.key, event.revision)))
        elif isinstance(event, CommitOutcomeUnknown):
            if self.putting.pop((event.key, event.revision), None) is not None:
                self.refused += 1
        elif isinstance(event, ReadCompleted):
            begun = self.reading.pop((host.name, event.request_id))
            if event.value is None:
                self.unread += 1
            else:
                self.reads.append(self.now - begun)

    # What is asked of them.

    def members(self) -> list[MemberHost]:
        return [host for host in self.hosts.values() if isinstance(host, MemberHost)]

    def owner(self, key: str) -> MemberHost | None:
        return next(
            (host for host in self.members() if host.lease_manager.fencing_token(key, host.now())), None
        )

    def again(self, rate: float, does: Callable[[], None]) -> None:
        """At moments that chance draws, so many a second on the mean."""
        does()
        self.call_at(self.now + 1 + int(self.rng.expovariate(rate) * SECOND), partial(self.again, rate, does))

    def asks(self) -> None:
        host, key = self.rng.choice(self.members()), self.rng.choice(self.keys)
        ask = host.lease_manager.read(key, host.now())
        if ask:
            self.reading[host.name, ask] = self.now
        host.flush()

    def changes(self) -> None:
        key = self.rng.choice(self.keys)
        host = self.owner(key)
        self.changed += 1
        revision = host.lease_manager.commit(key, b"%d" % self.now, host.now()) if host is not None else 0
        if host is None or not revision:  # nobody owns it, or its last change is under way
            self.refused += 1
            return
        self.putting[key, revision] = self.now
        host.wake()

    def clear(self) -> None:
        for tally in self.tallies.values():
            tally.clear()
        self.spent.clear()
        self.syncs = 0


def part(spans: list[int], of: float) -> float:
    """Seconds, of that part of all; nothing where there are none."""
    return sorted(spans)[min(len(spans) - 1, int(len(spans) * of))] / SECOND if spans else 0.0


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    """One play: all stand for all keys, then rest with askings and changes."""
    ground = OwnersGround(point, seed, setting)
    settle, rest = int(setting.settle * SECOND), int(setting.rest * SECOND)
    owned = 0
    while ground.now < settle:
        ground.run(ground.now + TENTH // 10)
        if not owned and all(ground.owner(key) for key in ground.keys):
            owned = ground.now
    voters = [ground.tallies[name] for name in ground.acceptors]
    figures = {
        "owned_s": (owned or settle) / SECOND,
        "start_most_in": float(max(most(tally.into) for tally in voters)),
        "start_most_out": float(max(most(tally.out) for tally in voters)),
    }
    ground.clear()
    ground.again(setting.asks * len(ground.members()), ground.asks)
    ground.again(setting.changes, ground.changes)
    ground.run(settle + rest)
    members = [ground.tallies[host.name] for host in ground.members()]
    count, span = len(voters), setting.rest
    figures |= {
        "voter_out_s": sum(sum(tally.out.values()) for tally in voters) / count / span,
        "voter_in_s": sum(sum(tally.into.values()) for tally in voters) / count / span,
        "voter_most_in": float(max(most(tally.into) for tally in voters)),
        "voter_datagrams_s": sum(tally.datagrams for tally in voters) / count / span,
        "voter_syncs_s": ground.syncs / count / span,
        "voter_us_s": ground.spent.ns["voter"] / 1000 / count / span,
        "member_out_s": sum(sum(tally.out.values()) for tally in members) / len(members) / span,
        "member_us_s": ground.spent.ns["member"] / 1000 / len(members) / span,
        "commit_p50_s": part(ground.commits, 0.5),
        "commit_p99_s": part(ground.commits, 0.99),
        "read_p50_s": part(ground.reads, 0.5),
        "read_p99_s": part(ground.reads, 0.99),
        "changes_failed": ground.refused / max(1, ground.changed),
        "reads_failed": ground.unread / max(1, ground.unread + len(ground.reads)),
    }
    return {name: figures[name] for name in FIGURES}
