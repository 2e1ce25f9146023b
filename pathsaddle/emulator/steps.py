"""What a run costs, as a count that no machine changes: the lines of Python that it runs."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType, TracebackType
from typing import Any, Self


class Steps:
    """Counts the lines that run within `with`, also again and again, on this thread, by `sys.settrace`.

    It stands in place of processor time, against a text that has become slower: a plan took 28.5 s alone and
    47.6 s beside other tests, though a ruler of fixed work was taken before and after it. Weighed: calls, as
    cProfile counts them, which see no loop that calls nothing (a scan); `perf`'s instructions, which most
    virtual machines don't have. Not seen: what grows inside one call of C (a sort, a copy, `in` on a list).

    lines: so far. By the seed alone for what depends on nothing else, for one version of Python.
    """

    def __init__(self) -> None:
        self.lines = 0

    def __enter__(self) -> Self:
        self._before = sys.gettrace()
        sys.settrace(self._call)
        return self

    def __exit__(
        self, kind: type[BaseException] | None, fault: BaseException | None, where: TracebackType | None
    ) -> None:
        sys.settrace(self._before)

    def _call(self, frame: FrameType, event: str, told: Any) -> Callable[[FrameType, str, Any], None]:
        return self._line

    def _line(self, frame: FrameType, event: str, told: Any) -> None:
        if event == "line":
            self.lines += 1
