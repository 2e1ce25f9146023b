"""The emulator's stage of real processes: whose end was asked for, and whose was not. No process is started."""

import asyncio
import unittest
from pathlib import Path
from unittest import mock

from pathsaddle.emulator.stage import SocketStage


class FakeProcess:
    """A process whose exit the test decides."""

    def __init__(self) -> None:
        self.exit = asyncio.get_running_loop().create_future()

    async def wait(self) -> int:
        return int(await asyncio.shield(self.exit))

    def send_signal(self, number: int) -> None:
        pass


class SocketStageTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        world = mock.MagicMock()
        world.charter.jobs = world.charter.fleet = None
        self.deaths: list[str] = []
        world.add = lambda what, **more: self.deaths.append(more["why"]) if what == "died" else None
        self.stage = SocketStage(world, Path("/dev"), ["x"], Path("/dev"))
        self.tasks: list[asyncio.Task[None]] = []
        self.stage.front = mock.MagicMock()
        self.stage.front.place.start = lambda work: self.tasks.append(asyncio.create_task(work))
        self.stage.front.ready = mock.AsyncMock()
        self.stage.tell_file = mock.Mock()  # type: ignore[method-assign]  # nothing is written
        self.started: list[FakeProcess] = []
        for patch in (
            mock.patch("asyncio.create_subprocess_exec", self.start_process),
            mock.patch.object(Path, "open", mock.MagicMock()),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    async def start_process(self, *_words: str, **_more: object) -> FakeProcess:
        self.started.append(FakeProcess())
        return self.started[-1]

    async def settle(self) -> None:
        for _ in range(5):
            await asyncio.sleep(0)

    async def test_a_kill_whose_end_is_noticed_after_the_restart_is_no_death(self) -> None:
        """Guards against "died: exit -9" for the plan's own kill, when the exit was noticed later than 50 ms."""
        await self.stage.start(6)
        self.stage.kill(6)
        restart = asyncio.create_task(self.stage.start(6, again=True))
        await self.settle()
        self.started[0].exit.set_result(-9)
        await restart
        await self.settle()
        self.assertEqual((self.deaths, len(self.started)), ([], 2))
        self.started[1].exit.set_result(-9)
        await self.settle()
        self.assertEqual(self.deaths, ["exit -9"], "nobody has killed the second")

    async def test_a_restart_waits_for_the_end_of_the_killed_process(self) -> None:
        """Guards against a start that finds its ports taken."""
        await self.stage.start(6)
        self.stage.kill(6)
        restart = asyncio.create_task(self.stage.start(6, again=True))
        await self.settle()
        self.assertEqual(len(self.started), 1)
        self.started[0].exit.set_result(-9)
        await restart
        self.assertEqual(len(self.started), 2)


if __name__ == "__main__":
    unittest.main()
