"""Settings of a node: a JSON file with comments, validated as a whole."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from figlane.wire.checking import CheckError, Problem, check, parse_text
from figlane.wire.documents import Name

Address = Annotated[
    str,
    msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z'),
]


class PolicySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Names of the selected policies.

    ``none`` and ``random`` are baselines for comparison.
    """

    routing: str = 'two-choices'
    rate: str = 'tokens'
    shedding: str = 'weighted-fair'
    deadline: str = 'predicted'
    limit: str = 'aimd'
    cold_start: str = 'ramp'
    retry: str = 'ratio'
    outage: str = 'majority'


class TracingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Tracing of calls; ``exporter`` is ``none``, ``console`` or ``otlp``.

    ``endpoint`` is the collector's URL for ``otlp``, which needs the extra
    ``otlp`` of the package. ``ratio`` is the fraction of calls without a trace
    context for which a trace is started; calls that carry a trace context keep
    the caller's sampling decision.
    """

    exporter: Literal['none', 'console', 'otlp'] = 'none'
    endpoint: str | None = None
    ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0


class TelemetrySettings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Export of metrics, logs and traces.

    Metrics are sent to statsd every ``flush_seconds``, or not at all if
    ``statsd_address`` is not set.
    """

    statsd_address: Address | None = None
    log_format: Literal['json', 'console'] = 'json'
    flush_seconds: Annotated[float, msgspec.Meta(gt=0)] = 10.0
    tracing: TracingSettings = TracingSettings()


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one node; addresses are ``IP:port``, port 0 any free port.

    ``entry`` accepts callers, ``peer`` other nodes, and ``admin`` operators and
    the node's backend server. ``peer_advertised`` is the peer address announced
    to other nodes if it differs from ``peer``. ``platform`` is the address of
    the platform's object store. ``seeds`` are peer addresses of other nodes,
    contacted at start-up in addition to the object store. ``drain_seconds`` is
    the longest time that a graceful shutdown waits for open work.
    """

    node_id: Name
    failure_domain: Name
    platform: Address
    entry: Address = '127.0.0.1:0'
    peer: Address = '127.0.0.1:0'
    peer_advertised: Address | None = None
    admin: Address = '127.0.0.1:0'
    seeds: list[Address] = []
    drain_seconds: Annotated[float, msgspec.Meta(ge=0)] = 600.0
    policies: PolicySettings = PolicySettings()
    telemetry: TelemetrySettings = TelemetrySettings()


def load_settings(path: Path) -> NodeSettings:
    """Read and validate a settings file; raises ``CheckError``.

    :param path: path of the file.
    :return: the validated settings.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise CheckError([Problem(str(path), str(error))]) from None
    return check(parse_text(text), NodeSettings)


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` at its last colon.

    :param address: the address.
    :return: the host and the port number.
    """
    host, _, port = address.rpartition(':')
    return host, int(port)
