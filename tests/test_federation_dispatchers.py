"""Two dispatchers of two regions as real processes: a job that finds no place at home crosses once, by a client's call."""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import unittest
from pathlib import Path

from pathsaddle.emulator.federation.judge import judged
from pathsaddle.emulator.ground.ports import udp_ports
from pathsaddle.event_log import read
from tests.ports import tcp_port

ROOT = Path(__file__).resolve().parent.parent
CHARTER = """name = "{name}"
listen = "127.0.0.1:{port}"
discovery = "127.0.0.1:{discovery}"
seed = "8c1f30d27a5be964"
[[schemes]]
name = "render"
semantics = "repeatable"
sla = "500ms"
expiry = "8s"
[[schemes]]
name = "charge"
semantics = "once-only"
sla = "500ms"
expiry = "8s"
[[schemes]]
name = "vault"
semantics = "repeatable"
sla = "500ms"
expiry = "8s"
[federation]
ground = "{folder}/ground.toml"
member = "{name}"
doors = {{ {other} = ["127.0.0.1:{door}"] }}
"""
SPEC = (
    """[regions.north]
members = ["n"]
[regions.west]
members = ["w"]
"""
    + "".join(
        f"""[schemes.{name}]
semantics = "{semantics}"
home = "north"
may = ["north", "west"]
fail_over = ["west"]
when = ["lost", "overloaded"]
at_most = 1.0
"""
        for name, semantics in (("render", "repeatable"), ("charge", "once-only"))
    )
    + """[schemes.vault]
home = "north"
"""
)


def free(kind=socket.SOCK_STREAM):
    if kind == socket.SOCK_STREAM:
        return tcp_port()
    return udp_ports(1)[0]


class DispatchersStory(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.moods = {"n": "full", "w": "done"}  # of each region's worker
        self.seen = {"n": [], "w": []}  # heads of the postings that came to it
        self.serving = {}
        self.ports = {"n": free(), "w": free()}
        (self.folder / "spec.toml").write_text(SPEC)
        ground = [
            'key = "sixteen bytes or more"',
            'lease = "5s"',
            f'register = "{folder.name}/register"',
            f'spec = "{folder.name}/spec.toml"',
            f'log = "{folder.name}/log"',
            "capacity = 100.0",
        ]
        for name, region in (("n", "north"), ("w", "west")):
            ground += [
                f"[members.{name}]",
                f'region = "{region}"',
                f'disk = "{folder.name}/disk"',
                f'address = "127.0.0.1:{free(socket.SOCK_DGRAM)}"',
            ]
        ground += ["[keepers.k]", f'address = "127.0.0.1:{free(socket.SOCK_DGRAM)}"']
        (self.folder / "ground.toml").write_text("\n".join(ground) + "\n")
        await (
            await self.start(
                "pathsaddle.federation",
                "commit",
                self.folder / "ground.toml",
                self.folder / "spec.toml",
                "--offer",
                "0.1",
            )
        ).wait()
        await self.start("pathsaddle.federation", "keeper", self.folder / "ground.toml", "k")
        for name, other, there in (("n", "west", "w"), ("w", "north", "n")):
            discovery = await asyncio.start_server(
                lambda r, w, name=name: self.list(name, r, w), "127.0.0.1", 0
            )
            worker = await asyncio.start_server(lambda r, w, name=name: self.work(name, r, w), "127.0.0.1", 0)
            self.addCleanup(discovery.close)
            self.addCleanup(worker.close)
            setattr(self, f"worker_{name}", worker.sockets[0].getsockname()[1])
            path = self.folder / f"{name}.toml"
            path.write_text(
                CHARTER.format(
                    name=name,
                    port=self.ports[name],
                    folder=folder.name,
                    other=other,
                    door=self.ports[there],
                    discovery=discovery.sockets[0].getsockname()[1],
                )
            )
            self.serving[name] = await self.start("pathsaddle", "serve", path)
        await self.until(
            lambda rows: (
                {
                    row.more["who"]
                    for row in rows
                    if row.what == "spec.version"
                    and row.more["state"] == "held"
                    and row.more["until"] > row.at
                }
                == {"n", "w"}
            )
        )
        await self.until(
            lambda rows: any(
                row.what == "share.rights" and row.more["who"] == "w" and row.more["units"] for row in rows
            )
        )

    async def start(self, module, *words):
        with (self.folder / f"{len(list(self.folder.iterdir()))}.err").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *map(str, words),
                cwd=ROOT,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=log,
                start_new_session=True,
            )

        async def end():
            if process.returncode is None:
                os.killpg(process.pid, signal.SIGKILL)
            await process.wait()

        self.addAsyncCleanup(end)
        return process

    def rows(self):
        found = []
        for path in sorted((self.folder / "log").glob("*.jsonl")):
            whole = path.read_bytes()
            (self.folder / "read").write_bytes(whole[: whole.rfind(b"\n") + 1])
            found += read(self.folder / "read")
        return sorted(found, key=lambda row: row.at)

    async def until(self, holds):
        for _ in range(300):
            if holds(self.rows()):
                return
            await asyncio.sleep(0.1)
        self.fail("\n".join(path.read_text() for path in self.folder.glob("*.err")))

    # The peers.

    async def list(self, name, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        port = getattr(self, f"worker_{name}")
        line = (
            json.dumps(
                {
                    "index": 1,
                    "snapshot": True,
                    "endpoints": [
                        {
                            "name": name,
                            "address": f"127.0.0.1:{port}",
                            "zone": "here",
                            "type": "m",
                            "group": 0,
                            "status": "active",
                            "weight": 1.0,
                            "since_ms": 0,
                        }
                    ],
                }
            ).encode()
            + b"\n"
        )
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line))
        await reader.read()
        writer.close()

    async def work(self, name, reader, writer):
        self.addCleanup(writer.close)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if not head.startswith(b"POST"):
                    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{"x0":8,"queue":0}')
                    continue
                await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
                self.seen[name].append(head)
                if self.moods[name] == "full":
                    writer.write(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
                elif self.moods[name] == "reset":
                    writer.transport.abort()
                    return
                else:
                    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
                    if self.moods[name] == "done":
                        tag = head.split(b"Req-Id: ")[1].split(b"\r\n")[0].decode()
                        told = json.dumps({"id": tag, "from": name, "state": "done", "result": name}).encode()
                        await self.call(
                            name, b"POST /callback HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(told) + told
                        )
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def call(self, name, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[name])
        writer.write(data)
        try:
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 15.0)
            length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
            return int(head.split()[1]), await reader.readexactly(int(length or b"0"))
        finally:
            writer.close()

    @staticmethod
    def job(tag, kind, within=4000, more=""):
        return (
            f"POST /{kind} HTTP/1.1\r\nHost: x\r\nReq-Id: {tag}\r\nReq-Deadline-Ms: {within}\r\n{more}"
            "Content-Length: 5\r\n\r\nhello"
        ).encode()

    async def test_what_finds_no_place_at_home_is_served_abroad_once_and_never_where_it_may_not_be(self):
        self.assertEqual(await self.call("n", self.job("a", "render")), (200, b"w"))
        self.assertEqual(await self.call("n", self.job("b", "charge")), (200, b"w"))
        self.assertIn(b"Crossed-From: north", self.seen["w"][0])
        self.assertEqual((await self.call("n", self.job("c", "vault")))[0], 503)
        self.assertEqual(len(self.seen["w"]), 2)
        # It may have run over there: neither declined nor sent again.
        self.moods["w"] = "reset"
        before = len(self.seen["w"])
        self.assertEqual((await self.call("n", self.job("e", "charge")))[0], 500)
        self.assertEqual(len(self.seen["w"]), before + 1)
        # Full on both sides: what crossed is declined there and comes back declined; nobody sends it on.
        self.moods["w"] = "full"
        self.assertEqual((await self.call("n", self.job("d", "charge")))[0], 503)
        rows = self.rows()
        self.assertEqual(dict(judged(rows, 100)), {})
        self.assertEqual({row.more["to"] for row in rows if row.what == "abroad.sent"}, {"west"})

    async def test_a_client_that_came_to_the_wrong_region_is_sent_home_and_served_there_or_as_a_foreigner(
        self,
    ):
        self.moods["n"] = "done"
        for kind in ("vault", "render"):
            self.assertEqual(await self.call("w", self.job(kind, kind)), (200, b"n"))
        self.moods["n"] = "full"
        self.assertEqual((await self.call("w", self.job("a", "vault")))[0], 503)
        os.killpg(self.serving["n"].pid, signal.SIGKILL)
        await self.serving["n"].wait()
        # Nobody is at home's door, which proves that nothing ran there: it runs here, but for what may not.
        self.assertEqual(await self.call("w", self.job("b", "render")), (200, b"w"))
        self.assertEqual((await self.call("w", self.job("c", "vault", 1500)))[0], 503)
        self.assertFalse([head for head in self.seen["w"] if b"/vault" in head])
        self.assertEqual(dict(judged(self.rows(), 100)), {})

    async def test_told_to_end_while_a_job_is_abroad_it_gives_its_answer_first(self):
        self.moods["w"] = "hold"
        runs = asyncio.create_task(self.call("n", self.job("a", "render")))
        for _ in range(100):
            if self.seen["w"]:
                break
            await asyncio.sleep(0.05)
        self.serving["n"].send_signal(signal.SIGTERM)
        told = json.dumps({"id": "a", "from": "w", "state": "done", "result": "late"}).encode()
        await self.call("w", b"POST /callback HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(told) + told)
        self.assertEqual(await runs, (200, b"late"))
        self.assertEqual(await asyncio.wait_for(self.serving["n"].wait(), 10), 0)

    async def test_a_caller_that_hangs_up_is_told_on_to_the_other_region(self):
        self.moods["w"] = "hold"
        _, writer = await asyncio.open_connection("127.0.0.1", self.ports["n"])
        writer.write(self.job("a", "render", 8000))
        for _ in range(100):
            if self.seen["w"]:
                break
            await asyncio.sleep(0.05)
        self.assertTrue(self.seen["w"])
        writer.close()

        def told(_):
            logs = [path.read_text() for path in self.folder.glob("*.err")]
            return (
                sum("side=client code=hung-up" in log for log in logs) == 2
            )  # at the first door and at the second

        await self.until(told)


if __name__ == "__main__":
    unittest.main()
