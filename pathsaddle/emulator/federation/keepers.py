"""Keepers of the spec on the virtual ground: the core, its readings of the register, what it tells again."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pathsaddle.emulator.federation.around import World
from pathsaddle.emulator.federation.member import Member
from pathsaddle.emulator.federation.plans import LEASE, REGIONS
from pathsaddle.leased_versions import AppliedAck, CommitNotice, SyncRequest, Version, VersionServer
from pathsaddle.scheduler_types import SECOND


class KeeperMan:
    """A region's keeper: the core, its readings of the register, what it tells again."""

    def __init__(self, world: World, region: str) -> None:
        self.world, self.region = world, region
        self.began()

    def began(self) -> None:
        self.core = VersionServer(LEASE, self.world.ground.now)
        self.up = True

    def read(self, then: Callable[[], None] | None = None) -> None:
        """Reaches the register if one other region can be asked and answers."""
        world, ground = self.world, self.world.ground
        for other in REGIONS:
            if (
                other != self.region
                and world.alive[other]
                and ground.paths[self.region, other].up(ground.now)
            ):
                path = ground.paths[other, self.region]
                late = int(ground.paths[self.region, other].delay * path.slow)

                def at_register(path: Any = path, late: int = late) -> None:
                    version = world.register[-1]
                    if path.up(ground.now):
                        ground.after(late, came, version)

                def came(version: Version) -> None:
                    if not self.up:
                        return
                    # Texts of lower numbers are kept beside the register.
                    for one in world.register[: version.number]:
                        self.core = self.core.reads(one.number, one.digest, one, ground.now)
                    if then is not None:
                        then()

                ground.after(late, at_register)
                return

    def asked(self, member: Member, ask: SyncRequest, known: int) -> None:
        if not self.up:
            return

        def then() -> None:
            ground = self.world.ground
            told = self.core.answers(ask)
            if known < told.number:
                ground.carries(self.region, member.region, member.gets, member.offered, self.core.history[-1])
            ground.carries(self.region, member.region, member.gets, member.renewed, told)

        self.read(then)

    def hears(self, have: AppliedAck) -> None:
        if self.up:
            self.core = self.core.hears(have)

    def beat(self) -> None:
        world, ground = self.world, self.world.ground
        if self.up:
            self.read()
            late = self.core.waits_for(ground.now)
            if self.core.known[0] > self.core.force and self.core.history:
                version = self.core.history[-1]
                told = dict(self.core.rows)
                behind = [name for name in world.members if told.get(name, 0) < version.number]
                for name in behind[:40]:
                    member = world.members[name]
                    ground.carries(self.region, member.region, member.gets, member.offered, version)
                    ground.carries(
                        self.region,
                        member.region,
                        member.gets,
                        member.told,
                        CommitNotice(version.number, version.digest),
                        self,
                    )
            if not late:
                self.core = self.core.judged(ground.now)
                if self.core.force > world.forced:
                    world.forced = self.core.force
                    world.log(
                        "spec.version", who=f"keeper-{self.region}", state="force", version=world.forced
                    )
        ground.after(SECOND // 2, self.beat)
