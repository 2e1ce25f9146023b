"""The driver of membership: feeds its cores datagrams and time, and carries out what they want.

It owns the UDP socket, the timer, the control address and the log lines of one process's membership. Its
cores are `Membership` and, where quotas are configured, `quota/shared_state.py`. Events of the cores, and the
disk write of a new incarnation, come before the datagrams that follow from them.

A defect of ours inside a core is caught here, counted (`fleet.fault`) and logged with its trace. Whatever it
struck is given up alone: a datagram is dropped, a listener hears of the next change, a query at the control
address is told. A timer that fails is set again a probe interval later; with the `MAX_TIMER_FAILURES`-th
failure in a row the membership ends, since a member that answers and no longer probes would be taken for
well: its socket closes, others find it dead, `pathsaddle fleet` says so, and jobs go on.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from random import Random

from pathsaddle.control_metrics import NullMeter
from pathsaddle.errors import access, why
from pathsaddle.fleet.control_endpoint import ControlEndpoint
from pathsaddle.fleet.control_messages import (
    ControlFault,
    ControlQuery,
    ControlReply,
    ForeignReply,
    MembershipView,
    membership_view,
)
from pathsaddle.fleet.core_output import CoreOutput
from pathsaddle.fleet.datagram_socket import READ_BYTES, DatagramSocket
from pathsaddle.fleet.driver_config import Environment, MembershipConfig
from pathsaddle.fleet.fault_log import FaultLog, describe
from pathsaddle.fleet.incarnation_store import IncarnationStore, IncarnationStoreError
from pathsaddle.fleet.membership import Membership, MembershipChange, next_incarnation
from pathsaddle.fleet.messages import ALIVE, CARRIED, FORM, MemberRecord
from pathsaddle.fleet.quota.quota_limiter import QuotaConfig
from pathsaddle.fleet.quota.shared_state import SharedState
from pathsaddle.fleet.wakeup_timer import WakeupTimer
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.scheduler_types import MILLISECOND, SECOND

__all__ = ["MAX_TIMER_FAILURES", "Environment", "MembershipConfig", "MembershipDriver"]

READ_BURST = 64  # datagrams that are read in one go before other tasks have their turn
SOCKET_RETRY_SECONDS = 0.05  # after the socket reported an error
MAX_TIMER_FAILURES = 8  # failures of the timer in a row by which the membership ends
_CARRIED_PREFIX = bytes((CARRIED,))


class MembershipDriver:
    """One process's membership.

    Attributes:
        on_change: Called with each change, after it was logged.
        meter: Meters what membership and gossip cost.
        core: The membership.
        shared: Gossip and quotas; None where none are configured.
        ended: By which defect of ours the membership ended; empty: it runs.
    """

    def __init__(
        self,
        config: MembershipConfig,
        environment: Environment,
        incarnations: IncarnationStore,
        rng: Random,
        counters: Counters,
    ) -> None:
        self.told, self.ground, self.counters = config, environment, counters
        self.incarnations = incarnations
        self.clock = environment.clock
        self.meter = NullMeter()
        self.ended = ""
        self.fault_log = FaultLog(counters, self.clock)
        self.timer = WakeupTimer(self.clock, self._wake)
        self._control_report: Callable[[], ForeignReply] | None = None
        now = self.clock.now()
        incarnation = self._begin_incarnation(now, rng)
        self.core = self._make_core(incarnation, now, rng)
        self.shared = self._make_shared(incarnation, now, rng)
        self.sock = self._bind()
        self._datagrams = DatagramSocket(self.sock, counters)
        self._output = CoreOutput(self.core, self.shared, incarnations, self._datagrams, self.fault_log)
        self.on_change: list[Callable[[MembershipChange], None]] = self._output.on_change
        self._loop: asyncio.AbstractEventLoop
        self._reader: asyncio.Task[None] | None = None
        self._endpoint: ControlEndpoint | None = None

    @property
    def life(self) -> int:
        """The incarnation that is on disk and told to others."""
        return self._output.incarnation

    @property
    def quiet(self) -> bool:
        """Whether no log line is written for each change, where a thousand members share one machine."""
        return self._output.is_quiet

    @quiet.setter
    def quiet(self, is_quiet: bool) -> None:
        """Sets whether log lines of changes are left out."""
        self._output.is_quiet = is_quiet

    # Construction.

    def _begin_incarnation(self, now: int, rng: Random) -> int:
        """Returns a new incarnation, which is on disk."""
        store, file = self.incarnations, self.told.file
        incarnation = next_incarnation(now // MILLISECOND, store.last(), rng)
        try:
            store.keep(incarnation)
        except OSError as error:
            directory = getattr(getattr(store, "path", None), "parent", "")  # a stand-in's disk has no path
            raise IncarnationStoreError(
                "",
                access(error, directory, directory) + f", at fleet.folder in {file}",
                file=file,
                folder=directory,
                why=why(error),
            ) from None
        return incarnation

    def _make_core(self, incarnation: int, now: int, rng: Random) -> Membership:
        config = self.told
        form = FORM if config.budgets is None else CARRIED
        me = MemberRecord(config.name, incarnation, 0, ALIVE, config.address, config.zone, form)
        return Membership(me, config.options, config.seeds, rng, now)

    def _make_shared(self, incarnation: int, now: int, rng: Random) -> SharedState | None:
        config, options = self.told, self.told.options
        if config.budgets is None:
            return None
        return SharedState(
            config.name,
            incarnation,
            options.fleet,
            options.key,
            self.core.rate_limiter,
            options.probe_interval,
            config.budgets,
            rng,
            now,
        )

    def _bind(self) -> socket.socket:
        config = self.told
        try:
            sock, peer = self.ground.datagrams(config.listen)
            sock.bind(peer)
        except (OSError, ValueError) as error:
            from pathsaddle.net.service.place import bind_error

            raise bind_error(error, "fleet.listen", config.listen, config.file) from None
        return sock

    # From begin to end.

    def begin(self) -> None:
        """Takes part from now on; there is a running event loop."""
        self._loop = asyncio.get_running_loop()
        if self.shared is not None:
            self.shared.limiter.stir = self._flush_soon
        self._reader = self._loop.create_task(self._read())
        if self.told.control:
            self._endpoint = self._open_endpoint()
        self._wake()

    def _open_endpoint(self) -> ControlEndpoint:
        config = self.told
        try:
            listener, peer = self.ground.stream(config.control)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(peer)
            endpoint = ControlEndpoint(listener, config.control, self._answer, self.fault_log)
            endpoint.begin()
        except (OSError, ValueError) as error:
            from pathsaddle.net.service.place import bind_error

            raise bind_error(error, "fleet.control", config.control, config.file) from None
        return endpoint

    def metered(self, meter: NullMeter, control: Callable[[], ForeignReply]) -> None:
        """Has the cost of membership and gossip metered; called before `begin`.

        Args:
            meter: What meters it.
            control: Returns the reply to the query `control`.
        """
        self.meter, self._control_report = meter, control
        if self.shared is not None:
            self.shared.meter = meter

    def retune(self, budgets: dict[str, QuotaConfig]) -> None:
        """Applies other quotas from now on; where none were configured at the start nothing is shared."""
        if self.shared is not None and not self.ended:
            self.shared.limiter.retune(budgets, self.clock.now())
            self._flush_soon()

    def leave(self) -> None:
        """Tells others that this process ends."""
        if self.ended:
            return
        try:
            if self.shared is not None:
                self.shared.leave(self.clock.now())
            self.core.leave(self.clock.now())
            self._flush()
        except Exception as error:  # noqa: BLE001  # a defect of ours, whatever it is
            self.fault_log.report("the word that we leave", error, "others find us dead instead")

    def end(self) -> None:
        """Closes all sockets; nothing is sent any more."""
        self.timer.cancel()
        if self._reader is not None:
            self._reader.cancel()
        self.sock.close()
        if self._endpoint is not None:
            self._endpoint.end()

    def _give_up(self, error: Exception) -> None:
        """Ends the membership visibly: nothing of ours answers any more, and a query is told why."""
        self.ended = describe(error)
        self.fault_log.report("its timer", error, "the membership has ended, jobs go on", always=True)
        self.timer.cancel()
        if self._reader is not None:
            self._reader.cancel()
        self.sock.close()

    # Datagrams that come.

    async def _read(self) -> None:
        while not self.ended:
            try:
                data = await self._loop.sock_recv(self.sock, READ_BYTES)
            except OSError as error:  # such as a peer's port that nobody has: reported to the next call
                if self.ended:
                    return
                self.counters.add("fleet.socket")
                logbook.fleet_socket(why=why(error))
                await asyncio.sleep(SOCKET_RETRY_SECONDS)
                continue
            self._receive_burst(data)
            due = self._flush_received()
            if not self.ended:
                self.timer.schedule(due)

    def _receive_burst(self, first: bytes) -> None:
        """Takes a datagram and those behind it; what is not read in this turn stays with the kernel."""
        self._receive(first)
        for _ in range(READ_BURST - 1):
            data = self._datagrams.receive_pending()
            if data is None:
                return
            self._receive(data)

    def _receive(self, data: bytes) -> None:
        try:
            shared = self.shared
            if shared is not None and data[:1] == _CARRIED_PREFIX and not self.core.is_silent:
                self.meter.came("carrying", len(data))
                self.meter.runs("carrying", lambda: shared.on_datagram(data, self.clock.now()))
            else:
                self.meter.came("membership", len(data))
                self.meter.runs("membership", lambda: self.core.on_datagram(data, self.clock.now()))
        except Exception as error:  # noqa: BLE001  # a defect of ours, whatever it is
            self.fault_log.report("a datagram", error, "it is dropped, the next is read")

    def _flush_received(self) -> int:
        """Carries out what datagrams led to; returns when the timer should go off."""
        try:
            self._flush()
            now = self.clock.now()
            shared_due = self.shared.due(now) if self.shared is not None else now + SECOND
            return min(self.core.due(now), shared_due)
        except Exception as error:  # noqa: BLE001  # a defect of ours, whatever it is
            self.fault_log.report("what datagrams led to", error, "the timer looks after it")
            return self.clock.now() + self.told.options.probe_interval

    # The timer.

    def _wake(self) -> None:
        try:
            due = self.meter.runs("membership", lambda: self.core.wake(self.clock.now()))
            shared = self.shared
            if shared is not None and self.core.is_running:
                due = min(due, self.meter.runs("carrying", lambda: shared.wake(self.clock.now())))
            self._flush()
        except Exception as error:  # noqa: BLE001  # a defect of ours, whatever it is
            self._on_timer_failure(error)
        else:
            self.timer.failures = 0
            self.timer.schedule(due)

    def _on_timer_failure(self, error: Exception) -> None:
        """Tries again after a probe interval, or ends the membership."""
        timer = self.timer
        timer.failures += 1
        if timer.failures >= MAX_TIMER_FAILURES:
            self._give_up(error)
            return
        tries = MAX_TIMER_FAILURES - timer.failures
        self.fault_log.report("its timer", error, f"it is tried again after a beat, {tries} more times")
        timer.not_before = self.clock.now() + self.told.options.probe_interval
        timer.schedule(timer.not_before)

    # What the cores want done.

    def _flush_soon(self) -> None:
        self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._output.flush(self.meter)

    # The control address.

    def view(self) -> MembershipView:
        """Returns what this member believes."""
        return membership_view(self.core, self.clock.now())

    def _answer(self, query: ControlQuery) -> ControlReply:
        if self.ended:
            reason = f"its membership has ended by a fault of its own: {self.ended}"
            return ControlFault(reason, "control.ended")
        if query is ControlQuery.BUDGETS:
            if self.shared is None:
                return ControlFault("its charter's [fleet.budgets] names none", "control.no-budgets")
            return self.shared.view(self.clock.now())
        if query is ControlQuery.CONTROL:
            if self._control_report is None:
                return ControlFault("its charter's [control] has meter = false", "control.unmetered")
            return {"name": self.told.name, "life": self.life, **self._control_report()}
        return self.view()
