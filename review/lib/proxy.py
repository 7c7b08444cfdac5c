"""A proxy on a loopback address, which can be cut: then it closes its connections and accepts no others."""

from __future__ import annotations

import trio


class Proxy:
    """Passes the bytes of all connections on to one port, until it is cut."""

    def __init__(self, target_port: int) -> None:
        self.port = 0
        self._target_port = target_port
        self._scope = trio.CancelScope()
        self._closed = trio.Event()

    async def open(self, nursery: trio.Nursery) -> None:
        """Listen; after a cut, on the same port as before."""
        [listener] = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
        self.port = listener.socket.getsockname()[1]
        self._scope = trio.CancelScope()
        self._closed = trio.Event()
        nursery.start_soon(self._run, listener)

    async def cut(self) -> None:
        """Close all connections, and refuse new ones until `open`."""
        self._scope.cancel()
        await self._closed.wait()

    async def _run(self, listener: trio.SocketListener) -> None:
        with self._scope:
            await trio.serve_listeners(self._serve, [listener])
        self._closed.set()

    async def _serve(self, client: trio.SocketStream) -> None:
        try:
            server = await trio.open_tcp_stream("127.0.0.1", self._target_port)
        except OSError:
            await trio.aclose_forcefully(client)
            return
        async with client, server, trio.open_nursery() as nursery:
            nursery.start_soon(self._pass_on, client, server, nursery.cancel_scope)
            nursery.start_soon(self._pass_on, server, client, nursery.cancel_scope)

    @staticmethod
    async def _pass_on(source: trio.SocketStream, sink: trio.SocketStream, scope: trio.CancelScope) -> None:
        try:
            while data := await source.receive_some(65_536):
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()
