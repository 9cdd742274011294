"""A planned stop cuts off requests that it has just taken (LOST).

The two nodes of a zone get SIGTERM, one after the other, 1 s apart. The clients
beside them get no new work after two misses of their node, unless fewer than
half of the zone's nodes are in. With ``TROUBLE=0`` there is no SIGTERM.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common'))

from deployment import (  # noqa: E402
    HOST,
    Answer,
    Deployment,
    Node,
    Record,
    configuration,
    connect,
    read_answer,
    request_bytes,
    run_case,
)

CLIENTS = 20
# The time of work is drawn evenly between these.
MIN_WORK_SECONDS = 0.5
MAX_WORK_SECONDS = 1.5
SEED = 4
TIME_LIMIT_SECONDS = 5.0
GRACE_SECONDS = 6.0
# The rule excuses long work only for requests that were sent no later than
# this after the SIGTERM.
EXCUSED_SECONDS = 3.0
# The pause between the stops of two machines in the site.
GAP_SECONDS = 1.0
RUN_SECONDS = 1.5 + GAP_SECONDS + GRACE_SECONDS


_random = random.Random(SEED)


def draw_work() -> float:
    return _random.uniform(MIN_WORK_SECONDS, MAX_WORK_SECONDS)


class Zone:
    """The platform's readiness checks of the nodes of one zone."""

    def __init__(self, record: Record, nodes: list[Node]) -> None:
        self.record = record
        self.misses_by_name = {node.name: 0 for node in nodes}
        self.nodes = nodes

    async def check(self) -> None:
        """Ask each node once a second."""
        while True:
            for node in self.nodes:
                is_ready = await node.is_ready()
                misses = self.misses_by_name[node.name]
                self.misses_by_name[node.name] = 0 if is_ready else misses + 1
                if misses == 1 and not is_ready:
                    self.record(f'{node.name} is out')
            await asyncio.sleep(1)

    def gets_work(self, node: Node) -> bool:
        """Tell whether the clients beside a node get new work."""
        count_in = sum(misses < 2 for misses in self.misses_by_name.values())
        if 2 * count_in < len(self.nodes):
            return True
        return self.misses_by_name[node.name] < 2


class Client:
    """Sends unsafe requests, one at a time, on connections that it keeps."""

    def __init__(
        self, record: Record, zone: Zone, node: Node, name: str
    ) -> None:
        self.record = record
        self.zone = zone
        self.node = node
        self.name = name
        # Name, time of sending and answer of each request.
        self.requests: list[tuple[str, float, Answer]] = []
        self.reader = None
        self.writer = None

    async def run(self, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            if not self.zone.gets_work(self.node):
                await asyncio.sleep(0.05)
                continue
            try:
                if self.writer is None:
                    self.reader, self.writer = await connect(self.node.outbound)
            except OSError:
                # Nothing listens: the process has ended.
                await asyncio.sleep(0.2)
                continue
            await self._request()
            await asyncio.sleep(0.05)
        self._close()

    async def _request(self) -> None:
        name = f'{self.name}-{len(self.requests)}'
        answer = Answer()
        sent_at = time.monotonic()
        self.requests.append((name, sent_at, answer))
        self.record(f'sent {name} to {self.node.outbound}')
        try:
            async with asyncio.timeout(TIME_LIMIT_SECONDS):
                self.writer.write(request_bytes(name, '/book/1', 'POST'))
                await read_answer(self.reader, answer)
        except TimeoutError:
            answer.reason = 'time limit'
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.reason = f'the connection ended: {type(error).__name__}'
        answer.seconds = time.monotonic() - sent_at
        self.record(f'got {name}: {answer}')
        if (
            not answer.is_complete
            or answer.headers.get('connection') == 'close'
        ):
            self._close()

    def _close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def stop(
    record: Record, node: Node, delay: float, term_at_by_name: dict[str, float]
) -> None:
    """Send SIGTERM after a delay, and SIGKILL after ``grace``."""
    await asyncio.sleep(delay)
    node.signal(signal.SIGTERM)
    term_at = time.monotonic()
    term_at_by_name[node.name] = term_at
    try:
        async with asyncio.timeout(GRACE_SECONDS):
            await node.process.wait()
        seconds = time.monotonic() - term_at
        record(f'{node.name} ended {seconds:.2f} s after SIGTERM')
    except TimeoutError:
        node.signal(signal.SIGKILL)


async def main(record: Record, has_trouble: bool) -> int:
    machines = [('waco', 'shop'), ('waco', 'shop'), ('temple', 'bank')]
    deployment = Deployment(record, [*machines, ('temple', 'bank')])
    routes = [
        ['r1', HOST, '/book/', 'unsafe', '5s', '1s', 0, 2, False, 'bank'],
    ]
    stopped = deployment.nodes[:2]
    term_at_by_name: dict[str, float] = {}
    backends = [node.backend for node in deployment.nodes[2:]]
    for backend in backends:
        backend.draw_work = draw_work
    try:
        await deployment.start(configuration(routes, ['shop', 'bank']))
        if not await deployment.wait_ready():
            record('the nodes are not ready')
            return 2
        zone = Zone(record, stopped)
        checks = asyncio.create_task(zone.check())
        clients = [
            Client(record, zone, node, f'{node.name}-{number}')
            for node in stopped
            for number in range(CLIENTS)
        ]
        ends_at = time.monotonic() + RUN_SECONDS
        runs = []
        for client in clients:
            runs.append(asyncio.create_task(client.run(ends_at)))
            # The clients aren't in step.
            await asyncio.sleep(MIN_WORK_SECONDS / len(clients))
        await asyncio.sleep(0.5)
        if has_trouble:
            await asyncio.gather(
                *(
                    stop(record, node, index * GAP_SECONDS, term_at_by_name)
                    for index, node in enumerate(stopped)
                )
            )
        await asyncio.gather(*runs)
        checks.cancel()
    finally:
        await deployment.stop()
    ran = {name for backend in backends for name in backend.run_count_by_id}
    requests = [
        (client.node.name, *request)
        for client in clients
        for request in client.requests
    ]
    lost = [
        (name, sent_at - term_at_by_name[node_name])
        for node_name, name, sent_at, answer in requests
        if name in ran
        and not answer.is_complete
        and answer.seconds < TIME_LIMIT_SECONDS - 0.1
        and node_name in term_at_by_name
        and sent_at > term_at_by_name[node_name] + EXCUSED_SECONDS
    ]
    for name, seconds in lost:
        record(f'lost {name}, sent {seconds:.2f} s after SIGTERM, has run')
    record(
        f'{len(lost)} of {len(requests)} requests were passed on and cut off '
        'by the stop'
    )
    return int(bool(lost))


if __name__ == '__main__':
    run_case(main)
