"""Ports that programs are started with: nobody else is given them meanwhile."""

import socket
import subprocess
import sys
import unittest

from pathsaddle.emulator.ground.ports import LEAST, udp_ports

OTHER = """
import sys
from pathsaddle.emulator.ground.ports import udp_ports
print(*udp_ports(200), flush=True)
sys.stdin.read()
"""


class UdpPorts(unittest.TestCase):
    def test_none_that_the_kernel_deals_out_and_none_twice(self) -> None:
        found = udp_ports(300)
        self.assertEqual(len({*found}), 300)
        dealt = []
        for _ in range(2000):
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.bind(("127.0.0.1", 0))
                dealt.append(sock.getsockname()[1])
        self.assertEqual({*found} & {*dealt}, set())
        self.assertLess(max(found), min(dealt))
        self.assertGreaterEqual(min(found), LEAST)

    def test_a_program_can_bind_each(self) -> None:
        for port in udp_ports(20):
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.bind(("127.0.0.1", port))

    def test_two_processes_that_look_at_once_share_none(self) -> None:
        others = [
            subprocess.Popen(
                [sys.executable, "-c", OTHER], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
            )
            for _ in range(4)
        ]
        try:
            found = [port for other in others for port in other.stdout.readline().split()]
        finally:
            for other in others:
                other.communicate("")
        self.assertEqual((len(found), len({*found})), (800, 800))


if __name__ == "__main__":
    unittest.main()
