"""Decodes the operators' configuration object."""

from __future__ import annotations

import hashlib
from typing import Any

from figlane.entities.ingress import (
    CallerLimits,
    ConfigurationReplaced,
    Destination,
    IngressRoute,
)
from figlane.entities.service import Allowance, Organisation, Route, Service
from figlane.entities.table import NEVER
from figlane.platform.quantities import parse_duration, parse_table_rows

# The platform's ``priority`` is 0 for the most important requests, while
# figlane's importance is 100 for them.
_MAX_IMPORTANCE = 100
# Route kinds whose requests may be executed more than once.
_IDEMPOTENT_KINDS = frozenset(('safe', 'download'))
_DEFAULT_WEIGHT = 1.0
# Raised by the decoders below for content of an unexpected shape.
_DECODE_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)
_NAME = 'name'


class ConfigurationError(ValueError):
    """A configuration is malformed."""


def decode_configuration(version: int, spec: Any) -> ConfigurationReplaced:
    """Decode a complete configuration; raises ``ConfigurationError``.

    :param version: the version of the stored object.
    :param spec: the object's content.
    :return: the configuration.
    """
    try:
        return ConfigurationReplaced(
            version=version,
            services=tuple(
                _service(version, entry)
                for entry in parse_table_rows(spec['services'])
            ),
            organisations=tuple(
                _organisation(version, entry)
                for entry in parse_table_rows(spec.get('tenants'))
            ),
            routes=tuple(
                _route(entry) for entry in parse_table_rows(spec['routes'])
            ),
            limits=_limits(spec.get('limits') or {}),
        )
    except _DECODE_ERRORS as error:
        raise ConfigurationError(f'{type(error).__name__}: {error}') from None


def importance_from_priority(priority: int) -> int:
    """Convert the platform's priority to an importance.

    :param priority: the platform's ``priority``; 0 is the highest.
    :return: the importance, from 0 to 100.
    """
    return max(0, min(_MAX_IMPORTANCE, _MAX_IMPORTANCE - int(priority)))


def hash_key(key: bytes) -> str:
    """Hash an API key with SHA-256.

    :param key: the key as sent by callers.
    :return: the digest in hexadecimal, or an empty string for an empty key.
    """
    return hashlib.sha256(key).hexdigest() if key else ''


def _service(version: int, entry: dict[str, Any]) -> Service:
    # ``cold_per_s`` is the rate limit of one backend server in cold start.
    return Service(
        id=entry[_NAME],
        version=version,
        cold_rate=float(entry.get('cold_per_s') or NEVER),
        health_path=entry.get('health_path') or '',
    )


def _organisation(version: int, entry: dict[str, Any]) -> Organisation:
    rate = float(entry.get('rate_per_s') or 0)
    allowance = None
    if rate:
        # A token bucket smaller than 1 would never admit a call; a burst of 0
        # means that none is set.
        burst = max(1, float(entry.get('burst') or 0))
        allowance = Allowance(rate, burst, _DEFAULT_WEIGHT)
    priority = entry.get('priority')
    return Organisation(
        id=entry[_NAME],
        version=version,
        key_hashes=frozenset(
            hash_key(key.encode()) for key in entry.get('api_keys') or ()
        ),
        allowance=allowance,
        importance=None
        if priority is None
        else importance_from_priority(priority),
    )


def _route(entry: dict[str, Any]) -> IngressRoute:
    split = entry.get('traffic_split')
    if split:
        destinations = tuple(
            Destination(part['service'], float(part['weight']))
            for part in split
        )
    else:
        destinations = (Destination(entry['service'], 1),)
    return IngressRoute(
        id=entry[_NAME],
        host=entry['host'].lower(),
        prefix=entry['path_prefix'],
        destinations=destinations,
        route=Route(
            name=entry[_NAME],
            methods=(),
            segments=(),
            importance=importance_from_priority(entry.get('priority', 0)),
            idempotent=entry['kind'] in _IDEMPOTENT_KINDS,
            is_open=bool(entry.get('allow_anonymous')),
            deadline=parse_duration(entry['timeout']),
            body_limit=0,
            # ``max_attempts`` includes the first attempt.
            attempts=int(entry.get('max_attempts') or 1),
            target_latency=_parse_optional_duration(
                entry.get('target_latency')
            ),
        ),
    )


def _parse_optional_duration(text: str | None) -> float:
    return parse_duration(text) if text else NEVER


def _limits(entry: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    head_seconds = entry.get('header_timeout')
    idle_seconds = entry.get('idle_timeout')
    return CallerLimits(
        head_bytes=int(entry.get('max_header_bytes') or defaults.head_bytes),
        body_bytes=int(entry.get('max_body_bytes') or defaults.body_bytes),
        head_seconds=parse_duration(head_seconds)
        if head_seconds
        else defaults.head_seconds,
        idle_seconds=parse_duration(idle_seconds)
        if idle_seconds
        else defaults.idle_seconds,
    )
