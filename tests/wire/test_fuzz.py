"""Fuzz tests: codecs reject untrusted input only with their own errors."""

from __future__ import annotations

import math
import unittest
from typing import Any, TypeAlias, get_type_hints

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from figlane.entities.quota_messages import BucketClaim, BucketRelease
from figlane.errors import RESPONSE_BY_KIND, ExecutionStatus, parse_error_kind
from figlane.wire.checking import CheckError, check, parse_text
from figlane.wire.documents import CODEC_BY_KIND, ServiceDocument, decode_entity
from figlane.wire.peer import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    TYPE_BY_CODE,
    PeerFrameError,
    decode,
    encode,
)

_Strategy: TypeAlias = st.SearchStrategy[Any]

# NaN is not equal to itself, so messages that contain it cannot be compared.
st.register_type_strategy(float, st.floats(allow_nan=False))

_FUZZ = settings(derandomize=True, deadline=None, max_examples=150)


def _float_names(kind: type) -> list[str]:
    hints = get_type_hints(kind)
    return [name for name, hint in hints.items() if hint is float]


_CODES_WITH_FLOATS = tuple(
    code for code, kind in TYPE_BY_CODE.items() if _float_names(kind)
)
_CODES = st.sampled_from(sorted(TYPE_BY_CODE))
_NUMBERS = st.integers() | st.floats()
_SCALARS = st.none() | st.booleans() | st.text() | _NUMBERS


def _containers(inner: _Strategy) -> _Strategy:
    return st.lists(inner) | st.dictionaries(st.text(), inner)


def _nested(scalars: _Strategy) -> _Strategy:
    return st.recursive(scalars, _containers, max_leaves=12)


_JSON = _nested(_SCALARS)
_PLAIN = _nested(_SCALARS | st.binary())


class PeerFrameTest(unittest.TestCase):
    """Decoding a frame raises no exception other than ``PeerFrameError``."""

    def test_release_of_an_older_node(self) -> None:
        """Fields that an older node does not send have their defaults."""
        fields = {'organisation_id': 'acme', 'level': 2.5, 'was_owner': True}
        frame = encode('n1', BucketRelease('acme'))
        payload = msgspec.msgpack.encode(fields)
        start = len(frame) - len(msgspec.msgpack.encode(BucketRelease('acme')))
        message = decode(frame[:start] + payload).message
        self.assertEqual(message, BucketRelease('acme', 2.5, was_owner=True))

    def test_claim_of_an_older_node(self) -> None:
        """A claim without an incarnation has none."""
        frame = encode('n1', BucketClaim('acme'))
        payload = msgspec.msgpack.encode({'organisation_id': 'acme'})
        start = len(frame) - len(msgspec.msgpack.encode(BucketClaim('acme')))
        message = decode(frame[:start] + payload).message
        self.assertEqual(message, BucketClaim('acme'))

    @_FUZZ
    @given(st.binary(max_size=300))
    def test_arbitrary_bytes(self, frame: bytes) -> None:
        """Arbitrary bytes are rejected or decoded.

        :param frame: the bytes.
        """
        _decode_or_reject(frame)

    @_FUZZ
    @given(_CODES, st.binary(max_size=8), _PLAIN)
    def test_arbitrary_payload(
        self, code: int, sender: bytes, content: Any
    ) -> None:
        """Arbitrary msgpack after a valid prefix is rejected or decoded.

        :param code: a message code of the protocol.
        :param sender: bytes in place of a node's id.
        :param content: plain data in place of a message.
        """
        try:
            packed = msgspec.msgpack.encode(content)
        except OverflowError:
            return
        prefix = bytes((PROTOCOL_VERSION, code, len(sender)))
        _decode_or_reject(prefix + sender + packed)

    @_FUZZ
    @given(st.data())
    def test_corrupted_frame(self, data: st.DataObject) -> None:
        """A corrupted or truncated frame is rejected or decoded.

        :param data: draws the message and the corruption.
        """
        code = data.draw(_CODES)
        message = data.draw(st.from_type(TYPE_BY_CODE[code]))
        try:
            frame = bytearray(encode('node-a', message))
        except (OverflowError, UnicodeEncodeError):
            return
        position = data.draw(st.integers(0, len(frame) - 1))
        frame[position] = data.draw(st.integers(0, 255))
        _decode_or_reject(bytes(frame[: data.draw(st.integers(0, len(frame)))]))

    @_FUZZ
    @given(st.data())
    def test_round_trip(self, data: st.DataObject) -> None:
        """Decoding an encoded message returns an equal message.

        :param data: draws the message.
        """
        code = data.draw(_CODES)
        message = data.draw(st.from_type(TYPE_BY_CODE[code]))
        try:
            frame = encode('node-a', message)
        except (OverflowError, UnicodeEncodeError):
            return
        if len(frame) > 100_000:
            return
        envelope = decode(frame)
        self.assertEqual(envelope.sender, 'node-a')
        self.assertEqual(envelope.message, message)

    def test_malformed_frames(self) -> None:
        """Malformed frames are rejected with the expected error text."""
        good = b'\x85'
        cases = (
            (b'', 'bytes'),
            (b'\x01\x01', 'bytes'),
            (bytes(20), 'version 0'),
            (b'\xff\x01\x01a' + good, 'version 255'),
            (b'\x01\xfe\x01a' + good, 'code 254'),
            (b'\x01\x01\xffa' + good, ''),
            (b'\x01\x01\x01\xff' + good, ''),
            (b'\x01\x04\x01a' + b'\xdf\xff\xff\xff\xff', ''),
            (b'\x01\x04\x01a' + b'\x91' * 5000, ''),
            (bytes(MAX_FRAME_BYTES + 1), 'bytes'),
        )
        for frame, text in cases:
            with self.subTest(frame=frame[:10]):
                self.assertRaisesRegex(PeerFrameError, text, decode, frame)

    @_FUZZ
    @given(st.data())
    def test_unknown_field_is_ignored(self, data: st.DataObject) -> None:
        """An unknown field from a newer node is ignored.

        :param data: draws the message.
        """
        code = data.draw(_CODES)
        message = data.draw(st.from_type(TYPE_BY_CODE[code]))
        try:
            plain = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
        except (OverflowError, UnicodeEncodeError):
            return
        packed = msgspec.msgpack.encode({**plain, 'added_later': [1, 2]})
        prefix = bytes((PROTOCOL_VERSION, code, 1))
        envelope = decode(b'%sa%s' % (prefix, packed))
        self.assertEqual(envelope.message, message)

    @_FUZZ
    @given(st.data())
    def test_nan_is_rejected(self, data: st.DataObject) -> None:
        """A message with NaN in a float field is rejected.

        :param data: draws the message.
        """
        code = data.draw(st.sampled_from(_CODES_WITH_FLOATS))
        names = _float_names(TYPE_BY_CODE[code])
        message = data.draw(st.from_type(TYPE_BY_CODE[code]))
        name = data.draw(st.sampled_from(names))
        setattr(message, name, math.nan)
        try:
            frame = encode('node-a', message)
        except (OverflowError, UnicodeEncodeError):
            return
        self.assertRaises(PeerFrameError, decode, frame)

    def test_unknown_error_kind_may_have_run(self) -> None:
        """An unknown error kind does not claim that the call was not run."""
        kind = parse_error_kind('kind-of-a-newer-node')
        self.assertIs(
            RESPONSE_BY_KIND[kind].execution_status, ExecutionStatus.UNKNOWN
        )


class DocumentTest(unittest.TestCase):
    """Validation raises no exception other than ``CheckError``."""

    @_FUZZ
    @given(st.text(max_size=200))
    def test_arbitrary_text(self, text: str) -> None:
        """Arbitrary text is rejected or accepted.

        :param text: the text.
        """
        _check_or_reject(text)

    @_FUZZ
    @given(st.sampled_from(sorted(CODEC_BY_KIND)), _JSON)
    def test_arbitrary_value(self, kind: str, raw: Any) -> None:
        """Arbitrary plain data is rejected or converted.

        :param kind: the kind of the document.
        :param raw: the data.
        """
        _read_or_reject(kind, raw)

    @_FUZZ
    @given(st.data())
    def test_valid_keys_with_arbitrary_values(
        self, data: st.DataObject
    ) -> None:
        """Valid keys with arbitrary values are rejected or converted.

        :param data: draws the kind and the values.
        """
        kind = data.draw(st.sampled_from(sorted(CODEC_BY_KIND)))
        fields = msgspec.structs.fields(CODEC_BY_KIND[kind].document_type)
        raw = {field.encode_name: data.draw(_JSON) for field in fields}
        _read_or_reject(kind, raw)

    def test_invalid_documents(self) -> None:
        """Oversized numbers, deep nesting and lone surrogates are rejected."""
        allowance = '{"service":"a","routes":[{"name":"a","path":"/",%s}],%s}'
        method = '"methods":["GET"]'
        rate = '"organisations":{"a":{"rate":%s,"burst":1}}'
        cases = (
            '[' * 100_000,
            '{"a":' * 100_000,
            '"\ud800"',
            r'{"service": "\ud800"}',
            allowance.replace('"path":"/"', r'"path":"/\ud800"')
            % (method, rate % '1'),
            allowance.replace('"service":"a"', r'"service":"a\n"')
            % (method, rate % '1'),
            allowance % (method, rate % 'Infinity'),
            allowance % (method, rate % 'NaN'),
            allowance % (method, rate % '1e999'),
            allowance % (method, rate % ('9' * 400)),
            allowance % (f'{method},"importance":{"9" * 5000}', rate % '1'),
            allowance % (method, '"organisations":{"Not A Name":{}}'),
            allowance % ('"methods":["GET"],"deadline_ms":1e9', rate % '1'),
        )
        for text in cases:
            with self.subTest(text[:60]), self.assertRaises(CheckError):
                check(parse_text(text), ServiceDocument)

    def test_error_path_of_invalid_key(self) -> None:
        """The error for an invalid organisation name contains its path."""
        raw = {
            'service': 'a',
            'routes': [{'name': 'a', 'path': '/', 'methods': ['GET']}],
            'organisations': {'Not A Name': {'rate': 1, 'burst': 1}},
        }
        with self.assertRaisesRegex(CheckError, 'organisations.Not A Name'):
            check(raw, ServiceDocument)

    @_FUZZ
    @given(
        st.integers(0, 100),
        st.integers(1, 600_000),
        st.floats(0.001, 1e6),
        st.sampled_from(('/', '/a/*', '/**')),
    )
    def test_round_trip(
        self,
        importance: int,
        deadline_ms: int,
        rate: float,
        path: str,
    ) -> None:
        """Validating an encoded document returns an equal document.

        :param importance: importance of the route.
        :param deadline_ms: deadline of the route.
        :param rate: rate of the organisation.
        :param path: path pattern of the route.
        """
        raw = {
            'service': 'dues',
            'routes': [
                {
                    'name': 'read',
                    'path': path,
                    'methods': ['GET'],
                    'importance': importance,
                    'deadline_ms': deadline_ms,
                },
            ],
            'organisations': {'waco': {'rate': rate, 'burst': 1}},
        }
        document = check(raw, ServiceDocument)
        text = msgspec.json.encode(document).decode()
        self.assertEqual(check(parse_text(text), ServiceDocument), document)


def _decode_or_reject(frame: bytes) -> None:
    try:
        decode(frame)
    except PeerFrameError:
        return


def _check_or_reject(text: str) -> None:
    try:
        check(parse_text(text), ServiceDocument)
    except CheckError:
        return


def _read_or_reject(kind: str, raw: Any) -> None:
    try:
        decode_entity(kind, 'name', 1, raw)
    except CheckError:
        return
