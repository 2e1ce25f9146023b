"""Anti-entropy: two members compare all that they know, page by page.

An exchange is begun at the start, to find the fleet by its seeds; now and then with a member that is taken
for dead or a seed that is not known, since nobody else notices the end of a partition; and rarely with any
member, so that a record that dissemination has lost is not lost for good. At most one exchange that we began
is under way.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from pathsaddle.fleet.datagram_sender import DatagramSender, Draft
from pathsaddle.fleet.last_seen_log import LastSeenLog
from pathsaddle.fleet.member_table import NEVER, Member
from pathsaddle.fleet.messages import (
    DEAD,
    MAX_DATAGRAM_BYTES,
    MemberRecord,
    Message,
    MessageKind,
    size_of,
)

MAX_PAGE_TRIES = 3  # requests for a page whose reply does not come
RECONNECT_PROBE_INTERVALS = 5  # between tries to reach those who are taken for dead
COMPARE_PROBE_INTERVALS = (
    8  # between exchanges that nothing calls for, in a fleet of `RECORDS_PER_PAGE` members ...
)
RECORDS_PER_PAGE = 32  # ... which is about how many records fill a page
PAGE_BYTES = MAX_DATAGRAM_BYTES - 220  # room for a page's records
REPLY_RESERVE = 0.25  # share of the rate limit that replies leave to others
REQUEST_RESERVE = 0.35  # share of the rate limit that requests leave to others
JOINED_CHECK_PROBE_INTERVALS = 10  # between looks whether we know anybody at all
MAX_JOIN_BACKOFF_INTERVALS = 20
ECHO_BITS = 53


@dataclass(slots=True)
class Exchange:
    """An exchange that we began.

    Attributes:
        name: The other member; empty where only its address is known.
        address: Its address.
        after: All names up to this one are compared.
        echo: The number by which the reply to the last request is recognized.
        sent_at: When that request was sent, in ticks.
        tries: How often this page was requested.
    """

    name: str
    address: str
    after: str = ""
    echo: int = 0
    sent_at: int = NEVER
    tries: int = 0


class Page(NamedTuple):
    """Records in the order of their names, and the last name that they cover; empty: all to the end."""

    records: list[MemberRecord]
    up_to: str


class AntiEntropy:
    """Begins exchanges and answers those of others.

    Attributes:
        seeds: Addresses at which members of the fleet may be found.
        exchange: The exchange that we began and that is under way.
    """

    def __init__(
        self, sender: DatagramSender, last_seen_log: LastSeenLog, seeds: Iterable[str], rng: Random, now: int
    ) -> None:
        self.sender, self.last_seen_log, self.rng = sender, last_seen_log, rng
        self.table = sender.table
        self.seeds = [seed for seed in seeds if seed != self.table.me.address]
        self.exchange: Exchange | None = None
        self.next_join_at, self.join_tries = now, 0
        probe_interval = self.table.options.probe_interval
        self.next_reconnect_at = now + int(RECONNECT_PROBE_INTERVALS * probe_interval * (0.5 + rng.random()))
        self.next_compare_at = now + int(COMPARE_PROBE_INTERVALS * probe_interval * (0.5 + rng.random()))

    # Time.

    def next_wakeup(self, now: int) -> int:
        """Returns when `wake` has something to do."""
        wakeup = min(self.next_reconnect_at, self.next_compare_at, self.next_join_at)
        exchange, probe_interval = self.exchange, self.table.options.probe_interval
        if exchange is not None:
            was_sent = exchange.sent_at > NEVER
            wakeup = min(wakeup, exchange.sent_at + probe_interval if was_sent else now + probe_interval // 8)
        return wakeup

    def wake(self, now: int) -> None:
        """Begins and continues exchanges as far as they are due."""
        self._join(now)
        self._reconnect(now)
        self._request_page(now)
        self._compare(now)

    def _join(self, now: int) -> None:
        """Asks a seed while nobody is known."""
        if now < self.next_join_at:
            return
        probe_interval = self.table.options.probe_interval
        if any(member.is_present for member in self.table.members.values()) or not self.seeds:
            self.next_join_at, self.join_tries = now + JOINED_CHECK_PROBE_INTERVALS * probe_interval, 0
            return
        self.join_tries += 1
        self._begin("", self.rng.choice(self.seeds))
        # Full jitter: all that were started at once must not come again at once.
        backoff_intervals = min(MAX_JOIN_BACKOFF_INTERVALS, 2 ** min(self.join_tries, 5))
        self.next_join_at = now + 1 + int(backoff_intervals * probe_interval * self.rng.random())

    def _reconnect(self, now: int) -> None:
        """Tries to reach a dead member or an unknown seed.

        A partition that has ended is noticed by nobody else. As many members try as bring each of the dead
        about one datagram a probe interval from the whole fleet.
        """
        if now < self.next_reconnect_at:
            return
        table, rng = self.table, self.rng
        interval = RECONNECT_PROBE_INTERVALS * table.options.probe_interval
        self.next_reconnect_at = now + int(interval * (0.5 + rng.random()))
        dead = [member for member in table.members.values() if member.record.state == DEAD]
        known = {m.record.address for m in table.members.values() if m.record.state != DEAD}
        known.add(table.me.address)
        unknown = [seed for seed in self.seeds if seed not in known]
        if dead and rng.random() < RECONNECT_PROBE_INTERVALS * len(dead) / table.size():
            self._begin_with(rng.choice(dead))
        elif unknown and rng.random() < RECONNECT_PROBE_INTERVALS / table.size():
            self._begin("", rng.choice(unknown))

    def _compare(self, now: int) -> None:
        """Begins an exchange that nothing calls for.

        The more members there are, the longer an exchange takes and the rarer it is: what a member sends for
        it stays the same.
        """
        if now < self.next_compare_at:
            return
        probe_interval = self.table.options.probe_interval
        interval = COMPARE_PROBE_INTERVALS * probe_interval * (1 + self.table.size() / RECORDS_PER_PAGE)
        self.next_compare_at = now + int(interval * (0.5 + self.rng.random()))
        alive = self.table.alive()
        if alive and self.exchange is None:
            self._begin_with(self.rng.choice(alive))

    def _begin_with(self, member: Member) -> None:
        self._begin(member.record.name, member.record.address)

    def _begin(self, name: str, address: str) -> None:
        if self.exchange is None:
            self.exchange = Exchange(name, address)

    # Pages.

    def _request_page(self, now: int) -> None:
        """Sends the next page of our exchange, or the last one again where its reply does not come."""
        exchange = self.exchange
        if exchange is None or now < exchange.sent_at + self.table.options.probe_interval:
            return
        if exchange.tries >= MAX_PAGE_TRIES:
            self.exchange = None
            return
        if not self.sender.rate_limiter.can_consume(MAX_DATAGRAM_BYTES, now, REQUEST_RESERVE):
            return
        exchange.echo = self.rng.getrandbits(ECHO_BITS)
        records, up_to = self._page(exchange.after)
        draft = Draft(exchange.address, exchange.name, MessageKind.PAGE_REQUEST, exchange.echo)
        draft.after, draft.up_to, draft.records = exchange.after, up_to, records
        draft.reserve = REQUEST_RESERVE
        if self.sender.send(draft, now):
            exchange.tries += 1
            exchange.sent_at = now

    def _page(self, after: str) -> Page:
        """Returns the records after a name, as many as fit, and the last name that they cover."""
        records: list[MemberRecord] = []
        free_bytes = PAGE_BYTES
        for name in self._names(after, ""):
            record = self.table.members[name].record
            free_bytes -= size_of(record)
            if free_bytes < 0:
                return Page(records, records[-1].name if records else name)
            records.append(record)
        return Page(records, "")

    def _names(self, after: str, up_to: str) -> list[str]:
        """Returns the names in a page's range whose records are told to others, in their order."""
        return sorted(
            name
            for name, member in self.table.members.items()
            if name > after and (not up_to or name <= up_to) and not member.is_local
        )

    def on_page_request(self, message: Message, now: int) -> None:
        """Answers a page with all that we know better in its range, as far as there is room."""
        if not self.sender.rate_limiter.can_consume(MAX_DATAGRAM_BYTES, now, REPLY_RESERVE):
            self.table.count("held back")
            return
        theirs = {record.name: record for record in message.records}
        free_bytes, records, up_to = PAGE_BYTES, list[MemberRecord](), message.up_to
        covered = message.after
        for name in self._names(message.after, message.up_to):
            record = self.table.members[name].record
            is_better = name not in theirs or record.rank > theirs[name].rank
            if name != message.sender.name and is_better:
                free_bytes -= size_of(record)
                if free_bytes < 0:
                    up_to = covered
                    break
                records.append(record)
            covered = name
        draft = Draft(message.sender.address, message.sender.name, MessageKind.PAGE_REPLY, message.echo)
        draft.after, draft.up_to, draft.records = message.after, up_to, records
        draft.reserve = REPLY_RESERVE
        self.sender.send(draft, now)

    def on_page_reply(self, message: Message, sender: Member, now: int) -> None:
        """Takes the reply to our page and requests the next one."""
        exchange = self.exchange
        if exchange is None or exchange.echo != message.echo:
            return
        self.last_seen_log.note_answer(sender, exchange.sent_at, now)
        self.last_seen_log.note_reports(message, exchange.sent_at)
        if not message.up_to:
            self.exchange = None
            return
        # The next page goes to whoever answered, also where only an address was known; it begins after what
        # was covered.
        exchange.name, exchange.after, exchange.tries = message.sender.name, message.up_to, 0
        exchange.sent_at = NEVER
        self._request_page(now)
