"""Validation of headers and bodies from untrusted peers."""

from __future__ import annotations

from blacksheep import Request
from blacksheep.exceptions import HTTPException

from figlane.adapters.headers import (
    AUTHORIZATION_HEADER,
    CONTEXT_HEADER,
    IDEMPOTENCY_HEADER,
    RESERVED_PREFIX,
    TRACE_HEADER,
)
from figlane.entities.http import Headers
from figlane.errors import ErrorKind, Refusal
from figlane.wire.documents import MAX_BODY_BYTES

_HOST_HEADER = b'host'
_LENGTH_HEADER = b'content-length'
_CODING_HEADER = b'transfer-encoding'

# Headers that must not be repeated: they affect framing, authentication or
# routing, and two parsers may pick different ones of two values.
_SINGLETON_HEADERS = frozenset(
    (
        CONTEXT_HEADER,
        IDEMPOTENCY_HEADER,
        AUTHORIZATION_HEADER,
        TRACE_HEADER,
        _CODING_HEADER,
        _LENGTH_HEADER,
        _HOST_HEADER,
    ),
)


def check_headers(headers: Headers) -> Refusal | None:
    """Reject ambiguous headers and a ``Content-Length`` above the limit.

    :param headers: request headers; names in any case.
    :return: the refusal, or None for a valid request.
    """
    content_by_name: dict[bytes, bytes] = {}
    for name, content in headers:
        lower = name.lower()
        if lower in _SINGLETON_HEADERS and lower in content_by_name:
            text = f'repeated header: {lower.decode("latin-1")}'
            return Refusal(ErrorKind.BAD_REQUEST, text)
        content_by_name[lower] = content
    if _HOST_HEADER not in content_by_name:
        return Refusal(ErrorKind.BAD_REQUEST, 'missing header: host')
    length = content_by_name.get(_LENGTH_HEADER)
    if length is None:
        return None
    if _CODING_HEADER in content_by_name:
        text = 'both content-length and transfer-encoding are given'
        return Refusal(ErrorKind.BAD_REQUEST, text)
    return _check_length(length)


def _check_length(length: bytes) -> Refusal | None:
    if not length.isdigit():
        return Refusal(ErrorKind.BAD_REQUEST, 'content-length is not a number')
    digits = length.lstrip(b'0')
    if len(digits) > len(str(MAX_BODY_BYTES)) or int(length) > MAX_BODY_BYTES:
        text = f'body exceeds {MAX_BODY_BYTES} bytes'
        return Refusal(ErrorKind.BODY_TOO_LARGE, text)
    return None


async def read_body(request: Request, limit: int) -> bytes | Refusal:
    """Validate the headers of a request and read its body up to a limit.

    :param request: the request.
    :param limit: maximum size of the body in bytes.
    :return: the body, or the refusal.
    """
    refusal = check_headers(tuple(request.headers.values))
    if refusal is not None:
        return refusal
    chunks = []
    size = 0
    try:
        async for chunk in request.stream():
            size += len(chunk)
            if size > limit:
                text = f'body exceeds {limit} bytes'
                return Refusal(ErrorKind.BODY_TOO_LARGE, text)
            chunks.append(chunk)
    except HTTPException as error:
        return Refusal(ErrorKind.BAD_REQUEST, str(error))
    return b''.join(chunks)


def remove_reserved_headers(headers: Headers) -> Headers:
    """Remove headers with the prefix reserved for figlane.

    :param headers: headers from a caller or a backend server.
    :return: the remaining headers.
    """
    return tuple(
        header
        for header in headers
        if not header[0].lower().startswith(RESERVED_PREFIX)
    )
