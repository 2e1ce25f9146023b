"""Emulated clients and the front layer that deals their connections out: open loop, with tries and ill manners."""

from __future__ import annotations

import asyncio
import csv
import math
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import httptools
import msgspec

from pathsaddle.config.schema import RequestClassTable, TenantTable
from pathsaddle.emulator.ground import speech
from pathsaddle.emulator.ground.speech import Hearing, Said
from pathsaddle.emulator.plan import Kind
from pathsaddle.emulator.served.world import TICKS, Place, Sites, Wire, World

COMES_UP = 1.0  # seconds a client waits for a connection
CROSSING = 200  # ticks in which a close and a call may have crossed
LATE = 2000  # ticks past its expiry after which a client is gone for good
READY_EVERY = 0.1  # seconds between the front's looks at one that is not ready
BAD = ("half", "noise", "two-lengths", "silent", "giant", "unread", "long-head", "sips")


@dataclass(slots=True, eq=False)
class Wish:
    """One job as its client wants it; its tries share the time that the first began."""

    number: int
    scheme: RequestClassTable
    kind: Kind
    customer: TenantTable | None
    work: int
    hint: int | None
    zone: str
    first: int = 0


class FrontLayer:
    """Deals out connections among the dispatchers of a zone that it takes to be alive."""

    def __init__(self, world: World, sites: Sites) -> None:
        self.world = world
        self.sites = sites
        self.chance = world.chance("front")
        self.up: dict[int, bool] = dict.fromkeys(range(world.plan.fleet.dispatchers), False)
        self.place = sites.place("front", "")
        self.turn = 0

    def pick(self, zone: str) -> int | None:
        near = [d for d, up in self.up.items() if up and self.sites.zone_of(d) == zone]
        near = near or [d for d, up in self.up.items() if up]
        if not near:
            return None
        self.turn += 1
        return near[self.turn % len(near)]

    def died(self, dispatcher: int) -> None:
        """It notices only later, and then asks until it is ready again."""
        low, high = self.world.plan.fleet.notice
        self.place.start(self._notices(dispatcher, (low + (high - low) * self.chance.random()) / TICKS))

    async def _notices(self, dispatcher: int, after: float) -> None:
        await asyncio.sleep(after)
        self.up[dispatcher] = False
        await self.ready(dispatcher)

    async def ready(self, dispatcher: int) -> None:
        """Until GET /ready says 200."""
        while not self.up[dispatcher]:
            wire = None
            try:
                async with asyncio.timeout(COMES_UP):
                    wire = await dial(self.world, self.sites, self.place, dispatcher)
                    await wire.send(speech.call("GET", "/ready", {}))
                    said = await wire.said(Hearing(calls=False))
                    self.up[dispatcher] = said is not None and said.status == 200
            except (OSError, TimeoutError, httptools.HttpParserError):
                pass
            finally:
                if wire is not None:
                    wire.close()
            await asyncio.sleep(READY_EVERY)


def trace(path: str) -> list[tuple[float, str, float, str]]:
    """Seconds, scheme, milliseconds of work, customer of each job; raises ValueError on a line that is none."""
    with Path(path).open(encoding="utf-8", newline="") as file:
        return [
            (float(when), scheme, float(work), customer) for when, scheme, work, customer in csv.reader(file)
        ]


async def dial(world: World, sites: Sites, place: Place, dispatcher: int, sips: float = 0.0) -> Wire:
    sock, peer = place.stream(sites.listen_of(dispatcher))
    try:
        await world.loop.sock_connect(sock, peer)
    except BaseException:
        place.let_go(sock)
        raise
    zone = sites.zone_of(dispatcher)
    return Wire(world, place, sock, place.zone or zone, sips=sips)


class Clients:
    def __init__(self, world: World, sites: Sites, front: FrontLayer) -> None:
        self.world = world
        self.sites = sites
        self.front = front
        self.load = world.plan.load
        self.chance = world.chance("clients")
        self.places = {zone: sites.place(f"clients in {zone}", zone) for zone in world.charter.zones}
        self.kept: dict[tuple[str, int], list[tuple[Wire, Hearing]]] = {}
        self.number = 0
        self.durably = world.chance("durable")
        self.stays = world.chance("stays")
        self.heavy: dict[str, float] = {}  # schemes whose jobs cost so many times the usual for a while
        self.surge: dict[str, float] = {}  # customers that send so many times the usual
        self.zones = [sites.zone_of(d) for d in range(world.plan.fleet.dispatchers)]
        schemes = [s for s in world.charter.schemes if s.name in self.load.jobs] or world.charter.schemes
        self.schemes = schemes
        self.kinds = {s.name: self.load.jobs.get(s.name, Kind()) for s in schemes}
        draw = world.chance("kinds")
        self.means = {
            name: kind.run[0] + (kind.run[1] - kind.run[0]) * draw.random()
            for name, kind in self.kinds.items()
        }
        self.open = 0
        self.idle = asyncio.Event()
        self.idle.set()

    # What is wanted.

    def wish(
        self,
        scheme: RequestClassTable | None = None,
        work: int | None = None,
        customer: TenantTable | None = None,
    ) -> Wish:
        chance = self.chance
        if scheme is None:
            scheme = chance.choices(self.schemes, [self.kinds[s.name].part for s in self.schemes])[0]
        kind = self.kinds.get(scheme.name) or Kind()
        if work is None:
            spread = math.exp(chance.gauss(0.0, kind.spread) - kind.spread**2 / 2)
            work = max(1, int(self.means[scheme.name] * spread * self.heavy.get(scheme.name, 1.0)))
        if customer is None and self.world.charter.customers:
            customers = self.world.charter.customers
            weights = [(c.portion or 1.0) * self.surge.get(c.name, 1.0) for c in customers]
            customer = chance.choices(customers, weights)[0]
        hint = None
        if kind.hint:
            hint = max(1, int(work * math.exp(chance.uniform(-1, 1) * math.log(max(1.0, kind.hint)))))
        self.number += 1
        return Wish(self.number, scheme, kind, customer, work, hint, chance.choice(self.zones))

    async def arrivals(self, until: float) -> None:
        """All jobs of the run, whether or not earlier ones have their answers."""
        if self.load.shape == "trace":
            await self._replay(until)
            return
        loop, chance = self.world.loop, self.world.chance("arrivals")
        due = loop.time()
        begun = due
        while True:
            rate = self.load.rate * self._surging()
            if self.load.shape == "bursts":
                rate *= 4.0 if (due - begun) % 10.0 < 1.0 else 2 / 3
            due += chance.expovariate(rate)
            if due - begun >= until:
                return
            await asyncio.sleep(max(0.0, due - loop.time()))
            self.go(self.wish())

    def _surging(self) -> float:
        customers = self.world.charter.customers
        if not customers or not self.surge:
            return max(self.surge.values(), default=1.0)
        whole = sum(c.portion or 1.0 for c in customers)
        return sum((c.portion or 1.0) * self.surge.get(c.name, 1.0) for c in customers) / whole

    async def _replay(self, until: float) -> None:
        schemes = {s.name: s for s in self.world.charter.schemes}
        customers = {c.name: c for c in self.world.charter.customers}
        begun = self.world.loop.time()
        for when, scheme, milliseconds, customer in trace(self.load.trace):
            if when >= until:
                return
            await asyncio.sleep(max(0.0, begun + when - self.world.loop.time()))
            self.go(self.wish(schemes[scheme], int(milliseconds * 10), customers.get(customer)))

    def go(self, wish: Wish) -> None:
        self.open += 1
        self.idle.clear()
        durable = self.load.durable and self.durably.random() < self.load.durable
        task = self.places[wish.zone].start(self._hand_in(wish) if durable else self._live(wish))
        task.add_done_callback(self._lived)

    def _lived(self, _: object) -> None:
        self.open -= 1
        if not self.open:
            self.idle.set()

    # One job's tries.

    async def _live(self, wish: Wish) -> None:
        chance = self.world.chance(f"client {wish.number}")
        wish.first = self.world.now()
        scheme = wish.scheme
        sla = scheme.sla if scheme.sla is not None else scheme.expiry
        self.world.add(
            "wanted",
            job=wish.number,
            scheme=scheme.name,
            work=wish.work,
            slots=wish.kind.slots,
            customer=wish.customer.name if wish.customer is not None else "",
            due=wish.first + sla + int(scheme.stretch * wish.work),
            zone=wish.zone,
        )
        low, high = self.load.wait
        for number in range(self.load.retries + 1):
            how, come_back = await self._try(wish, number, chance)
            if how in ("settled", "hung-up") or (how == "reversed" and scheme.semantics == "once-only"):
                return
            if how == "lost" and scheme.semantics == "once-only":
                return
            if number < self.load.retries:
                wait = come_back if come_back else (low + (high - low) * chance.random()) / TICKS
                await asyncio.sleep(wait)

    async def _try(self, wish: Wish, number: int, chance: Random) -> tuple[str, float]:
        """How it ended, and what wait was advised."""
        for again in (False, True):
            dispatcher = None if again else self._staying(wish.zone)
            if dispatcher is None:
                dispatcher = self.front.pick(wish.zone)
            if dispatcher is None:
                return "unreached", 0.0
            try:
                wire, hearing, used = await self._connection(wish.zone, dispatcher)
            except (OSError, TimeoutError):
                return "unreached", 0.0
            how, come_back = await self._call(
                wish, number, chance, dispatcher, wire, hearing, used and not again
            )
            if how != "crossed":
                return how, come_back
        return "unreached", 0.0

    def _staying(self, zone: str) -> int | None:
        """A dispatcher that was taken out and still holds a connection open: clients go on using it."""
        if not self.load.stays or self.stays.random() >= self.load.stays:
            return None
        held = [
            d
            for (where, d), kept in self.kept.items()
            if where == zone and not self.front.up[d] and any(wire.gone_at is None for wire, _ in kept)
        ]
        return self.stays.choice(held) if held else None

    async def _connection(self, zone: str, dispatcher: int) -> tuple[Wire, Hearing, bool]:
        kept = self.kept.setdefault((zone, dispatcher), [])
        while kept:
            wire, hearing = kept.pop()
            if wire.gone_at is None:
                return wire, hearing, True
            wire.close()
        async with asyncio.timeout(COMES_UP):
            return (
                await dial(self.world, self.sites, self.places[zone], dispatcher),
                Hearing(calls=False),
                False,
            )

    def target_of(self, wish: Wish) -> str:
        """Each job is about something of its own: it has its own keepers among the workers (`Scheduler.key_workers`)."""
        return f"/{wish.scheme.name}?k={wish.number}"

    async def _call(
        self,
        wish: Wish,
        number: int,
        chance: Random,
        dispatcher: int,
        wire: Wire,
        hearing: Hearing,
        used: bool,
    ) -> tuple[str, float]:
        scheme, add = wish.scheme, self.world.events.add
        tag = f"{chance.getrandbits(64):016x}"
        headers = {"Req-Id": tag, "Req-Kind": scheme.name, "Req-Deadline-Ms": str(scheme.expiry // 10)}
        if wish.customer is not None:
            headers["Req-Owner"] = wish.customer.name
        if wish.hint is not None:
            headers["Req-Cost"] = str(wish.hint * 100)
        if wish.kind.slots != 1.0 or wish.kind.memory:
            headers["Req-Extra"] = f"slots={wish.kind.slots:g},memory={wish.kind.memory:g}"
        if number and self.load.marks:
            headers["Req-Retry"] = "1"
        body = msgspec.json.encode(
            {
                "work": wish.work,
                "slots": wish.kind.slots,
                "memory": wish.kind.memory,
                "pad": "x" * wish.kind.body,
            }
        )
        try:
            sent = await wire.send(speech.call("POST", self.target_of(wish), headers, body))
        except OSError:
            wire.close()
            return ("crossed", 0.0) if used else ("unreached", 0.0)
        add(
            sent,
            "asked",
            id=tag,
            job=wish.number,
            dispatcher=dispatcher,
            scheme=scheme.name,
            expires=sent + scheme.expiry,
            number=number,
            kept=used,
        )
        patience = (scheme.expiry + LATE) / TICKS
        leaves = self.load.hang_up and chance.random() < self.load.hang_up
        if leaves:
            patience *= 0.3 * chance.random()
        try:
            async with asyncio.timeout(patience):
                answer = await wire.said(hearing)
        except TimeoutError:
            # What has crossed by now counts, though the client behind a silent network never sees it.
            crossed = wire.crossed()
            if crossed:
                add(crossed, "answered", id=tag, status=0, how="unseen", seen=self.world.now())
            else:
                add(self.world.now(), "hung_up", id=tag, early=bool(leaves))
            wire.close()
            return "hung-up" if leaves else "late", 0.0
        except httptools.HttpParserError as fault:
            add(self.world.now(), "answered", id=tag, status=0, how="garbled", seen=self.world.now())
            self.world.add("garbled", id=tag, why=str(fault)[:80])
            wire.close()
            return "lost", 0.0
        if answer is None:
            wire.close()
            if wire.broken:  # the network's doing: to the dispatcher its client is gone
                add(wire.gone_at or self.world.now(), "hung_up", id=tag, early=True)
                return "lost", 0.0
            if used and wire.gone_at is not None and wire.gone_at - sent < CROSSING:
                add(wire.gone_at, "crossed", id=tag)
                return "crossed", 0.0
            add(wire.gone_at or self.world.now(), "lost", id=tag, dispatcher=dispatcher)
            return "lost", 0.0
        how = "settled" if answer.status == 200 else "declined" if answer.status in (429, 503) else "reversed"
        whole = how != "settled" or answer.body == b"done " + tag.encode()
        come_back = float(answer.headers.get("retry-after", "0"))
        add(
            answer.whole,
            "answered",
            id=tag,
            status=answer.status,
            how=how if whole else "garbled",
            seen=self.world.now(),
            come_back=int(come_back * TICKS),
        )
        if answer.keep and wire.gone_at is None:
            self.kept[wish.zone, dispatcher].append((wire, hearing))
        else:
            wire.close()
        return how, come_back

    # Jobs that are handed in under a key and asked for.

    async def _hand_in(self, wish: Wish) -> None:
        """Submitted until it is taken on, asked for until it has ended, and once more later: always at the same
        dispatcher, whose store it is in.
        """
        chance = self.world.chance(f"client {wish.number}")
        scheme = wish.scheme
        wish.first = self.world.now()
        dispatcher = None
        while dispatcher is None:
            dispatcher = self.front.pick(wish.zone)
            if dispatcher is None:
                await asyncio.sleep(0.2)
        sla = scheme.sla if scheme.sla is not None else scheme.expiry
        self.world.add(
            "wanted",
            job=wish.number,
            scheme=scheme.name,
            work=wish.work,
            slots=wish.kind.slots,
            customer=wish.customer.name if wish.customer is not None else "",
            due=wish.first + sla + int(scheme.stretch * wish.work),
            zone=wish.zone,
        )
        headers = {"Idempotency-Key": f"k{wish.number}", "Req-Deadline-Ms": str(scheme.expiry // 10)}
        if wish.customer is not None:
            headers["Req-Owner"] = wish.customer.name
        if wish.hint is not None:
            headers["Req-Cost"] = str(wish.hint * 100)
        body = msgspec.json.encode(
            {
                "work": wish.work,
                "slots": wish.kind.slots,
                "memory": wish.kind.memory,
                "pad": "x" * wish.kind.body,
            }
        )
        give_up = wish.first + 3 * scheme.expiry + 20 * TICKS
        tag = ""
        while not tag and self.world.now() < give_up:
            told = await self._ask_for(
                wish.zone, dispatcher, speech.call("POST", f"/jobs/{scheme.name}", headers, body)
            )
            if told is not None and told.status == 202:
                tag = str(msgspec.json.decode(told.body)["id"])
                self.world.add(
                    "taken_on",
                    id=tag,
                    job=wish.number,
                    dispatcher=dispatcher,
                    scheme=scheme.name,
                    expires=self.world.now() + scheme.expiry,
                )
            else:
                if told is not None:
                    self.world.add(
                        "not_taken",
                        job=wish.number,
                        dispatcher=dispatcher,
                        status=told.status,
                        come_back=told.headers.get("retry-after", ""),
                    )
                    if self.world.now() > wish.first + scheme.expiry:
                        return
                await asyncio.sleep(0.2 + 0.2 * chance.random())
        if not tag:
            return
        if self.load.cancels and chance.random() < self.load.cancels:
            self.places[wish.zone].start(self._cancel(wish, dispatcher, tag, headers, chance.random()))
        since, ended = 0, False
        while self.world.now() < give_up:
            told = await self._ask_for(
                wish.zone,
                dispatcher,
                speech.call("GET", f"/jobs/{tag}?wait_ms=5000&since={since}", headers),
                8.0,
            )
            if told is None or told.status == 503:
                await asyncio.sleep(0.3)
                continue
            if told.status != 200:
                self.world.add("forgotten", id=tag, status=told.status)
                return
            shown = msgspec.json.decode(told.body)
            since = shown["changes"]
            if shown["state"] in ("settled", "declined", "reversed", "cancelled"):
                whole = shown["state"] != "settled" or shown.get("result") == f"done {tag}"
                self.world.add(
                    "seen", id=tag, state=shown["state"] if whole else "garbled", ran=shown["may_have_run"]
                )
                if ended:
                    return
                ended = True
                again = await self._ask_for(
                    wish.zone, dispatcher, speech.call("POST", f"/jobs/{scheme.name}", headers, body)
                )
                if again is not None and again.status == 202:
                    self.world.add(
                        "taken_on",
                        id=str(msgspec.json.decode(again.body)["id"]),
                        job=wish.number,
                        dispatcher=dispatcher,
                        scheme=scheme.name,
                        expires=self.world.now(),
                    )
                await asyncio.sleep(4.0 * chance.random())

    async def _cancel(
        self, wish: Wish, dispatcher: int, tag: str, headers: dict[str, str], when: float
    ) -> None:
        await asyncio.sleep(when * 2.0 * wish.work / TICKS)
        told = await self._ask_for(wish.zone, dispatcher, speech.call("DELETE", f"/jobs/{tag}", headers))
        if told is not None:
            self.world.add("cancel_told", id=tag, status=told.status)

    async def _ask_for(self, zone: str, dispatcher: int, call: bytes, within: float = 3.0) -> Said | None:
        """One call and its answer; none: it was lost, or never came up."""
        wire = None
        try:
            async with asyncio.timeout(within):
                wire, hearing, _ = await self._connection(zone, dispatcher)
                await wire.send(call)
                said = await wire.said(hearing)
                if said is not None and said.keep and wire.gone_at is None:
                    self.kept[zone, dispatcher].append((wire, hearing))
                else:
                    wire.close()
                return said
        except (OSError, TimeoutError, httptools.HttpParserError):
            if wire is not None:
                wire.close()
            return None

    # Bad clients.

    async def misbehave(self, until: float) -> None:
        chance = self.world.chance("bad clients")
        place = self.sites.place("strangers", "")
        begun = self.world.loop.time()
        number = 0
        while True:
            await asyncio.sleep(chance.expovariate(self.load.bad))
            if self.world.loop.time() - begun >= until:
                return
            number += 1
            dispatcher = self.front.pick(chance.choice(self.zones))
            if dispatcher is not None:
                place.start(self._bad(place, number, chance.choice(BAD), dispatcher))

    async def _bad(self, place: Place, number: int, how: str, dispatcher: int) -> None:
        scheme = self.schemes[0].name
        head = f"POST /{scheme} HTTP/1.1\r\nHost: x\r\nReq-Id: bad{number}\r\nReq-Kind: {scheme}\r\n"
        says: dict[str, Any] = {
            "half": f"{head}Content-Length: 99\r\n\r\nhalf",
            "noise": "\x01\x02 what\r\n\r\n",
            "silent": "",
            "two-lengths": f"{head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "giant": f"{head}Content-Length: 9000000\r\n\r\n" + "x" * 200_000,
            "unread": "GET /ready HTTP/1.1\r\n\r\n" * 2000,
            "sips": "GET /ready HTTP/1.1\r\n\r\n" * 2000,
            "long-head": f"{head}X: " + "y" * 40_000,
        }
        begun, status = self.world.now(), 0
        wire = None
        try:
            async with asyncio.timeout(15.0):
                wire = await dial(self.world, self.sites, place, dispatcher, 0.02 if how == "sips" else 0.0)
                begun = self.world.now()
                if says[how]:
                    await wire.send(says[how].encode("latin-1"))
                if how == "unread":
                    await asyncio.sleep(1.0)
                hearing = Hearing(calls=False)
                while True:
                    at, data = await wire.recv()
                    if not data:
                        break
                    for said in hearing.feed(data, at):
                        status = said.status
                    if (how == "unread" and status) or (
                        how == "sips" and self.world.now() - begun > 5 * TICKS
                    ):
                        break
        except (OSError, TimeoutError, httptools.HttpParserError):
            pass
        finally:
            if wire is not None:
                ended = wire.gone_at if wire.gone_at is not None else self.world.now()
                wire.close()
                self.world.add("bad", how=how, dispatcher=dispatcher, status=status, took=ended - begun)
