"""Subcommands with their help and exit codes, based on click.

Each command imports heavy modules only when it runs.
"""

from __future__ import annotations

import sys
from importlib import metadata
from pathlib import Path

import click

EXIT_FAILED = 1
EXIT_INVALID_INPUT = 2
EXIT_INTERRUPTED = 130  # 128 + SIGINT, by shell convention
MIN_DESCRIPTORS = 64  # descriptors that an appliance needs at least, whatever the process limit

EPILOG = """Exit codes: 0 done; 1 the doorman could not be reached, a look-up failed, or an invariant broke;
2 the words or a file can't be used, with a line for each fault; 130 ended from the keyboard."""


@click.group(epilog=EPILOG, context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--version",
    is_flag=True,
    is_eager=True,
    expose_value=False,
    help="print the version",
    callback=lambda context, _, is_given: _print_version(context) if is_given else None,
)
def cli() -> None:
    """A router in front of caches.

    Without a command it is the platform's, set up by its environment (GW_CONFIG).
    """


def _print_version(context: click.Context) -> None:
    click.echo(f"brackenlane {version()}")
    context.exit()


@cli.command()
@click.argument("file")
def appliance(file: str) -> None:
    """Run a small site's router, set up by the operator's FILE, until SIGTERM."""
    import resource

    import trio

    from brackenlane.appliance import config, program
    from brackenlane.limits import Limits

    appliance_config = config.load(file)
    limits = Limits()
    descriptor_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    available_descriptors = max(MIN_DESCRIPTORS, descriptor_limit - limits.appliance_reserved_descriptors)
    trio.run(
        program.serve,
        appliance_config,
        limits.with_descriptors(available_descriptors)
        .with_settings(appliance_config.settings)
        .with_kill_deadline(appliance_config.settings),
    )


@cli.command(context_settings={"ignore_unknown_options": True})
@click.argument("file")
@click.argument("command", nargs=-1, type=click.UNPROCESSED)
def console(file: str, command: tuple[str, ...]) -> None:
    """The operator's terminal to the appliance of FILE: one COMMAND, or a prompt ('help' lists them)."""
    import trio

    from brackenlane.appliance import config
    from brackenlane.console import client

    appliance_config = config.load(file)
    sys.exit(trio.run(client.run_session, str(appliance_config.console), list(command)))


@cli.command()
@click.argument("file")
def check(file: str) -> None:
    """Read the operator's FILE and say all that is wrong with it; nothing is started."""
    from brackenlane.appliance import config

    appliance_config = config.load(file)
    click.echo(
        f"{file}: good: {len(appliance_config.discovery.caches)} boxes, "
        f"{len(appliance_config.discovery.watches)} SRV entries, "
        f"{len(appliance_config.settings.classes)} classes"
    )


@cli.command()
@click.argument("file")
@click.option("--json", "as_json", is_flag=True, help="the same as one JSON document")
def discover(file: str, as_json: bool) -> None:
    """Ask once for all that FILE names, and show each answer, the merged list and its reasons."""
    import trio

    from brackenlane.appliance import config
    from brackenlane.cli import show
    from brackenlane.limits import Limits

    view = trio.run(show.query_once, config.load(file), Limits())
    click.echo(view.as_json() if as_json else view.as_table(), nl=False)
    if view.failed_names:
        sys.exit(EXIT_FAILED)


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

    plan = load(script)
    if routers:
        plan = plan.model_copy(update={"doormans": routers})
    out.mkdir(parents=True, exist_ok=True)
    outcome = trio.run(lambda: scenario.run(plan, seed, out, say=click.echo))
    click.echo(report.table(outcome))
    report.save(outcome, out, plan.name)
    if not outcome.well:
        sys.exit(EXIT_FAILED)


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

    completion_class = get_completion_class(shell)
    assert completion_class is not None
    click.echo(completion_class(cli, {}, "brackenlane", "_BRACKENLANE_COMPLETE").source())


def version() -> str:
    """Return the version of the installed package, or of pyproject.toml in a source tree."""
    try:
        return metadata.version("brackenlane")
    except metadata.PackageNotFoundError:
        import tomllib

        path = Path(__file__).parent.parent.parent / "pyproject.toml"
        return str(tomllib.loads(path.read_text())["project"]["version"]) if path.exists() else "unknown"


def run(arguments: list[str]) -> int:
    """Run a command line and return its exit code."""
    try:
        return int(cli.main(arguments, prog_name="brackenlane", standalone_mode=False) or 0)
    except click.ClickException as error:
        error.show()
        return EXIT_INVALID_INPUT
    except click.Abort:
        return EXIT_INTERRUPTED
    except SystemExit as system_exit:
        return int(system_exit.code or 0)
