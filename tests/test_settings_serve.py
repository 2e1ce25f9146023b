"""Shared settings in a real dispatcher: three keepers that vote, `pathsaddle serve` with `[settings]`, its list and a worker."""

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import sys
import unittest
from pathlib import Path
from typing import ClassVar

from pathsaddle.config.validation import InvalidConfigError
from pathsaddle.errors import Error
from pathsaddle.settings.configuration import check_consistency
from pathsaddle.settings.control_client import query
from tests.test_program import ROOT
from tests.test_settings_processes import free
from tests.test_shutdown import READY, Shutdown, job

KEEPERS = ("k0", "k1", "k2")
SCHEME = 'semantics = "repeatable"\nsla = "1s"\nexpiry = "3s"\n'
FOUNDING = f'[members.d0]\nregion = "north"\n[customers.acme]\nallowance = 100\n[schemes.render]\n{SCHEME}[budgets]\ngpu = 30\n'


class ServeStory(Shutdown):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        udp = free(2 * len(KEEPERS) + 2, socket.SOCK_DGRAM)
        fleet, *control = free(len(KEEPERS) + 2, socket.SOCK_STREAM)
        self.control = dict(zip((*KEEPERS, "d0"), control, strict=True))
        lines = [
            'key = "sixteen bytes or more"',
            'lease = "2s"',
            f'log = "{self.folder}/log"',
            "[voters]",
            'fleet = "f"',
            'key = "sixteen other bytes"',
            'lease = "600ms"',
            "names = { " + ", ".join(f'{name} = "{udp.pop()}"' for name in KEEPERS) + " }",
        ]
        for table, key, names in (("keepers", "address", KEEPERS), ("members", "listen", ("d0",))):
            for name in names:
                lines += [
                    f"[{table}.{name}]",
                    'region = "north"',
                    f'disk = "{self.folder}/{name}"',
                    f'control = "{self.control[name]}"',
                    f'{key} = "{udp.pop()}"',
                ]
        self.ground = self.folder / "ground.toml"
        self.ground.write_text("\n".join(lines) + "\n")
        founding = [
            await self.runs("pathsaddle.settings", "found", str(self.ground), "--keeper", name)
            for name in KEEPERS
        ]
        for process in founding:
            self.assertEqual(await process.wait(), 0)
        self.keepers = [
            await self.runs("pathsaddle.settings", "keep", str(self.ground), "--keeper", name)
            for name in KEEPERS
        ]
        self.listed = await self.workers()
        self.charter = self.folder / "charter.toml"
        self.charter.write_text(
            f'listen = "127.0.0.1:{self.port}"\ndiscovery = "{await self.listen(self.tells_list)}"\n'
            f'zones = ["a"]\nmachines = ["m1"]\n[[customers]]\nname = "acme"\nallowance = 100.0\n'
            f'[[schemes]]\nname = "render"\n{SCHEME}[settings]\nground = "{self.ground}"\nmember = "d0"\n'
            f'[fleet]\nname = "f"\nkey = "sixteen bytes or more"\nlisten = "{udp.pop()}"\ncontrol = "{fleet}"\nbudgets = {{ gpu = 30 }}\n'
        )
        await self.serves()

    async def runs(self, *words: str, **pipes: int) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *words,
            cwd=ROOT,
            **{"stdout": asyncio.subprocess.DEVNULL, "stderr": asyncio.subprocess.DEVNULL, **pipes},
        )

        async def end() -> None:
            if process.returncode is None:
                process.kill()
            await process.wait()

        self.addAsyncCleanup(end)
        return process

    async def serves(self) -> None:
        self.log = b""
        with (self.folder / "serve.err").open("ab") as log:
            self.program = await self.runs("pathsaddle", "serve", str(self.charter), stderr=log.fileno())
        await self.until(self.ready, "it serves")

    async def ready(self) -> bool:
        with contextlib.suppress(OSError):
            return (await self.call(READY))[0] == 200
        return False

    async def until(self, holds, what: str) -> None:
        try:
            async with asyncio.timeout(25.0):
                while not await holds():
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self.fail(f"not in time: {what}; {self.err()}")

    def err(self) -> str:
        return Path(self.folder / "serve.err").read_text()

    async def status(self, name: str) -> dict:
        try:
            return await asyncio.to_thread(query, self.control[name], "status", 2.0)
        except Error as fault:
            return {"error": str(fault)}

    async def apply(self, text: str, *more: str) -> tuple[int, str]:
        path = self.folder / f"change-{len(list(self.folder.glob('change-*')))}.toml"
        path.write_text(text)
        process = await self.runs(
            "pathsaddle",
            "settings",
            "apply",
            str(path),
            "--at",
            str(self.ground),
            *more,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        return process.returncode or 0, (out + err).decode()

    async def founded(self) -> None:
        async def voted() -> bool:
            return (await self.status("k0")).get("proved_ms") is not None

        await self.until(voted, "a majority of voters answers")
        code, told = await self.apply(FOUNDING, "--wait")
        self.assertEqual((code, "in force" in told), (0, True), told)

    async def asks(self, tag: str, owner: str) -> int:
        return (await self.call(job(tag, within=2900).replace(b"acme", owner.encode())))[0]

    async def budget(self) -> int:
        """Of gpu, as its fleet's part of the dispatcher goes by it."""
        process = await self.runs(
            "pathsaddle",
            "fleet",
            "show",
            "budgets",
            str(self.charter),
            "--json",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        self.assertEqual(process.returncode, 0, err)
        return json.loads(out)["budgets"][0]["rate"]

    async def stands(self, name: str, force: int) -> None:
        async def holds() -> bool:
            return (await self.status(name)).get("force") == force

        await self.until(holds, f"{force} in force at {name}")

    async def test_a_customer_comes_and_a_quota_is_lowered_without_a_restart_and_it_starts_by_its_disk(
        self,
    ) -> None:
        await self.founded()
        self.assertEqual(
            [await self.asks("a", "acme"), await self.asks("b", "nova"), await self.budget()], [200, 403, 30]
        )
        pid = self.program.pid
        code, told = await self.apply("[customers.nova]\nallowance = 100\n", "--wait")
        self.assertEqual((code, "in force" in told), (0, True), told)
        self.assertEqual([await self.asks("c", "nova"), await self.asks("d", "nobody")], [200, 403])

        os.kill(pid, signal.SIGSTOP)  # a lowered quota waits for its word
        code, told = await self.apply(
            "[customers.nova]\nallowance = 7\n[budgets]\ngpu = 20\n", "--wait", "--within", "3"
        )
        self.assertEqual(code, 1, told)
        self.assertIn("waits for d0", told)
        told = await self.status("k0")
        self.assertEqual((told["force"], told["waits_for"]), (2, ["d0"]))
        os.kill(pid, signal.SIGCONT)
        await self.stands("k0", 3)
        self.assertEqual((await self.status("d0"))["revision"], 3)
        self.assertEqual((await self.asks("e", "nova"), self.program.returncode), (200, None))

        self.assertEqual(await self.budget(), 20)

        text = self.charter.read_text()
        self.charter.write_text(
            text.replace('name = "acme"', 'name = "zeta"')
        )  # rows stand over the file that is reread
        self.program.send_signal(signal.SIGHUP)

        async def reread() -> bool:
            return "configuration read again" in self.err()

        await self.until(reread, "it has read its file again")
        self.assertEqual(
            [await self.asks("f", "nova"), await self.asks("g", "acme"), await self.asks("h", "zeta")],
            [200, 200, 403],
        )
        self.program.terminate()
        for keeper in self.keepers:
            keeper.kill()
        self.assertEqual(await asyncio.wait_for(self.program.wait(), 20), 0, self.err())
        await self.serves()
        self.assertEqual(
            [await self.asks("i", "nova"), await self.asks("j", "zeta"), await self.budget()], [200, 403, 20]
        )
        self.assertNotIn("fault", self.err())

    async def test_what_asks_for_a_restart_is_named_and_not_said_to_be_had_and_what_fits_nowhere_is_not_committed(
        self,
    ) -> None:
        await self.founded()
        code, told = await self.apply("[budgets]\ngpu = 2000000\ntpu = 3000000\n")
        self.assertEqual(code, 1, told)
        for key in ("budgets.gpu", "budgets.tpu"):
            self.assertRegex(told, rf"(?m)^.*{key}.* \[charter\.[a-z-]+\]$")
        code, told = await self.apply('zones = ["a", "a"]\n')
        self.assertEqual((code, "[charter.twice]" in told), (1, True), told)
        self.assertEqual((await self.status("k0"))["revision"], 1)

        code, told = await self.apply('[rules]\nask_within = "5s"\n', "--wait", "--within", "3")
        self.assertEqual((code, "waits for d0" in told), (1, True), told)

        async def ended() -> bool:
            return "settings ended" in self.err()

        await self.until(ended, "the member has ended")
        refused = (
            r"revision 2 of shared settings can't come into service: rules\.ask_within: .*\[settings\.unfit\]"
        )
        self.assertRegex(self.err(), refused)
        self.assertEqual(
            [await self.asks("a", "acme"), await self.asks("b", "nova")], [200, 403]
        )  # jobs go on
        told = await self.status("k0")
        self.assertEqual((told["force"], told["waits_for"]), (1, ["d0"]))
        self.program.terminate()
        self.assertEqual(await asyncio.wait_for(self.program.wait(), 20), 0, self.err())
        await self.serves()
        await self.stands("k0", 2)
        self.assertEqual(await self.asks("c", "acme"), 200)
        self.assertEqual(
            len([line for line in self.err().splitlines() if re.search(f"ERROR {refused}", line)]), 1
        )
        self.assertEqual((await self.status("d0"))["revision"], 2)

    async def test_a_start_names_a_member_that_the_file_of_keepers_lacks(self) -> None:
        self.charter.write_text(self.charter.read_text().replace('member = "d0"', 'member = "d9"'))
        process = await self.runs("pathsaddle", "serve", str(self.charter), stderr=asyncio.subprocess.PIPE)
        _, err = await process.communicate()
        self.assertEqual((process.returncode, b"members.d9 is missing" in err), (2, True), err)


class FittingStory(unittest.TestCase):
    ROWS: ClassVar[dict[str, bytes]] = {
        "customers.acme": b'{"allowance":5}',
        "schemes.render": b'{"expiry":"3s","machine":"m1","semantics":"repeatable"}',
        "budgets.gpu": b"30",
        "members.d0": b'{"region":"north"}',
        "zones": b'["a","b"]',
        "rules": b'{"ask_within":"5s"}',
    }

    def test_what_fits_in_some_charter_fits_and_what_only_a_members_charter_tells_is_not_judged(self) -> None:
        for rows in (self.ROWS, {}, {"members.d0": b'{"region":"north"}'}):
            charter, judged = check_consistency(rows)
            self.assertLessEqual(rows.items(), judged.items())
        self.assertEqual([one.name for one in charter.schemes], ["any"])

    def test_what_was_judged_before_is_not_read_again_and_never_stands_for_a_row_that_went(self) -> None:
        before = check_consistency(self.ROWS)
        changed = {**self.ROWS, "customers.nova": b'{"allowance":7}'}
        del changed["rules"], changed["zones"], changed["budgets.gpu"]
        charter, _ = check_consistency(changed, before)
        anew, _ = check_consistency(changed)
        self.assertEqual(charter, anew)
        self.assertIs(charter.customers[0], before[0].customers[0])

    def test_what_fits_in_no_charter_is_named_a_line_each(self) -> None:
        before = check_consistency(self.ROWS)
        for more, keys in (
            ({"zones": b'["a","a"]'}, ["zones"]),
            ({f"budgets.b{i}": b"1" for i in range(16)}, ["budgets"]),
            ({"budgets.gpu": b"2000000", "budgets.tpu": b"0"}, ["budgets.gpu", "budgets.tpu"]),
        ):
            for known in (None, before):
                with self.assertRaises(InvalidConfigError) as caught:
                    check_consistency({**self.ROWS, **more}, known)
                self.assertEqual([key for key in keys if key in str(caught.exception)], keys)
                self.assertEqual(len(caught.exception.faults), len(keys))


del Shutdown  # its stories are elsewhere
