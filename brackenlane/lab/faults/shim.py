"""Builds the preloaded fault library and controls its faults while the process runs."""

from __future__ import annotations

import mmap
import struct
import subprocess
from collections.abc import Iterable
from enum import IntEnum
from pathlib import Path

# The source is outside the package, since the router itself needs Python alone.
SOURCE = Path(__file__).parents[3] / "tools" / "fault_shim.c"
COMPILER = ("gcc", "-O1", "-shared", "-fPIC", "-Wall", "-Werror")
CONTROL_VARIABLE = "BRACKENLANE_FAULTS"
BUILD_TIMEOUT = 60.0  # seconds

# Layout of `struct control` in fault_shim.c; offsets are counted in doubles.
DOUBLE = struct.Struct("=d")
WALL_OFFSET = 0
SEED = 1
FIRST_CALL = 2
# Offsets within the entry of one system call.
PROBABILITY = 0
COUNT = 1
FIRST_ERROR = 2
MAX_ERRORS = 4  # error numbers in an entry
CALL_SIZE = FIRST_ERROR + MAX_ERRORS


class SystemCall(IntEnum):
    """The system calls that can be made to fail, in the order of `enum call` in fault_shim.c."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    RECV = 3  # returns fewer bytes but never fails, so that no byte is lost
    SEND = 4  # sends fewer bytes but never fails
    EPOLL_WAIT = 5
    EPOLL_CTL = 6  # only EPOLL_CTL_ADD
    WRITE = 7  # to regular files; error 0: a partial write
    FSYNC = 8
    RENAME = 9
    OPEN = 10  # only files opened for writing


class FaultShimError(Exception):
    """The fault library can't be built."""


class FaultShim:
    """The fault library and the control file of one process."""

    def __init__(self, folder: Path, seed: int = 1, library: Path | None = None) -> None:
        """Create the control file in a folder, with all faults off; build the library unless one is given.

        Raises FaultShimError.
        """
        self._library = library or build_library(folder)
        self._control_path = folder / "faults"
        size = DOUBLE.size * (FIRST_CALL + CALL_SIZE * len(SystemCall))
        self._control_path.write_bytes(bytes(size))
        with self._control_path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), size)
        self._set(SEED, seed)

    @property
    def environment(self) -> dict[str, str]:
        """The environment variables that load the fault library into a process."""
        return {"LD_PRELOAD": str(self._library), CONTROL_VARIABLE: str(self._control_path)}

    def step_wall_clock(self, offset: float) -> None:
        """Offset the wall clock of the process from the machine's by this many seconds."""
        self._set(WALL_OFFSET, offset)

    def fail(self, call: SystemCall, probability: float, errors: Iterable[int] = ()) -> None:
        """Make this share of the calls fail from now on, with one of up to four equally likely errors."""
        numbers = list(errors) or [0]
        if len(numbers) > MAX_ERRORS:
            raise ValueError(f"{len(numbers)} errors given, but at most {MAX_ERRORS} fit into an entry")
        for index in range(MAX_ERRORS):
            self._set(self._call_offset(call) + FIRST_ERROR + index, numbers[index % len(numbers)])
        self._set(self._call_offset(call) + PROBABILITY, probability)

    def recover(self) -> None:
        """Stop all failures of system calls; the clock offset stays."""
        for call in SystemCall:
            self._set(self._call_offset(call) + PROBABILITY, 0.0)

    def count(self, call: SystemCall) -> int:
        """Return how many calls were made to fail so far."""
        offset = DOUBLE.size * (self._call_offset(call) + COUNT)
        return int(DOUBLE.unpack_from(self._map, offset)[0])

    @staticmethod
    def _call_offset(call: SystemCall) -> int:
        return FIRST_CALL + CALL_SIZE * call

    def _set(self, offset: int, value: float) -> None:
        DOUBLE.pack_into(self._map, DOUBLE.size * offset, value)


def build_library(folder: Path) -> Path:
    """Compile the fault library into a folder and return its path. Raises FaultShimError."""
    library = folder / "shim.so"
    unfinished = library.with_suffix(".part")
    try:
        subprocess.run(
            [*COMPILER, "-o", str(unfinished), str(SOURCE), "-ldl"],
            check=True,
            capture_output=True,
            timeout=BUILD_TIMEOUT,
        )
    except (OSError, subprocess.SubprocessError) as error:
        reason = getattr(error, "stderr", b"") or str(error).encode()
        raise FaultShimError(f"the fault library can't be built: {reason.decode().strip()}") from error
    unfinished.rename(library)
    return library
