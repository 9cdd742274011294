"""Advice for operators on each error kind, printed by ``explain``."""

from __future__ import annotations

from types import MappingProxyType

from figlane.errors import ErrorKind

ADVICE_BY_KIND = MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: (
            'Correct the request; the detail field says what is invalid.'
        ),
        ErrorKind.UNAUTHENTICATED: (
            'List the keys with "figlane key list" and grant a new one if the '
            'key was withdrawn. A child call must carry the figlane-context '
            'header of its parent call.'
        ),
        ErrorKind.FORBIDDEN: (
            "Add the organisation to the service's document and apply it."
        ),
        ErrorKind.UNKNOWN_SERVICE: (
            'Check with "figlane status" that the service exists; apply its '
            'document if it is missing.'
        ),
        ErrorKind.UNKNOWN_ROUTE: (
            'Compare the method and path of the request with the routes in '
            "the service's document."
        ),
        ErrorKind.BODY_TOO_LARGE: (
            'Send a smaller body, or raise body_limit in the '
            "service's document."
        ),
        ErrorKind.RATE_EXCEEDED: (
            'Retry after the time given in Retry-After. If the organisation '
            "needs a higher limit, raise rate or burst in the service's "
            'document.'
        ),
        ErrorKind.QUOTA_UNAVAILABLE: (
            'Retry later. If the error persists, check "figlane status" for '
            'nodes that cannot reach the platform.'
        ),
        ErrorKind.ATTEMPTS_EXHAUSTED: (
            'Check the downstream services: retries of calls that they '
            "refused have used up the route's attempts. Raise attempts only "
            'if the fan-out of the route requires it.'
        ),
        ErrorKind.UNREACHABLE: (
            'Check "figlane status" for the node named in the detail field, '
            'and the network between it and the entry node.'
        ),
        ErrorKind.DEPTH_EXCEEDED: (
            'Check for services that call each other in a cycle.'
        ),
        ErrorKind.NO_BACKEND_SERVER: (
            'Check the backend servers of the service with "figlane status": '
            'either none is announced, or every one is leaving, is taken out '
            'of service or has already been tried for this call.'
        ),
        ErrorKind.OVERLOADED: (
            'Retry with exponential backoff. If the overload persists, add '
            'backend servers; routes of lower importance are shed first.'
        ),
        ErrorKind.DRAINING: (
            'No action is needed if the node is being stopped on purpose; '
            'the call was offered to other nodes first.'
        ),
        ErrorKind.STALE_CONFIGURATION: (
            'Check that the node can reach the platform and its peers; it '
            'accepts calls with an API key again once its configuration is '
            'up to date.'
        ),
        ErrorKind.DEADLINE_EXCEEDED: (
            'Check the queue length of the service with "figlane status"; '
            'raise deadline_ms only if the work itself takes longer.'
        ),
        ErrorKind.CANCELLED: (
            'No action is needed: the caller closed its connection before '
            'the answer was complete.'
        ),
        ErrorKind.STILL_RUNNING: (
            'Wait, then retry with the same Idempotency-Key to get the answer.'
        ),
        ErrorKind.OUTCOME_UNKNOWN: (
            'Check whether the call was executed before retrying it; an '
            'idempotent call may be retried without this check.'
        ),
        ErrorKind.INTERNAL: (
            "Check the node's log at the time of the call and report the bug."
        ),
    }
)
