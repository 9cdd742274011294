"""Loads the settings file that the platform provides for a node."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
import yaml

from figlane.entities.world import QuotaBounds
from figlane.platform.quantities import parse_duration
from figlane.wire.checking import CheckError, Problem, check

_Address = Annotated[
    str,
    msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z'),
]
_LAST_PORT = 65_535
_Port = Annotated[int, msgspec.Meta(ge=1, le=_LAST_PORT)]


class SelfTable(msgspec.Struct, frozen=True):
    """Identity of the node.

    ``app_addr`` and ``service`` are the address and the service of the backend
    server on the same VM. ``first_start`` is set only when the whole fleet
    starts for the first time.
    """

    node: str
    ip: str
    zone: str
    app_addr: _Address
    service: str
    first_start: bool = False


class ListenTable(msgspec.Struct, frozen=True):
    """Addresses that the node listens on.

    ``outbound`` serves callers on this VM, ``control`` receives the
    announcements of the backend server, and ``ready`` answers the platform's
    readiness checks.
    """

    outbound: _Address
    ready: _Address
    control: _Address


class NetworkTable(msgspec.Struct, frozen=True):
    """Listening addresses and the port range for traffic between nodes.

    ``internal_ports`` holds the first and the last port of the range, ``zones``
    the region of each failure domain.
    """

    listen: ListenTable
    internal_ports: Annotated[
        list[_Port], msgspec.Meta(min_length=2, max_length=2)
    ]
    zones: dict[str, str] = msgspec.field(default_factory=dict)


class StoreTable(msgspec.Struct, frozen=True):
    """Location of the platform's object store."""

    address: _Address


class PlatformTable(msgspec.Struct, frozen=True):
    """Location of the store and the announcement interval.

    ``heartbeat`` is the interval between announcements of a backend server.
    """

    platform: StoreTable
    heartbeat: str


class BoundsTable(msgspec.Struct, frozen=True):
    """Limits that nodes enforce; durations are texts such as ``4000ms``.

    ``grace`` is the longest time from a termination signal to the process exit.
    ``retry_budget_ratio`` and ``budget_min_retries`` limit the retries of a
    service in each ``budget_window``, across all nodes. In each
    ``quota_window`` an organisation may exceed its quota by the fraction
    ``quota_overage`` plus ``quota_slack`` calls.
    """

    grace: str = '6s'
    retry_budget_ratio: float = 0.2
    budget_min_retries: float = 50
    budget_window: str = '10s'
    quota_window: str = '5s'
    quota_overage: float = 0.1
    quota_slack: float = 20


class TermsTable(msgspec.Struct, frozen=True):
    """Limits that are agreed with the operators."""

    bounds: BoundsTable = BoundsTable()


class FileTables(msgspec.Struct, frozen=True):
    """The settings file; unknown tables and fields are ignored."""

    owner: SelfTable = msgspec.field(name='self')
    network: NetworkTable
    platform: PlatformTable
    terms: TermsTable = TermsTable()


class PlatformSettings(msgspec.Struct, frozen=True):
    """Validated settings of a node.

    Durations are in seconds and addresses are ``host:port``.
    """

    node_id: str
    failure_domain: str
    service_id: str
    backend_address: str
    entry: str
    readiness: str
    control: str
    peer: str
    store: str
    announcement_seconds: float
    grace_seconds: float
    retry_ratio: float
    least_retries: float
    retry_window_seconds: float
    quota_bounds: QuotaBounds
    metrics_port: int = 0
    is_first_start: bool = False
    failure_domains: tuple[str, ...] = ()


def load_platform_settings(path: Path) -> PlatformSettings:
    """Load and validate a settings file; raises ``CheckError``.

    :param path: path of the YAML file.
    :return: the settings.
    """
    try:
        raw = yaml.load(path.read_text(encoding='utf-8'), _Loader)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise CheckError([Problem(str(path), str(error))]) from None
    return parse_settings(raw)


def parse_settings(raw: Any) -> PlatformSettings:
    """Validate a parsed settings file; raises ``CheckError``.

    :param raw: the content of the YAML file.
    :return: the settings.
    """
    tables = check(raw, FileTables)
    bounds = tables.terms.bounds
    try:
        return PlatformSettings(
            node_id=tables.owner.node,
            failure_domain=tables.owner.zone,
            service_id=tables.owner.service,
            backend_address=tables.owner.app_addr,
            entry=tables.network.listen.outbound,
            readiness=tables.network.listen.ready,
            control=tables.network.listen.control,
            peer=f'{tables.owner.ip}:{tables.network.internal_ports[0]}',
            store=tables.platform.platform.address,
            announcement_seconds=parse_duration(tables.platform.heartbeat),
            grace_seconds=parse_duration(bounds.grace),
            retry_ratio=bounds.retry_budget_ratio,
            least_retries=bounds.budget_min_retries,
            retry_window_seconds=parse_duration(bounds.budget_window),
            quota_bounds=QuotaBounds(
                parse_duration(bounds.quota_window),
                bounds.quota_overage,
                bounds.quota_slack,
            ),
            is_first_start=tables.owner.first_start,
            failure_domains=tuple(
                sorted({*tables.network.zones, tables.owner.zone})
            ),
        )
    except ValueError as error:
        raise CheckError([Problem('$', str(error))]) from None


_Loader: Any = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
