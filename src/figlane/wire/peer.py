"""Codec of the peer protocol: versioned frames with msgpack payloads."""

from __future__ import annotations

import math
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, get_type_hints

import msgspec

from figlane.entities import (
    configuration_messages,
    gossip,
    key_messages,
    link_messages,
    messages,
    quota_messages,
    stream_messages,
)

PROTOCOL_VERSION = 1

# Code 0 is reserved, so that a zero-filled frame is rejected.
TYPE_BY_CODE = MappingProxyType(
    {
        1: messages.CallRequest,
        2: messages.CallAnswer,
        3: messages.CallRefusal,
        4: messages.CallCancel,
        50: configuration_messages.ObjectPush,
        59: configuration_messages.ConfigurationPush,
        60: configuration_messages.ConfigurationNotice,
        51: configuration_messages.ConfigurationQuery,
        52: configuration_messages.ConfigurationStatus,
        53: configuration_messages.ObjectRequest,
        61: configuration_messages.StoreSilence,
        54: gossip.Probe,
        55: gossip.ProbeAck,
        56: gossip.ProbeRequest,
        57: gossip.MembersRequest,
        58: gossip.MembersResponse,
        5: link_messages.Ping,
        6: link_messages.Pong,
        7: link_messages.CallQuery,
        8: link_messages.CallStatus,
        9: key_messages.KeyClaim,
        10: key_messages.KeyClaimed,
        20: stream_messages.StreamHead,
        21: stream_messages.StreamChunk,
        22: stream_messages.StreamEnd,
        23: stream_messages.StreamCut,
        24: stream_messages.StreamCredit,
        30: quota_messages.TokenRequest,
        31: quota_messages.TokenGrant,
        32: quota_messages.RightRequest,
        33: quota_messages.RightReleased,
        # 34 was the exchange of call counts between all nodes.
        35: quota_messages.ChargeRequest,
        36: quota_messages.ChargeReply,
        37: quota_messages.BucketClaim,
        38: quota_messages.BucketRelease,
    }
)

_CODE_BY_TYPE = MappingProxyType(
    {message_type: code for code, message_type in TYPE_BY_CODE.items()}
)
_DECODER_BY_CODE = MappingProxyType(
    {
        code: msgspec.msgpack.Decoder(message_type)
        for code, message_type in TYPE_BY_CODE.items()
    }
)
# Fields to check for NaN: as a due time, NaN would break the order of the heap
# in a table, because it compares as neither less nor greater.
_FLOAT_FIELDS_BY_CODE = MappingProxyType(
    {
        code: tuple(
            field
            for field, hint in get_type_hints(message_type).items()
            if hint is float
        )
        for code, message_type in TYPE_BY_CODE.items()
    }
)
_encoder = msgspec.msgpack.Encoder()
_PREFIX_LENGTH = 3
# Bound on the encoded message of a frame. The largest messages are a whole
# configuration, of which the platform stores 1 MiB as JSON and which takes two
# to three times that here, and a list of all members, 234 bytes each.
MAX_FRAME_BYTES = 4_194_304


class PeerFrameError(ValueError):
    """The received bytes are not a valid frame of this protocol version."""


@dataclass(slots=True)
class Envelope:
    """A decoded message and the id of the node that sent it."""

    sender: str
    message: Any


def encode(sender: str, message: Any) -> bytes:
    """Encode a message as a frame.

    :param sender: id of the sending node, at most 255 bytes in UTF-8.
    :param message: an instance of a type in ``TYPE_BY_CODE``.
    :return: the frame.
    """
    sender_bytes = sender.encode()
    prefix = bytes(
        (PROTOCOL_VERSION, _CODE_BY_TYPE[type(message)], len(sender_bytes))
    )
    return prefix + sender_bytes + _encoder.encode(message)


def decode(frame: bytes) -> Envelope:
    """Decode a frame; raises ``PeerFrameError``.

    :param frame: the bytes received from a peer.
    :return: the message and its sender.
    """
    if not _PREFIX_LENGTH < len(frame) <= MAX_FRAME_BYTES:
        raise PeerFrameError(
            f'frame length of {len(frame)} bytes is out of range'
        )
    version, code, name_length = frame[:_PREFIX_LENGTH]
    if version != PROTOCOL_VERSION:
        raise PeerFrameError(f'unsupported protocol version {version}')
    decoder = _DECODER_BY_CODE.get(code)
    if decoder is None:
        raise PeerFrameError(f'unknown message code {code}')
    start = _PREFIX_LENGTH + name_length
    try:
        sender = frame[_PREFIX_LENGTH:start].decode()
        message = decoder.decode(memoryview(frame)[start:])
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise PeerFrameError(str(error)) from None
    _reject_nan(code, message)
    return Envelope(sender, message)


def _reject_nan(code: int, message: Any) -> None:
    for name in _FLOAT_FIELDS_BY_CODE[code]:
        if math.isnan(getattr(message, name)):
            raise PeerFrameError(f'field {name} is NaN')
