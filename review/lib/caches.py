"""Stand-ins of cache boxes and of the origin, which speak the cache protocol of the pages.

A box keeps copies. It answers from a copy that is as young as the request asks (`within`; absent or 0: the
fresh time of the class, here none for videos), else it fills from the origin if the request names a source,
else it says `absent`. A purged copy is dropped by the box itself, within the time that the pages give it.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from review.lib.bench import unix_time

FRESH_SECONDS = {"sheet-pages": 8.0}  # fresh time by class; the others have none
Note = Callable[[str], None]


@dataclass
class Copy:
    """One part of an object, as the origin gave it out."""

    body: bytes
    tag: str
    issued: float  # Unix time


@dataclass
class Origin:
    """The content at the origin: the version of each object, and when the boxes drop older copies of it."""

    versions: dict[str, int] = field(default_factory=dict)
    drop_at: dict[str, float] = field(default_factory=dict)  # Unix time

    def issue(self, path: str, part: str) -> Copy:
        """Return a copy of the present version."""
        version = self.versions.get(path, 1)
        return Copy(f"{path}/{part} version {version}".encode(), f"v{version}", unix_time())

    def replace(self, path: str, drop_after: float) -> None:
        """Replace an object by its next version; the boxes drop older copies after so many seconds."""
        self.versions[path] = self.versions.get(path, 1) + 1
        self.drop_at[path] = unix_time() + drop_after


@dataclass
class Received:
    """One request that reached a box."""

    at: float  # Unix time of its first byte
    box: str
    id: str
    fields: dict[str, str]


class Box:
    """One cache box, or the origin itself (`is_origin`)."""

    def __init__(self, name: str, origin: Origin, note: Note, is_origin: bool = False) -> None:
        self.name = name
        self.port = 0
        self.is_origin = is_origin
        self.received: list[Received] = []
        self._origin = origin
        self._note = note
        self._copies: dict[tuple[str, str], Copy] = {}

    async def open(self, nursery: trio.Nursery) -> None:
        """Listen on a free port of the loopback address."""
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listener.socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self._serve, [listener])

    async def _serve(self, stream: trio.SocketStream) -> None:
        buffer = bytearray()
        began = 0.0
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await stream.receive_some(65_536):
                began = began if buffer else unix_time()
                buffer += data
                while reply := self._take(buffer, began):
                    await stream.send_all(reply)
                    began = unix_time()

    def _take(self, buffer: bytearray, at: float) -> bytes | None:
        """Remove one command from the buffer and return its answer; None if none is complete."""
        while b"\r\n" in buffer:
            line, _, rest = bytes(buffer).partition(b"\r\n")
            words = line.decode().split(" ")
            if words[0] == "GET":
                size = int(words[3])
                if len(rest) < size + 2:
                    return None
                buffer[:] = rest[size + 2 :]
                return self._answer(words[1], words[2], at)
            buffer[:] = rest
            if words[0] in ("PING", "LOAD"):
                return f"{words[1]} well - 0\r\n\r\n".encode()
        return None

    def _answer(self, request_id: str, fields_text: str, at: float) -> bytes:
        fields = dict(pair.split("=", 1) for pair in fields_text.split(","))
        self.received.append(Received(at, self.name, request_id, fields))
        copy, detail = self._find(fields)
        word = copy.tag if copy else "absent"
        self._note(f"{self.name} got GET {request_id} {fields_text}, answers {word} {detail}")
        if copy is None:
            return f"{request_id} absent - 0\r\n\r\n".encode()
        issued = int(copy.issued * 1000)
        head = f"{request_id} data entity={copy.tag},issued={issued},detail={detail} {len(copy.body)}\r\n"
        return head.encode() + copy.body + b"\r\n"

    def _find(self, fields: dict[str, str]) -> tuple[Copy | None, str]:
        path, part = fields["path"], fields["blk"]
        if self.is_origin:
            return self._origin.issue(path, part), "hit"
        now = unix_time()
        copy = self._copies.get((path, part))
        drop_at = self._origin.drop_at.get(path, 0.0)
        if copy and drop_at <= now and copy.tag != f"v{self._origin.versions.get(path, 1)}":
            copy = None
        limit = float(fields.get("within", "0")) / 1000 or FRESH_SECONDS.get(fields["queue"], 0.0)
        if copy and (not limit or now - copy.issued <= limit):
            return copy, "hit"
        if fields.get("miss", self.name) == self.name:
            return None, "-"
        copy = self._origin.issue(path, part)
        self._copies[path, part] = copy
        return copy, "filled"
