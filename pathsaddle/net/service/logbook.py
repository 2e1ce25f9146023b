"""Every line that the log may hold: its name, its level, its text, its fields, in one catalogue.

As text a line reads as it always has; as JSON it is one object with `time`, `level`, `event`, `text` and the
fields. docs/on-call.md says of each what it means and what to do; a test holds the two together.
"""

from __future__ import annotations

import json
import re
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

CATALOGUE: dict[str, Line] = {}
METERED: list[
    Callable[[Callable[[], None]], None]
] = []  # what stands around the writing of each line, one at most
TEXT = "{time:HH:mm:ss.SSS} {level} {message}"


@dataclass(frozen=True)
class Line:
    """One kind of line. Called with its fields, it is written."""

    name: str
    level: str
    text: str
    fields: tuple[str, ...]

    def __call__(self, fault: BaseException | None = None, /, **fields: Any) -> None:
        """`fault`: an exception whose trace is written too."""
        said = logger if fault is None else logger.opt(exception=fault)
        if METERED:
            METERED[0](lambda: said.log(self.level, self.text, event=self.name, **fields))
        else:
            said.log(self.level, self.text, event=self.name, **fields)


def line(name: str, level: str, text: str) -> Line:
    made = CATALOGUE[name] = Line(name, level, text, tuple(re.findall(r"{([a-z_]+)[^}]*}", text)))
    return made


serving = line("serving", "INFO", "serving")
client_end = line("client-end", "INFO", "end side=client code={code} peer={peer} calls={calls}")
worker_end = line("worker-end", "INFO", "end side=worker code={code} peer={peer} calls={calls}")
discovery_end = line("discovery-end", "INFO", "end side=discovery code={code} peer={peer} index={index}")
stopping = line("stopping", "INFO", "stopping unanswered={unanswered}")
stopped = line("stopped", "INFO", "stopped unanswered={unanswered}")
reread = line("reread", "INFO", "configuration read again discovery={discovery}")
not_reread = line("not-reread", "WARNING", "configuration not read again, the old one holds: {why}")
stays = line("stays", "WARNING", "charter: {key} can't change in service, the old one stays")
counters = line("counters", "INFO", "counters {counters}")
late = line("late", "WARNING", "late by {ms} ms")
memory = line("memory", "WARNING", "memory {mb:.0f} of {most:.0f} MB")
control_over = line("control-over", "WARNING", "control took {how}, most of it for {most}")
untold = line("untold", "ERROR", "{variable} does not say where the configuration is")
refused = line("refused", "ERROR", "{what}; {do} [{name}]")
accept_failed = line("accept-failed", "WARNING", "accept failed: {why}")
no_list = line("no-list", "WARNING", "discovery said what is no list: {why}")
note = line("note", "INFO", "note {text}")
store_ill = line("store-ill", "WARNING", "store can't be written: {why}")
store_lost = line("store-lost", "ERROR", "store is another process's now: {why}")
job_set_aside = line("job-set-aside", "ERROR", "job's rows are not what was written, set aside: {what}")
recovered = line("recovered", "INFO", "recovered jobs={jobs} open={open} asked={asked} ms={ms}")
fleet_member = line("fleet-member", "INFO", "fleet member={member} life={life} now={now}: {why}")
fleet_self = line("fleet-self", "INFO", "fleet ourselves={member} life={life}: {why}")
fleet_doubled = line(
    "fleet-doubled",
    "ERROR",
    "fleet name={member} life={life} is another process's too, we are silent from now on: {why}",
)
fleet_socket = line("fleet-socket", "WARNING", "fleet socket: {why}")
fleet_disk = line("fleet-disk", "WARNING", "fleet life can't be kept: {why}")
fault_member = line("fault-member", "ERROR", "fault in the membership at {step}: {why}; {then}")
fault_control = line(
    "fault-control",
    "ERROR",
    "fault in an answer at the control address: {why}; its asker is told, others are answered",
)
fault_level = line(
    "fault-level", "ERROR", "fault in the level of overload: {why}; it is tried again half a second later"
)
fault_hearer = line(
    "fault-hearer", "ERROR", "fault in what hears of members, at {member}: {why}; the membership goes on"
)
fleet_budget = line("fleet-budget", "INFO", "fleet budget={budget} now={now} usable={usable}: {why}")
owner = line("owner", "INFO", "owner key={key} number={number}")
owner_lost = line("owner-lost", "WARNING", "owner lost key={key} number={number}: {why}")
owner_given = line("owner-given", "INFO", "owner gave back key={key} number={number}: {why}")
voter_out = line("voter-out", "WARNING", "voter takes no part until enough others let it in: {why}")
voter_in = line("voter-in", "INFO", "voter takes part start={start} keys={keys}")
voter_disk = line("voter-disk", "ERROR", "voter can't sync, it answers nothing: {why}")
fault_ownership = line("fault-ownership", "ERROR", "fault in ownership")
fault_decisions = line("fault-decisions", "ERROR", "fault in the decisions")
fault_task = line("fault-task", "ERROR", "fault in a task")
fault_watch = line("fault-watch", "ERROR", "fault on the watch")
fault_worker = line("fault-worker", "ERROR", "fault on a worker's connection peer={peer}")
fault_client = line("fault-client", "ERROR", "fault on a connection peer={peer}")


def as_json(record: Record) -> str:
    """A line as one JSON object; loguru formats what is returned once more, so it is only named here."""
    told: dict[str, Any] = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        **record["extra"],
        "text": record["message"],
    }
    if record["exception"] is not None:
        told["fault"] = repr(record["exception"].value)
    record["extra"]["_json"] = json.dumps(told, default=str)
    return "{extra[_json]}\n"


def open_log(level: str = "INFO", form: str = "text", to: Callable[[Any], None] | None = None) -> None:
    """To standard error, or by `to`, which takes each line as it is written; `form`: text or json."""
    logger.remove()
    logger.add(
        to or sys.stderr,
        format=as_json if form == "json" else TEXT,
        level=level,
        backtrace=False,
        diagnose=False,
    )
