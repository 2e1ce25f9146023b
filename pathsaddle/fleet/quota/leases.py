"""One member's ledger of one quota: its own units, the leases that it granted and those that it holds.

Owns the rules by which units of a quota are lent among members. `quota_limiter.py` drives one ledger for each
quota, and `federation/spare_capacity.py` one for what a region lends. The ledger is immutable: each operation
returns a new one. It performs no I/O; times are ticks of a monotonic clock that is handed in and that goes on
while a process is suspended.

Invariant: at no instant do usable units add up to more than the quota, whatever is lost, duplicated or late,
whichever member stops, restarts or is cut off, for any number of members, as long as no clock drifts by more
than MAX_CLOCK_DRIFT (`tests/test_quota.py`, every order of events; the mutants of
`emulator/state/mutants.py`).

Why it holds. Each unit belongs to one member, by the parts of the configuration, which add up to the quota or
less. Its owner uses it or grants it. Granted, it counts as spent at the owner until the lease's certain end:
counted from after the grant, by a clock taken to be fast. At the taker it is usable from its arrival until
the lease's possible end: counted from before the request, by a clock taken to be slow. So no unit is usable
at two members at once, and nothing has to arrive for that. A new incarnation of an owner does not know what
the old one granted: what may be granted at all (half of its part, a single unit whole) is not used until any
such lease has certainly ended.

A lease is renewed while it runs: the same units stay out at the owner, and stand at the taker once, the new
lease in place of the old. Released units are out of the taker's use before it says so, and out of the owner's
until the guard time has passed. A request is answered once, and its grant accepted once: what arrives twice
or late finds its number used, its lease over or its incarnation ended.

Floor: a member that receives nothing has its own part less what it granted, and all of it again one lease
later. Idle at most: what is granted to a member that stopped, for one lease.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import NamedTuple

MAX_CLOCK_DRIFT = 0.02  # by how much a clock may run faster or slower than it should
MAX_PENDING_REQUESTS = 16  # of one ledger; older ones are not accepted an answer to any more


@dataclass(frozen=True)
class QuotaRequest:
    """Asks for units of a quota; the fields are also keys of msgpack maps between members of a region.

    Attributes:
        name: the member that asks.
        life: its incarnation.
        number: grows with each request of an incarnation; the grant repeats it.
        units: how many.
        renews: the number of the lease that is to go on; 0: none.
    """

    name: str
    life: int
    number: int
    units: int
    renews: int = 0


@dataclass(frozen=True)
class Grant:
    """Gives units for a time; the fields are also keys of msgpack maps between members of a region.

    Attributes:
        owner: whose units they are.
        life: the owner's incarnation.
        taker: who may use them.
        taker_life: the taker's incarnation.
        number: of the request that is answered.
        units: how many.
        lease: for so many ticks from the request on.
    """

    owner: str
    life: int
    taker: str
    taker_life: int
    number: int
    units: int
    lease: int


@dataclass(frozen=True)
class Release:
    """The taker no longer uses the units of the lease with that number."""

    taker: str
    incarnation: int
    number: int


@dataclass(frozen=True)
class RequestKey:
    """Names a request among those of all members."""

    taker: str
    incarnation: int
    number: int


NO_REQUEST = RequestKey("", 0, 0)  # of units that a renewal left over: nobody can renew or release them


@dataclass(frozen=True)
class PendingRequest:
    """A request of ours that may still be answered; `renews`: the number of the lease to go on, or 0."""

    number: int
    requested_at: int
    renews: int


@dataclass(frozen=True)
class GrantedLease:
    """Units of our own that another member may use; `until`: its certain end, by our clock."""

    units: int
    until: int
    key: RequestKey = NO_REQUEST


@dataclass(frozen=True)
class HeldLease:
    """Units of another member that we may use; `until`: its possible end, by our clock."""

    owner: str
    owner_incarnation: int
    number: int
    units: int
    until: int


@dataclass(frozen=True)
class QuotaLedger:
    """Everything that a member knows of one quota; never changed, only replaced.

    Attributes:
        name: our member's name.
        incarnation: our member's incarnation.
        part: its own units, by the configuration.
        lease_ticks: of each lease, the same at all members.
        started_at: when this incarnation began, by our clock.
        asked: the number of our last request.
        pending: our requests that may still be answered.
        lent: leases that we granted.
        held: leases that we hold.
        guard_ticks: for how long a unit rests at its owner after a lease: so long ago it was last used
            elsewhere.
    """

    name: str
    incarnation: int
    part: int
    lease_ticks: int
    started_at: int
    asked: int = 0
    pending: tuple[PendingRequest, ...] = ()
    lent: tuple[GrantedLease, ...] = ()
    held: tuple[HeldLease, ...] = ()
    guard_ticks: int = 0

    @property
    def lendable(self) -> int:
        """How many units may be lent at most: half, a single unit whole.

        Two hundred members with a quota of ten have no halves to lend.
        """
        return (self.part + 1) // 2

    def certain_lease_ticks(self) -> int:
        """After so long, by a clock that may be fast, a lease is over and the guard time has passed."""
        return -int(-(self.lease_ticks + self.guard_ticks) * (1 + MAX_CLOCK_DRIFT) // 1) + 1

    def possible_lease_ticks(self) -> int:
        """Before so long, by a clock that may be slow, a lease is not over."""
        return int(self.lease_ticks * (1 - 2 * MAX_CLOCK_DRIFT)) - 1

    def earlier_leases_end(self) -> int:
        """When all that an earlier incarnation of ours may have granted is certainly over."""
        return self.started_at + self.certain_lease_ticks()

    def at(self, now: int) -> QuotaLedger:
        """The ledger without what has ended."""
        granted = tuple(lease for lease in self.lent if now < lease.until)
        held = tuple(lease for lease in self.held if now < lease.until)
        pending = tuple(
            request for request in self.pending if now < request.requested_at + self.possible_lease_ticks()
        )
        if (granted, held, pending) == (self.lent, self.held, self.pending):
            return self
        return replace(self, lent=granted, held=held, pending=pending)

    def granted_units(self) -> int:
        """The units of all granted leases that the ledger lists."""
        return sum(lease.units for lease in self.lent)

    def own(self, now: int) -> int:
        """How many units of its own part the member may use now."""
        granted = sum(lease.units for lease in self.lent if now < lease.until)
        if now < self.earlier_leases_end():
            # An earlier incarnation may have granted as much as may be granted.
            return self.part - max(granted, self.lendable)
        return self.part - granted

    def usable(self, now: int) -> int:
        """How many units the member may use at this moment; ask just before each use, never remember it."""
        return self.own(now) + sum(lease.units for lease in self.held if now < lease.until)

    def want(self, units: int, now: int, renews: int = 0) -> RequestOutcome:
        """Asks for units; `renews`: the number of a held lease that is to go on, or 0."""
        ledger = self.at(now)
        number = ledger.asked + 1
        pending = (*ledger.pending, PendingRequest(number, now, renews))[-MAX_PENDING_REQUESTS:]
        return RequestOutcome(
            replace(ledger, asked=number, pending=pending),
            QuotaRequest(ledger.name, ledger.incarnation, number, units, renews),
        )

    def asked_by(self, request: QuotaRequest, spare_units: int, now: int) -> GrantOutcome:
        """Another member asks.

        A request is answered once: what arrives twice, or again while its lease runs, gets nothing.

        Args:
            request: of the other member.
            spare_units: how many of its units this member does not want itself; below 0: how many it lacks.
            now: the moment.

        Returns:
            The new ledger, and the grant, if there is one.
        """
        return _answer(self.at(now), request, spare_units, now)

    def lent_by(self, grant: Grant, now: int) -> QuotaLedger:
        """A grant arrives: accepted once, by the incarnation that asked, before its possible end."""
        ledger = self.at(now)
        request = next((one for one in ledger.pending if one.number == grant.number), None)
        if (
            request is None
            or (grant.taker, grant.taker_life) != (ledger.name, ledger.incarnation)
            or grant.lease != ledger.lease_ticks
        ):
            return ledger
        # Whatever incarnation its owner has by now: it still counts the lease once.
        held = tuple(
            lease
            for lease in ledger.held
            if not request.renews or (lease.owner, lease.number) != (grant.owner, request.renews)
        )
        until = request.requested_at + ledger.possible_lease_ticks()
        return replace(
            ledger,
            held=(*held, HeldLease(grant.owner, grant.life, grant.number, grant.units, until)),
            pending=tuple(one for one in ledger.pending if one is not request),
        ).at(now)

    def release(self, number: int, now: int) -> ReleaseOutcome:
        """Gives a held lease back before its end; a grant that would renew it is not accepted any more."""
        ledger = self.at(now)
        return ReleaseOutcome(
            replace(
                ledger,
                held=tuple(lease for lease in ledger.held if lease.number != number),
                pending=tuple(request for request in ledger.pending if request.renews != number),
            ),
            Release(ledger.name, ledger.incarnation, number),
        )

    def on_release(self, release: Release, now: int) -> QuotaLedger:
        """A taker gave units back: they are ours again when the guard time has passed."""
        ledger = self.at(now)
        key = RequestKey(release.taker, release.incarnation, release.number)
        rested_at = now + int(self.guard_ticks * (1 + MAX_CLOCK_DRIFT)) + 1
        return replace(
            ledger,
            lent=tuple(
                replace(lease, until=min(lease.until, rested_at)) if lease.key == key else lease
                for lease in ledger.lent
            ),
        )


def _answer(ledger: QuotaLedger, request: QuotaRequest, spare_units: int, now: int) -> GrantOutcome:
    """See `QuotaLedger.asked_by`; the ledger is the one at `now`."""
    key = RequestKey(request.name, request.life, request.number)
    if (
        request.name == ledger.name
        or now < ledger.earlier_leases_end()
        or any(lease.key == key for lease in ledger.lent)
    ):
        return GrantOutcome(ledger, None)
    if request.renews:
        return _renew(ledger, request, spare_units, now)
    units = min(request.units, spare_units, ledger.lendable - ledger.granted_units())
    if units <= 0:
        return GrantOutcome(ledger, None)
    return _grant(ledger, key, units, now)


def _renew(ledger: QuotaLedger, request: QuotaRequest, spare_units: int, now: int) -> GrantOutcome:
    """The lease that the request names goes on, as far as its units are not lacking here."""
    old_key = RequestKey(request.name, request.life, request.renews)
    old = next((lease for lease in ledger.lent if lease.key == old_key), None)
    units = min(request.units, old.units, old.units + spare_units) if old is not None else 0
    if old is None or units <= 0:
        return GrantOutcome(ledger, None)
    others = [lease for lease in ledger.lent if lease is not old]
    if units < old.units:  # until the taker has received the grant, it may use them all
        others.append(replace(old, units=old.units - units, key=NO_REQUEST))
    key = RequestKey(request.name, request.life, request.number)
    return _grant(replace(ledger, lent=tuple(others)), key, units, now)


def _grant(ledger: QuotaLedger, key: RequestKey, units: int, now: int) -> GrantOutcome:
    """Another granted lease, beside those of the ledger."""
    lease = GrantedLease(units, now + ledger.certain_lease_ticks(), key)
    grant = Grant(
        ledger.name,
        ledger.incarnation,
        key.taker,
        key.incarnation,
        key.number,
        units,
        ledger.lease_ticks,
    )
    return GrantOutcome(replace(ledger, lent=(*ledger.lent, lease)), grant)


class RequestOutcome(NamedTuple):
    """The ledger after a request, and the request to be sent."""

    ledger: QuotaLedger
    request: QuotaRequest


class GrantOutcome(NamedTuple):
    """The ledger after another member's request, and the grant to be sent, if there is one."""

    ledger: QuotaLedger
    grant: Grant | None


class ReleaseOutcome(NamedTuple):
    """The ledger after a release, and the release to be sent."""

    ledger: QuotaLedger
    release: Release


def new_ledger(  # noqa: PLR0913, PLR0917  # what a member knows of a quota at its start
    name: str, incarnation: int, part: int, lease_ticks: int, now: int, guard_ticks: int = 0
) -> QuotaLedger:
    """The ledger of an incarnation that begins: it knows nothing but the configuration."""
    return QuotaLedger(name, incarnation, part, lease_ticks, now, guard_ticks=guard_ticks)
