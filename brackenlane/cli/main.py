"""Subcommands, their help and exit codes, on click. Heavy parts are imported by the command that needs it."""

from __future__ import annotations

import sys
from importlib import metadata
from pathlib import Path

import click

CODES = """Exit codes: 0 done; 1 the doorman could not be reached, a look-up failed, or an invariant broke;
2 the words or a file can't be used, with a line for each fault; 130 ended from the keyboard."""


@click.group(epilog=CODES, context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--version",
    is_flag=True,
    is_eager=True,
    expose_value=False,
    help="print the version",
    callback=lambda context, _, on: _say_version(context) if on else None,
)
def cli() -> None:
    """A router in front of caches.

    Without a command it is the platform's, set up by its environment (GW_CONFIG).
    """


def _say_version(context: click.Context) -> None:
    click.echo(f"brackenlane {version()}")
    context.exit()


@cli.command()
@click.argument("file")
def appliance(file: str) -> None:
    """Run a small site's router, set up by the operator's FILE, until SIGTERM."""
    import resource

    import trio

    from brackenlane import appliance as program
    from brackenlane.limits import Limits

    site, limits = program.load(file), Limits()
    sockets = resource.getrlimit(resource.RLIMIT_NOFILE)[0] - limits.appliance_reserved_descriptors
    trio.run(program.serve, site, limits.with_descriptors(max(64, sockets)).with_settings(site.settings))


@cli.command(context_settings={"ignore_unknown_options": True})
@click.argument("file")
@click.argument("command", nargs=-1, type=click.UNPROCESSED)
def console(file: str, command: tuple[str, ...]) -> None:
    """The operator's terminal to the appliance of FILE: one COMMAND, or a prompt ('help' lists them)."""
    import trio

    from brackenlane import appliance as program
    from brackenlane import console as terminal
    from brackenlane.limits import Limits

    sys.exit(trio.run(terminal.talk, program.load(file).console, list(command), Limits()))


@cli.command()
@click.argument("file")
def check(file: str) -> None:
    """Read the operator's FILE and say all that is wrong with it; nothing is started."""
    from brackenlane import appliance as program

    site = program.load(file)
    click.echo(
        f"{file}: good: {len(site.caches)} boxes, {len(site.watches)} SRV entries, "
        f"{len(site.settings.classes)} classes"
    )


@cli.command()
@click.argument("file")
@click.option("--json", "as_json", is_flag=True, help="the same as one JSON document")
def discover(file: str, as_json: bool) -> None:
    """Ask once for all that FILE names, and show each answer, the merged list and its reasons."""
    import trio

    from brackenlane import appliance as program
    from brackenlane.cli import show
    from brackenlane.limits import Limits

    site = program.load(file)
    view = trio.run(show.ask_once, site, Limits())
    click.echo(show.as_json(view) if as_json else show.as_table(view), nl=False)
    if view["failed"]:
        sys.exit(1)


@cli.group()
def lab() -> None:
    """Measurements with real routers and stand-ins on this machine's loopback."""


@lab.command()
@click.argument("script", type=click.Path(path_type=Path))
@click.option("--doormans", "routers", type=click.IntRange(1, 1000), help="so many instead of the script's")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    default=Path("fleet"),
    show_default=True,
    help="folder for files, logs, the record and its plots",
)
def fleet(script: Path, routers: int | None, seed: int, out: Path) -> None:
    """Start routers as processes, make the system break under them as SCRIPT says, and check invariants."""
    import trio

    from brackenlane.lab.cluster import report, scenario
    from brackenlane.lab.cluster.script import load

    reported = load(script)
    if routers:
        reported = reported.model_copy(update={"doormans": routers})
    out.mkdir(parents=True, exist_ok=True)
    outcome = trio.run(lambda: scenario.run(reported, seed, out, say=click.echo))
    click.echo(report.table(outcome))
    report.save(outcome, out, reported.name)
    if not outcome.well:
        sys.exit(1)


@lab.command()
@click.option("--port", type=click.IntRange(1, 65535), default=7379, show_default=True)
def store(port: int) -> None:
    """A stand-in of the shared store at 127.0.0.1, to try things with; it keeps nothing over its end."""
    import trio

    from brackenlane.lab.stand_ins.redis import Redis

    async def serve() -> None:
        async with trio.open_nursery() as nursery:
            redis = Redis()
            redis.port = port
            await redis.open(nursery)
            click.echo(f"a stand-in store listens on 127.0.0.1:{port}")

    trio.run(serve)


@cli.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print what makes SHELL complete these commands, for its start-up file."""
    from click.shell_completion import get_completion_class

    found = get_completion_class(shell)
    assert found is not None
    click.echo(found(cli, {}, "brackenlane", "_BRACKENLANE_COMPLETE").source())


def version() -> str:
    """This program's version, as installed or as pyproject.toml beside it says."""
    try:
        return metadata.version("brackenlane")
    except metadata.PackageNotFoundError:
        import tomllib

        path = Path(__file__).parent.parent.parent / "pyproject.toml"
        return str(tomllib.loads(path.read_text())["project"]["version"]) if path.exists() else "unknown"


def run(arguments: list[str]) -> int:
    """Run one command line; its exit code."""
    try:
        return int(cli.main(arguments, prog_name="brackenlane", standalone_mode=False) or 0)
    except click.ClickException as fault:
        fault.show()
        return 2
    except click.Abort:
        return 130
    except SystemExit as end:
        return int(end.code or 0)
