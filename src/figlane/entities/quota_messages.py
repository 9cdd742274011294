"""Messages between nodes about quota tokens, demand and minting rights."""

from __future__ import annotations

from dataclasses import dataclass, field

from figlane.entities.right import KnownHolder


@dataclass(slots=True)
class TokenRequest:
    """Requests tokens of one quota from a holder.

    ``needed`` tokens are for waiting calls, ``wanted`` more are for the stock
    of the sender. The tokens expire ``lifetime`` seconds after the request was
    sent, by the sender's clock.
    """

    request_id: str
    service_id: str
    organisation_id: str
    needed: int
    wanted: int
    lifetime: float


@dataclass(slots=True)
class TokenGrant:
    """Grants tokens, which the holder has already deducted from its bucket.

    ``level`` (tokens left), ``capacity`` and ``rate`` describe the holder's
    bucket after that. If fewer tokens than needed are granted,
    ``holder_by_right`` holds the known holders of the quota's rights.
    """

    request_id: str
    service_id: str
    organisation_id: str
    count: int
    level: float
    capacity: float
    rate: float
    holder_by_right: dict[str, KnownHolder] = field(default_factory=dict)


@dataclass(slots=True)
class ChargeRequest:
    """Asks the owner of an organisation's bucket to charge ``count`` calls.

    ``is_fallback`` is set if the receiver need not be the owner: the sender
    could not reach the owner, or another member named the receiver.
    """

    request_id: int
    organisation_id: str
    count: int
    is_fallback: bool = False


@dataclass(slots=True)
class ChargeReply:
    """Answers a ``ChargeRequest``: ``granted`` calls were charged.

    ``owner_id`` is set, and nothing was charged, if another member owns the
    bucket. ``available_in`` is the time in seconds until the next token.
    """

    request_id: int
    organisation_id: str
    granted: int = 0
    available_in: float = 0
    owner_id: str = ''


@dataclass(slots=True)
class BucketClaim:
    """Asks a member that may hold an organisation's bucket to release it.

    ``incarnation`` is the sender's; older nodes do not send it.
    """

    organisation_id: str
    incarnation: int = 0


@dataclass(slots=True)
class BucketRelease:
    """Answers a ``BucketClaim``; the sender charges no more calls.

    ``level`` is the bucket's if ``was_owner`` is set. Otherwise ``released_to``
    is the member that claimed it from the sender before, if there was one.
    ``charged`` calls were let through by the sender in place of a silent owner.
    """

    organisation_id: str
    level: float = 0
    was_owner: bool = False
    released_to: str = ''
    charged: int = 0


@dataclass(slots=True)
class RightRequest:
    """Requests that the holder of a right release it to the sender."""

    right_id: str


@dataclass(slots=True)
class RightReleased:
    """Notifies the preferred holder of a right that the right was released."""

    right_id: str
