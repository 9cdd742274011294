"""Admin route through which the operators' client pushes accepted objects."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any

import msgspec
from blacksheep import Application, Content, Request, Response

from figlane.adapters.http_server import as_handler
from figlane.entities.inbox import ObjectChanged
from figlane.wire.checking import CheckError, check, parse_text
from figlane.wire.documents import decode_entity

_KINDS = frozenset(('service', 'organisation', 'domain'))
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404


class AcceptedObject(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Object and the version under which the platform stored it."""

    version: Annotated[int, msgspec.Meta(ge=1)]
    value: Any


class HttpObjects:
    """Delivers pushed objects to the inbox; the systems then notify peers."""

    __slots__ = ('_deliver',)

    def __init__(
        self,
        application: Application,
        deliver: Callable[[Any], None],
    ) -> None:
        """Add the route.

        :param application: the admin application.
        :param deliver: receives an inbox row for each object.
        """
        self._deliver = deliver
        application.router.add_put(
            '/objects/{kind}/{name}',
            as_handler(self.put),
        )

    async def put(self, request: Request, kind: str, name: str) -> Response:
        """Handle one object; a version older than the known one has no effect.

        :param request: JSON body of type ``AcceptedObject``.
        :param kind: the object's kind.
        :param name: the object's name.
        :return: 200, 404 for an unknown kind, or 400 with all validation
            errors.
        """
        if kind not in _KINDS:
            return _json_response(
                _NOT_FOUND, {'problems': [f'unknown object kind {kind}']}
            )
        raw = await request.read() or b''
        try:
            row = _to_row(kind, name, raw)
        except CheckError as error:
            problems = [str(problem) for problem in error.problems]
            return _json_response(_BAD_REQUEST, {'problems': problems})
        self._deliver(row)
        return _json_response(_OK, {})


def _to_row(kind: str, name: str, raw: bytes) -> ObjectChanged:
    accepted = check(parse_text(raw.decode('utf-8', 'replace')), AcceptedObject)
    entity = None
    if accepted.value is not None:
        entity = decode_entity(kind, name, accepted.version, accepted.value)
    return ObjectChanged(kind, name, accepted.version, entity, is_news=True)


def _json_response(status: int, content: Any) -> Response:
    body = msgspec.json.encode(content)
    return Response(status, None, Content(b'application/json', body))
