"""Headers that concern one connection only."""

from __future__ import annotations

from figlane.entities.http import Headers

_HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


def end_to_end_headers(headers: Headers) -> Headers:
    """Remove the hop-by-hop headers.

    :param headers: all headers; names in any case.
    :return: the end-to-end headers, which are forwarded.
    """
    return tuple(
        [
            header
            for header in headers
            if header[0].lower() not in _HOP_BY_HOP_HEADERS
        ]
    )
