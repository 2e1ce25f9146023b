"""The door of a dispatcher that may send jobs to another region, and takes some from there.

It stands in the plain TxnService's place where the charter has a `[federation]` table. All is decided as
ever; only what would be declined here is offered to the other regions that the spec allows, by a client's call
at one of their doors. Its answer is the answer. A call whose last byte did not go out proves that nothing ran
there; silence doesn't: then it is declined only if it may be repeated, and fails otherwise. A decline proves
it, too, but for referenced txns, which may be declined after a run: there the header `Crossed-Never-Ran` does.

A referenced txn that may have run, here or in another region, is sent to a further one only where workers drop
its repeats and only while they recognize them: the time that is told with it ends before that.

A client whose txn belongs to another region is sent home; here its txn is foreign. What has crossed once
stays: a call that names the region it came from is served here or declined here. Foreign jobs are let in by
`Lender` alone: own ones first, what is free, by shares.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from pathsaddle.errors import Error
from pathsaddle.federation.errors import Contradiction, InvalidSpecError
from pathsaddle.federation.routing import Candidate, RoutedRequest
from pathsaddle.federation.spare_capacity import ReleaseNotice
from pathsaddle.federation.spec import Rule
from pathsaddle.federation.udp_driver import MemberProcess
from pathsaddle.net.memory.ledger import Answer, Entry, Exchange, Sending
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import seconds
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.service.workers import ConnectionLostError, RequestNotSentError
from pathsaddle.net.wire import forms
from pathsaddle.net.wire.http import HttpError, Message
from pathsaddle.scheduler_types import MILLISECOND, Outcome, Semantics, Txn

CROSSED = b"crossed-from"
NEVER_RAN = b"crossed-never-ran"  # with a decline: no attempt of the txn may have run in that region
NEVER_RAN_HEADER = "Crossed-Never-Ran: 1"
LAST = 30 * MILLISECOND  # before its expiry an answer is given, whatever is out
FAR = 1 << 50


@dataclass(eq=False)
class Crossing:
    """One txn of ours that is at another region's door. unknown, again: as in `Job`, over all doors that it
    was at. repeat_deadline: until when a further attempt may begin, since an earlier one may have run; None:
    none may. begun_at: when its first byte went out.
    """

    txn: Txn
    entry: Entry
    answer: Answer | None
    post: str
    region: str
    unknown: list[str]
    again: dict[str, int]
    repeat_deadline: int | None = None
    begun_at: int = 0
    sending: Sending | None = None
    task: asyncio.Task[None] | None = None
    alarm: asyncio.TimerHandle | None = None

    @property
    def sent(self) -> bool:
        return self.sending is not None and self.sending.is_complete

    @property
    def client_has_left(self) -> bool:
        """Whether its client has closed its connection, which the reader has not seen yet."""
        client = self.entry.client
        return self.answer is not None and client is not None and client.has_peer_closed()

    @property
    def ends_at(self) -> int:
        """When its answer counts no more: at the txn's expiry, or when its repeats are not recognized."""
        if self.repeat_deadline is None:
            return self.txn.expires_at
        return min(self.txn.expires_at, self.repeat_deadline)


class FederatedRequestHandler(TxnService):
    """doors: region -> where its dispatchers take calls. room: how many txns may be open here before nothing
    is lent; a region's members' rooms together are what it can do at once.
    """

    def __init__(self, *told: Any, member: MemberProcess, doors: dict[str, list[str]], room: int) -> None:
        super().__init__(*told)
        self.member, self.doors, self.room = member, doors, room
        self.names = {scheme.index: name for name, scheme in self.words.schemes.items()}
        self.crossings: dict[str, Crossing] = {}
        self.foreign: dict[str, str] = {}  # tag -> scheme, of what came from abroad and is open
        member.abroad.free = self.free
        spec = member.holder.base.spec
        for name, scheme in sorted(self.words.schemes.items()):
            told_here = scheme.semantics.name.lower().replace("_", "-")
            if name in spec.schemes and spec.schemes[name].semantics != told_here:
                raise InvalidSpecError(
                    member.ground.spec,
                    [
                        Contradiction(
                            member.ground.spec,
                            f"schemes.{name}.semantics",
                            f"{spec.schemes[name].semantics} stands there, and {told_here} at semantics of that "
                            f"scheme in the charter of {member.name}",
                            "write the same in both",
                        )
                    ],
                )

    async def begin(self) -> None:
        await super().begin()
        try:
            await self.member.run()
        except Error as fault:  # such as its socket: without a lease all stays at home
            self.counters.add("fault")
            logbook.fault_task(fault)

    async def finish(self) -> None:
        await super().finish()
        self.member.end()

    def free(self) -> ReleaseNotice:
        """Of this dispatcher's room. Own ones wait: they are taken and nowhere posted."""
        waiting = sum(
            not entry.txn.postings
            for entry in self.ledger.unanswered_entries()
            if entry.txn.tag not in self.foreign
        )
        of: dict[str, int] = {}
        for scheme in self.foreign.values():
            of[scheme] = of.get(scheme, 0) + 1
        return ReleaseNotice(
            self.room - len(self.ledger.unanswered_entries()), waiting, len(self.foreign), of
        )

    # From abroad.

    def take(self, call: Message, answer: Answer) -> Entry | None:
        self._at()
        # Before anything is open: a fault in the call is the same fault as ever.
        txn, now = self.words.decode_txn(call, self.loop.now), self.member.now()
        scheme = self.names[txn.scheme.index]
        holder = self.member.holder
        rule = holder.rule(scheme, now)
        here = self.member.region
        if call.text(CROSSED) is None and here == rule.home and here in rule.may:
            return super().take(call, answer)
        if txn.tag in self.crossings:
            raise HttpError(409, "this id is not new")
        self.check_id(txn.tag)
        if call.text(CROSSED) is None:
            # It belongs elsewhere: home first, and here only as a lender.
            elsewhere = Entry(txn, call, answer)
            place = self._choose(txn, [], {}, 0)
            crossing = Crossing(txn, elsewhere, answer, f"{txn.tag}/{self.member.name}", place.region, [], {})
            if place.what == "send" and self._sets_out(crossing, place, 0):
                txn.is_closed = True  # to the decisions here: they never see it
                return elsewhere
            why = place.code if place.what != "run" else self._lent(scheme, rule, now)
        else:
            why = self._lent(scheme, rule, now)
        if why:
            self.counters.add(f"abroad.refused.{why}")
            self.member.log(
                "job.refused", now, txn=txn.tag, scheme=scheme, why=why, version=holder.base.number
            )
            answer(503, b"", (NEVER_RAN_HEADER,) if call.text(CROSSED) is not None else (), True)
            return None
        self._lets_in(txn, scheme, rule, now)
        return super().take(call, answer)

    def _lets_in(self, txn: Txn, scheme: str, rule: Rule, now: int) -> None:
        """Before any of it can have an effect."""
        self.foreign[txn.tag] = scheme
        self.counters.add("abroad.taken")
        self.member.log(
            "region.ran",
            now,
            by=self.member.name,
            region=self.member.region,
            txn=txn.tag,
            post=txn.tag,
            kind=rule.semantics,
            scheme=scheme,
            home=rule.home,
        )

    def _lent(self, scheme: str, rule: Rule, now: int) -> str:
        if rule.home == self.member.region:
            return "" if self.member.region in rule.may else "residency"
        return self.member.abroad.lent_to(scheme, rule, self.free(), now)

    def _answer(
        self,
        txn: Txn,
        kind: str,
        status: int,
        body: bytes = b"",
        headers: tuple[str, ...] = (),
        keep: bool = True,
    ) -> None:
        self.foreign.pop(txn.tag, None)
        entry = self.ledger[txn.tag]
        has_crossed = entry.request.text(CROSSED) is not None
        if kind == "declined" and has_crossed and self._first_possible_run(entry) is None:
            headers = (*headers, NEVER_RAN_HEADER)
        super()._answer(txn, kind, status, body, headers, keep)

    @staticmethod
    def _first_possible_run(entry: Entry) -> int | None:
        """When the first posting here that may have run was sent; None: none may have."""
        return min(
            (x.posting.sent_at for x in entry.exchanges if x.is_sent and x.posting.may_have_run), default=None
        )

    def _repeat_deadline(self, txn: Txn, sent_at: int, known: int | None = None) -> int | None:
        """Until when a txn that may have run since `sent_at` may be sent to a further region; None: always.

        known: the deadline by earlier attempts. A txn whose repeats only a part of the workers drops together
        may not be sent to those of another region.
        """
        if txn.scheme.semantics is Semantics.REPEATABLE:
            return None
        scheduler = self.loop.scheduler
        if not scheduler.is_repeatable_anywhere(txn.scheme):
            return 0
        deadline = scheduler.repeat_deadline(txn.scheme, sent_at)
        return deadline if known is None else min(deadline, known)

    # To another region.

    def decline(self, txn: Txn, come_back: int, elsewhere: bool) -> None:
        if not self._leaves(txn, come_back):
            super().decline(txn, come_back, elsewhere)

    async def _carry(self, exchange: Exchange) -> None:
        """Each posting here is asked for by the spec as it stands now: it may have been tightened while a txn
        was held.
        """
        txn = exchange.posting.txn
        if self.member.region in self.member.holder.rule(self.names[txn.scheme.index], self.member.now()).may:
            await super()._carry(exchange)
            return
        self._end(exchange, Outcome.MOOT)
        if not txn.is_closed:
            if (
                any(one.is_sent for one in exchange.entry.exchanges)
                and txn.scheme.semantics is not Semantics.REPEATABLE
            ):
                self.reverse(txn)
            else:
                super().decline(txn, 0, True)
            self.loop.abandon_txn(txn)

    def _choose(
        self,
        txn: Txn,
        unknown: list[str],
        again: dict[str, int],
        own_wait: int,
        repeat_deadline: int | None = None,
    ) -> Candidate:
        member, now = self.member, self.member.now()
        holder, name = member.holder, self.names[txn.scheme.index]
        ends_at = txn.expires_at if repeat_deadline is None else min(txn.expires_at, repeat_deadline)
        left = now + ends_at - self.clock.now() - LAST
        job = RoutedRequest(txn.tag, name, txn.scheme.sla_time, left, member.region, unknown, again)
        member.abroad.ways.own_wait = own_wait
        place = member.abroad.ways.choose(
            job, holder.rule(name, now), holder.base.spec, holder.base.number, now
        )
        logbook.note(
            text=f"{txn.tag} {place.what} {place.code} {place.region} {place.key} line {place.line} "
            f"version {place.version}"
        )
        return place

    def _leaves(self, txn: Txn, come_back: int) -> bool:
        entry = self.ledger[txn.tag]
        if entry.answer is None or txn.tag in self.foreign or entry.request.text(CROSSED) is not None:
            return False
        unknown, repeat_deadline = [], None
        first_run = self._first_possible_run(entry)
        if txn.scheme.semantics is Semantics.REFERENCED and first_run is not None:
            unknown = [self.member.region]  # it may have run here: only where one group drops repeats of both
            repeat_deadline = self._repeat_deadline(txn, first_run, txn.remote_repeat_deadline)
        place = self._choose(txn, unknown, {}, FAR, repeat_deadline)  # it has just been declined here
        crossing = Crossing(
            txn,
            entry,
            entry.answer,
            f"{txn.tag}/{self.member.name}",
            place.region,
            unknown,
            {},
            repeat_deadline,
        )
        if place.what != "send" or not self._sets_out(crossing, place, come_back):
            self.counters.add(f"abroad.not.{place.code}")
            return False
        entry.answer = None
        self._events.call_soon(self.ledger.close, entry)
        return True

    def _sets_out(self, crossing: Crossing, place: Candidate, come_back: int) -> bool:
        """Whether there is a door to go to; then its answer is the answer."""
        txn, member, now = crossing.txn, self.member, self.member.now()
        doors = self.doors.get(place.region)
        if not doors:
            return False
        rule = member.holder.rule(self.names[txn.scheme.index], now)
        self.crossings[txn.tag] = crossing
        self.counters.add(f"abroad.sent.{place.code}")
        member.abroad.ways.opened(place.region, place.region != rule.home)
        member.log(
            "abroad.sent",
            now,
            post=crossing.post,
            txn=txn.tag,
            scheme=self.names[txn.scheme.index],
            kind=rule.semantics,
            origin=member.region,
            to=place.region,
            version=place.version,
            home=rule.home,
            code=place.code,
            line=place.line,
            **{"from": member.region},
        )
        self._set_alarm(crossing)
        crossing.task = self._start(self._cross(crossing, crossing.entry.request, place, doors, come_back))
        return True

    def _set_alarm(self, crossing: Crossing) -> None:
        if crossing.alarm is not None:
            crossing.alarm.cancel()
        due = seconds(crossing.ends_at - self.clock.now() - LAST)
        crossing.alarm = self._events.call_later(max(0.0, due), self._overdue, crossing)

    async def _cross(
        self, crossing: Crossing, call: Message, place: Candidate, doors: list[str], come_back: int
    ) -> None:
        door = self.member.chance.choice(doors)
        name = f"door:{door}"
        self.workers.set_address(name, door)
        # Its decline must be back before ours is due: silence would be all that we know.
        way = self.member.abroad.ways.ways[place.region].patience()
        headers: list[tuple[bytes, bytes]] = []

        def begins(sending: Sending) -> None:
            # Connecting took time, and a process may stand still between its look and its sending.
            now = self.member.now()
            if place.region not in self.member.holder.rule(self.names[crossing.txn.scheme.index], now).may:
                raise RequestNotSentError("the spec was tightened")
            if crossing.client_has_left:
                self.hang_up(crossing.entry)
                raise RequestNotSentError("the client has left")
            crossing.begun_at = self.clock.now()
            left = crossing.ends_at - crossing.begun_at - 2 * LAST - way
            if left <= 0:
                raise RequestNotSentError("no time is left")
            headers.extend(row for row in forms.posting_headers(call, left) if row[0].lower() != CROSSED)
            headers.append((b"Crossed-From", self.member.region.encode()))
            crossing.sending = sending

        await self.read_ahead(crossing.entry)
        try:
            answer = await self.workers.call(
                name,
                "POST",
                call.target,
                headers,
                call.body,
                begins,
            )
        except RequestNotSentError:
            self._crossed(crossing, "declined", come_back)
        except ConnectionLostError:
            self._crossed(crossing, "unknown", come_back)
        else:
            if answer.status == 200:
                self._crossed(crossing, "settled", body=answer.body)
            elif answer.status in (429, 503):
                is_proof = (
                    crossing.txn.scheme.semantics is not Semantics.REFERENCED
                    or answer.headers.get(NEVER_RAN) == b"1"
                )
                self._crossed(crossing, "declined", come_back, is_proof=is_proof)
            elif 400 <= answer.status < 500:
                self._crossed(crossing, "declined", come_back)
            else:
                self._crossed(crossing, "reversed", come_back)

    def _overdue(self, crossing: Crossing) -> None:
        """Its time is up; the end of the connection tells the other region that nobody waits."""
        self._crossed(crossing, "unknown" if crossing.sent else "declined", 0)
        if crossing.task is not None:
            crossing.task.cancel()

    def _crossed(
        self, crossing: Crossing, outcome: str, come_back: int = 0, body: bytes = b"", is_proof: bool = True
    ) -> None:
        """What became of it there. is_proof: whether a decline proves that nothing ran."""
        if self.crossings.pop(crossing.txn.tag, None) is None:
            return
        if crossing.alarm is not None:
            crossing.alarm.cancel()
        member, txn = self.member, crossing.txn
        now = member.now()
        told = "unknown" if outcome == "reversed" else outcome
        may_have_run = outcome != "declined" or not is_proof
        lent = (
            crossing.region != member.holder.base.spec.rule(self.names[txn.scheme.index], member.region).home
        )
        member.abroad.ways.ended(crossing.region, told, lent, now)
        logged = "unknown" if outcome == "declined" and may_have_run else outcome
        member.log("abroad.ended", now, post=crossing.post, txn=txn.tag, outcome=logged)
        self.counters.add(f"abroad.{outcome}")
        if crossing.answer is None:
            self._remember_id(txn)
            return
        ran_before = bool(crossing.unknown)
        if outcome != "settled" and self._goes_on(crossing, may_have_run, come_back):
            return
        # Declined, if that is the word from there and nothing ran before, or it may be repeated; else failed.
        headers: tuple[str, ...] = ()
        if outcome == "settled":
            kind, status = "settled", 200
        elif (outcome == "declined" and not ran_before) or txn.scheme.semantics is Semantics.REPEATABLE:
            kind, status, headers = "declined", 503, forms.retry_after_header(come_back)
        else:
            kind, status = "reversed", 500
        self.counters.add(f"txn.{kind}")
        self._remember_id(txn)
        crossing.answer(status, body, headers, True)

    def _remember_id(self, txn: Txn) -> None:
        """Keep the id of a txn that the decisions here may never have seen."""
        if not self.ledger.has_seen(txn.tag):
            self.ledger.remember(txn, may_have_run=True)

    def _goes_on(self, crossing: Crossing, may_have_run: bool, come_back: int) -> bool:
        """Nothing came of it there: whether another place is found, by the same choice."""
        txn, member, now = crossing.txn, self.member, self.member.now()
        if may_have_run:
            crossing.unknown.append(crossing.region)
            crossing.repeat_deadline = self._repeat_deadline(txn, crossing.begun_at, crossing.repeat_deadline)
        crossing.again[crossing.region] = now + int(member.abroad.ways.ways[crossing.region].trip)
        if self.stopping is not None or self.clock.now() + 2 * LAST >= txn.expires_at:
            return False
        place = self._choose(txn, crossing.unknown, crossing.again, FAR, crossing.repeat_deadline)
        if place.what == "send":
            further = Crossing(
                txn,
                crossing.entry,
                crossing.answer,
                f"{crossing.post}+",
                place.region,
                crossing.unknown,
                crossing.again,
                crossing.repeat_deadline,
            )
            return self._sets_out(further, place, come_back)
        if place.what != "run" or self.ledger.has_seen(txn.tag):
            return False
        # It belongs elsewhere, and the decisions here have not seen it yet.
        scheme = self.names[txn.scheme.index]
        rule = member.holder.rule(scheme, now)
        if self._lent(scheme, rule, now):
            return False
        self._lets_in(txn, scheme, rule, now)
        crossing.entry.answer, txn.is_closed = crossing.answer, False
        txn.remote_repeat_deadline = crossing.repeat_deadline
        self.ledger.open(crossing.entry)
        self.counters.add("txn.taken")
        self._at()
        self._guard(txn, lambda: self.loop.start_txn(txn))
        return True

    def hang_up(self, entry: Entry) -> None:
        crossing = self.crossings.get(entry.txn.tag)
        self.foreign.pop(entry.txn.tag, None)
        if crossing is None:
            super().hang_up(entry)
            return
        # Told on: the end of the connection is a hang-up there.
        crossing.answer = None
        self.counters.add("txn.hung_up")
        self._crossed(crossing, "unknown" if crossing.sent else "declined")
        if crossing.task is not None:
            crossing.task.cancel()

    def stop(self, by: int) -> None:
        for crossing in self.crossings.values():
            if crossing.txn.shorten_deadline(by) and crossing.alarm is not None:
                self._set_alarm(crossing)
        super().stop(by)
