"""Admin HTTP interface for the local backend server and for operators."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Annotated, Any

import msgspec
from blacksheep import Application, Content, Request, Response
from blacksheep.server.routing import Router

from figlane.adapters.http_server import as_handler
from figlane.adapters.node_report import describe_load, describe_refusal
from figlane.adapters.request_limits import read_body
from figlane.clock import current_time
from figlane.entities.inbox import BackendAnnounced
from figlane.entities.world import World
from figlane.errors import Refusal
from figlane.settings import Address
from figlane.systems.configuration.versions import get_feed
from figlane.wire.checking import CheckError, check, parse_text
from figlane.wire.documents import Name

MAX_ANNOUNCEMENT_BYTES = 16_384
MAX_SLOTS = 100_000
MAX_CONNECTIONS = 1_000_000

_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Registration of a backend server with its node."""

    instance_id: Name
    service: Name
    address: Address
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=MAX_CONNECTIONS)]
    draining: bool = False


class HttpAdmin:
    """Accepts announcements of backend servers and serves the node's state."""

    __slots__ = ('_deliver', '_world', 'application')

    def __init__(self, world: World, deliver: Callable[[Any], None]) -> None:
        """Create the application.

        :param world: the entity tables, read to report the state.
        :param deliver: receives an inbox row for each announcement.
        """
        self._world = world
        self._deliver = deliver
        self.application = Application(router=Router())
        self.application.router.add_put('/backend', as_handler(self.announce))
        self.application.router.add_get('/state', as_handler(self.state))
        self.application.router.add_get(
            '/refusals/{call_id}',
            as_handler(self.refusal),
        )

    async def announce(self, request: Request) -> Response:
        """Handle a backend server's announcement.

        :param request: JSON body of type ``Announcement``.
        :return: 200, or 400 with all validation errors.
        """
        raw = await read_body(request, MAX_ANNOUNCEMENT_BYTES)
        if isinstance(raw, Refusal):
            return _json_response(raw.answer.status, {'problems': [raw.detail]})
        try:
            announcement = check(
                parse_text(raw.decode('utf-8', 'replace')),
                Announcement,
            )
        except CheckError as error:
            problems = [str(problem) for problem in error.problems]
            return _json_response(_BAD_REQUEST, {'problems': problems})
        self._deliver(
            BackendAnnounced(
                announcement.instance_id,
                announcement.service,
                announcement.address,
                announcement.slots,
                announcement.connections,
                announcement.draining,
            ),
        )
        return _json_response(_OK, {'node': self._world.identity.node_id})

    async def state(self) -> Response:
        """Serve the node's state.

        :return: the state as JSON.
        """
        return _json_response(_OK, describe_node(self._world))

    async def refusal(self, call_id: str) -> Response:
        """Serve the reason why a call was refused.

        :param call_id: id of the call.
        :return: the refusal as JSON, or 404 if the node has no record of it.
        """
        refusal_report = describe_refusal(self._world, call_id)
        if refusal_report is None:
            return _json_response(_NOT_FOUND, {'call': call_id})
        return _json_response(_OK, refusal_report)


def describe_node(world: World) -> dict[str, Any]:
    """Build the state report of a node as JSON-compatible data.

    :param world: the entity tables.
    :return: identity, members, object versions, backend servers, load and
        counters.
    """
    return {
        'node': world.identity.node_id,
        'incarnation': world.identity.incarnation,
        'failure_domain': world.identity.failure_domain,
        'members': {member.id: member.phase.value for member in world.members},
        'versions': {
            f'{kind}/{row.id}': row.version
            for kind, table in (
                ('service', world.services),
                ('organisation', world.organisations),
                ('domain', world.failure_domains),
            )
            for row in table
        },
        'backend_servers': {
            backend.id: backend.phase.value for backend in world.backend_servers
        },
        'load': describe_load(world),
        'configuration_age': _configuration_age(world),
        'limits': {
            backend.id: backend.limit for backend in world.backend_servers
        },
        'calls': len(world.calls),
        'executions': len(world.executions),
        'counters': dict(sorted(world.counters.items())),
    }


def _configuration_age(world: World) -> float | None:
    age = current_time() - get_feed(world).current_at
    return None if math.isinf(age) else age


def _json_response(status: int, content: Any) -> Response:
    body = msgspec.json.encode(content)
    return Response(status, None, Content(b'application/json', body))
