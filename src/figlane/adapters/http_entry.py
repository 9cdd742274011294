"""HTTP interface for callers, based on blacksheep."""

from __future__ import annotations

import asyncio
import hashlib
import secrets
from collections.abc import Callable
from typing import Any

import msgspec
from blacksheep import Application, Content, Request, Response
from blacksheep.contents import StreamedContent
from blacksheep.server.routing import Router

from figlane.adapters.caller_stream import CallerStream
from figlane.adapters.headers import (
    AUTHORIZATION_HEADER,
    CALL_HEADER,
    CONTEXT_HEADER,
    IDEMPOTENCY_HEADER,
    OUTCOME_HEADER,
    RESERVED_PREFIX,
    TRACE_HEADER,
)
from figlane.adapters.hop_by_hop import end_to_end_headers
from figlane.adapters.http_protocol import SCOPE_KEY, CallerProtocol
from figlane.adapters.http_server import as_handler
from figlane.adapters.request_limits import read_body, remove_reserved_headers
from figlane.clock import current_time
from figlane.entities import http
from figlane.entities.call import Call
from figlane.entities.inbox import (
    CallArrived,
    CallerConsumedBytes,
    CallerDisconnected,
)
from figlane.entities.outbox import (
    AnswerCaller,
    SendCallerChunk,
    StartCallerStream,
)
from figlane.errors import ErrorKind, Refusal
from figlane.wire.documents import MAX_BODY_BYTES

_ERROR_URN = 'urn:figlane:error:'
_BEARER_PREFIX = b'Bearer '
_CALL_ID_BYTES = 16
_MAX_HEADERS = 64
_MAX_HEADER_BYTES = 16_384
_DROPPED_HEADERS = frozenset((AUTHORIZATION_HEADER, b'host'))

_HeaderList = list[tuple[bytes, bytes]]
Outcome = http.Answer | Refusal | CallerStream


class _Caller:
    """Connection of a caller with a pending response."""

    __slots__ = ('connection', 'stream', 'waiter')

    def __init__(
        self,
        waiter: asyncio.Future[Outcome],
        connection: CallerProtocol,
    ) -> None:
        self.waiter = waiter
        self.connection = connection
        self.stream: CallerStream | None = None


class HttpEntry:
    """Converts HTTP requests to calls, and call outcomes to responses."""

    __slots__ = ('_caller_by_call_id', '_deliver', 'application')

    def __init__(self, deliver: Callable[[Any], None]) -> None:
        """Create the application.

        :param deliver: receives the inbox rows of requests and disconnects.
        """
        self._deliver = deliver
        self._caller_by_call_id: dict[str, _Caller] = {}
        self.application = Application(router=Router())
        self.application.router.fallback = as_handler(self.handle)

    async def handle(self, request: Request) -> Response:
        """Handle one HTTP request and wait for the outcome of its call.

        :param request: the request.
        :return: the backend server's answer, or a refusal.
        """
        call_id = secrets.token_hex(_CALL_ID_BYTES)
        outcome = await self._run_request(call_id, request)
        if isinstance(outcome, Refusal):
            return refusal_response(outcome, call_id)
        if isinstance(outcome, CallerStream):
            return _stream_response(outcome, call_id)
        return _answer_response(outcome, call_id)

    def answer(self, row: AnswerCaller) -> None:
        """Complete a caller's request.

        A streamed response is ended, or its connection is aborted if the
        outcome is a refusal.

        :param row: the outcome of the call.
        """
        caller = self._caller_by_call_id.pop(row.call_id, None)
        if caller is None:
            return
        if caller.stream is not None:
            caller.stream.end()
            if isinstance(row.outcome, Refusal):
                caller.connection.abort_response()
            return
        if not caller.waiter.done() and not isinstance(
            row.outcome,
            http.StreamedAnswer,
        ):
            caller.waiter.set_result(row.outcome)

    def begin_stream(self, row: StartCallerStream) -> None:
        """Start a streamed response.

        :param row: status and headers.
        """
        caller = self._caller_by_call_id.get(row.call_id)
        if caller is None or caller.waiter.done():
            return
        caller.stream = CallerStream(
            row.status,
            row.headers,
            lambda total: self._deliver(
                CallerConsumedBytes(row.call_id, total)
            ),
        )
        caller.waiter.set_result(caller.stream)

    def send_chunk(self, row: SendCallerChunk) -> None:
        """Send the next chunk of a streamed response.

        :param row: the chunk.
        """
        caller = self._caller_by_call_id.get(row.call_id)
        if caller is not None and caller.stream is not None:
            caller.stream.put(row.chunk)

    async def _run_request(self, call_id: str, request: Request) -> Outcome:
        headers = tuple(request.headers.values)
        refusal = _check_headers(headers)
        if refusal is not None:
            return refusal
        body = await read_body(request, MAX_BODY_BYTES)
        if isinstance(body, Refusal):
            return body
        call = _to_call(call_id, request, headers, body)
        return await self._run_call(call, request.scope[SCOPE_KEY])

    async def _run_call(
        self, call: Call, connection: CallerProtocol
    ) -> Outcome:
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[Outcome] = loop.create_future()
        self._caller_by_call_id[call.id] = _Caller(waiter, connection)
        connection.begin_call(
            call.id, lambda: self._deliver(CallerDisconnected(call.id))
        )
        self._deliver(CallArrived(call))
        return await waiter


def _check_headers(headers: http.Headers) -> Refusal | None:
    if len(headers) > _MAX_HEADERS:
        return Refusal(
            ErrorKind.BAD_REQUEST, f'more than {_MAX_HEADERS} headers'
        )
    size = sum(len(name) + len(content) for name, content in headers)
    if size > _MAX_HEADER_BYTES:
        text = f'headers of {size} bytes exceed {_MAX_HEADER_BYTES} bytes'
        return Refusal(ErrorKind.BAD_REQUEST, text)
    return None


def _to_call(
    call_id: str,
    request: Request,
    headers: http.Headers,
    body: bytes,
) -> Call:
    path = request.url.path.decode('latin-1')
    service_id, _, rest = path.lstrip('/').partition('/')
    query = request.url.query
    target = f'/{rest}'
    if query:
        target = f'{target}?{query.decode("latin-1")}'
    content_by_name = {name.lower(): content for name, content in headers}
    return Call(
        id=call_id,
        service_id=service_id,
        request=http.Request(
            request.method,
            target,
            _forwarded_headers(headers),
            body,
        ),
        arrived_at=current_time(),
        key_hash=hash_bearer_token(
            content_by_name.get(AUTHORIZATION_HEADER, b'')
        ),
        context_token=_header_text(content_by_name, CONTEXT_HEADER),
        idempotency_key=_header_text(content_by_name, IDEMPOTENCY_HEADER),
        trace_parent=_header_text(content_by_name, TRACE_HEADER),
    )


def _header_text(content_by_name: dict[bytes, bytes], name: bytes) -> str:
    return content_by_name.get(name, b'').decode('latin-1')


def _forwarded_headers(headers: http.Headers) -> http.Headers:
    return tuple(
        (name.lower(), content)
        for name, content in end_to_end_headers(headers)
        if name.lower() not in _DROPPED_HEADERS
        and not name.lower().startswith(RESERVED_PREFIX)
    )


def hash_bearer_token(authorization: bytes) -> str:
    """Hash the API key of an ``Authorization: Bearer`` header.

    :param authorization: the header value.
    :return: SHA-256 in hexadecimal, empty if there is no bearer token.
    """
    if not authorization.startswith(_BEARER_PREFIX):
        return ''
    key = authorization.removeprefix(_BEARER_PREFIX)
    return hashlib.sha256(key).hexdigest()


def _stream_response(stream: CallerStream, call_id: str) -> Response:
    content_type, headers = _response_headers(stream.headers, call_id)
    return Response(
        stream.status,
        headers,
        StreamedContent(content_type, stream.chunks),
    )


def _answer_response(answer: http.Answer, call_id: str) -> Response:
    content_type, headers = _response_headers(answer.headers, call_id)
    content = Content(content_type, answer.body)
    return Response(answer.status, headers, content)


def _response_headers(
    received: http.Headers,
    call_id: str,
) -> tuple[bytes, _HeaderList]:
    content_type = b'application/octet-stream'
    headers = [(CALL_HEADER, call_id.encode())]
    for name, content in remove_reserved_headers(received):
        if name == b'content-type':
            content_type = content
            continue
        headers.append((name, content))
    return content_type, headers


def refusal_response(refusal: Refusal, call_id: str) -> Response:
    """Build the problem+json response of a refused call.

    :param refusal: the refusal; its kind determines status and title.
    :param call_id: id of the call.
    :return: the response.
    """
    answer = refusal.answer
    kind = refusal.kind.value
    problem = {
        'type': f'{_ERROR_URN}{kind}',
        'title': answer.title,
        'status': answer.status,
        'detail': refusal.detail,
        'kind': kind,
        'outcome': answer.execution_status.value,
        'call': call_id,
    }
    headers = [
        (CALL_HEADER, call_id.encode()),
        (OUTCOME_HEADER, answer.execution_status.value.encode()),
    ]
    if refusal.retry_after is not None:
        seconds = max(1, round(refusal.retry_after))
        headers.append((b'retry-after', str(seconds).encode()))
    body = msgspec.json.encode(problem)
    return Response(
        answer.status,
        headers,
        Content(b'application/problem+json', body),
    )
