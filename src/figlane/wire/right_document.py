"""Document of a minting right and its conversion."""

from __future__ import annotations

from typing import Annotated

import msgspec

from figlane.entities.right import FormerHolder, RightRecord

_Holder = Annotated[
    str,
    msgspec.Meta(pattern='^([a-z0-9][a-z0-9-]{0,62})?$'),
]


class OrphanDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A former holder that may still mint a share of the right."""

    holder: _Holder
    incarnation: int
    share: Annotated[float, msgspec.Meta(ge=0, le=1)]


class RightDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A minting right: a lease on parts of quotas, written by its holder."""

    holder: _Holder
    incarnation: int
    sequence: int
    orphans: list[OrphanDocument] = []


def decode_right(
    name: str, version: int, document: RightDocument
) -> RightRecord:
    """Convert the document of a right to a record.

    :param name: the object's name.
    :param version: the object's version.
    :param document: the validated document.
    :return: the record.
    """
    return RightRecord(
        document.holder,
        document.incarnation,
        document.sequence,
        tuple(
            FormerHolder(orphan.holder, orphan.incarnation, orphan.share)
            for orphan in document.orphans
        ),
    )


def encode_right(record: RightRecord) -> RightDocument:
    """Convert the record of a right to a document.

    :param record: the record.
    :return: the document.
    """
    return RightDocument(
        record.holder,
        record.incarnation,
        record.sequence,
        [
            OrphanDocument(orphan.holder, orphan.incarnation, orphan.share)
            for orphan in record.orphans
        ],
    )
