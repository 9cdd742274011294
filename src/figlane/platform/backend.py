"""Translates requests and answers of the platform's backend servers."""

from __future__ import annotations

from figlane.adapters.backend_dialect import MS_PER_SECOND
from figlane.adapters.hop_by_hop import end_to_end_headers
from figlane.entities.http import Answer, Headers, Request
from figlane.entities.outbox import RunOnBackend
from figlane.entities.server_notice import ServerNotice
from figlane.errors import ErrorKind, Refusal
from figlane.platform import headers as names
from figlane.platform.quantities import parse_rate

_MISDIRECTED = 421
_LEAVING = b'1'
_NO_NOTICE = ServerNotice()
_LEAVING_NOTICE = ServerNotice(is_leaving=True)


def read_server_notice(headers: Headers) -> ServerNotice | None:
    """Read what the headers of an answer say of the server that gave it.

    :param headers: headers with names in lower case.
    :return: None if they are malformed.
    """
    leaving = names.find_value(headers, names.SERVER_LEAVING)
    is_leaving = leaving.strip() == _LEAVING
    text = names.find_value(headers, names.SERVER_LIMIT)
    if not text:
        return _LEAVING_NOTICE if is_leaving else _NO_NOTICE
    try:
        return ServerNotice(parse_rate(text), is_leaving)
    except ValueError:
        return _LEAVING_NOTICE if is_leaving else None


class PlatformDialect:
    """Encodes requests to backend servers and interprets their answers."""

    __slots__ = ()

    def encode(self, row: RunOnBackend) -> Request:
        """Build the HTTP request to a backend server for an execution.

        :param row: the execution's request and properties.
        :return: the request with deadline, target and organisation headers.
        """
        remaining_ms = max(1, int(row.timeout * MS_PER_SECOND))
        headers = [
            *row.request.headers,
            (names.DEADLINE_MS, b'%d' % remaining_ms),
            (names.TARGET_ID, row.backend_server_id.encode()),
        ]
        if row.organisation_id:
            headers.append((names.ORGANISATION, row.organisation_id.encode()))
        return Request(
            row.request.method,
            row.request.target,
            tuple(headers),
            row.request.body,
        )

    def response_id(self, row: RunOnBackend) -> bytes:
        """Return the request id, which backend servers return.

        All attempts of a call have the same id.

        :param row: the execution's request and properties.
        :return: the id.
        """
        return names.find_value(row.request.headers, names.REQUEST_ID)

    def is_response_to(
        self, row: RunOnBackend, headers: Headers, is_reused: bool
    ) -> bool:
        """Check by the request id whether an answer belongs to this request.

        An answer without an id may be a late copy of the answer to an earlier
        request on the connection.

        :param row: the execution's request and properties.
        :param headers: the answer's headers.
        :param is_reused: whether the connection has carried another request.
        :return: False if the answer belongs, or may belong, to another request.
        """
        answer_request_id = names.find_value(headers, names.REQUEST_ID)
        if not answer_request_id:
            return not is_reused
        return answer_request_id == self.response_id(row)

    def read_notice(self, status: int, headers: Headers) -> ServerNotice | None:
        """Read what an answer says of the backend server itself.

        :param status: the answer's status.
        :param headers: the answer's headers.
        :return: None if another server has answered, or if what it says cannot
            be read.
        """
        return None if status == _MISDIRECTED else read_server_notice(headers)

    def decode(self, row: RunOnBackend, answer: Answer) -> Answer | Refusal:
        """Map an HTTP answer to the outcome of the execution.

        :param row: the execution's request and properties.
        :param answer: the complete answer.
        :return: the answer for the caller, or why the request did not run.
        """
        if answer.status == _MISDIRECTED:
            return Refusal(
                ErrorKind.NO_BACKEND_SERVER,
                'another backend server uses the target address',
                has_reached=True,
            )
        if names.find_value(answer.headers, names.NOT_EXECUTED):
            return Refusal(
                ErrorKind.OVERLOADED,
                f'the backend server answered {answer.status} and did not '
                'execute the request',
                has_reached=True,
            )
        headers = end_to_end_headers(answer.headers)
        return Answer(answer.status, headers, answer.body)
