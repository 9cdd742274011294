"""HTTP handlers for backend server announcements and readiness checks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import structlog

from figlane.adapters.http_front import FrontConnection
from figlane.adapters.request_reader import FrontRequest
from figlane.entities.inbox import BackendAnnounced
from figlane.platform.quantities import seconds

_log = structlog.get_logger()

_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
# Connections to a backend server beyond its slots, for connections that are
# still closing. Backend servers accept about five connections per slot.
_SPARE_CONNECTIONS = 16
_INSTANCES = '/instances/'
_READINESS = '/readiness'
_READY = 'ready'
_DRAINING = 'draining'
_JSON = ((b'content-type', b'application/json'),)


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


class Announcements:
    """Handles announcements and departures sent to the control address."""

    __slots__ = ('_deliver', '_last_by_id', '_period')

    def __init__(self, deliver: Callable[[Any], None], period: float) -> None:
        """Create a handler.

        :param deliver: receives an inbox row for each announcement.
        :param period: seconds between two announcements.
        """
        self._deliver = deliver
        self._period = period
        self._last_by_id: dict[str, BackendAnnounced] = {}

    def on_request(self, caller: FrontConnection, row: FrontRequest) -> None:
        """Handle an announcement (PUT) or a departure (DELETE).

        :param caller: the connection.
        :param row: the request.
        """
        path = row.target.partition('?')[0]
        instance_id = path.removeprefix(_INSTANCES)
        if not path.startswith(_INSTANCES) or not instance_id:
            caller.respond(_NOT_FOUND, ())
            return
        if row.method == 'DELETE':
            self._leave(instance_id)
            caller.respond(_OK, _JSON, b'{}')
            return
        announced = _decode(instance_id, row.body)
        if announced is None:
            caller.respond(_BAD_REQUEST, _JSON, b'{}')
            return
        announced.period = self._period
        self._last_by_id = {instance_id: announced}
        self._deliver(announced)
        caller.respond(_OK, _JSON, b'{}')

    def on_left(self, caller: FrontConnection) -> None:
        """Ignore a disconnect: announcements are answered immediately.

        :param caller: the connection.
        """

    def _leave(self, instance_id: str) -> None:
        last = self._last_by_id.get(instance_id)
        if last is None:
            _log.info('unknown_backend_server_leaves', instance=instance_id)
            return
        last.is_leaving = True
        self._deliver(last)


class Readiness:
    """Answers the platform's readiness checks of this node."""

    __slots__ = ('_is_ready',)

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Create a handler.

        :param is_ready: returns True while the node accepts calls.
        """
        self._is_ready = is_ready

    def on_request(self, caller: FrontConnection, row: FrontRequest) -> None:
        """Answer a readiness check: 200 when ready, 503 otherwise.

        :param caller: the connection.
        :param row: the request.
        """
        if row.target.partition('?')[0] != _READINESS:
            caller.respond(_NOT_FOUND, ())
            return
        caller.respond(_OK if self._is_ready() else _UNAVAILABLE, ())

    def on_left(self, caller: FrontConnection) -> None:
        """Ignore a disconnect: checks are answered immediately.

        :param caller: the connection.
        """


def _decode(instance_id: str, body: bytes) -> BackendAnnounced | None:
    try:
        found = msgspec.json.decode(body, type=Announcement)
        cold_seconds = seconds(found.status.cold_remaining)
    except (msgspec.DecodeError, UnicodeError, ValueError) as error:
        _log.warning(
            'announcement_refused',
            instance=instance_id,
            reason=str(error),
        )
        return None
    state = found.status.state
    slots = found.properties.slots
    if state not in {_READY, _DRAINING} or slots < 1:
        _log.warning(
            'announcement_refused',
            instance=instance_id,
            reason=f'unknown state or no slots: state {state}, {slots} slots',
        )
        return None
    return BackendAnnounced(
        instance_id=instance_id,
        service_id=found.properties.service,
        address=found.address,
        slots=slots,
        # Only the node on the same VM connects to the backend server, so this
        # pool needs just a few connections more than the server has slots.
        connections=slots + _SPARE_CONNECTIONS,
        draining=state == _DRAINING,
        born=found.born,
        sequence=found.status.sequence,
        cold_seconds=max(0, cold_seconds),
    )
