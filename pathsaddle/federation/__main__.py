"""python -m pathsaddle.federation: check a spec, compare two, commit one, run a member or a keeper."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click

from pathsaddle.errors import Error
from pathsaddle.federation.spec import load
from pathsaddle.leased_versions import compare_versions


@click.group()
def main() -> None:
    """The federation of regions. Exit codes: 0; 1 for a finding; 2 for usage or a bad file."""


@main.command("check")
@click.argument("spec", type=click.Path(path_type=Path))
def check_command(spec: Path) -> None:
    """All that is wrong in a spec, a line a fault."""
    made = load(spec)
    click.echo(f"{spec}: {len(made.schemes)} schemes, {len(made.regions)} regions, digest {made.digest}")


@main.command("compare")
@click.argument("old", type=click.Path(path_type=Path))
@click.argument("new", type=click.Path(path_type=Path))
def compare_command(old: Path, new: Path) -> None:
    """What the new one takes away and gives."""
    for row in compare_versions(load(old), load(new)):
        click.echo(
            f"{'tightens' if row.tightens else 'loosens'}: {row.scheme}.{row.key} {row.region}".rstrip()
        )


@main.command("commit")
@click.argument("ground")
@click.argument("spec")
@click.option("--listen", default="127.0.0.1:0", help="Where it serves the text while it offers it.")
@click.option("--offer", default=1.0, help="Seconds for which it is offered before it is committed.")
@click.option(
    "--wait", default=30.0, help="Seconds that it may wait for voters, keepers and who commits before it."
)
def commit_command(ground: str, spec: str, listen: str, offer: float, wait: float) -> None:
    """Offers a spec and commits it as the next version."""
    from pathsaddle.federation.udp_driver import Committer, ground_of

    version = asyncio.run(Committer(ground_of(ground), listen, spec).run(offer, wait))
    click.echo(f"committed: version {version.number}, digest {version.digest}")


@main.command("member")
@click.argument("ground")
@click.argument("name")
def member_command(ground: str, name: str) -> None:
    """Runs one member's part in the spec."""
    from pathsaddle.federation.udp_driver import MemberProcess, ground_of

    asyncio.run(MemberProcess(ground_of(ground), name).run())


@main.command("keeper")
@click.argument("ground")
@click.argument("name")
def keeper_command(ground: str, name: str) -> None:
    """Runs one keeper."""
    from pathsaddle.federation.udp_driver import KeeperProcess, ground_of

    asyncio.run(KeeperProcess(ground_of(ground), name).run())


if __name__ == "__main__":
    try:
        main(standalone_mode=False)
    except Error as fault:
        click.echo(str(fault), err=True)
        sys.exit(fault.code)
    except click.ClickException as fault:
        fault.show()
        sys.exit(2)
    except (KeyboardInterrupt, click.Abort):
        sys.exit(130)
