"""Index of the members that can get calls, by service."""

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
