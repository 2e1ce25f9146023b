"""Members as real processes, with what is between them broken: relays cut, SIGSTOP, SIGKILL. Whatever happens here, all
of them are ended: each dies with the process that started it.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from pathsaddle.emulator.ground.air import Air, Blight
from pathsaddle.emulator.ground.ports import udp_ports
from pathsaddle.emulator.ground.relays import Streams
from pathsaddle.event_log import read
from tests.ports import tcp_port

ROOT = Path(__file__).resolve().parent.parent
CHARTER = """name = "alone"
listen = "127.0.0.1:0"
discovery = "127.0.0.1:9"
[[schemes]]
name = "a"
semantics = "repeatable"
expiry = "5s"
[log]
form = "json"
[fleet]
name = "f"
key = "sixteen bytes or more"
listen = "127.0.0.1:{0}"
control = "127.0.0.1:{1}"
folder = "{2}"
"""


def pathsaddle(*words, **more):
    return subprocess.Popen(
        [sys.executable, "-m", "pathsaddle", *words],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
        **more,
    )


def free(kind):
    if kind == socket.SOCK_STREAM:
        return tcp_port()
    return udp_ports(1)[0]


class ProcessStory(unittest.TestCase):
    def started(self, *words, **more):
        process = pathsaddle(*words, **more)

        def end():
            if process.poll() is None:
                os.killpg(process.pid, signal.SIGKILL)
            process.communicate()

        self.addCleanup(end)
        return process

    def test_seven_processes_through_cuts_a_stop_a_kill_and_a_minute_in_halves(self):
        """Two fleets side by side, for the time's sake; exit 0: no bound of the judge's was broken at any instant."""
        with tempfile.TemporaryDirectory() as folder:
            runs = {
                name: self.started(
                    "emulate",
                    f"experiments/{name}.toml",
                    "--ground",
                    "sockets",
                    "--events",
                    f"{folder}/{name}",
                )
                for name in ("fleet-sockets", "fleet-halves")
            }
            for process in runs.values():
                said, _ = process.communicate(timeout=150)
                self.assertEqual(process.returncode, 0, said[-3000:])
            views = {name: [e for e in read(Path(folder) / name) if e.what == "view"] for name in runs}
        apart = [e.more for e in views["fleet-halves"] if e.more["state"] == "dead" and e.at < 610_000]
        self.assertTrue(any(m["who"] == "d0" and m["about"] == "d6" for m in apart))
        back = {
            e.more["life"] for e in views["fleet-sockets"] if (e.more["who"], e.more["about"]) == ("d0", "d6")
        }
        self.assertEqual(len(back), 2)
        stopped = [e.more for e in views["fleet-sockets"] if e.more["who"] == "d3" and e.at > 400_000]
        self.assertTrue(any("stood still" in m["why"] or "refuted" in m["why"] for m in stopped))

    def test_a_process_is_asked_who_is_there_and_says_so(self):
        with tempfile.TemporaryDirectory() as folder:
            control = free(socket.SOCK_STREAM)
            path = Path(folder) / "charter.toml"
            path.write_text(CHARTER.format(free(socket.SOCK_DGRAM), control, folder))
            process = self.started("serve", str(path))
            for line in process.stdout:
                if json.loads(line)["event"] == "serving":
                    break
            asked = pathsaddle("fleet", "members", str(path), "--json")
            told = json.loads(asked.communicate(timeout=30)[0])
            self.assertEqual((told["name"], told["fleet"], told["members"]), ("alone", "f", []))
            self.assertEqual(int((Path(folder) / "alone.life").read_text()), told["life"])
            table = pathsaddle("fleet", "members", f"127.0.0.1:{control}")
            self.assertIn("own health 0", table.communicate(timeout=30)[0])
            process.send_signal(signal.SIGTERM)
            self.assertIn("told to end", process.communicate(timeout=30)[0])
            nobody = pathsaddle("fleet", "members", str(path))
            self.assertIn("nobody takes connections there", nobody.communicate(timeout=30)[0])
            self.assertEqual(nobody.returncode, 1)

    def test_a_folder_that_is_not_there_is_said_at_once(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "charter.toml"
            path.write_text(
                CHARTER.format(free(socket.SOCK_DGRAM), free(socket.SOCK_STREAM), f"{folder}/none")
            )
            process = self.started("serve", str(path))
            said, _ = process.communicate(timeout=30)
            self.assertEqual(process.returncode, 2)
            self.assertIn("fleet.folder", said)

    def test_without_a_fleet_nothing_of_it_is_loaded(self):
        code = (
            "import sys; from pathsaddle.net.service import start, ground; from pathsaddle.net.memory.counters "
            "import Counters; assert ground.Environment().fellows(Counters()) is None; "
            "print([m for m in sys.modules if m.startswith('pathsaddle.fleet') or m == 'msgspec'])"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
        )
        self.assertEqual(done.stdout.strip(), "[]")


class StreamStory(unittest.TestCase):
    def test_what_is_said_on_a_connection_waits_while_its_way_is_cut_and_comes_whole_after_it(self):
        import asyncio
        from random import Random

        async def run():
            loop = asyncio.get_running_loop()
            air = Air(Random(1), lambda one, other: 0.0)
            server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
            own = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            ours = f"127.0.0.1:{free(socket.SOCK_STREAM)}"
            streams = Streams(air, "d0", "d1", ours, own)
            reader, writer = await asyncio.open_connection(*ours.split(":"))
            writer.write(b"one")
            self.assertEqual(await asyncio.wait_for(reader.readexactly(3), 10), b"one")
            cut = Blight(frozenset(["d1"]), frozenset(["d0"]), oneway=True, lost=1.0)
            air.blights[cut] = None
            writer.write(b"two")
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(reader.readexactly(3), 0.3)
            air.blights.pop(cut)
            self.assertEqual(await asyncio.wait_for(reader.readexactly(3), 10), b"two")
            writer.close()
            await writer.wait_closed()
            while len(streams.tasks) > 1:  # until the relay has let both ends go
                await asyncio.sleep(0.01)
            streams.end()
            server.close()
            self.assertTrue(loop.is_running())

        asyncio.run(run())

    @staticmethod
    async def echo(reader, writer):
        try:
            while data := await reader.read(100):
                writer.write(data)
        finally:
            writer.close()


class ChartStory(unittest.TestCase):
    def test_what_is_wrong_in_a_fleets_table_is_said_all_at_once(self):
        from pathsaddle.config.schema import Configuration
        from pathsaddle.config.validation import InvalidConfigError, validate

        base = {
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:2",
            "name": "a",
            "schemes": [{"name": "s", "semantics": "repeatable", "expiry": "5s"}],
        }
        fleet = {"name": "f", "key": "sixteen bytes or more", "listen": "127.0.0.1:3"}
        self.assertIsNotNone(validate(Configuration, {**base, "fleet": fleet}, "x").fleet)
        for wrong, word in (
            ({"key": "short"}, "fleet.key"),
            ({"listen": "nowhere"}, "host:port of IPv4"),
            ({"seeds": ["[::1]:1"]}, "host:port of IPv4"),
            ({"control": "10.0.0.1:1"}, "loopback"),
            ({"beat": "20ms"}, "beat"),
            ({"patience": "600ms"}, "patience"),
            ({"bits": 1}, "bits"),
        ):
            with self.assertRaises(InvalidConfigError) as caught:
                validate(Configuration, {**base, "fleet": {**fleet, **wrong}}, "x")
            self.assertIn(word, str(caught.exception))
        with self.assertRaises(InvalidConfigError):
            validate(Configuration, {**base, "name": "pathsaddle", "dispatchers": 2, "fleet": fleet}, "x")

    def test_a_plans_links_name_whom_there_is(self):
        from pathsaddle.config.validation import InvalidConfigError
        from pathsaddle.emulator import plan as plans

        table = {
            "name": "p",
            "seconds": 5,
            "charter": {
                "zones": ["east", "west"],
                "schemes": [{"name": "s", "semantics": "repeatable", "expiry": "5s"}],
            },
            "faults": [{"kind": "link-cut", "of": "east", "at": "1s"}],
        }
        with self.assertRaises(InvalidConfigError) as caught:
            plans.of(table, "p")
        self.assertIn("charter.fleet is missing", str(caught.exception))
        table["charter"]["fleet"] = {}
        plan = plans.of(table, "p")
        self.assertEqual(plans.named(plan, plans.charter_of(plan), "east"), ["d0", "d2"])
        table["faults"][0]["of"] = "south"
        table["faults"].append({"kind": "link-cut", "of": "d1", "among": "d9", "at": "1s"})
        with self.assertRaises(InvalidConfigError) as caught:
            plans.of(table, "p")
        self.assertEqual([one.path for one in caught.exception.faults], ["faults[0].of", "faults[1].among"])
