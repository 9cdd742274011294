"""HTTP handlers for backend server announcements and readiness checks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import structlog

from figlane.adapters.http_connection import ServerConnection
from figlane.adapters.request_reader import HttpRequest
from figlane.entities.inbox import BackendAnnounced
from figlane.platform.quantities import parse_duration

_log = structlog.get_logger()

_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
# Connections to a backend server in addition to one per slot, because
# connections that are still closing count towards the limit of the pool.
# Backend servers accept about five connections per slot.
_SPARE_CONNECTIONS = 16
_INSTANCES_PREFIX = '/instances/'
_READINESS_PATH = '/readiness'
_READY_STATE = 'ready'
_DRAINING_STATE = 'draining'
_JSON_HEADERS = ((b'content-type', b'application/json'),)


class Properties(msgspec.Struct, frozen=True):
    """Properties that are constant while a backend server process runs."""

    service: str
    zone: str
    slots: int
    version: str = ''


class Status(msgspec.Struct, frozen=True):
    """State of a backend server, which may differ in each announcement.

    ``sequence`` increases with each announcement. ``cold_remaining`` is the
    time left of its cold start.
    """

    state: str
    sequence: int
    cold_remaining: str = '0ms'


class Announcement(msgspec.Struct, frozen=True):
    """Body of an announcement.

    ``born`` is when the backend server started, in Unix milliseconds.
    """

    address: str
    status: Status
    properties: Properties = msgspec.field(name='info')
    born: int = 0


class AnnouncementHandler:
    """Handles announcements and departures sent to the control address."""

    __slots__ = ('_deliver', '_last_announcement_by_id', '_period')

    def __init__(self, deliver: Callable[[Any], None], period: float) -> None:
        """Create a handler.

        :param deliver: receives an inbox row for each announcement.
        :param period: seconds between two announcements.
        """
        self._deliver = deliver
        self._period = period
        self._last_announcement_by_id: dict[str, BackendAnnounced] = {}

    def on_request(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        """Handle an announcement (PUT) or a departure (DELETE).

        :param connection: connection of the backend server.
        :param request: the request.
        """
        path = request.target.partition('?')[0]
        instance_id = path.removeprefix(_INSTANCES_PREFIX)
        if not path.startswith(_INSTANCES_PREFIX) or not instance_id:
            connection.respond(_NOT_FOUND, ())
            return
        if request.method == 'DELETE':
            self._deregister(instance_id)
            connection.respond(_OK, _JSON_HEADERS, b'{}')
            return
        announced = _decode_announcement(instance_id, request.body)
        if announced is None:
            connection.respond(_BAD_REQUEST, _JSON_HEADERS, b'{}')
            return
        announced.period = self._period
        self._last_announcement_by_id = {instance_id: announced}
        self._deliver(announced)
        connection.respond(_OK, _JSON_HEADERS, b'{}')

    def on_disconnect(self, connection: ServerConnection) -> None:
        """Ignore a disconnect: announcements are answered immediately.

        :param connection: connection of the backend server.
        """

    def _deregister(self, instance_id: str) -> None:
        last = self._last_announcement_by_id.get(instance_id)
        if last is None:
            _log.info('unknown_backend_server_leaves', instance=instance_id)
            return
        last.is_leaving = True
        self._deliver(last)


class ReadinessHandler:
    """Answers the platform's readiness checks of this node."""

    __slots__ = ('_is_ready',)

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Create a handler.

        :param is_ready: returns True while the node accepts calls.
        """
        self._is_ready = is_ready

    def on_request(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        """Answer a readiness check: 200 when ready, 503 otherwise.

        :param connection: connection of the platform's checker.
        :param request: the request.
        """
        if request.target.partition('?')[0] != _READINESS_PATH:
            connection.respond(_NOT_FOUND, ())
            return
        connection.respond(_OK if self._is_ready() else _UNAVAILABLE, ())

    def on_disconnect(self, connection: ServerConnection) -> None:
        """Ignore a disconnect: checks are answered immediately.

        :param connection: connection of the platform's checker.
        """


def _decode_announcement(
    instance_id: str, body: bytes
) -> BackendAnnounced | None:
    try:
        announcement = msgspec.json.decode(body, type=Announcement)
        cold_seconds = parse_duration(announcement.status.cold_remaining)
    except (msgspec.DecodeError, UnicodeError, ValueError) as error:
        _log.warning(
            'announcement_refused',
            instance=instance_id,
            reason=str(error),
        )
        return None
    state = announcement.status.state
    slots = announcement.properties.slots
    if state not in {_READY_STATE, _DRAINING_STATE} or slots < 1:
        _log.warning(
            'announcement_refused',
            instance=instance_id,
            reason=f'unknown state or no slots: {state}, {slots} slots',
        )
        return None
    return BackendAnnounced(
        instance_id=instance_id,
        service_id=announcement.properties.service,
        address=announcement.address,
        slots=slots,
        # Only the node on the same VM connects to the backend server, so this
        # pool needs just a few connections more than the server has slots.
        connections=slots + _SPARE_CONNECTIONS,
        draining=state == _DRAINING_STATE,
        born=announcement.born,
        sequence=announcement.status.sequence,
        cold_seconds=max(0, cold_seconds),
    )
