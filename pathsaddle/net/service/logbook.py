"""The catalogue of log lines: the event name, level, text and fields of each.

The log is written as text or as JSON. In JSON each line is one object with `time`, `level`, `event`, `text`
and the line's fields. docs/on-call.md explains each line and what to do about it; `tests/test_config.py`
checks that the page and the catalogue list the same lines.
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
# A wrapper that is called around the writing of each line, to measure its cost; at most one.
METERED: list[Callable[[Callable[[], None]], None]] = []
TEXT = "{time:HH:mm:ss.SSS} {level} {message}"


@dataclass(frozen=True)
class Line:
    """One kind of log line; calling it with its fields writes the line.

    Attributes:
        name: The event name, which is stable: operators' tools match it.
        level: The log level.
        text: The text, a format string over the fields.
        fields: The names of the fields in the text.
    """

    name: str
    level: str
    text: str
    fields: tuple[str, ...]

    def __call__(self, fault: BaseException | None = None, /, **fields: Any) -> None:
        """Write the line.

        Args:
            fault: An exception whose traceback is written too.
            **fields: The values of the fields.
        """
        event_logger = logger if fault is None else logger.opt(exception=fault)
        if METERED:
            METERED[0](lambda: event_logger.log(self.level, self.text, event=self.name, **fields))
        else:
            event_logger.log(self.level, self.text, event=self.name, **fields)


def line(name: str, level: str, text: str) -> Line:
    """Define a log line and add it to the catalogue."""
    entry = CATALOGUE[name] = Line(name, level, text, tuple(re.findall(r"{([a-z_]+)[^}]*}", text)))
    return entry


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
report_malformed = line("report-malformed", "WARNING", "load report passed over, {count} so far: {why}")
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
    "fleet name={member} life={life} is also used by another process, this one stops sending: {why}",
)
fleet_socket = line("fleet-socket", "WARNING", "fleet socket: {why}")
fleet_disk = line("fleet-disk", "WARNING", "fleet life can't be kept: {why}")
fault_member = line("fault-member", "ERROR", "fault in the membership at {step}: {why}; {then}")
fault_control = line(
    "fault-control",
    "ERROR",
    "fault in an answer at the control address: {why}; this caller gets an error, others are answered",
)
fault_level = line("fault-level", "ERROR", "fault in the level of overload: {why}; retrying in half a second")
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
    """Format a record as one JSON object.

    loguru formats the returned string once more, so the JSON goes into the record's extra fields and the
    returned string only refers to it.
    """
    json_fields: dict[str, Any] = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        **record["extra"],
        "text": record["message"],
    }
    if record["exception"] is not None:
        json_fields["fault"] = repr(record["exception"].value)
    record["extra"]["_json"] = json.dumps(json_fields, default=str)
    return "{extra[_json]}\n"


def open_log(level: str = "INFO", form: str = "text", sink: Callable[[Any], None] | None = None) -> None:
    """Open the log, in place of the one that is open.

    Args:
        level: The lowest level that is written.
        form: "text" or "json".
        sink: Called with each formatted line; the log goes to standard error without it.
    """
    logger.remove()
    logger.add(
        sink or sys.stderr,
        format=as_json if form == "json" else TEXT,
        level=level,
        backtrace=False,
        diagnose=False,
    )
