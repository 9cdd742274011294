"""TCP proxy that simulates packet loss on the network between two nodes.

It forwards connections to a target and takes one command for each connection
to its control port. ``silence`` keeps all present connections open but
discards the data that arrives on them; new connections work. ``target``
followed by an address sets the target of new connections.
"""

from __future__ import annotations

import asyncio
import json
import socket
import sys

_HOST = '127.0.0.1'
_READ_BYTES = 65_536


class Relay:
    """Forwards TCP connections to a target that can be changed."""

    def __init__(self) -> None:
        """Create a proxy without a target, which closes all connections."""
        self.target = ''
        self.generation = 0

    async def serve(self) -> None:
        """Print the addresses and serve until the process is stopped."""
        relay = await asyncio.start_server(self._connect, _HOST, 0)
        control = await asyncio.start_server(self._control, _HOST, 0)
        told = {'address': _address(relay), 'control': _address(control)}
        sys.stdout.write(f'{json.dumps(told)}\n')
        sys.stdout.flush()
        async with relay, control:
            await asyncio.Event().wait()

    async def _control(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        words = (await reader.readline()).decode().split()
        if words[0] == 'target':
            self.target = words[1]
        if words[0] == 'silence':
            self.generation += 1
        writer.write(b'done\n')
        await writer.drain()
        writer.close()

    async def _connect(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host,
                int(port),
            )
        except (OSError, ValueError):
            writer.close()
            return
        await asyncio.gather(
            self._pass_on(reader, far_writer, self.generation),
            self._pass_on(far_reader, writer, self.generation),
        )

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
    ) -> None:
        try:
            while content := await reader.read(_READ_BYTES):
                if generation == self.generation:
                    writer.write(content)
                    await writer.drain()
        except OSError:
            writer.close()
        if generation == self.generation:
            writer.close()


def _address(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()
    return f'{host}:{port}'


def tell(control: str, line: str) -> None:
    """Send a command to a relay and wait until it has been carried out.

    :param control: ``host:port`` of the relay's control port.
    :param line: ``silence``, or ``target`` and an address.
    """
    host, _, port = control.rpartition(':')
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(f'{line}\n'.encode())
        connection.recv(_READ_BYTES)


if __name__ == '__main__':
    asyncio.run(Relay().serve())
