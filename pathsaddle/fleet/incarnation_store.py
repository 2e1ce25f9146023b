"""Where a process stores the number of its last incarnation.

It is a small file that is synced before the number is told to anybody.

Membership, consensus and shared settings each have a file of their own. The file's suffix, `.life`, is the
term by which operators know it.
"""

from __future__ import annotations

import os
from pathlib import Path

from pathsaddle.errors import Error


class IncarnationStoreError(Error):
    """The directory of `fleet.folder` can't be written at the start."""

    name = "fleet.no-folder"
    what = "{file}: fleet.folder: the number of our life can't be kept in {folder}: {why}"


class IncarnationStore:
    """A file in a directory of the operator's.

    Without a directory incarnations go by the clock alone, and one that is stale is refuted by other members.

    Attributes:
        path: The file; None: nothing is stored.
    """

    def __init__(self, directory: Path | None, name: str) -> None:
        self.path = directory / f"{name}.life" if directory is not None else None

    def last(self) -> int:
        """Returns the stored number; 0 where none can be read, so that the clock alone decides."""
        if self.path is None:
            return 0
        try:
            return max(0, int(self.path.read_text(encoding="ascii")))
        except (OSError, ValueError):
            return 0

    def keep(self, incarnation: int) -> None:
        """Stores a number; it is on disk when this returns.

        Raises:
            OSError: It can't be stored.
        """
        if self.path is None:
            return
        replacement = self.path.with_suffix(".new")
        with replacement.open("w", encoding="ascii") as file:
            file.write(f"{incarnation}\n")
            file.flush()
            os.fsync(file.fileno())
        replacement.replace(self.path)
        directory = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)
