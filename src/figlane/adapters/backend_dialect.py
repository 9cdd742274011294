"""Header mapping between executions and backend server HTTP messages."""

from __future__ import annotations

from typing import Protocol

from figlane.adapters.headers import (
    CONTEXT_HEADER,
    DEADLINE_HEADER,
    ORGANISATION_HEADER,
    TRACE_HEADER,
)
from figlane.adapters.hop_by_hop import end_to_end_headers
from figlane.entities.http import Answer, Headers, Request
from figlane.entities.outbox import RunOnBackend
from figlane.entities.server_notice import ServerNotice
from figlane.errors import Refusal

MS_PER_SECOND = 1000
_NO_NOTICE = ServerNotice()


class BackendDialect(Protocol):
    """Interface that maps executions to a backend server's headers."""

    def encode(self, row: RunOnBackend) -> Request:
        """Build the HTTP request that is sent to the backend server.

        :param row: the execution's request and metadata.
        :return: the request.
        """

    def response_id(self, row: RunOnBackend) -> bytes:
        """Return the id that responses to this execution's request carry.

        :param row: the execution's request and metadata.
        :return: the id, empty if responses carry none.
        """

    def is_response_to(
        self, row: RunOnBackend, headers: Headers, is_reused: bool
    ) -> bool:
        """Check whether a response answers this execution's request.

        :param row: the execution's request and metadata.
        :param headers: the response headers.
        :param is_reused: whether the connection has carried another request.
        :return: False for a response to another request.
        """

    def read_notice(self, status: int, headers: Headers) -> ServerNotice | None:
        """Read what a response says of the backend server itself.

        :param status: the response status.
        :param headers: the response headers.
        :return: None if the server says nothing that could be read.
        """

    def decode(self, row: RunOnBackend, answer: Answer) -> Answer | Refusal:
        """Translate a response into the execution's outcome.

        :param row: the execution's request and metadata.
        :param answer: the complete response.
        :return: the response for the caller, or why the request did not run.
        """


class NativeDialect:
    """Headers of figlane's native backend interface."""

    __slots__ = ()

    def encode(self, row: RunOnBackend) -> Request:
        """Build the HTTP request that is sent to the backend server.

        :param row: the execution's request and metadata.
        :return: the request.
        """
        headers = [
            (CONTEXT_HEADER, row.context_token.encode()),
            (DEADLINE_HEADER, b'%d' % (row.timeout * MS_PER_SECOND)),
        ]
        if row.organisation_id:
            headers.append((ORGANISATION_HEADER, row.organisation_id.encode()))
        if row.trace_parent:
            headers.append((TRACE_HEADER, row.trace_parent.encode('latin-1')))
        forwarded = (
            header
            for header in row.request.headers
            if header[0] != TRACE_HEADER
        )
        return Request(
            row.request.method,
            row.request.target,
            (*forwarded, *headers),
            row.request.body,
        )

    def response_id(self, row: RunOnBackend) -> bytes:
        """Return no id, since no response carries one.

        :param row: the execution's request and metadata.
        :return: an empty id.
        """
        return b''

    def is_response_to(
        self, row: RunOnBackend, headers: Headers, is_reused: bool
    ) -> bool:
        """Accept every response, since none carries a request identifier.

        :param row: the execution's request and metadata.
        :param headers: the response headers.
        :param is_reused: whether the connection has carried another request.
        :return: True.
        """
        return True

    def read_notice(self, status: int, headers: Headers) -> ServerNotice | None:
        """Read nothing: such servers say nothing of themselves in responses.

        :param status: the response status.
        :param headers: the response headers.
        :return: a notice that says nothing.
        """
        return _NO_NOTICE

    def decode(self, row: RunOnBackend, answer: Answer) -> Answer | Refusal:
        """Strip the hop-by-hop headers of a response.

        :param row: the execution's request and metadata.
        :param answer: the complete response.
        :return: the response with its end-to-end headers.
        """
        headers = end_to_end_headers(answer.headers)
        return Answer(answer.status, headers, answer.body)
