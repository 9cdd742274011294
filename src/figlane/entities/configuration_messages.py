"""Messages by which nodes exchange configuration objects."""

from __future__ import annotations

from dataclasses import dataclass, field

from figlane.entities.ingress import ConfigurationReplaced
from figlane.entities.service import FailureDomain, Organisation, Service


@dataclass(slots=True)
class ObjectPush:
    """Carries one version of an object.

    ``kind`` names the field that holds the object: ``service``,
    ``organisation`` or ``domain``. All of them are None if it was deleted.
    """

    kind: str
    name: str
    version: int
    service: Service | None = None
    organisation: Organisation | None = None
    domain: FailureDomain | None = None


@dataclass(slots=True)
class ConfigurationPush:
    """Carries the whole configuration in force at the sender."""

    configuration: ConfigurationReplaced


@dataclass(slots=True)
class ConfigurationNotice:
    """Tells that the sender has a version of the whole configuration."""

    version: int


@dataclass(slots=True)
class ConfigurationQuery:
    """Starts an anti-entropy exchange of configuration objects.

    ``asked_at`` is the send time by the sender's clock, which the answer
    echoes. ``checksum`` covers the objects in force at the sender.
    """

    asked_at: float
    checksum: int


@dataclass(slots=True)
class ConfigurationStatus:
    """Answers a ``ConfigurationQuery``.

    ``asked_at`` echoes the question's. ``age`` is the time in seconds since the
    sender's configuration was last known to be current. ``is_same`` is True if
    the checksums are equal; only if they differ, ``version_by_name`` (keys
    ``kind/name``) is filled. ``is_store_unreachable`` is set if the store has
    not answered the sender's latest requests.
    """

    asked_at: float
    age: float
    is_same: bool
    version_by_name: dict[str, int] = field(default_factory=dict)
    is_store_unreachable: bool = False


@dataclass(slots=True)
class StoreSilence:
    """Asks a peer to follow the store; the sender gets no answers from it."""


@dataclass(slots=True)
class ObjectRequest:
    """Requests objects from a peer by ``kind/name``."""

    names: list[str]
