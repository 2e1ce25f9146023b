"""Writes tests/data/config.json: what the operator's file gave, as commit f469a1f read it.

Run it in a clone of that commit: `python write_config.py OUT CLONE`. The package was called `pathsaddle.charter` then.
"""

import dataclasses
import json
import sys
import tomllib
from pathlib import Path

sys.path.insert(0, sys.argv[2])

from pathsaddle.charter import check, fellows, form, service, told
from pathsaddle.cli.show import explained

OUT, ROOT = sys.argv[1:]
MINIMAL = """
listen = "127.0.0.1:8080"
discovery = "127.0.0.1:9090"
[[schemes]]
name = "charge"
semantics = "once-only"
sla = "400ms"
expiry = "8s"
"""
FULL = """
name = "n1"
listen = "127.0.0.1:8080"
discovery = "[::1]:9090"
seed = "8c1f"
number = 1
dispatchers = 3
zones = ["north", "south"]
zone = "south"
machines = ["cpu", "gpu"]
tick = "3ms"
limits = {sockets = 2048, memory = "256MiB", open = 77}
rules = {answer_slack = "1ms", drain_grace = "2ms", dropped_stay_open = true, ask_within = "9s", cold_share = 0.4, \
cold_time = "8s", fall_multiple = 3, fall_time = "7s"}
allowed = {postings = 3, two_at_once = false, cancel = false, probe = false, come_back = "0s"}
reports = {source = "probe", fields = ["a", "b"], progress = "3s", starts = true, order = "priority"}
prices = {cross = 0.1, probe = 0.2, waste = 0.3, late = 0.4, handshake = 0.5, over_share = 0.6, by_work = true}
reach = {connect = "1.5s", idle = "2min"}
log = {level = "DEBUG", form = "json"}
control = {core = 0.05, bytes = 1000, meter = false}
jobs = {path = "jobs.db", lease = "21s", retention = "2h", longest_poll = "31s", recover_within = "4s", margin = "51ms"}
settings = {ground = "keepers.toml", member = "n1"}
[[schemes]]
name = "render"
semantics = "referenced"
sla = "2s"
stretch = 1.25
expiry = "10s"
value = 2
late_value = 0.5
group = "cell"
window = "6s"
machine = "gpu"
[[schemes]]
name = "lookup"
semantics = "repeatable"
expiry = "1s"
[[customers]]
name = "acme"
allowance = 15
portion = 0.7
[[customers]]
name = "others"
"""
FLEET = """
[fleet]
name = "f"
key = "sixteen bytes or more"
listen = "127.0.0.1:7101"
"""
FULL_FLEET = (
    FLEET
    + """
address = "127.0.0.1:7102"
seeds = ["127.0.0.1:7103"]
folder = "lives"
control = "127.0.0.1:7199"
beat = "2s"
patience = "400ms"
bytes = 25000
datagrams = 61
lifeguard = false
budgets = {gpu = 31, cpu = 8}
parts = {cpu = 2}
lease = "11s"
[fleet.owners]
voters = {n1 = "127.0.0.1:1", n2 = "127.0.0.1:2", n3 = "127.0.0.1:3"}
listen = "127.0.0.1:1"
folder = "voters"
keys = ["plan"]
zones = {plan = "south"}
"""
)
FEDERATION = """
[federation]
ground = "federation.toml"
member = "n1"
doors = {west = ["127.0.0.1:4"]}
room = 9
"""
VALID = {
    "example": Path(ROOT, "deploy/charter.example.toml").read_text(),
    "minimal": MINIMAL,
    "full": FULL,
    "fleet": MINIMAL + FLEET,
    "full fleet": FULL + FULL_FLEET,
    "federation": MINIMAL + FEDERATION,
}
FAULTY = {
    "kinds": """
listen = 3
discovery = "here"
seed = 7
zones = "north"
zone = ["a"]
schemes = {}
customers = [1, {name = 5, portion = 2, allowance = -1}]
limits = 5
colour = "blue"
limts = 5
[rules]
cold_share = "half"
cold_time = "5 parsecs"
drop = true
[log]
level = "LOUD"
form = 3
[jobs]
path = "a\\u0000b"
[control]
core = 2
[fleet]
key = "short"
listen = "127.0.0.1:70000"
seeds = ["1.2.3:4", "x"]
parts = 5
budgets = {a = 0, b = "x"}
owners = {voters = {a = "b"}}
[federation]
ground = 5
""",
    "values": """
listen = ""
discovery = ""
seed = "xyz"
number = 5
zones = ["a", "a"]
zone = "c"
machines = ["m", "m"]
schemes = []
[fleet]
name = "a b"
key = "sixteen bytes or more"
listen = ""
control = "10.0.0.1:0"
seeds = ["127.0.0.1:0"]
beat = "1ms"
lease = "1s"
budgets = {"a b" = 3, good = 2}
parts = {other = 1, good = 5}
""",
    "top level": """
listen = ""
discovery = ""
seed = "xyz"
number = 5
zones = ["a", "a"]
zone = "c"
machines = ["m", "m"]
schemes = []
customers = [{name = "x"}, {name = "x"}]
""",
    "no zones": "zones = []\n" + MINIMAL,
    "top level with tables": "name = 'pathsaddle'\ndispatchers = 2\nzones = ['a b']\nzone = 'x'\n"
    + MINIMAL.replace('"charge"', '"jobs"')
    + 'machine = "gpu"\n[jobs]\npath = "x"\n'
    + FEDERATION
    + FLEET,
    "cross keys": MINIMAL.replace('"once-only"', '"referenced"')
    .replace('"8s"', '"0s"')
    .replace('"charge"', '"ready"')
    + '[[customers]]\nname = "a"\n[[customers]]\nname = "a"\n[limits]\nmemory = "1MB"\n',
    "jobs": "name = 'pathsaddle'\ndispatchers = 2\nzones = []\nzone = 'x'\n"
    + MINIMAL.replace('"charge"', '"jobs"')
    + 'machine = "gpu"\n[jobs]\npath = "x/.."\n'
    + FEDERATION
    + FLEET,
    "together": "name = 'pathsaddle'\ndispatchers = 2\nzones = ['a b']\nzone = 'x'\n"
    + MINIMAL.replace('"charge"', '"jobs"')
    + 'machine = "gpu"\n[jobs]\npath = "x"\n'
    + FEDERATION
    + FLEET
    + 'patience = "600ms"\naddress = "0.0.0.0:5"\n',
    "many budgets": MINIMAL + FLEET + "[fleet.budgets]\n" + "".join(f"b{n} = 1\n" for n in range(17)),
    "owners": MINIMAL + FLEET + '[fleet.owners]\nvoters = {a = "127.0.0.1:1"}\nlisten = "x"\nfolder = ""\n',
    "owners' address": MINIMAL
    + FLEET
    + '[fleet.owners]\nvoters = {a = "x:1", b = "127.0.0.1:1", c = "::1"}\nlisten = "127.0.0.1:1"\nfolder = ""\n',
    "owners' lease": MINIMAL
    + FLEET
    + '[fleet.owners]\nvoters = {a = "127.0.0.1:1", b = "127.0.0.1:1", c = "127.0.0.1:1"}\nlisten = "127.0.0.1:1"\n'
    + 'folder = ""\nlease = "1ms"\n',
    "syntax": "listen = ",
    "printing": MINIMAL + '[log]\n"a\\nb" = 1\nform = "' + "x" * 90 + '"\n',
}
ZONE = 'zone = "south"\n'
RELOADS = {
    "nothing": (FULL, FULL),
    "in service": (
        FULL,
        FULL.replace('answer_slack = "1ms"', 'answer_slack = "5ms"')
        .replace("15", "16")
        .replace('"10s"', '"11s"')
        .replace("DEBUG", "INFO")
        .replace("0.05", "0.06"),
    ),
    "restart": (FULL, MINIMAL),
    "the other way": (MINIMAL, FULL + FULL_FLEET),
    "fleet": (
        FULL + FULL_FLEET,
        FULL
        + FULL_FLEET.replace("gpu = 31", "gpu = 30").replace('"2s"', '"3s"').replace('keys = ["plan"]', ""),
    ),
    "first budget": (MINIMAL + FLEET, MINIMAL + FLEET + "budgets = {gpu = 3}\n"),
    "first fleet": (MINIMAL, MINIMAL + FLEET + "budgets = {gpu = 3}\n"),
    "beside": (
        MINIMAL,
        'machines = ["gpu"]\n'
        + MINIMAL.replace("9090", "9091")
        + 'machine = "gpu"\n[log]\nlevel = "ERROR"\n',
    ),
    "federation": (
        MINIMAL + FEDERATION,
        MINIMAL.replace("once-only", "repeatable") + FEDERATION.replace("room = 9", "room = 8"),
    ),
    "zones": (FULL, FULL.replace(ZONE, "")),
    "zones' order": (MINIMAL, 'zones = ["north", "here"]\n' + MINIMAL),
}


def read(text: str) -> form.Charter:
    return check.check(form.Charter, tomllib.loads(text), "case.toml")


def read_faults(text: str) -> list[str]:
    try:
        read(text)
    except tomllib.TOMLDecodeError as fault:
        return [str(fault)]
    except check.Faulty as fault:
        return str(fault).splitlines()
    raise SystemExit(f"nothing is wrong in {text}")


def member(text: str) -> list[object] | None:
    charter = read(text)
    if charter.fleet is None:
        return None
    one = fellows.told(charter, "case.toml")
    return json.loads(json.dumps(dataclasses.astuple(one), default=bytes.decode))


def reload(before: str, after: str) -> dict[str, object]:
    served, stays = service.in_service(read(before), read(after))
    return {
        "before": before,
        "after": after,
        "platform": told.told(served),
        "stays": stays,
        "changed": form.changes(read(before), read(after)),
    }


data = {
    "valid": {
        name: {"text": text, "platform": told.told(read(text)), "member": member(text)}
        for name, text in VALID.items()
    },
    "faulty": {name: {"text": text, "lines": read_faults(text)} for name, text in FAULTY.items()},
    "explain": explained(check.explain(form.Charter), form.IN_SERVICE).splitlines(),
    "reloaded": {name: reload(*pair) for name, pair in RELOADS.items()},
}
Path(OUT).write_text(json.dumps(data, indent=1, ensure_ascii=False) + "\n")
