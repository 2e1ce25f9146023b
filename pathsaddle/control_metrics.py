"""Processor time and bytes that control costs a dispatcher, by purpose, apart from its requests.

A meter wraps the calls that enter the drivers of control (membership, gossip, quotas, consensus, settings,
overload, discovery). A nested call for another purpose counts for that purpose alone, so each nanosecond is
counted once. The module does no I/O except for reading the clocks that it is given. It needs a dozen counters
for each purpose, whatever the size of the fleet.

The time is that of the thread (`time.thread_time_ns`). It excludes what other processes on the machine take
and includes what the kernel does for this thread's calls. It also excludes the event loop's own iterations
and the work of disk threads. Alternatives: sampling the stack needs one more thread, and minutes to see a
purpose of 0.1% of a core; a profiler slows the process by a factor of two; a run with and one without control
show the sum alone (`emulator/hollow/control.py` compares the meter with it).

`config/metering.py` owns the meter of a real dispatcher; every driver has a `NullMeter` until it is given
one.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Generator
from functools import partial
from typing import Any, Literal, NamedTuple, TypedDict, TypeVar, get_args

Purpose = Literal[
    "list",
    "membership",
    "carrying",
    "shares",
    "owners",
    "spec",
    "settings",
    "level",
    "reports",
    "looks",
    "log",
]
PURPOSES: tuple[Purpose, ...] = get_args(Purpose)
# These costs grow with the requests, so no budget of control limits them.
REQUEST_PURPOSES: tuple[Purpose, ...] = ("reports", "looks", "log")
NS_PER_SECOND = 1_000_000_000
NS_PER_US = 1000
MIN_SECONDS = 1e-9  # keeps rates finite right after the start
T = TypeVar("T")


class NullMeter:
    """A meter that counts nothing, with the methods of `ControlMeter`, for drivers that are not metered."""

    def runs(self, purpose: Purpose, call: Callable[[], T]) -> T:
        """Make the call and return its result."""
        return call()

    def came(self, purpose: Purpose, size: int) -> None:
        """Count bytes that were received."""

    def went(self, purpose: Purpose, size: int) -> None:
        """Count bytes that were sent."""


class SecondCost(NamedTuple):
    """The cost of one whole second."""

    ns: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class PurposeCost:
    """The cost of one purpose since the meter's start, and the highest cost of any whole second.

    Attributes:
        calls: Metered calls.
        ns: Processor time, nanoseconds.
        got: Bytes received.
        said: Bytes sent.
        last: The cost of the last whole second.
        most_ns: The most processor time of any whole second.
        most_bytes_in: The most bytes received in any whole second.
        most_bytes_out: The most bytes sent in any whole second.
    """

    __slots__ = (
        "calls",
        "got",
        "last",
        "most_bytes_in",
        "most_bytes_out",
        "most_ns",
        "ns",
        "said",
        "second_bytes_in",
        "second_bytes_out",
        "second_ns",
    )

    def __init__(self) -> None:
        self.calls = self.ns = self.got = self.said = 0
        self.second_ns = self.second_bytes_in = self.second_bytes_out = 0  # of the current second
        self.last = SecondCost()
        self.most_ns = self.most_bytes_in = self.most_bytes_out = 0

    def add(self, ns: int, bytes_in: int, bytes_out: int) -> None:
        """Count a cost in the current second."""
        self.ns += ns
        self.got += bytes_in
        self.said += bytes_out
        self.second_ns += ns
        self.second_bytes_in += bytes_in
        self.second_bytes_out += bytes_out

    def end_second(self) -> None:
        """Close the current second."""
        self.most_ns = max(self.most_ns, self.second_ns)
        self.most_bytes_in = max(self.most_bytes_in, self.second_bytes_in)
        self.most_bytes_out = max(self.most_bytes_out, self.second_bytes_out)
        self.last = SecondCost(self.second_ns, self.second_bytes_in, self.second_bytes_out)
        self.second_ns = self.second_bytes_in = self.second_bytes_out = 0

    def view(self, seconds: float) -> CostView:
        """Return the cost in the form that `fleet show control` prints.

        Args:
            seconds: The time since the meter's start; rates are means over that time.
        """
        return {
            "us": self.ns // NS_PER_US,
            "core": round(self.ns / 1e9 / seconds, 7),
            "in": self.got,
            "out": self.said,
            "in_s": round(self.got / seconds, 1),
            "out_s": round(self.said / seconds, 1),
            "most_us": max(self.most_ns, self.second_ns) // NS_PER_US,
            "most_in": max(self.most_bytes_in, self.second_bytes_in),
            "most_out": max(self.most_bytes_out, self.second_bytes_out),
        }


# The members of the JSON document of `fleet show control`. A class can't declare `in`, a Python keyword.
CostView = TypedDict(
    "CostView",
    {
        "us": int,
        "core": float,
        "in": int,
        "out": int,
        "in_s": float,
        "out_s": float,
        "most_us": int,
        "most_in": int,
        "most_out": int,
    },
)


class PurposeView(CostView):
    """The cost of one purpose in that document.

    Attributes:
        calls: Metered calls.
        txns: Whether the cost grows with the requests.
    """

    calls: int
    txns: bool


class MeterView(TypedDict):
    """The meter's part of that document."""

    seconds: float
    control: CostView
    purposes: dict[Purpose, PurposeView]


def _ignore() -> None:
    """Do nothing."""


class ControlMeter(NullMeter):
    """Counts the cost of each purpose.

    Seconds are counted by `steady_ns` from the meter's start on. The highest cost is that of one such second.
    A burst across the end of a second is split, so any other interval of one second may have up to twice as
    much.

    Args:
        thread_ns: Processor time of this thread, nanoseconds.
        steady_ns: A clock that never goes back, nanoseconds.

    Attributes:
        spent: The cost by purpose.
        all: The cost of all purposes that a budget limits.
        second: The number of the current second, from 0.
        second_ended: Called once a second has ended, when the first cost of a later second is counted.
    """

    def __init__(
        self,
        thread_ns: Callable[[], int] = time.thread_time_ns,
        steady_ns: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        self.thread_ns, self.steady_ns = thread_ns, steady_ns
        self.spent: dict[Purpose, PurposeCost] = {purpose: PurposeCost() for purpose in PURPOSES}
        self.all = PurposeCost()
        self.started_ns = steady_ns()
        self.second = 0
        self.second_ended: Callable[[], None] = _ignore
        # One entry for each metered call that has not returned: its purpose, and the time taken by metered
        # calls within it.
        self._purposes: list[Purpose] = []
        self._nested_ns: list[int] = []

    def came(self, purpose: Purpose, size: int) -> None:
        """Count bytes that were received."""
        self._add(purpose, 0, size, 0)

    def went(self, purpose: Purpose, size: int) -> None:
        """Count bytes that were sent."""
        self._add(purpose, 0, 0, size)

    def _add(self, purpose: Purpose, ns: int, bytes_in: int, bytes_out: int) -> None:
        second = (self.steady_ns() - self.started_ns) // NS_PER_SECOND
        if second != self.second:
            self.second = second
            for cost in (*self.spent.values(), self.all):
                cost.end_second()
            self.second_ended()
        self.spent[purpose].add(ns, bytes_in, bytes_out)
        if purpose not in REQUEST_PURPOSES:
            self.all.add(ns, bytes_in, bytes_out)

    def runs(self, purpose: Purpose, call: Callable[[], T]) -> T:
        """Make the call, count its time without that of metered calls in it, and return its result."""
        self._nested_ns.append(0)
        self._purposes.append(purpose)
        started_ns = self.thread_ns()
        try:
            return call()
        finally:
            elapsed_ns = self.thread_ns() - started_ns
            nested_ns = self._nested_ns.pop()
            self._purposes.pop()
            if self._nested_ns:
                self._nested_ns[-1] += elapsed_ns
            self.spent[purpose].calls += 1
            self._add(purpose, max(0, elapsed_ns - nested_ns), 0, 0)

    async def steps(self, purpose: Purpose, work: Awaitable[T], after: Callable[[], None] = _ignore) -> T:
        """Await a coroutine and meter each of its steps, from one wait to the next.

        An exception that is thrown into the wrapper, such as a cancellation, reaches the coroutine.

        Args:
            purpose: What the steps count for.
            work: The coroutine.
            after: Called after each step.
        """
        return await _MeteredSteps(self, purpose, work, after)

    def within(self, purpose: Purpose) -> bool:
        """Return whether a call for this purpose is running."""
        return purpose in self._purposes

    def bound(self) -> list[tuple[Purpose, PurposeCost]]:
        """Return the purposes that a budget limits, with their costs."""
        return [(purpose, cost) for purpose, cost in self.spent.items() if purpose not in REQUEST_PURPOSES]

    def view(self) -> MeterView:
        """Return the total cost since the start, and that of each purpose whose cost is not zero."""
        self._add("list", 0, 0, 0)  # closes a second that has ended
        seconds = max(MIN_SECONDS, (self.steady_ns() - self.started_ns) / 1e9)
        return {
            "seconds": round(seconds, 3),
            "control": self.all.view(seconds),
            "purposes": {
                purpose: {"calls": cost.calls, **cost.view(seconds), "txns": purpose in REQUEST_PURPOSES}
                for purpose, cost in self.spent.items()
                if cost.calls or cost.got or cost.said
            },
        }


class _MeteredSteps(Awaitable[T]):
    """Awaits `work` step by step through a meter."""

    def __init__(
        self, meter: ControlMeter, purpose: Purpose, work: Awaitable[T], after: Callable[[], None]
    ) -> None:
        self.meter, self.purpose, self.work, self.after = meter, purpose, work, after

    def __await__(self) -> Generator[Any, Any, T]:
        inner = self.work.__await__()
        step: Callable[[], Any] = partial(next, inner)
        while True:
            try:
                awaited = self.meter.runs(self.purpose, step)
            except StopIteration as ended:
                result: T = ended.value
                return result
            finally:
                self.after()
            try:
                sent = yield awaited
            except GeneratorExit:
                inner.close()
                raise
            except BaseException as error:  # noqa: BLE001  # passed on to the inner coroutine
                step = partial(inner.throw, error)
            else:
                step = partial(inner.send, sent)
