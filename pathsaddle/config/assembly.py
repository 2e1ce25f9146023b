"""Builds the parts that a configuration asks for: the service that decides requests, and membership.

`config/dispatcher.py` calls it at the start. Modules are imported where they are needed, so that a dispatcher
without durable jobs, regions or a fleet neither loads nor pays for them.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random, SystemRandom
from typing import TYPE_CHECKING, NamedTuple

from pathsaddle.config.schema import Configuration, Federation, Jobs
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.service.ground import Environment
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.service.workers import Workers
from pathsaddle.net.wire.forms import MessageDecoder
from pathsaddle.scheduler_types import SchedulerConfig

if TYPE_CHECKING:
    from pathsaddle.control_metrics import ControlMeter
    from pathsaddle.fleet.udp_driver import MembershipDriver

# The part of the process's memory that the calls of durable jobs may take: one in 16 for those that ended,
# half for those that are open.
ENDED_JOBS_MEMORY_DIVISOR, OPEN_JOBS_MEMORY_DIVISOR = 16, 2
JOB_ID_SUFFIX_BITS = 64


class ServiceArguments(NamedTuple):
    """What every `TxnService` is made with, in the order of its constructor."""

    terms: SchedulerConfig
    words: MessageDecoder
    seed: int
    clock: Clock
    workers: Workers
    counters: Counters
    watch: Callable[[], None]


def build_service(
    configuration: Configuration, file: Path, arguments: ServiceArguments, meter: ControlMeter | None
) -> TxnService:
    """Builds the service that decides requests.

    Args:
        configuration: The checked configuration.
        file: Its file, for errors.
        arguments: What every service is made with.
        meter: What measures the cost of control traffic; None where it is not measured.

    Returns:
        A service that also forwards to other regions, or that keeps durable jobs, where the configuration has
        the table.

    Raises:
        Error: The region's file is wrong, or the store of the jobs can't be used.
    """
    if configuration.federation is not None:
        return _build_federated_service(configuration.federation, arguments, meter)
    if configuration.jobs is not None:
        return _build_job_service(configuration, configuration.jobs, file, arguments)
    return TxnService(*arguments)


def _build_federated_service(
    federation: Federation, arguments: ServiceArguments, meter: ControlMeter | None
) -> TxnService:
    from pathsaddle.federation.request_handler import FederatedRequestHandler
    from pathsaddle.federation.udp_driver import MemberProcess, ground_of

    member = MemberProcess(ground_of(federation.ground), federation.member, serving=True)
    if meter is not None:
        member.meter = meter
    return FederatedRequestHandler(*arguments, member=member, doors=federation.doors, room=federation.room)


def _build_job_service(
    configuration: Configuration, jobs: Jobs, file: Path, arguments: ServiceArguments
) -> TxnService:
    from pathsaddle.jobs.errors import StoreUnusableError
    from pathsaddle.jobs.job_service import JobService, JobServiceOptions
    from pathsaddle.jobs.store import Store
    from pathsaddle.jobs.store_writer import ThreadWriter

    memory_bytes = configuration.limits.memory
    options = JobServiceOptions(
        jobs.lease,
        jobs.retention,
        jobs.longest_poll,
        jobs.recover_within,
        jobs.margin,
        memory_bytes // ENDED_JOBS_MEMORY_DIVISOR,
        memory_bytes // OPEN_JOBS_MEMORY_DIVISOR,
    )
    try:
        store = Store(Path(jobs.path), ThreadWriter())
        # Not from the configured seed, which dispatchers may share: each of them would give out the same ids.
        id_suffix = f"{SystemRandom().getrandbits(JOB_ID_SUFFIX_BITS):0{JOB_ID_SUFFIX_BITS // 4}x}"
        return JobService(
            *arguments, store=store, options=options, rng=Random(configuration.seed), id_suffix=id_suffix
        )
    except StoreUnusableError as error:  # the store knows its own path only, not the operator's file and key
        raise type(error)(f"{file}: jobs.path: {error.what}", error.do) from None


def build_membership(
    configuration: Configuration, file: str, environment: Environment, counters: Counters
) -> MembershipDriver | None:
    """Builds this dispatcher's member of the fleet.

    Args:
        configuration: The checked configuration.
        file: Its file's name, for errors.
        environment: The clock and sockets of the process.
        counters: The process's counters.

    Returns:
        The member, with a replicated register where `[fleet.owners]` is there; None without a table
        `[fleet]`.

    Raises:
        Error: The member's directory or address can't be had.
    """
    if configuration.fleet is None:
        return None
    from pathsaddle.config.fleet import membership_config
    from pathsaddle.fleet.incarnation_store import IncarnationStore
    from pathsaddle.fleet.udp_driver import MembershipDriver

    member = membership_config(configuration, file)
    directory = configuration.fleet.folder
    incarnations = IncarnationStore(Path(directory) if directory else None, member.name)
    if configuration.fleet.owners is None:
        return MembershipDriver(member, environment, incarnations, SystemRandom(), counters)
    from pathsaddle.consensus.fleet_member import LeasingMembershipDriver

    return LeasingMembershipDriver(configuration, member, environment, incarnations, SystemRandom(), counters)
