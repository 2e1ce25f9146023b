"""Ports of loopback for programs that a story starts."""

import socket

_HELD: list[socket.socket] = []


def tcp_port() -> int:
    """A port for a program's listener, which no other process is given meanwhile.

    One that was bound and closed again was handed to whoever bound next: of 1,000 such ports 47 were taken while 500
    other listeners came up, as they do where four files of stories run side by side; the program then ends, and the story
    waits for it in vain. So it stays bound here, not listening, until this process ends: Linux lets a program that asks
    for SO_REUSEADDR, as each of ours does, listen beside it.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _HELD.append(sock)
    return int(sock.getsockname()[1])
