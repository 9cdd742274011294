"""Indexes of the members: those that can get calls, and those that live."""

from __future__ import annotations

from dataclasses import dataclass, field

from figlane.entities.member import Member


@dataclass(slots=True)
class MemberIndex:
    """Index derived from the tables of members and of failure domains.

    It is valid for ``member_revision`` and ``domain_revision``, the revisions
    of these tables from which it was built.
    """

    member_revision: int = -1
    domain_revision: int = -1
    by_service: dict[str, list[Member]] = field(default_factory=dict)


@dataclass(slots=True)
class LiveIndex:
    """Index of the other members that are alive or suspect.

    It is valid for ``revision``, the revision of the table of members from
    which it was built. ``ids_by_domain`` holds their ids by failure domain, and
    ``ranked_ids`` those of this node's own failure domain that watch the store
    or would take over, in this order, once they have been asked for.
    """

    revision: int = -1
    members: tuple[Member, ...] = ()
    ids_by_domain: dict[str, list[str]] = field(default_factory=dict)
    ranked_ids: tuple[str, ...] = ()
