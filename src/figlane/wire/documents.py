"""Schemas of the documents in the platform's object store.

Converts validated documents to table rows, and rows to documents.
"""

from __future__ import annotations

from collections.abc import Callable
from types import MappingProxyType
from typing import Annotated, Any, Literal

import msgspec

from figlane.entities.inbox import MemberRecord
from figlane.entities.right import RightRecord
from figlane.entities.service import (
    Allowance,
    FailureDomain,
    Organisation,
    Route,
    Service,
)
from figlane.wire.checking import check
from figlane.wire.right_document import (
    RightDocument,
    decode_right,
    encode_right,
)

Name = Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9-]{0,62}\Z')]
KeyHash = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f]{64}\Z')]
Method = Literal['GET', 'POST', 'PUT', 'PATCH', 'DELETE']

MAX_DEADLINE_MS = 600_000
MAX_BODY_BYTES = 8_388_608
MAX_ATTEMPTS = 1024


class RouteDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A route of a service; the first route that matches is used.

    ``path`` is a pattern for the path below the service's name: a segment
    ``*`` matches exactly one segment, a final ``**`` matches the rest.
    ``importance`` ranges from 0 to 100; under overload, lower values are shed
    first. ``open`` permits calls without an API key. ``deadline_ms`` is in
    milliseconds and ``body_limit`` in bytes.
    ``attempts`` minus 1 is the number of retries that a root call and all of
    its nested calls share; the first attempt of a call is not a retry.
    """

    name: Name
    path: Annotated[str, msgspec.Meta(pattern='^/')]
    methods: Annotated[list[Method], msgspec.Meta(min_length=1)]
    importance: Annotated[int, msgspec.Meta(ge=0, le=100)] = 50
    idempotent: bool = False
    open: bool = False
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=MAX_DEADLINE_MS)] = 10_000
    body_limit: Annotated[int, msgspec.Meta(ge=0, le=MAX_BODY_BYTES)] = 65_536
    attempts: Annotated[int, msgspec.Meta(ge=1, le=MAX_ATTEMPTS)] = 4


class AllowanceDocument(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Rate limit and queue weight of one organisation at a service.

    ``rate`` is in root calls per second and ``burst`` in root calls, both
    summed over all VMs. ``weight`` is the relative share of a backlogged queue.
    """

    rate: Annotated[float, msgspec.Meta(gt=0)]
    burst: Annotated[float, msgspec.Meta(ge=1)]
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1.0


class ChangeDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Audit entry of one change to a document.

    Written by the operators' client. ``id`` is unique to the write, so that
    the client can read the document back to determine whether a write whose
    response was lost has been applied. ``replaces`` is the version before the
    change; ``at`` is an ISO 8601 time.
    """

    id: str
    by: str
    at: str
    replaces: int
    summary: str


class ServiceDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration of one service, owned by the service's team.

    ``changes`` is maintained by the operators' client, newest first.
    """

    service: Name
    routes: Annotated[list[RouteDocument], msgspec.Meta(min_length=1)]
    organisations: dict[Name, AllowanceDocument] = {}
    changes: list[ChangeDocument] = []


class OrganisationDocument(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """API keys of an organisation, stored only as SHA-256 hashes.

    ``granted_at`` maps each hash to the ISO 8601 time of its creation.
    ``changes`` is maintained by the operators' client, newest first.
    """

    organisation: Name
    key_hashes: list[KeyHash] = []
    granted_at: dict[KeyHash, str] = {}
    changes: list[ChangeDocument] = []


class DomainDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State of a failure domain.

    A domain with ``taken_out`` set receives no new calls. ``changes`` is
    maintained by the operators' client, newest first.
    """

    domain: Name
    taken_out: bool = False
    changes: list[ChangeDocument] = []


class MemberDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Member record that a node writes when it starts, changes or leaves."""

    node_id: Name
    incarnation: int
    failure_domain: Name
    peer_address: str
    entry_address: str
    admin_address: str
    service: str = ''
    leaving: bool = False
    gossip_address: str = ''


Entity = Service | Organisation | FailureDomain | MemberRecord | RightRecord


def to_service(name: str, version: int, document: ServiceDocument) -> Service:
    """Convert a service document to a row.

    :param name: the object's name.
    :param version: the object's version.
    :param document: the validated document.
    :return: the row.
    """
    return Service(
        id=name,
        version=version,
        routes=tuple(_to_route(route) for route in document.routes),
        allowance_by_organisation={
            organisation: Allowance(entry.rate, entry.burst, entry.weight)
            for organisation, entry in document.organisations.items()
        },
    )


def _to_route(document: RouteDocument) -> Route:
    return Route(
        name=document.name,
        methods=tuple(document.methods),
        segments=tuple(document.path.strip('/').split('/')),
        importance=document.importance,
        idempotent=document.idempotent,
        is_open=document.open,
        deadline=document.deadline_ms / 1000,
        body_limit=document.body_limit,
        attempts=document.attempts,
    )


def to_organisation(
    name: str,
    version: int,
    document: OrganisationDocument,
) -> Organisation:
    """Convert an organisation's document to a row.

    :param name: the object's name.
    :param version: the object's version.
    :param document: the validated document.
    :return: the row.
    """
    return Organisation(name, version, frozenset(document.key_hashes))


def to_failure_domain(
    name: str,
    version: int,
    document: DomainDocument,
) -> FailureDomain:
    """Convert a failure domain's document to a row.

    :param name: the object's name.
    :param version: the object's version.
    :param document: the validated document.
    :return: the row.
    """
    return FailureDomain(name, version, document.taken_out)


def to_member(
    name: str,
    version: int,
    document: MemberDocument,
) -> MemberRecord:
    """Convert a member document to a record.

    :param name: the object's name.
    :param version: the object's version.
    :param document: the validated document.
    :return: the record.
    """
    return MemberRecord(
        id=document.node_id,
        incarnation=document.incarnation,
        failure_domain=document.failure_domain,
        peer_address=document.peer_address,
        entry_address=document.entry_address,
        admin_address=document.admin_address,
        service=document.service,
        leaving=document.leaving,
        gossip_address=document.gossip_address,
    )


def from_member(record: MemberRecord) -> MemberDocument:
    """Convert a member record to a document.

    :param record: the member record.
    :return: the document.
    """
    return MemberDocument(
        node_id=record.id,
        incarnation=record.incarnation,
        failure_domain=record.failure_domain,
        peer_address=record.peer_address,
        entry_address=record.entry_address,
        admin_address=record.admin_address,
        service=record.service,
        leaving=record.leaving,
        gossip_address=record.gossip_address,
    )


class DocumentCodec(msgspec.Struct, frozen=True):
    """Conversion of the objects of one kind from and to documents.

    ``to_document`` is None for kinds that nodes do not write.
    """

    document_type: type[msgspec.Struct]
    convert: Callable[[str, int, Any], Entity]
    to_document: Callable[[Any], msgspec.Struct] | None = None


CODEC_BY_KIND = MappingProxyType(
    {
        'service': DocumentCodec(ServiceDocument, to_service),
        'organisation': DocumentCodec(OrganisationDocument, to_organisation),
        'domain': DocumentCodec(DomainDocument, to_failure_domain),
        'member': DocumentCodec(MemberDocument, to_member, from_member),
        'right': DocumentCodec(RightDocument, decode_right, encode_right),
    }
)


def decode_entity(kind: str, name: str, version: int, raw: Any) -> Entity:
    """Validate a stored object and convert it; raises ``CheckError``.

    :param kind: the object's kind, a key of ``CODEC_BY_KIND``.
    :param name: the object's name.
    :param version: the object's version.
    :param raw: the object's document as plain data.
    :return: the row or record.
    """
    codec = CODEC_BY_KIND[kind]
    return codec.convert(name, version, check(raw, codec.document_type))


def encode_entity(kind: str, entity: Entity) -> Any:
    """Convert an entity to a document for the object store.

    :param kind: the object's kind; raises ``LookupError`` if nodes do not
        write this kind.
    :param entity: the entity.
    :return: the document as plain data.
    """
    codec = CODEC_BY_KIND[kind]
    if codec.to_document is None:
        raise LookupError(f'objects of kind {kind} cannot be written by nodes')
    return msgspec.to_builtins(codec.to_document(entity))
