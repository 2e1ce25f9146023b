"""What control costs a dispatcher, apart from its txns: processor time and bytes, by what they were for.

Free of I/O but for the clock that is handed in. A meter stands around the calls by which the drivers of control are
entered; what such a call enters in turn for another purpose counts for that one alone, so that the sum of all purposes
is spent once. Memory: a dozen counters a purpose, whatever the size of the fleet; a meter grows with nothing.

The time is that of the thread (`time.thread_time_ns`): what others on the machine take isn't in it, what the kernel does
for our calls is. Not in it: the event loop's own turns, and what disk threads do. Weighed: sampling the stack (a thread
more, and a purpose of 0.1% of a core wants minutes), a profiler (a factor of two), running with and without (tells the
sum alone; `emulator/hollow/control.py` holds the meter against it).
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Generator
from typing import Any, Literal, TypeVar

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
PURPOSES: tuple[Purpose, ...] = (
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
)
WITH_TXNS: tuple[Purpose, ...] = (
    "reports",
    "looks",
    "log",
)  # that grow with txns: no budget of control binds them
T = TypeVar("T")


class NullMeter:
    """What drivers have where nobody meters them; its calls are those of `ControlMeter`."""

    def runs(self, purpose: Purpose, call: Callable[[], T]) -> T:
        return call()

    def came(self, purpose: Purpose, size: int) -> None:
        """So many bytes."""

    def went(self, purpose: Purpose, size: int) -> None:
        """So many bytes."""


class PurposeCost:
    """Of one purpose, since the meter began: calls, nanoseconds, bytes; and the most bytes of any whole second."""

    __slots__ = ("calls", "got", "last", "most_got", "most_ns", "most_said", "ns", "said", "second")

    def __init__(self) -> None:
        self.calls = self.ns = self.got = self.said = 0
        self.second = [0, 0, 0]  # of the running one: nanoseconds, bytes in, bytes out
        self.last = [0, 0, 0]  # of the one before it
        self.most_ns = self.most_got = self.most_said = 0

    def ends_second(self) -> None:
        self.most_ns = max(self.most_ns, self.second[0])
        self.most_got = max(self.most_got, self.second[1])
        self.most_said = max(self.most_said, self.second[2])
        self.last, self.second = self.second, [0, 0, 0]


class ControlMeter(NullMeter):
    """Seconds are those of the clock handed in, from the meter's begin on: a most is of one such second, so that bytes
    which fall on both sides of its end may be twice a most within a second of their own.

    `thread_ns`: processor time of this thread; `steady_ns`: a clock that never goes back.
    """

    def __init__(
        self,
        thread_ns: Callable[[], int] = time.thread_time_ns,
        steady_ns: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        self.thread_ns, self.steady_ns = thread_ns, steady_ns
        self.spent: dict[Purpose, PurposeCost] = {purpose: PurposeCost() for purpose in PURPOSES}
        self.all = PurposeCost()  # of those that a budget binds
        self.begun = steady_ns()
        self.second = 0  # the running one
        self._inner: list[
            int
        ] = []  # a frame for each call that is out: nanoseconds that calls within it have taken
        self._outer: list[Purpose] = []  # what each of them is for
        self.second_ended: Callable[[], None] = lambda: (
            None
        )  # told when a second has ended, in the next one's first call

    # Bytes.

    def came(self, purpose: Purpose, size: int) -> None:
        self._adds(purpose, 0, size, 0)

    def went(self, purpose: Purpose, size: int) -> None:
        self._adds(purpose, 0, 0, size)

    def _adds(self, purpose: Purpose, ns: int, got: int, said: int) -> None:
        second = (self.steady_ns() - self.begun) // 1_000_000_000
        if second != self.second:
            self.second = second
            for one in (*self.spent.values(), self.all):
                one.ends_second()
            self.second_ended()
        for one in (self.spent[purpose],) if purpose in WITH_TXNS else (self.spent[purpose], self.all):
            one.ns += ns
            one.got += got
            one.said += said
            one.second[0] += ns
            one.second[1] += got
            one.second[2] += said

    # Time.

    def runs(self, purpose: Purpose, call: Callable[[], T]) -> T:
        """The call's own time, less what is metered within it."""
        self._inner.append(0)
        self._outer.append(purpose)
        begun = self.thread_ns()
        try:
            return call()
        finally:
            took = self.thread_ns() - begun
            inner = self._inner.pop()
            self._outer.pop()
            if self._inner:
                self._inner[-1] += took
            self.spent[purpose].calls += 1
            self._adds(purpose, max(0, took - inner), 0, 0)

    async def steps(
        self, purpose: Purpose, work: Awaitable[T], after: Callable[[], None] = lambda: None
    ) -> T:
        """A coroutine whose every step, from one wait to the next, is metered; what is thrown into it, such as its
        cancellation, reaches it. `after` each step.
        """
        return await _Steps(self, purpose, work, after)

    def within(self, purpose: Purpose) -> bool:
        """Whether a call for that is out."""
        return purpose in self._outer

    def bound(self) -> list[tuple[Purpose, PurposeCost]]:
        """Those that a budget binds."""
        return [(purpose, one) for purpose, one in self.spent.items() if purpose not in WITH_TXNS]

    # What it tells.

    def view(self) -> dict[str, Any]:
        """Since its begin, each purpose that has come about; a rate is a mean over all that time."""
        self._adds("list", 0, 0, 0)  # a second that has ended counts
        seconds = max(1e-9, (self.steady_ns() - self.begun) / 1e9)

        def told(one: PurposeCost) -> dict[str, Any]:
            return {
                "us": one.ns // 1000,
                "core": round(one.ns / 1e9 / seconds, 7),
                "in": one.got,
                "out": one.said,
                "in_s": round(one.got / seconds, 1),
                "out_s": round(one.said / seconds, 1),
                "most_us": max(one.most_ns, one.second[0]) // 1000,
                "most_in": max(one.most_got, one.second[1]),
                "most_out": max(one.most_said, one.second[2]),
            }

        return {
            "seconds": round(seconds, 3),
            "control": told(self.all),
            "purposes": {
                purpose: {"calls": one.calls, **told(one), "txns": purpose in WITH_TXNS}
                for purpose, one in self.spent.items()
                if one.calls or one.got or one.said
            },
        }


class _Steps(Awaitable[T]):
    def __init__(
        self, meter: ControlMeter, purpose: Purpose, work: Awaitable[T], after: Callable[[], None]
    ) -> None:
        self.meter, self.purpose, self.work, self.after = meter, purpose, work, after

    def __await__(self) -> Generator[Any, Any, T]:
        inner = self.work.__await__()
        step: Callable[[], Any] = lambda: next(inner)
        while True:
            try:
                waits_for = self.meter.runs(self.purpose, step)
            except StopIteration as ended:
                result: T = ended.value
                return result
            finally:
                self.after()
            try:
                sent = yield waits_for
            except GeneratorExit:
                inner.close()
                raise
            except BaseException as fault:  # noqa: BLE001  # whatever is thrown in is the inner one's
                step = _throws(inner, fault)
            else:
                step = _sends(inner, sent)


def _sends(inner: Any, sent: Any) -> Callable[[], Any]:
    return lambda: inner.send(sent)


def _throws(inner: Any, fault: BaseException) -> Callable[[], Any]:
    return lambda: inner.throw(fault)
