"""The operator's end of the console: one command from the command line, or a prompt."""

from __future__ import annotations

import sys

import trio

PROMPT = "brackenlane> "
END_OF_ANSWER = b"\n\n"
RECEIVE_BYTES = 65_536
DONE = 0  # exit codes
UNREACHABLE = 1


async def talk(path: str, arguments: list[str]) -> int:
    """Carry out a command, or those of a prompt, at the router's socket; return the exit code."""
    try:
        stream = await trio.open_unix_socket(path)
    except OSError as error:
        print(f"brackenlane console: {path}: {error.strerror or error}", file=sys.stderr)
        return UNREACHABLE
    async with stream:
        if arguments:
            return await _execute(stream, " ".join(arguments))
        return await _prompt(stream)


async def _prompt(stream: trio.SocketStream) -> int:
    """Carry out commands until the operator leaves or the router ends; return the exit code."""
    while True:
        print(PROMPT, end="", flush=True)
        line = await trio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        command = line.strip()
        if not line or command in ("quit", "exit"):
            return DONE
        if command and await _execute(stream, command) != DONE:
            return UNREACHABLE


async def _execute(stream: trio.SocketStream, command: str) -> int:
    """Carry out one command and print its answer; return the exit code."""
    await stream.send_all(command.encode() + b"\n")
    answer = b""
    while not answer.endswith(END_OF_ANSWER):
        data = await stream.receive_some(RECEIVE_BYTES)
        if not data:
            print("brackenlane console: the doorman has ended", file=sys.stderr)
            return UNREACHABLE
        answer += data
    print(answer.decode().removesuffix("\n"), end="", flush=True)
    return DONE
