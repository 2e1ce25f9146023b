"""Commits the changes that come to one config server, in rounds.

A round campaigns for the register's key, proposes change sets, and changes the register.

Changes that wait are committed together (`commit_round.py`), each with its own revision and answer. The
fencing token guards the change of the register: voters take it only while the campaign under which the
round was planned is the last. Called by `server_driver.py`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine, Sequence
from random import Random
from typing import Any, Protocol

from pathsaddle.config.validation import InvalidConfigError
from pathsaddle.errors import Error
from pathsaddle.settings import commit_round
from pathsaddle.settings.active_terms import ActiveTerms
from pathsaddle.settings.commit_round import PlannedChange, RoundVerdict, Verdict
from pathsaddle.settings.configuration import CheckedEntries, check_consistency
from pathsaddle.settings.control_messages import ApplyRequest, ChangeOutcome
from pathsaddle.settings.documents import (
    ChangeSet,
    InvalidDocumentError,
    RevisionId,
    encode_document,
    id_of,
)
from pathsaddle.settings.driver_config import DriverConfig
from pathsaddle.settings.errors import (
    ChangeRejectedError,
    NoQuorumError,
    RevisionConflictError,
    ServerDefectError,
)
from pathsaddle.settings.queued_change import QueuedChange, outcome_unknown, rejected
from pathsaddle.settings.register_session import (
    POLL_SECONDS,
    REGISTER_KEY,
    OwnedRevision,
    RegisterLocation,
    RegisterSession,
    VoterConfig,
    encode_register_value,
)
from pathsaddle.settings.server import ConfigServer
from pathsaddle.settings.store import Store

LINGER_SECONDS = 0.3  # for which a server keeps the register's key after a change, for the next
DOCUMENT_POLL_SECONDS = 0.2  # between two readings while this server lacks a document


class ServerAccess(Protocol):
    """What the committer needs of the server's driver; `ConfigServerDriver` says what each does."""

    config: DriverConfig
    core: ConfigServer | None
    acknowledged_digest: str

    def require_core(self) -> ConfigServer:
        """Returns the core; raises NoQuorumError where there is none."""

    def propose(self, changesets: Sequence[ChangeSet]) -> None:
        """Lets the core propose; raises InvalidDocumentError."""

    def withdraw(self) -> None:
        """Lets the core propose no more."""

    def request_read(self) -> None:
        """Begins a reading of the register at once, if none runs."""

    async def read_register(self) -> RevisionId | None:
        """Returns what the register holds, or None."""

    async def wait_for(self, condition: Callable[[], bool], deadline: float) -> bool:
        """Whether something came true in time."""

    def start_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs a task that is cancelled at the end."""

    def report_fault(self, fault: BaseException) -> None:
        """Logs a defect of ours."""


class ChangeCommitter:
    """The queue of changes, and the rounds that commit them.

    Attributes:
        queued: As many as the control address has connections.
        session: The campaign for the register's key, while there are changes and a while longer.
    """

    def __init__(
        self, server: ServerAccess, where: RegisterLocation, voters: VoterConfig, rng: Random
    ) -> None:
        """Starts with nothing to commit.

        Args:
            server: The driver of the server that commits.
            where: Its part of the register.
            voters: The register's.
            rng: Draws for campaigns.
        """
        self.server, self.where, self.voters, self.rng = server, where, voters, rng
        self.queued: list[QueuedChange] = []
        self.session: RegisterSession | None = None
        self._rounds: asyncio.Task[None] | None = None
        self._lock = asyncio.Lock()  # held while rounds run, and while the key is given back
        self._count = 0  # of changes that were begun
        self._checked: CheckedEntries | None = None  # entries that were checked last

    async def end(self) -> None:
        """Gives the register's key back."""
        session, self.session = self.session, None
        if session is not None:
            await session.end()

    async def commit(self, request: ApplyRequest) -> ChangeOutcome:
        """Commits one change, all or none, together with others that wait.

        Raises:
            ChangeRejectedError: Nobody may make it.
            RevisionConflictError: Another was committed first.
            NoQuorumError: Nothing was committed in time, or the outcome is unknown; the text says which.
        """
        deadline = time.monotonic() + request.timeout_seconds
        change = QueuedChange(
            request.changes,
            request.author,
            request.reason,
            int(time.time() * 1000),
            request.expected_revision,
            deadline=deadline,
        )
        self.queued.append(change)
        self._count += 1
        if self._rounds is None:
            self._rounds = self.server.start_task(self._run_rounds())
        await asyncio.wait([change.outcome], timeout=max(0.0, deadline - time.monotonic()))
        if not change.outcome.done() and change in self.queued:
            if change.is_sent:
                self.queued.remove(change)
                raise outcome_unknown(change)
            if change.changeset is None:
                self.queued.remove(change)
                raise NoQuorumError(
                    "no majority of the voters let us own the register, or other changes were before it: "
                    "nothing was committed",
                    "start those of voters.names that are down, or mend the ways to them, then apply again",
                )
        return await change.outcome

    async def _run_rounds(self) -> None:
        """Runs rounds until nothing waits.

        What fails here fails all that wait; each round else settles what it can, or somebody's time is over.
        """
        try:
            async with self._lock:
                while self.queued:
                    if self.session is None:
                        self.session = RegisterSession(self.where, self.voters, self.rng)
                        self.session.register.begin()
                    try:
                        await self._run_round(self.session)
                    except InvalidDocumentError as fault:
                        self._fail(self.queued, rejected(fault))
                    except Error as fault:
                        self._fail(self.queued, fault)
                    finally:
                        for change in self.queued:
                            change.changeset = None
        except Exception as fault:  # noqa: BLE001  # a defect of ours: of these changes alone
            self.server.report_fault(fault)
            self._fail(
                self.queued,
                ServerDefectError(address=self.server.config.control, why=f"{type(fault).__name__}: {fault}"),
            )
        finally:
            self._rounds = None
            self.server.start_task(self._linger(self._count))

    async def _linger(self, count: int) -> None:
        """Gives the key back, so that others may commit, unless more changes came here."""
        await asyncio.sleep(LINGER_SECONDS)
        async with self._lock:
            if self._count == count and not self.queued:
                await self.end()

    async def _run_round(self, session: RegisterSession) -> None:
        """Runs one round through the register, with all of the queue that can go together.

        Raises:
            Error: Of all that wait.
            InvalidDocumentError: Of all that wait.
        """
        owned = await self._acquire(session)
        if owned is None:
            return
        if not await self._await_document(owned.committed, max(change.deadline for change in self.queued)):
            raise NoQuorumError(
                f"no keeper has the text of revision {owned.committed.revision}: nothing was committed",
                "start the keepers that are down, and apply again",
            )
        core = self.server.require_core()
        planned = self._plan(core, owned.committed)
        if not planned or not await self._propose(core, planned):
            return
        if (
            self.server.require_core() is not core
            or session.register.fencing_token(REGISTER_KEY) != owned.fencing_token
        ):
            self.server.withdraw()
            return  # owned anew since the look: what was read may be no longer so
        await self._change_register(session, planned)
        try:
            deadline = max(one.change.deadline for one in planned)
            outcome = await self._await_outcome(planned[-1].changeset.revision, deadline)
        except NoQuorumError as fault:
            self._fail([one.change for one in planned], fault)
            return
        self._settle(planned, owned.committed, outcome)

    async def _acquire(self, session: RegisterSession) -> OwnedRevision | None:
        """Waits until the register's key is ours; None: nobody waits for that any more."""
        now, waiting = time.monotonic(), list(self.queued)
        self._fail(
            [change for change in waiting if change.deadline <= now],
            NoQuorumError(
                "no round through the voters and keepers ended in time: nothing was committed",
                "start those of voters.names and keepers that are down, or mend the ways to them, "
                "then apply again",
            ),
        )
        if not self.queued:
            return None
        try:
            owned = await session.acquire(max(change.deadline for change in self.queued))
        except NoQuorumError as fault:
            self._fail(waiting, fault)
            return None
        return owned if self.queued else None

    def _plan(self, core: ConfigServer, latest: RevisionId) -> tuple[PlannedChange[QueuedChange], ...]:
        """Plans the round, and answers the changes that are settled without it."""
        plan = commit_round.plan_round(core.store, self.queued, self._check_entries, core.fits_one_round)
        for verdict in plan.verdicts:
            self._answer(verdict, latest)
        for one in plan.planned:
            one.change.changeset = one.changeset
        return plan.planned

    async def _propose(self, core: ConfigServer, planned: Sequence[PlannedChange[QueuedChange]]) -> bool:
        """Whether a majority of servers has the round's change sets on disk."""
        changes = [one.change for one in planned]
        last = id_of(planned[-1].changeset)
        try:
            self.server.propose([one.changeset for one in planned])
        except InvalidDocumentError as fault:
            self._fail(changes, rejected(fault))
            return False
        if await self._await_acknowledged(core, last.digest, min(one.deadline for one in changes)):
            return True
        self.server.withdraw()
        self._fail(
            [one for one in changes if one.deadline <= time.monotonic()],
            NoQuorumError(
                f"no majority of the keepers has revision {last.revision} on disk: nothing was committed",
                "start those of keepers that are down, or mend the ways to them, then apply again",
            ),
        )
        return False  # the others' time is not over: once more, without those

    async def _change_register(
        self, session: RegisterSession, planned: Sequence[PlannedChange[QueuedChange]]
    ) -> None:
        for one in planned:
            one.change.is_sent = True
            one.change.attempts.append(id_of(one.changeset))
        # From here on the fencing token guards it: voters take the change only while this very campaign is
        # the last.
        size_bytes = sum(len(encode_document(one.changeset)) for one in planned)
        await session.register.put(
            REGISTER_KEY, encode_register_value(id_of(planned[-1].changeset), size_bytes)
        )

    def _settle(
        self, planned: Sequence[PlannedChange[QueuedChange]], before: RevisionId, outcome: RevisionId
    ) -> None:
        """Answers the round's changes by what the register holds after it.

        Args:
            planned: The round.
            before: What the register held before it.
            outcome: What the register holds.
        """
        last = id_of(planned[-1].changeset)
        is_committed = outcome == last or (outcome.revision > last.revision and self._has_committed(last))
        for one in planned:
            change = one.change
            if change not in self.queued:
                continue  # its time was over
            if is_committed:
                self.queued.remove(change)
                change.resolve(id_of(one.changeset), True)
            elif outcome != before and self.server.require_core().store.revision >= outcome.revision:
                change.is_sent = False  # another's stands there, and the fencing token of ours is an old one
                if change.expected_revision is not None:
                    self.queued.remove(change)
                    change.fail(
                        _conflict(self.server.require_core().store, outcome, change.expected_revision)
                    )

    def _fail(self, changes: Sequence[QueuedChange], error: Error) -> None:
        """Answers with an error.

        A change that may be committed, whatever is heard, is answered that instead.
        """
        for change in list(changes):
            if change in self.queued:
                self.queued.remove(change)
                is_unknown = change.is_sent and isinstance(error, NoQuorumError)
                change.fail(outcome_unknown(change) if is_unknown else error)

    def _answer(self, verdict: RoundVerdict[QueuedChange], latest: RevisionId) -> None:
        change = verdict.change
        self.queued.remove(change)
        match verdict.verdict:
            case Verdict.ALREADY_COMMITTED | Verdict.UNCHANGED:
                change.resolve(verdict.committed, verdict.verdict == Verdict.ALREADY_COMMITTED)
            case Verdict.REVISION_CONFLICT:
                change.fail(_conflict(self.server.require_core().store, latest, change.expected_revision))
            case Verdict.REJECTED:
                reason = verdict.reason
                change.fail(reason if isinstance(reason, Error) else rejected(reason))

    def _check_entries(self, terms: ActiveTerms) -> None:
        """Raises ChangeRejectedError where entries do not fit together.

        No dispatcher could take them into service.
        """
        try:
            self._checked = check_consistency(terms.rows(), self._checked)
        except InvalidConfigError as fault:
            raise ChangeRejectedError(list(map(str, fault.faults))) from None

    async def _await_acknowledged(self, core: ConfigServer, digest: str, deadline: float) -> bool:
        return await self.server.wait_for(
            lambda: self.server.core is not core or self.server.acknowledged_digest == digest, deadline
        )

    async def _await_document(self, committed: RevisionId, deadline: float) -> bool:
        """Whether this server has a revision's document in time, by its disk."""
        while time.monotonic() < deadline:
            self.server.request_read()
            if await self.server.wait_for(
                lambda: self.server.core is None or self.server.core.store.revision >= committed.revision,
                min(deadline, time.monotonic() + DOCUMENT_POLL_SECONDS),
            ):
                return self._has_committed(committed)
        return False

    async def _await_outcome(self, revision: int, deadline: float) -> RevisionId:
        """Returns what the register holds after a change of which nobody may have heard what came.

        Raises:
            NoQuorumError: No majority of voters says it in time.
        """
        while time.monotonic() < deadline:
            self.server.request_read()
            committed = await self.server.read_register()
            if committed is not None:
                if committed.revision >= revision:
                    await self._await_document(committed, deadline)
                return committed
            await asyncio.sleep(POLL_SECONDS)
        raise NoQuorumError("no majority of the voters answers", "start those of voters.names that are down")

    def _has_committed(self, committed: RevisionId) -> bool:
        return self.server.require_core().store.digest_at(committed.revision) == committed.digest


def _conflict(store: Store, found: RevisionId, expected: int | None) -> RevisionConflictError:
    """Returns the error for a change before which another was committed, by whom if that is known."""
    last = store.log[-1][1] if store.log and store.digest == found.digest else None
    return RevisionConflictError(
        revision=found.revision,
        author=last.author if last else "somebody",
        reason=last.reason if last else "",
        expected=expected,
    )
