"""A measure that does what its setting says, and writes down whom it started."""

import os
import subprocess
import sys
import threading
from pathlib import Path

import msgspec

FIGURES = {"size": ("bytes", "the point"), "speed": ("ms", "a figure of the machine's")}
COUNTED = frozenset({"size"})
STAYS = [sys.executable, "-c", "import threading; threading.Event().wait(600)"]  # until it is ended


class Setting(msgspec.Struct, forbid_unknown_fields=True):
    """how: what goes wrong. folder: where ids of processes are written. each: processes that a point
    needs.
    """

    how: str = ""
    folder: str = ""
    each: int = 1


def needs(point: int, setting: Setting) -> tuple[int, float]:
    return setting.each * point, 50.0 * point


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    def told(name: str, pid: int) -> None:
        part = Path(setting.folder) / f"{name}.part"
        part.write_text(str(pid))
        part.rename(Path(setting.folder) / name)

    if setting.how == "a moment":  # it ends by itself, a little later
        subprocess.Popen(
            [sys.executable, "-c", "import sys; sys.stdin.read()"], stdin=subprocess.PIPE
        )  # until ours closes
    elif setting.how:
        for name, apart in (("child", False), ("apart", True)):  # apart: in a session of its own
            told(name, subprocess.Popen(STAYS, start_new_session=apart).pid)
        told("play", os.getpid())
        if (Path(setting.folder) / "all-told").exists():  # a pipe by name, at which the story waits
            (Path(setting.folder) / "all-told").write_text("x")
    if setting.how == "breaks":
        raise ValueError("no such size")
    if setting.how == "dies":
        os._exit(7)
    if setting.how == "hangs":
        threading.Event().wait(600)
    if setting.how == "takes":
        taken = bytearray(b"x") * (80 << 20)
        threading.Event().wait(600)
        return {"size": len(taken)}
    if setting.how == "no number":
        return {"size": float("nan"), "other": 1.0}
    print("what a measure prints is no figure")
    return {"size": float(point), "speed": 1.0 + seed}
