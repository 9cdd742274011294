"""TCP proxy between two nodes that can drop traffic without closing.

It forwards connections to a target and takes one command on each connection
to its control port. ``silence`` keeps all established connections open but
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
        # Increased by ``silence``; connections with a lower one discard data.
        self.generation = 0

    async def serve(self) -> None:
        """Print the addresses and serve until the process is stopped."""
        relay = await asyncio.start_server(self._handle_connection, _HOST, 0)
        control = await asyncio.start_server(self._handle_command, _HOST, 0)
        addresses = {'address': _address(relay), 'control': _address(control)}
        sys.stdout.write(f'{json.dumps(addresses)}\n')
        sys.stdout.flush()
        async with relay, control:
            await asyncio.Event().wait()

    async def _handle_command(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        command = (await reader.readline()).decode().split()
        if command[0] == 'target':
            self.target = command[1]
        if command[0] == 'silence':
            self.generation += 1
        writer.write(b'done\n')
        await writer.drain()
        writer.close()

    async def _handle_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host,
                int(port),
            )
        except (OSError, ValueError):
            writer.close()
            return
        await asyncio.gather(
            self._forward(reader, target_writer, self.generation),
            self._forward(target_reader, writer, self.generation),
        )

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
    ) -> None:
        try:
            while data := await reader.read(_READ_BYTES):
                if generation == self.generation:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            writer.close()
        if generation == self.generation:
            writer.close()


def _address(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()
    return f'{host}:{port}'


def send_command(control: str, command: str) -> None:
    """Send a command to a relay and wait until it has been carried out.

    :param control: ``host:port`` of the relay's control port.
    :param command: ``silence``, or ``target`` and an address.
    """
    host, _, port = control.rpartition(':')
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(f'{command}\n'.encode())
        connection.recv(_READ_BYTES)


if __name__ == '__main__':
    asyncio.run(Relay().serve())
