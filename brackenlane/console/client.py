"""Client of the console: sends one command, or those typed at a prompt, to the router's Unix socket."""

from __future__ import annotations

import sys

import trio

PROMPT = "brackenlane> "
END_OF_ANSWER = b"\n\n"
RECEIVE_BYTES = 65_536
EXIT_DONE = 0
EXIT_UNREACHABLE = 1


async def run_session(path: str, arguments: list[str]) -> int:
    """Send the command in `arguments`, or prompt for commands if it is empty; return the exit code."""
    try:
        stream = await trio.open_unix_socket(path)
    except OSError as error:
        print(f"brackenlane console: {path}: {error.strerror or error}", file=sys.stderr)
        return EXIT_UNREACHABLE
    async with stream:
        if arguments:
            return await _execute(stream, " ".join(arguments))
        return await _prompt(stream)


async def _prompt(stream: trio.SocketStream) -> int:
    """Prompt for commands until the operator quits or the connection ends; return the exit code."""
    while True:
        print(PROMPT, end="", flush=True)
        line = await trio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        command = line.strip()
        if not line or command in ("quit", "exit"):
            return EXIT_DONE
        if command and await _execute(stream, command) != EXIT_DONE:
            return EXIT_UNREACHABLE


async def _execute(stream: trio.SocketStream, command: str) -> int:
    """Send one command and print the answer; return the exit code."""
    await stream.send_all(command.encode() + b"\n")
    answer = b""
    while not answer.endswith(END_OF_ANSWER):
        data = await stream.receive_some(RECEIVE_BYTES)
        if not data:
            print("brackenlane console: the doorman has ended", file=sys.stderr)
            return EXIT_UNREACHABLE
        answer += data
    print(answer.decode().removesuffix("\n"), end="", flush=True)
    return EXIT_DONE
