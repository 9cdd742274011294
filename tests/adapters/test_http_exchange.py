"""Tests of HTTP client exchanges with unsolicited responses."""

from __future__ import annotations

import unittest

from figlane.adapters.http_exchange import Exchange, HttpFailure, HttpOutcome
from figlane.entities.http import Answer, Headers, Request

_OTHER_RESPONSE = b'HTTP/1.1 200 OK\r\nid: 1\r\n\r\nbytes of another request'
_OWN_RESPONSE = b'HTTP/1.1 200 OK\r\nid: 2\r\n\r\nbytes of this one'


def _is_own(headers: Headers) -> bool:
    return (b'id', b'2') in headers


class EndOfStreamTest(unittest.TestCase):
    """Responses without a length, which end when the connection closes."""

    def setUp(self) -> None:
        """Create an exchange that expects responses with its own id."""
        self.outcomes: list[HttpOutcome] = []
        self.exchange = Exchange(
            Request('GET', '/', ()),
            self.outcomes.append,
            matches_request=_is_own,
        )

    def test_close_completes_own_response(self) -> None:
        """Closing the connection completes the request's own response."""
        self.exchange.feed(_OWN_RESPONSE)
        self.exchange.handle_eof()
        self.assertIsInstance(self.outcomes[0], Answer)

    def test_close_ignores_other_response(self) -> None:
        """Closing the connection completes no response to another request."""
        self.exchange.feed(_OTHER_RESPONSE)
        self.exchange.handle_eof()
        self.assertEqual(self.outcomes, [])
        self.exchange.fail('connection closed')
        self.assertIsInstance(self.outcomes[0], HttpFailure)
