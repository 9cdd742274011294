"""Names of the HTTP headers that the platform defines."""

from __future__ import annotations

from figlane.entities.http import Headers

API_KEY = b'api-key'
REQUEST_ID = b'figlane-request-id'
# Time that is left for the request in milliseconds, from a caller to a node
# and from a node to a backend server.
DEADLINE_MS = b'figlane-deadline-ms'
# The organisation that owns the API key.
ORGANISATION = b'figlane-tenant'
# The service on the VM that the request came from.
CALLER_SERVICE = b'figlane-caller-service'
# The id of the backend server that is to run the request; a server with
# another id answers with status 421.
TARGET_ID = b'figlane-target-instance'
# The id of the backend server, in its answer to a health check.
INSTANCE_ID = b'figlane-instance-id'
# How long the backend server's cold start still lasts, in milliseconds, in its
# answer to a health check; missing if it is not cold.
COLD_MS = b'figlane-cold-ms'
# Requests a second that the backend server takes from all nodes together, as
# a decimal number, in its answers for as long as it holds.
SERVER_LIMIT = b'server-limit'
# 1 in all answers of a backend server that is about to stop.
SERVER_LEAVING = b'server-leaving'
# Set by a backend server that did not execute the request.
NOT_EXECUTED = b'figlane-not-executed'
RETRY_AFTER = b'retry-after'

# Headers of callers that are not forwarded: the node sets them itself or, as
# with the API key, hides them from backend servers.
NOT_FORWARDED = frozenset(
    (API_KEY, DEADLINE_MS, ORGANISATION, CALLER_SERVICE, TARGET_ID),
)


def find_value(headers: Headers, name: bytes) -> bytes:
    """Return the value of the first header with a name.

    :param headers: headers with names in lower case.
    :param name: the name in lower case.
    :return: the value, empty if there is no such header.
    """
    for header in headers:
        if header[0] == name:
            return header[1]
    return b''
