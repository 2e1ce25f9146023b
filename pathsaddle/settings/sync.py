"""How settings get from keepers to members: two machines without I/O, and what they say to one another.

Bounds: nobody acts on a revision that never was committed, but for what an offer narrows (`unborn`); nobody goes back, nor
does its disk (`back`); once a revision is told in force nobody acts, leased, on an older one, and nobody does what it
forbids (`in-force`); a group is seen whole or not at all (`whole`). Leases, offers and the proof of in force are those of
`federation/versions.py`; the case for them stands there.

What a driver must do:
- Hand in each message, decoded and from a known sender, by `heard(said, now)`; call `wake(now)` when the time it returned
  last has come (each call returns the next one; sooner does no harm, later delays and breaks nothing).
- After each call take `ready()`: first do all of its `writes`, in order, and sync the disk; only then send its `out`, in
  order; then act by `told`. A `Have`, or an `Asking`, names what is on disk: sent before the sync, a member that starts
  again from its older disk would act on what was told to be over. A disk that can't be written: send nothing of that
  `ready`, end the process.
- `now`: ticks of a tenth of a millisecond of one monotonic clock, that goes on while the process stands, and runs off by
  less than DRIFT (2%). `life`: of this run of the process, higher than that of any earlier one under the name (the wall
  clock in milliseconds will do, but for a clock set back: keep the last on disk). `chance`: one seeded Random.
- `purse`: a fleet.purse.Purse, this process's own for all that it sends of settings; `size(said)` tells the bytes that a
  message takes with its envelope. What isn't paid waits in a queue (catch-up, repeats) or is dropped (answers: asked again).
- A keeper: a reading of the register is *wanted* while `Keeper.reading` is not None: begin one, read by a majority of
  voters, and report it with `read(reading, ..)`, the number that `reading` had when it BEGAN; nothing proven: `unread`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import TYPE_CHECKING, Any

from msgspec import Struct

from pathsaddle.settings.forms import Group, Snapshot

if TYPE_CHECKING:
    from pathsaddle.fleet.purse import Purse
    from pathsaddle.settings.store import Store

SECOND = 10_000  # ticks
LEASE = 10 * SECOND
PIECE = 1024  # bytes of a group or snapshot in one datagram
GROUP, SNAPSHOT = 0, 1  # what pieces are of


class Asking(Struct, array_like=True, frozen=True, tag=1):
    """Member to keeper: what is committed? Also its word that it has (revision, digest) as committed, on disk; whoever
    answers sends what comes after. echo: grows with each asking of a life."""

    name: str
    life: int
    echo: int
    revision: int
    digest: str


class Renewal(Struct, array_like=True, frozen=True, tag=2):
    """Keeper to member: what the register had by a reading that began after that asking came."""

    name: str
    to: str
    life: int
    echo: int
    revision: int
    digest: str


class Offer(Struct, array_like=True, frozen=True, tag=3):
    """A group that may come to be committed: committing keeper to keepers, keeper to members of its region."""

    name: str
    group: Group


class Kept(Struct, array_like=True, frozen=True, tag=4):
    """Keeper to committing keeper: the offered group is on its disk."""

    name: str
    revision: int
    digest: str


class Commit(Struct, array_like=True, frozen=True, tag=5):
    """Keeper to member (or keeper): committed groups, in order, one after another. known: (revision, digest) of the highest
    committed. Groups that don't fit into one datagram come as pieces instead, and `groups` is empty."""

    name: str
    known: tuple[int, str]
    groups: tuple[Group, ...] = ()


class Have(Struct, array_like=True, frozen=True, tag=6):
    """Member to keeper: it acts by this, knows it committed, and has it on disk."""

    name: str
    revision: int
    digest: str


class Haves(Struct, array_like=True, frozen=True, tag=7):
    """Keeper to keeper: what members said to have, with the highest revision of each."""

    name: str
    rows: tuple[Have, ...]


class Announce(Struct, array_like=True, frozen=True, tag=8):
    """There is something in pieces. digest: of a group, or hash of a snapshot's bytes. known: what it leads to when taken: for
    a snapshot its (revision, group's digest). size: bytes. offer: the group is not committed."""

    name: str
    what: int
    digest: str
    known: tuple[int, str]
    size: int
    offer: bool = False


class Want(Struct, array_like=True, frozen=True, tag=9):
    """Send pieces from `first` on, `count` of them."""

    name: str
    what: int
    digest: str
    first: int
    count: int


class Piece(Struct, array_like=True, frozen=True, tag=10):
    name: str
    what: int
    digest: str
    first: int
    data: bytes


Said = Asking | Renewal | Offer | Kept | Commit | Have | Haves | Announce | Want | Piece


class Write(Struct, frozen=True):
    """To be put on disk, synced, before `out` is sent. group: is appended to the committed log (committed) or kept beside it
    as an offer (a keeper's). snapshot: takes the place of rows and log; later groups follow it."""

    group: Group | None = None
    snapshot: Snapshot | None = None
    committed: bool = True


class Happened(Struct, frozen=True):
    """For the log, counters and whoever applies the rows.

    what: one of
      applied   (member) acts by `revision` now; keys: rows whose value in effect may have changed
      offered   (member, keeper) holds a group that isn't committed; keys as above
      leased, alone   (member) has a lease, or none any more; until: ticks
      committed (keeper) read as committed, with its text here
      force     (keeper) `revision` is in force
      kept      (keeper) a majority of keepers has the proposed group on disk: the register may be changed now
      diverged  what is on disk isn't what was committed under that revision; why: both digests
      full      a bounded queue was full and dropped something: why says which and what
      silent    (member) its keeper says nothing; why: the next one's name
      refused   what was said can't be used: why
    """

    what: str
    revision: int = 0
    digest: str = ""
    keys: tuple[str, ...] = ()
    until: int = 0
    name: str = ""
    why: str = ""


class Ready(Struct, frozen=True):
    """What one or several calls made: do `writes` and sync, then send `out`, then act by `told`."""

    writes: tuple[Write, ...]
    out: tuple[tuple[str, Said], ...]
    told: tuple[Happened, ...]


class Status(Struct, frozen=True):
    """revision, digest: acted by. known: highest heard of as committed. leased; until: end of the lease, ticks (meaningless
    without one). age: ticks since a keeper last proved what is committed, None in a life where none did. offers: revisions
    offered and not settled. keeper: whom it asks."""

    revision: int
    digest: str
    known: int
    leased: bool
    until: int
    age: int | None
    offers: tuple[int, ...]
    keeper: str


class Machine:
    """What members and keepers have in common."""

    writes: list[Write]
    out: list[tuple[str, Said]]
    told: list[Happened]

    def ready(self) -> Ready:
        """What came together since it was last called; empties it."""
        made = Ready(tuple(self.writes), tuple(self.out), tuple(self.told))
        self.writes, self.out, self.told = [], [], []
        return made


class Member(Machine):
    """A dispatcher's part: applies groups in order and whole, asks for its lease, says what it has."""

    def __init__(self, name: str, region: str, life: int, store: Store, keepers: Sequence[str], chance: Random, purse: Purse,
                 now: int, lease: int = LEASE, size: Callable[[Said], int] | None = None) -> None:
        """store: what its disk has (committed alone), or an empty one. keepers: names, nearest first; one at least."""
        raise NotImplementedError

    def heard(self, said: Said, now: int) -> int:
        """When `wake` is due."""
        raise NotImplementedError

    def wake(self, now: int) -> int:
        """When it is due next."""
        raise NotImplementedError

    def rows(self, now: int) -> Mapping[str, bytes]:
        """What it acts by: the committed rows that it has, narrowed by offers. Not to be changed; another object after
        any change."""
        raise NotImplementedError

    def leased(self, now: int) -> bool:
        raise NotImplementedError

    def status(self, now: int) -> Status:
        raise NotImplementedError


class Keeper(Machine):
    """Has the texts, serves its region's members, tells what is in force. Several at once do no harm."""

    reading: int | None  # number of the reading that is wanted; None: none is

    def __init__(self, name: str, region: str, life: int, store: Store, peers: Sequence[str], chance: Random, purse: Purse,
                 now: int, lease: int = LEASE, offers: Sequence[Group] = (),
                 size: Callable[[Said], int] | None = None) -> None:
        """store, offers: what its disk has. peers: the other keepers' names. lease: the members', the longest of them."""
        raise NotImplementedError

    def heard(self, said: Said, now: int) -> int:
        """When `wake` is due."""
        raise NotImplementedError

    def wake(self, now: int) -> int:
        """When it is due next."""
        raise NotImplementedError

    def read(self, reading: int, revision: int, digest: str, now: int) -> None:
        """A majority of voters proved this; `reading` as it was when the reading began."""
        raise NotImplementedError

    def unread(self, reading: int, now: int) -> None:
        """Nothing was proven by it."""
        raise NotImplementedError

    def propose(self, group: Group, now: int) -> None:
        """Offers it to keepers and members; `kept` is told once a majority of keepers has it on disk. The caller owns the
        register's key and has looked that (revision - 1, before) is the latest. Raises forms.Wrong."""
        raise NotImplementedError

    def withdraw(self, now: int) -> None:
        """Proposes no more: the register refused, or time is over. Members keep what they heard until a commit."""
        raise NotImplementedError

    def waits_for(self, now: int) -> tuple[str, ...]:
        """Who keeps the highest committed revision from being in force, by name; "?": this keeper lacks a text."""
        raise NotImplementedError

    def status(self, now: int) -> dict[str, Any]:
        """revision, digest, force, waits_for, rows (name -> revision that it said to have), size (of the queue)."""
        raise NotImplementedError
