"""A region's workers as one pool: so many slots, own jobs first, cold after a loss."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from pathsaddle.emulator.federation.around import World
from pathsaddle.emulator.federation.plans import COLD, WORK
from pathsaddle.federation.spare_capacity import ReleaseNotice


@dataclass(eq=False)
class Piece:
    """A job in a pool."""

    own: bool
    scheme: str
    work: int
    post: str
    begins: Callable[[], bool]
    ends: Callable[[], None]
    gone: bool = False
    running: bool = False


class Pool:
    """A region's workers as one: so many slots, own jobs first, cold after a loss."""

    def __init__(self, world: World, region: str, slots: int) -> None:
        self.world, self.region, self.slots = world, region, slots
        self.own: deque[Piece] = deque()
        self.foreign: deque[Piece] = deque()
        self.running = 0
        self.of: dict[str, int] = {}
        self.epoch = 0
        self.warm = COLD * slots

    def wait(self) -> int:
        waiting = len(self.own)
        if self.running < self.slots and not waiting:
            return 0
        return int((waiting + 1) * WORK * self.slower() / self.slots)

    def slower(self) -> float:
        return 1.0 + 2.0 * max(0.0, 1 - self.warm / (COLD * self.slots))

    def free(self) -> ReleaseNotice:
        return ReleaseNotice(self.slots - self.running, len(self.own), sum(self.of.values()), self.of)

    def spare(self) -> int:
        return 0 if self.own else self.slots - self.running

    def put(self, piece: Piece) -> None:
        self.world.log(
            "work.queued", who=f"{self.region}-workers", region=self.region, post=piece.post, own=piece.own
        )
        (self.own if piece.own else self.foreign).append(piece)
        self.go()

    def next(self) -> Piece | None:
        for queue in (self.own, self.foreign):
            while queue:
                piece = queue.popleft()
                if not piece.gone:
                    return piece
                self.left(piece)
        return None

    def left(self, piece: Piece) -> None:
        self.world.log("work.left", who=f"{self.region}-workers", region=self.region, post=piece.post)

    def go(self) -> None:
        while self.running < self.slots:
            piece = self.next()
            if piece is None:
                return
            if not piece.begins():
                self.left(piece)
                continue
            piece.running = True
            self.running += 1
            if not piece.own:
                self.of[piece.scheme] = self.of.get(piece.scheme, 0) + 1
            self.world.ground.after(int(piece.work * self.slower()), self.end, piece, self.epoch)

    def end(self, piece: Piece, epoch: int) -> None:
        if epoch != self.epoch or not piece.running:
            return
        self.stop(piece)
        piece.ends()

    def stop(self, piece: Piece) -> None:
        piece.running = False
        self.running -= 1
        self.world.log("work.ended", who=f"{self.region}-workers", region=self.region, post=piece.post)
        self.warm += 1
        if not piece.own:
            self.of[piece.scheme] -= 1
        self.go()

    def cancel(self, piece: Piece) -> None:
        """Its caller hung up: it is not begun, or its slot is free again."""
        piece.gone = True
        if piece.running:
            self.stop(piece)

    def lose(self) -> None:
        self.epoch += 1
        for piece in (*self.own, *self.foreign):
            self.left(piece)
        self.own.clear()
        self.foreign.clear()
        self.running, self.of, self.warm = 0, {}, 0
