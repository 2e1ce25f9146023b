"""How the command line ends: one line a fault, and a code."""

from __future__ import annotations

from typing import Any

import click


class Stop(click.ClickException):
    """Ends with its code."""

    def __init__(self, text: str, code: int) -> None:
        super().__init__(text)
        self.exit_code: int = code  # type: ignore[misc]

    def show(self, file: Any = None) -> None:
        click.echo(self.message, err=True)


def checked(read: Any, path: str) -> Any:
    """A file's object, or an end with one line a fault."""
    from pathsaddle.charter.check import Faulty
    try:
        return read(path)
    except Faulty as fault:
        raise Stop("\n".join(map(str, fault.faults)), 2) from None
