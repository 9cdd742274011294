"""One ping of another writer takes a node's backend away for good (RECOVER).

All processes are killed and started again. While they recover, the control
address of each node beside a backend of one service gets one ping that names a
service that the configuration does not. With ``TROUBLE=0`` there is no such
ping; the processes are killed all the same.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common'))

from deployment import (  # noqa: E402
    HOST,
    Answer,
    Deployment,
    Record,
    ask,
    configuration,
    run_case,
)

DOWN_SECONDS = 1.5
# Bound `recovery` of the site.
RECOVERY_SECONDS = 15.0
BEFORE_SECONDS = 4.0
MEASURED_SECONDS = 10.0
PAUSE_SECONDS = 0.1


async def send_for(
    record: Record, deployment: Deployment, name: str, seconds: float
) -> list[Answer]:
    """Send ten requests a second at each node."""
    tasks = []
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        for node in deployment.nodes:
            request_id = f'{name}-{len(tasks)}'
            call = ask(record, node.outbound, request_id, '/read/1')
            tasks.append(asyncio.create_task(call))
        await asyncio.sleep(PAUSE_SECONDS)
    return await asyncio.gather(*tasks)


def served_share(record: Record, name: str, answers: list[Answer]) -> float:
    served = sum(answer.status == 200 for answer in answers)
    record(f'{name}: {served} of {len(answers)} requests were served')
    return served / len(answers)


async def main(record: Record, has_trouble: bool) -> int:
    machines = [('waco', 'bank'), ('temple', 'bank'), ('waco', 'shop')]
    deployment = Deployment(record, machines)
    routes = [
        ['r1', HOST, '/read/', 'safe', '5s', '1s', 2, 2, False, 'bank'],
    ]
    try:
        await deployment.start(configuration(routes, ['bank', 'shop']))
        if not await deployment.wait_ready():
            record('the nodes are not ready')
            return 2
        before = await send_for(record, deployment, 'before', BEFORE_SECONDS)
        for node in deployment.nodes:
            node.signal(signal.SIGKILL)
            await node.process.wait()
        await asyncio.sleep(DOWN_SECONDS)
        for node in deployment.nodes:
            await node.start()
        back_at = time.monotonic()
        await asyncio.sleep(5)
        if has_trouble:
            for node in deployment.nodes[:2]:
                body = node.backend.ping_body()
                body['info']['service'] = 'not-in-the-configuration'
                body['born'] = time.time_ns() // 1_000_000
                status = await node.backend.put_ping('i-foreign', body)
                record(f'ping of another writer to {node.name}: {status}')
        await asyncio.sleep(back_at + RECOVERY_SECONDS - time.monotonic())
        after = await send_for(record, deployment, 'after', MEASURED_SECONDS)
    finally:
        await deployment.stop()
    share_before = served_share(record, 'before the fault', before)
    share_after = served_share(record, 'later than recovery', after)
    if share_before < 0.25:
        return 2
    return int(share_after < 0.25)


if __name__ == '__main__':
    run_case(main)
