"""Error kinds of refusals, and the HTTP response to the caller for each."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final


@enum.unique
class ErrorKind(enum.Enum):
    """Every reason for which figlane refuses a call."""

    BAD_REQUEST = 'bad-request'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    UNKNOWN_SERVICE = 'unknown-service'
    UNKNOWN_ROUTE = 'unknown-route'
    BODY_TOO_LARGE = 'body-too-large'
    RATE_EXCEEDED = 'rate-exceeded'
    QUOTA_UNAVAILABLE = 'quota-unavailable'
    ATTEMPTS_EXHAUSTED = 'attempts-exhausted'
    UNREACHABLE = 'unreachable'
    DEPTH_EXCEEDED = 'depth-exceeded'
    NO_BACKEND_SERVER = 'no-backend-server'
    OVERLOADED = 'overloaded'
    DRAINING = 'draining'
    STALE_CONFIGURATION = 'stale-configuration'
    DEADLINE_EXCEEDED = 'deadline-exceeded'
    CANCELLED = 'cancelled'
    STILL_RUNNING = 'still-running'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    INTERNAL = 'internal'


@enum.unique
class ExecutionStatus(enum.Enum):
    """Whether a call that ended with a refusal may have been executed.

    Only after ``NOT_RUN`` is a retry of a non-idempotent call safe.
    """

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@dataclass(slots=True, frozen=True)
class ErrorResponse:
    """HTTP response and retry rule of one error kind.

    ``status`` is the HTTP status code. ``retry_elsewhere`` is set if an entry
    node may retry the call on another exit node.
    """

    status: int
    execution_status: ExecutionStatus
    title: str
    retry_elsewhere: bool = False


@dataclass(slots=True, frozen=True)
class Refusal:
    """Outcome of a call that ends with an error response of figlane's own.

    ``retry_after`` is in seconds. ``has_reached`` is set if a backend server
    received the request and rejected it.
    """

    kind: ErrorKind
    detail: str = ''
    retry_after: float | None = None
    has_reached: bool = False

    @property
    def answer(self) -> ErrorResponse:
        """Look up the response for the kind of this refusal.

        :return: the entry of ``RESPONSE_BY_KIND``.
        """
        return RESPONSE_BY_KIND[self.kind]


RESPONSE_BY_KIND: Final = MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: ErrorResponse(
            400,
            ExecutionStatus.NOT_RUN,
            'The request is malformed',
        ),
        ErrorKind.UNAUTHENTICATED: ErrorResponse(
            401,
            ExecutionStatus.NOT_RUN,
            'The API key is missing, unknown or revoked',
        ),
        ErrorKind.FORBIDDEN: ErrorResponse(
            403,
            ExecutionStatus.NOT_RUN,
            'The organisation may not use this route',
        ),
        ErrorKind.UNKNOWN_SERVICE: ErrorResponse(
            404,
            ExecutionStatus.NOT_RUN,
            'No service has this name',
        ),
        ErrorKind.UNKNOWN_ROUTE: ErrorResponse(
            404,
            ExecutionStatus.NOT_RUN,
            'No route of the service matches',
        ),
        ErrorKind.BODY_TOO_LARGE: ErrorResponse(
            413,
            ExecutionStatus.NOT_RUN,
            'The request body is larger than the route allows',
        ),
        ErrorKind.RATE_EXCEEDED: ErrorResponse(
            429,
            ExecutionStatus.NOT_RUN,
            'The organisation has used up its rate and burst',
        ),
        ErrorKind.QUOTA_UNAVAILABLE: ErrorResponse(
            503,
            ExecutionStatus.NOT_RUN,
            'No quota could be obtained in time',
        ),
        ErrorKind.ATTEMPTS_EXHAUSTED: ErrorResponse(
            503,
            ExecutionStatus.NOT_RUN,
            'The root call has no retries left',
        ),
        ErrorKind.UNREACHABLE: ErrorResponse(
            503,
            ExecutionStatus.NOT_RUN,
            'The selected node did not receive the call and will not run it',
            retry_elsewhere=True,
        ),
        ErrorKind.DEPTH_EXCEEDED: ErrorResponse(
            508,
            ExecutionStatus.NOT_RUN,
            'The chain of nested calls is too deep',
        ),
        ErrorKind.NO_BACKEND_SERVER: ErrorResponse(
            503,
            ExecutionStatus.NOT_RUN,
            'No backend server of the service is available for the call',
            retry_elsewhere=True,
        ),
        ErrorKind.OVERLOADED: ErrorResponse(
            503,
            ExecutionStatus.NOT_RUN,
            'The backend server is overloaded',
            retry_elsewhere=True,
        ),
        ErrorKind.DRAINING: ErrorResponse(
            503,
            ExecutionStatus.NOT_RUN,
            'The node accepts no new calls',
            retry_elsewhere=True,
        ),
        ErrorKind.STALE_CONFIGURATION: ErrorResponse(
            503,
            ExecutionStatus.NOT_RUN,
            'The node cannot verify that its configuration is current',
        ),
        ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(
            504,
            ExecutionStatus.NOT_RUN,
            'The deadline passed before the call ran',
        ),
        ErrorKind.CANCELLED: ErrorResponse(
            499,
            ExecutionStatus.UNKNOWN,
            'The caller disconnected before the response',
        ),
        ErrorKind.STILL_RUNNING: ErrorResponse(
            409,
            ExecutionStatus.UNKNOWN,
            'The same call is still running',
        ),
        ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
            504,
            ExecutionStatus.UNKNOWN,
            'The call may have run; its response was not received',
        ),
        ErrorKind.INTERNAL: ErrorResponse(
            500,
            ExecutionStatus.UNKNOWN,
            'The node failed while handling the call',
        ),
    }
)


def parse_error_kind(name: str) -> ErrorKind:
    """Convert the name of an error kind received from another node.

    :param name: the name; a newer version of figlane may send a new one.
    :return: the kind, or ``INTERNAL`` if the name is unknown, because that
        kind does not claim that the call was not executed.
    """
    try:
        return ErrorKind(name)
    except ValueError:
        return ErrorKind.INTERNAL
