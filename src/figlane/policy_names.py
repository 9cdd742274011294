"""Validates the policy names in the settings against the registries."""

from __future__ import annotations

from types import MappingProxyType

import msgspec

from figlane.settings import NodeSettings
from figlane.systems import registry
from figlane.systems.tick import load_systems
from figlane.wire.checking import CheckError, Problem

_REGISTRY_BY_SETTING = MappingProxyType(
    {
        'cold_start': registry.cold_start_policies,
        'deadline': registry.deadline_policies,
        'limit': registry.limit_policies,
        'outage': registry.outage_policies,
        'rate': registry.rate_policies,
        'retry': registry.retry_policies,
        'routing': registry.routing_policies,
        'shedding': registry.shedding_policies,
    },
)


def check_policies(settings: NodeSettings) -> None:
    """Raise ``CheckError`` if a configured policy is not registered.

    :param settings: settings that match their schema.
    """
    load_systems()
    names = msgspec.structs.asdict(settings.policies)
    problems = [
        Problem(f'$.policies.{setting}', _unknown_policy_message(setting, name))
        for setting, name in names.items()
        if name not in _REGISTRY_BY_SETTING[setting].by_key
    ]
    if problems:
        raise CheckError(problems)


def _unknown_policy_message(setting: str, name: str) -> str:
    allowed = ', '.join(sorted(_REGISTRY_BY_SETTING[setting].by_key))
    return f'no policy is named {name}, allowed are: {allowed}'
