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
class DemandReport:
    """Reports how many calls the sender has received and admitted.

    ``asked_by_organisation`` counts the calls received and
    ``admitted_by_organisation`` those admitted, both since the sender started.
    ``epoch`` is that of the sender's ledger and distinguishes its starts.
    """

    epoch: int
    admitted_by_organisation: dict[str, int] = field(default_factory=dict)
    asked_by_organisation: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class RightRequest:
    """Requests that the holder of a right release it to the sender."""

    right_id: str


@dataclass(slots=True)
class RightReleased:
    """Notifies the preferred holder of a right that the right was released."""

    right_id: str
