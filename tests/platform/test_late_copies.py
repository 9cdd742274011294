"""Backend servers that send a second copy of an answer, late."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Iterator
from unittest import IsolatedAsyncioTestCase

from figlane.adapters.http_client import HttpPool
from figlane.adapters.http_exchange import HttpFailure, HttpOutcome
from figlane.entities.http import Answer, Request
from figlane.entities.outbox import RunOnBackend
from figlane.platform import headers as names
from figlane.platform.backend import PlatformDialect
from figlane.settings import split_address
from standins.addresses import reserve_addresses

_FIRST_BODY = b'one'
_SECOND_BODY = b'two'
_END_OF_HEAD = b'\r\n\r\n'


def _answer(request_id: bytes, body: bytes) -> bytes:
    lines = [b'HTTP/1.1 200 OK', b'content-length: %d' % len(body)]
    if request_id:
        lines.append(b'%b: %b' % (names.REQUEST_ID, request_id))
    return b'\r\n'.join(lines) + _END_OF_HEAD + body


_FIRST = _answer(b'1', _FIRST_BODY)
_SECOND = _answer(b'2', _SECOND_BODY)
_COPIES = (
    _FIRST,
    _answer(b'', _FIRST_BODY),
    _answer(b'', b''),
    _answer(b'1', b'x' * 100_000),
)
# Parts of the bytes that the server sends after the first and after the second
# request; parts are sent one after the other.
_SCRIPTS = tuple(
    (after_first, after_second)
    for copy in _COPIES
    for after_first, after_second in (
        ((_FIRST,), (copy, _SECOND)),
        ((_FIRST,), (copy + _SECOND,)),
        ((_FIRST,), (copy[:20], copy[20:], _SECOND)),
        ((_FIRST + copy,), (_SECOND,)),
        ((_FIRST + copy[:20],), (copy[20:], _SECOND)),
        ((_FIRST, copy), (_SECOND,)),
        ((_FIRST, copy[:20]), (copy[20:], _SECOND)),
        ((_FIRST,), (_SECOND + copy,)),
    )
)


class LateCopyTest(IsolatedAsyncioTestCase):
    """Two requests to a server whose copies of the first answer come late."""

    async def test_no_answer_of_another_request(self) -> None:
        """The second caller gets its own answer or an unknown outcome.

        A copy may carry the id of the first request or none, come in pieces,
        and come together with the first or the second answer, or between them.
        """
        for number, script in enumerate(_SCRIPTS):
            with self.subTest(number=number):
                first, second = await self._play(script)
                self.assertEqual(_body(first), _FIRST_BODY)
                if not isinstance(second, HttpFailure):
                    self.assertEqual(_body(second), _SECOND_BODY)

    async def test_copy_before_answer(self) -> None:
        """Copies that come before the right answer do not replace it."""
        for copy in _COPIES:
            with self.subTest(copy=copy[:80]):
                _, second = await self._play(((_FIRST,), (copy, _SECOND)))
                self.assertEqual(_body(second), _SECOND_BODY)

    async def _play(
        self, script: tuple[tuple[bytes, ...], tuple[bytes, ...]]
    ) -> list[HttpOutcome]:
        address = reserve_addresses(1)[0]
        parts = iter(script)
        server = await asyncio.start_server(
            functools.partial(_serve, parts), *split_address(address)
        )
        pool = HttpPool(asyncio.get_running_loop(), address, 4)
        outcomes = []
        for request_id in (b'1', b'2'):
            outcomes.append(await _request(pool, request_id))
            await asyncio.sleep(0.03)
        pool.close()
        server.close()
        return outcomes


async def _serve(
    parts: Iterator[tuple[bytes, ...]],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    try:
        while await reader.readuntil(_END_OF_HEAD):
            for part in next(parts):
                writer.write(part)
                await asyncio.sleep(0.01)
    except (ConnectionError, asyncio.IncompleteReadError, StopIteration):
        writer.close()


async def _request(pool: HttpPool, request_id: bytes) -> HttpOutcome:
    headers = ((names.REQUEST_ID, request_id),)
    request = Request('GET', '/', headers)
    row = RunOnBackend('e', 'i', 1, '', 1, request, 1, '', '', '')
    finished: asyncio.Future[HttpOutcome] = (
        asyncio.get_running_loop().create_future()
    )
    pool.request(
        request,
        finished.set_result,
        matches_request=functools.partial(
            PlatformDialect().is_response_to, row
        ),
    )
    return await asyncio.wait_for(finished, 2)


def _body(outcome: HttpOutcome) -> bytes:
    assert isinstance(outcome, Answer), outcome
    return outcome.body
