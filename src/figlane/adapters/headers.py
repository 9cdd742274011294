"""HTTP header names that figlane reads and writes."""

from __future__ import annotations

# Request headers from callers.
AUTHORIZATION_HEADER = b'authorization'
IDEMPOTENCY_HEADER = b'idempotency-key'
TRACE_HEADER = b'traceparent'

# Prefix of headers reserved for figlane; removed from callers' requests and
# from responses of backend servers.
RESERVED_PREFIX = b'figlane-'

# Response headers to callers.
CALL_HEADER = b'figlane-call'
OUTCOME_HEADER = b'figlane-outcome'

# Request headers to backend servers. A backend server copies the context header
# into the calls that it makes itself.
CONTEXT_HEADER = b'figlane-context'
DEADLINE_HEADER = b'figlane-deadline-ms'
ORGANISATION_HEADER = b'figlane-organisation'
