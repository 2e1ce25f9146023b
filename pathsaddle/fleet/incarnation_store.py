"""Where a member keeps the number of its last life: a small file, synced before the life is told to anybody."""

from __future__ import annotations

import os
from pathlib import Path

from pathsaddle.errors import Error


class IncarnationStoreError(Error):
    name = "fleet.no-folder"
    what = "{file}: fleet.folder: the number of our life can't be kept in {folder}: {why}"


class IncarnationStore:
    """A folder of the operator's; none: lives go by the clock alone, and one that is stale is refuted by others."""

    def __init__(self, folder: Path | None, name: str) -> None:
        self.path = folder / f"{name}.life" if folder is not None else None

    def last(self) -> int:
        """0 where nothing is kept, or what is kept is not readable: then the clock alone goes."""
        if self.path is None:
            return 0
        try:
            return max(0, int(self.path.read_text(encoding="ascii")))
        except (OSError, ValueError):
            return 0

    def keep(self, life: int) -> None:
        """Raises OSError."""
        if self.path is None:
            return
        other = self.path.with_suffix(".new")
        with other.open("w", encoding="ascii") as file:
            file.write(f"{life}\n")
            file.flush()
            os.fsync(file.fileno())
        other.replace(self.path)
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
