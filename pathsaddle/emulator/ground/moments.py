"""An asyncio event loop whose time is virtual: it jumps to the next timer when nothing is left to do.

Time that nobody uses costs nothing, and the same seed gives the same run: handles run in the order in which
they became due, those of one moment in the order in which they were asked for. Each handle belongs to a host
(the context variable HOST), as if it were a process of its own; a killed host's handles never run again.

A step that never yields, or steps without end at one moment, are reported by Spinning instead of hanging.
"""

from __future__ import annotations

import asyncio
import contextvars
import errno
import heapq
import signal
from collections import deque
from collections.abc import Callable
from types import FrameType
from typing import Any

NANO = 1_000_000_000
STEPS = 300_000  # handles at one moment, beyond which time is taken to stand still for good
PATIENCE = 20  # seconds of real time in one step, beyond which it is taken never to yield
EPOCH = 1_700_000_000.0  # what the emulated machines' one clock says at the start, Unix seconds


class OwnClock:
    """A machine's monotonic clock that runs `rate` times as fast as it should, from some moment on."""

    def __init__(self, true: float, mine: float, rate: float) -> None:
        self.true_0, self.mine_0, self.rate = true, mine, rate

    def mine(self, true: float) -> float:
        return self.mine_0 + (true - self.true_0) * self.rate

    def true(self, mine: float) -> float:
        return self.true_0 + (mine - self.mine_0) / self.rate


class Process:
    """One emulated process, as the loop knows it: its tasks, its signals, whether it runs, how its clocks go."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.alive = True
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.signals: dict[int, Callable[[], object]] = {}
        self.stands = False  # still: what becomes due waits
        self.waiting: deque[asyncio.Handle] = deque()
        self.clock: OwnClock | None = None  # where it does not run as it should
        self.wall_off = 0.0  # seconds by which its wall clock was stepped

    def task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.pop(task, None)


class Linked:
    """What the program takes for a socket, on which the loop's `sock_*` calls act; raises OSError as the kernel's."""

    async def connect(self, address: Any) -> None:
        raise OSError(errno.EOPNOTSUPP, "nothing to connect")

    async def accept(self) -> tuple[Any, Any]:
        raise OSError(errno.EOPNOTSUPP, "nothing to accept")

    async def recv_into(self, buf: Any) -> int:
        raise OSError(errno.EOPNOTSUPP, "nothing to read")

    async def sendall(self, data: Any) -> None:
        raise OSError(errno.EOPNOTSUPP, "nothing to write")

    def vanish(self) -> None:
        """Its process has died."""
        raise NotImplementedError


HOST: contextvars.ContextVar[Process | None] = contextvars.ContextVar("host", default=None)


class Spinning(BaseException):
    """A task that does not yield, or yields without end at one moment; tells whose and where."""


class Moments(asyncio.AbstractEventLoop):
    """The event loop; `sock_*` calls act on what is Linked alone."""

    def __init__(self) -> None:
        self._ns = 0
        self._order = 0
        self._ready: deque[asyncio.Handle] = deque()
        self._timers: list[tuple[int, int, asyncio.TimerHandle]] = []
        self._stopping = False
        self._closed = False
        self._running = False
        self._here = 0  # handles run at this moment
        self._spun: Spinning | None = None
        self._watched = -1
        self._stuck = 0
        self.steps = 0
        self.faults: list[str] = []  # what no one caught
        self._current: asyncio.Handle | None = None

    # Time and turns.

    def time(self) -> float:
        """As the host's monotonic clock has it that asks."""
        host = HOST.get()
        return self._ns / NANO if host is None or host.clock is None else host.clock.mine(self._ns / NANO)

    def true_time(self) -> float:
        """As the run has it, whoever asks."""
        return self._ns / NANO

    def wall(self) -> float:
        """Unix time, as the clock of the machine that asks says: that of all, where nothing has stepped it."""
        host = HOST.get()
        return EPOCH + self._ns / NANO + (host.wall_off if host is not None else 0.0)

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_later(  # type: ignore[override]
        self,
        delay: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        host = HOST.get() if context is None else context.get(HOST)
        if host is not None and host.clock is not None:
            delay /= host.clock.rate
        return self._at(self._ns + max(0, round(delay * NANO)), callback, args, context)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        host = HOST.get() if context is None else context.get(HOST)
        if host is not None and host.clock is not None:
            when = host.clock.true(when)
        return self._at(max(self._ns, round(when * NANO)), callback, args, context)

    def _at(
        self,
        due: int,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: contextvars.Context | None,
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(due / NANO, callback, args, self, context)
        self._order += 1
        heapq.heappush(self._timers, (due, self._order, handle))
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        pass  # it stays in the heap and is passed over

    def go_on(self, host: Process) -> None:
        """A host that stood still runs what has become due meanwhile: its alarms first, then what has come for it.
        Real loops do either; this is the worse for who judges others by alarms.
        """
        host.stands = False
        self._ready.extend(
            sorted(host.waiting, key=lambda handle: not isinstance(handle, asyncio.TimerHandle))
        )
        host.waiting.clear()

    def run_forever(self) -> None:
        asyncio._set_running_loop(self)
        self._running = True
        try:
            with self._watch():
                while not self._stopping:
                    self._turn()
        finally:
            self._stopping = self._running = False
            asyncio._set_running_loop(None)

    def _turn(self) -> None:
        if not self._ready:
            while self._timers and self._timers[0][2].cancelled():
                heapq.heappop(self._timers)
            if not self._timers:
                raise RuntimeError("everybody waits for somebody, and no timer is left")
            due = self._timers[0][0]
            if due > self._ns:
                self._ns, self._here = due, 0
            while self._timers and self._timers[0][0] <= self._ns:
                _, _, timer = heapq.heappop(self._timers)
                if not timer.cancelled():
                    self._ready.append(timer)
        for _ in range(len(self._ready)):
            handle = self._ready.popleft()
            if handle.cancelled():
                continue
            host = handle._context.get(HOST)  # type: ignore[attr-defined]
            if host is not None and not host.alive:
                continue
            if host is not None and host.stands:
                host.waiting.append(handle)
                continue
            self.steps += 1
            self._here += 1
            self._current = handle
            handle._run()
            if self._spun is not None:
                raise self._spun
        if self._here > STEPS:
            raise Spinning(f"{self._here} steps at {self.time():.4f} s, the last: {self._where()}")

    def _where(self) -> str:
        handle = self._current
        host = handle._context.get(HOST) if handle is not None else None  # type: ignore[attr-defined]
        return f"{host.name if host is not None else 'the emulator'}: {handle!r}"[:300]

    def _watch(self) -> Any:
        return _Watch(self)

    def look(self, frame: FrameType | None) -> None:
        """Whether a step has been running since some looks ago; ends it where it stands."""
        self._stuck = self._stuck + 1 if self._watched == self.steps else 0
        self._watched = self.steps
        if self._stuck >= PATIENCE:
            where = f"{frame.f_code.co_filename}:{frame.f_lineno}" if frame is not None else "?"
            self._spun = Spinning(f"a step of {self._where()} does not yield, at {where}")
            raise self._spun

    def run_until_complete(self, future: Any) -> Any:
        task: asyncio.Future[Any] = asyncio.ensure_future(future, loop=self)
        task.add_done_callback(lambda _: self.stop())
        self.run_forever()
        if not task.done():
            raise RuntimeError("stopped before it ended")
        return task.result()

    def stop(self) -> None:
        self._stopping = True

    def is_running(self) -> bool:
        return self._running

    def is_closed(self) -> bool:
        return self._closed

    def close(self) -> None:
        self._closed = True
        self._ready.clear()
        self._timers.clear()

    async def shutdown_asyncgens(self) -> None:
        pass

    def get_debug(self) -> bool:
        return False

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(
        self, coro: Any, *, name: str | None = None, context: contextvars.Context | None = None
    ) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(coro, loop=self, name=name, context=context)
        host = HOST.get() if context is None else context.get(HOST)
        if host is not None:
            host.tasks[task] = None
            task.add_done_callback(host.task_done)
        return task

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        fault = context.get("exception")
        self.faults.append(f"{self.time():.4f} {context.get('message')}: {fault!r}")

    # A process's signals: they reach the host that the handler was added on.

    def add_signal_handler(  # type: ignore[override]
        self,
        sig: int,
        callback: Callable[..., object],
        *args: Any,
    ) -> None:
        host = HOST.get()
        if host is None:
            raise ValueError("signals reach hosts alone")
        context = contextvars.copy_context()
        host.signals[sig] = lambda: self.call_soon(callback, *args, context=context)

    def remove_signal_handler(self, sig: int) -> bool:
        host = HOST.get()
        return host is not None and host.signals.pop(sig, None) is not None

    # Sockets in memory.

    async def sock_connect(self, sock: Any, address: Any) -> None:
        await self._linked(sock).connect(address)

    async def sock_accept(self, sock: Any) -> tuple[Any, Any]:
        return await self._linked(sock).accept()

    async def sock_recv_into(self, sock: Any, buf: Any) -> int:
        return await self._linked(sock).recv_into(buf)

    async def sock_recv(self, sock: Any, nbytes: int) -> bytes:
        room = bytearray(nbytes)
        return bytes(room[: await self._linked(sock).recv_into(memoryview(room))])

    async def sock_sendall(self, sock: Any, data: Any) -> None:
        await self._linked(sock).sendall(data)

    @staticmethod
    def _linked(sock: Any) -> Linked:
        if not isinstance(sock, Linked):
            raise TypeError("a kernel's socket has no place in virtual time")
        return sock


class _Watch:
    """Looks once a second of real time, where signals may be had (the main thread), whether steps go on."""

    def __init__(self, loop: Moments) -> None:
        self.loop = loop
        self.before: Any = None

    def __enter__(self) -> None:
        try:
            self.before = signal.signal(signal.SIGALRM, lambda _, frame: self.loop.look(frame))
            signal.setitimer(signal.ITIMER_REAL, 1.0, 1.0)
        except ValueError:
            self.before = None

    def __exit__(self, *_: object) -> None:
        if self.before is not None:
            signal.setitimer(signal.ITIMER_REAL, 0.0)
            signal.signal(signal.SIGALRM, self.before)
