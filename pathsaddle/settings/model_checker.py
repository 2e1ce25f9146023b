"""Model checking of settings: every order of events to a stated depth, and the invariants in each state.

Subscribers act by revision 1 under a lease; two change sets follow, each of which changes two entries
alike: one tightens, one relaxes, in either order; one after another, or both as one round, which the
register takes at once. A step is one of: the register takes the next change set (or all); the server
proposes it (or all), begins or ends a reading, judges what is active, is killed and begins again with its
disk; a subscriber asks, or is killed and begins again with its disk; a message is taken (and stays under
way: it may come again, later, in any order, or never); a moment passes for all, or for all but one whose
clock is slow.

The invariants, by name:

- `unborn`: nobody acts on a revision that never was committed, but for what a proposal tightens.
- `back`: nobody goes back, nor does its disk.
- `in-force`: once a revision is proven active nobody acts, leased, on an older one, and nobody does what it
  forbids.
- `whole`: a change set is seen whole or not at all.

The cores are the program's own; what they write is on disk when what they send leaves. Timers are not
followed: what they would do, to ask or to say again, is a step or a message taken twice. The rate limiter
pays for all. Run by the tests.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import replace
from random import Random

from pathsaddle.settings.active_terms import ActiveTerms
from pathsaddle.settings.events import RevisionActivated
from pathsaddle.settings.model_state import (
    LOOSER,
    MOMENT,
    PAIR,
    SLOW,
    CheckLimits,
    InvariantViolationError,
    Line,
    OpenReading,
    ServerDisk,
    State,
    Step,
    clone,
    new_server,
    new_subscriber,
    start,
    stored,
)
from pathsaddle.settings.output import AddressedMessage, Output
from pathsaddle.settings.server import ConfigServer
from pathsaddle.settings.subscriber import ConfigSubscriber

WALK_LIMITS = CheckLimits(requests=8, restarts=4)
CLOCK_STEP_SHARE = 0.1  # of a walk's steps: else every lease is over before a message is taken


class _Steps:
    """Collects every next state of one state."""

    def __init__(self, state: State, limits: CheckLimits) -> None:
        self.state, self.limits = state, limits
        self.found: list[Step] = []

    def collect(self) -> list[Step]:
        """Returns them, always in the same order."""
        self._register_steps()
        self._reading_steps()
        self._server_steps()
        for i in range(len(self.state.subscribers)):
            self._subscriber_steps(i)
        self._message_steps()
        self._clock_steps()
        return self.found

    def _register_steps(self) -> None:
        state, line = self.state, self.state.line
        following = line.changesets[state.register :][: None if state.is_batch else 1]
        if not following:
            return
        last = following[-1].revision
        is_on_disk = all(changeset in state.server_disk.proposals for changeset in following)
        if is_on_disk:
            self.found.append(Step(f"the register takes {last}", replace(state, register=last)))
        elif state.server.store.revision == state.register:
            server = clone(state.server)
            server.propose(following, state.clocks[-1])
            self._add_server(f"the keeper proposes {last}", server, state)

    def _reading_steps(self) -> None:
        state, now = self.state, self.state.clocks[-1]
        if state.reading is None:
            server = clone(state.server)
            reading = OpenReading(server.begin_read(now), state.register)
            self._add_server("a reading begins", server, replace(state, reading=reading))
            return
        for revision in dict.fromkeys((state.reading.revision, state.register)):
            server = clone(state.server)
            server.on_read(state.reading.number, state.line.id_at(revision), now)
            self._add_server(f"it read {revision}", server, replace(state, reading=None))

    def _server_steps(self) -> None:
        state, now = self.state, self.state.clocks[-1]
        tracker = state.server.tracker
        if tracker.active_revision < tracker.committed.revision:
            server = clone(state.server)
            server.tracker.judge(now)
            if server.tracker.active_revision > tracker.active_revision:
                self._add_server("the keeper judges", server, state)
        if state.restarts < self.limits.restarts:
            server = new_server(state.server.incarnation + 1, state.server_disk, now)
            restarted = replace(state, reading=None, restarts=state.restarts + 1)
            self._add_server("the keeper begins again", server, restarted)

    def _subscriber_steps(self, i: int) -> None:
        state, subscriber, clock = self.state, self.state.subscribers[i], self.state.clocks[i]
        if subscriber.state.versions.echo < self.limits.requests + 1:
            requester = clone(subscriber)
            requester.request_sync(clock)
            self._add_subscriber(f"{subscriber.name} asks", i, requester)
        if state.restarts < self.limits.restarts:
            self._add_subscriber(
                f"{subscriber.name} begins again",
                i,
                new_subscriber(subscriber.name, subscriber.incarnation + 1, state.disks[i], clock),
                restarts=state.restarts + 1,
            )

    def _message_steps(self) -> None:
        state = self.state
        for recipient, message in sorted(state.messages, key=repr):
            kind = type(message).__name__
            if recipient == "k":
                server = clone(state.server)
                server.on_message(message, state.clocks[-1])
                self._add_server(f"the keeper hears {kind} of {message.sender}", server, state)
            else:
                i = int(recipient[1:])
                subscriber = clone(state.subscribers[i])
                subscriber.on_message(message, state.clocks[i])
                self._add_subscriber(f"{recipient} hears {kind}", i, subscriber)

    def _clock_steps(self) -> None:
        state = self.state
        for slow in range(-1, len(state.clocks)):
            clocks = tuple(
                clock + (MOMENT - MOMENT // SLOW if i == slow else MOMENT)
                for i, clock in enumerate(state.clocks)
            )
            name = f"a moment, clock {slow} slow" if slow >= 0 else "a moment"
            self.found.append(Step(name, replace(state, clocks=clocks)))

    def _messages_with(self, output: Output) -> frozenset[AddressedMessage]:
        messages = self.state.messages
        return messages.union(output.messages) if output.messages else messages

    def _add_subscriber(
        self, name: str, i: int, subscriber: ConfigSubscriber, restarts: int | None = None
    ) -> None:
        state, output = self.state, subscriber.take_output()
        disk = stored(state.disks[i], output.writes)
        after = replace(
            state,
            subscribers=(*state.subscribers[:i], subscriber, *state.subscribers[i + 1 :]),
            messages=self._messages_with(output),
            disks=(*state.disks[:i], disk, *state.disks[i + 1 :]),
            restarts=state.restarts if restarts is None else restarts,
        )
        self.found.append(Step(name, after))

    def _add_server(self, name: str, server: ConfigServer, state: State) -> None:
        """Adds a step of the server; `state` has what else the step changes."""
        output = server.take_output()
        disk = state.server_disk
        proposals = (
            write.changeset
            for write in output.writes
            if not write.is_committed and write.changeset is not None
        )
        active = (event.revision for event in output.events if isinstance(event, RevisionActivated))
        after = replace(
            state,
            server=server,
            messages=self._messages_with(output),
            server_disk=ServerDisk(stored(disk.store, output.writes), (*disk.proposals, *proposals)),
            active=max([state.active, *active]),
        )
        self.found.append(Step(name, after))


def steps(state: State, limits: CheckLimits) -> list[Step]:
    """Returns every next state, and what leads to it."""
    return _Steps(state, limits).collect()


def breach(before: State | None, state: State) -> str:
    """Returns which invariant does not hold in this state, and how; empty: all hold."""
    for i in range(len(state.subscribers)):
        found = _breach_by_entries(state, i) or _breach_by_order(before, state, i)
        if found:
            return found
    return ""


def _breach_by_entries(state: State, i: int) -> str:
    line, subscriber, disk = state.line, state.subscribers[i], state.disks[i]
    name, base, entries = subscriber.name, subscriber.state.versions.base, subscriber.state.entries()
    if base.number > state.register or base.digest != line.digests[base.number]:
        return f"unborn: {name} acts by {base.number} with {state.register} committed"
    if entries.get(PAIR[0]) != entries.get(PAIR[1]) or base.spec.rows() != line.entries[base.number]:
        return f"whole: {name} acts by a part of a group"
    if disk.terms.rows() != line.entries[disk.revision]:
        return f"whole: {name} has a part of a group on disk"
    if ActiveTerms(entries).withdrawn(line.terms[base.number], ""):
        return f"unborn: {name} does what {base.number} doesn't allow"
    return ""


def _breach_by_order(before: State | None, state: State, i: int) -> str:
    subscriber, disk = state.subscribers[i], state.disks[i]
    name, base = subscriber.name, subscriber.state.versions.base
    if before is not None:
        old, old_disk = before.subscribers[i], before.disks[i]
        if disk.revision != base.number:
            return f"back: {name} acts by {base.number} with {disk.revision} on disk"
        old_base = old.state.versions.base
        is_same_run = old.incarnation == subscriber.incarnation
        if disk.revision < old_disk.revision or base.number < (
            old_base.number if is_same_run else old_disk.revision
        ):
            return f"back: {name} went from {old_base.number} to {base.number}"
    terms = ActiveTerms(subscriber.state.entries())
    if base.number < state.active and (
        subscriber.is_leased(state.clocks[i]) or terms.withdrawn(state.line.terms[state.active], "")
    ):
        return f"in-force: {name} acts by {base.number} with {state.active} in force"
    return ""


def check_all(depth: int, first: State, limits: CheckLimits | None = None) -> int:
    """Tries every order of steps.

    Args:
        depth: Steps from the first state.
        first: Where it begins.
        limits: Of requests and restarts.

    Returns:
        How many states there are within the depth.

    Raises:
        InvariantViolationError: An invariant fails in one.
    """
    limits = limits or CheckLimits()
    seen: dict[Hashable, None] = {first.key(): None}
    edge: list[tuple[State, tuple[str, ...]]] = [(first, ())]
    for _ in range(depth):
        following = []
        for state, path in edge:
            for name, after in steps(state, limits):
                key = after.key()
                if key in seen:
                    continue
                seen[key] = None
                wrong = breach(state, after)
                if wrong:
                    raise InvariantViolationError(f"{wrong}: " + ", ".join((*path, name)))
                following.append((after, (*path, name)))
        edge = following
    return len(seen)


def drive_to(state: State, *names: str, limits: CheckLimits) -> State:
    """Returns the state after the first step of each name that changes anything."""
    for name in names:
        here = state.key()
        state = next(
            step.state for step in steps(state, limits) if step.name == name and step.state.key() != here
        )
    return state


def left_behind(members: int = 2) -> State:
    """Returns a state in which a subscriber is far behind.

    LOOSER's revision 2 is active by the end of leases: m0 has heard nothing of it and acts by 1, alone.
    What was before 2 is cut from the server's history; 3, which forbids what both allow, is proposed.
    """
    acknowledgements = [
        name
        for i in range(1, members)
        for name in (f"m{i} hears CommitNotice", f"the keeper hears AppliedAck of m{i}")
    ]
    return drive_to(
        start(Line(members, LOOSER), members),
        "the register takes 2",
        "a reading begins",
        "it read 2",
        *acknowledgements,
        "a moment",
        "a moment",
        "the keeper judges",
        "the keeper proposes 3",
        limits=CheckLimits(1, 0),
    )


def walk(seed: int, length: int, first: State, limits: CheckLimits = WALK_LIMITS) -> State:
    """Follows one order of steps, far longer than all can be tried, drawn at random.

    Args:
        seed: Of what is drawn.
        length: Steps.
        first: Where it begins.
        limits: Of requests and restarts.

    Returns:
        Where it ended.

    Raises:
        InvariantViolationError: An invariant failed on the way.
    """
    rng = Random(seed)
    state = first
    path: list[str] = []
    for _ in range(length):
        here = state.key()
        found = [step for step in steps(state, limits) if step.state.key() != here]
        clock_steps = [step for step in found if step.name.startswith("a moment")]
        others = [step for step in found if not step.name.startswith("a moment")]
        before = state
        name, state = rng.choice(clock_steps if not others or rng.random() < CLOCK_STEP_SHARE else others)
        path.append(name)
        wrong = breach(before, state)
        if wrong:
            raise InvariantViolationError(f"{wrong}: " + ", ".join(path))
    return state
