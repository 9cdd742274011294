"""A second copy of a rejection makes an unsafe request run twice (TWICE).

The backend of a service rejects each request once, as it is full, and runs it
when it comes again. After each rejection it also sends a second copy of it,
up to 0.3 s later. With ``TROUBLE=0`` it sends no second copies.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common'))

from deployment import (  # noqa: E402
    HOST,
    Backend,
    Deployment,
    Head,
    Reader,
    Record,
    Writer,
    ask,
    configuration,
    run_case,
)

REQUESTS = 40
# Requests before each of them that are not rejected, so that the second copies
# are fewer than 0.03 of the server's answers, the largest dose of the site.
OTHERS = 40
WORK_SECONDS = 0.3
SHORT_WORK_SECONDS = 0.01
MAX_DELAY_SECONDS = 0.3
PROMISES = (408, 421, 429, 503)
SEED = 5


class FullBackend(Backend):
    """Rejects each request at its first arrival."""

    sends_copies = True
    rejected: set[str] = set()
    tasks: set[asyncio.Task[None]] = set()
    random = random.Random(SEED)

    async def _handle(self, head: Head, reader: Reader, writer: Writer) -> None:
        name = head[1].get('figlane-request-id', '')
        is_other = name.startswith('other')
        self.work_seconds = SHORT_WORK_SECONDS if is_other else WORK_SECONDS
        if not name.startswith('request') or name in self.rejected:
            await super()._handle(head, reader, writer)
            return
        self.rejected.add(name)
        rejection = (
            b'HTTP/1.1 503 Service Unavailable\r\nfiglane-request-id: %b\r\n'
            b'figlane-not-executed: 1\r\ncontent-length: 0\r\n\r\n'
            % name.encode()
        )
        writer.write(rejection)
        self.record(f'rejected {name} at {self.id}')
        if self.sends_copies:
            copy = asyncio.create_task(self._copy(name, rejection, writer))
            self.tasks.add(copy)
            copy.add_done_callback(self.tasks.discard)

    async def _copy(self, name: str, rejection: bytes, writer: Writer) -> None:
        await asyncio.sleep(self.random.uniform(0, MAX_DELAY_SECONDS))
        if writer.is_closing():
            return
        with contextlib.suppress(OSError):
            writer.write(rejection)
            self.record(f'second copy of the rejection of {name}')


async def main(record: Record, has_trouble: bool) -> int:
    deployment = Deployment(record, [('waco', 'bank'), ('temple', 'shop')])
    bank_node, entry_node = deployment.nodes
    backend = bank_node.backend
    backend.__class__ = FullBackend
    backend.sends_copies = has_trouble
    routes = [
        ['r1', HOST, '/book/', 'unsafe', '5s', '1s', 0, 2, False, 'bank'],
        ['r2', HOST, '/pay/', 'unsafe', '5s', '1s', 0, 3, False, 'bank'],
    ]
    answers = {}
    try:
        await deployment.start(configuration(routes, ['bank', 'shop']))
        if not await deployment.wait_ready():
            record('the nodes are not ready')
            return 2
        for number in range(REQUESTS):
            path = ('/book/1', '/pay/1')[number % 2]
            name = f'request-{number}'
            others = [
                ask(
                    record,
                    entry_node.outbound,
                    f'other-{number}-{n}',
                    path,
                    'POST',
                )
                for n in range(OTHERS)
            ]
            await asyncio.gather(*others)
            answers[name] = await ask(
                record, entry_node.outbound, name, path, 'POST'
            )
            await asyncio.sleep(0.1)
        await asyncio.sleep(1)
    finally:
        await deployment.stop()
    ran = backend.run_count_by_id
    twice = [name for name in answers if ran.get(name, 0) > 1]
    broken_promises = [
        name
        for name, answer in answers.items()
        if answer.status in PROMISES and name in ran
    ]
    statuses: dict[int, int] = {}
    for answer in answers.values():
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
    record(f'answers by status: {statuses}')
    record(f'TWICE: {len(twice)} of {len(answers)} unsafe requests ran twice')
    record(
        f'REFUSED: {len(broken_promises)} of {len(answers)} were answered as not '
        'run and have run'
    )
    return int(bool(twice))


if __name__ == '__main__':
    run_case(main)
