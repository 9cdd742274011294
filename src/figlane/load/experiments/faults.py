"""Experiments with faults of nodes, backend servers, domains or the store."""

from __future__ import annotations

from types import MappingProxyType

from figlane.load.experiments.registry import (
    Action,
    Fault,
    Trial,
    Window,
    experiment,
)
from figlane.load.experiments.site import LoadLevel, Site, create_sources

# Seconds into the trial.
_NORMAL_WINDOW = Window(4, 9)
_DISTURBED_WINDOW = Window(12, 20)
_TRIAL_SECONDS = 32
_FAULT_AT_SECONDS = 10
_REPAIR_AT_SECONDS = 20
_HALF_LOAD = (LoadLevel(0, 0.5),)


@experiment('domain-out-and-back')
class DomainOutAndBack:
    """A failure domain is taken out of service under load and returned."""

    baseline = MappingProxyType({'routing': 'random'})
    enforces_rate_limits = False

    def plan_trial(self, site: Site) -> Trial:
        """Plan the load and the faults.

        :param site: the deployment.
        :return: the trial.
        """
        domain = min(site.domain_by_node.values())
        return Trial(
            _TRIAL_SECONDS,
            create_sources(site, _HALF_LOAD),
            _NORMAL_WINDOW,
            _DISTURBED_WINDOW,
            (
                Fault(_FAULT_AT_SECONDS, Action.TAKE_OUT, domain),
                Fault(_REPAIR_AT_SECONDS, Action.RETURN, domain),
            ),
        )


@experiment('cold-restart')
class ColdRestart:
    """One backend server of each service restarts under load.

    A restarted backend server has fewer usable slots until it is warm.
    """

    baseline = MappingProxyType({'cold_start': 'none', 'limit': 'none'})
    enforces_rate_limits = False

    def plan_trial(self, site: Site) -> Trial:
        """Plan the load and the faults.

        :param site: the deployment.
        :return: the trial.
        """
        restarts = tuple(
            Fault(
                _FAULT_AT_SECONDS, Action.RESTART_BACKEND, service.node_ids[0]
            )
            for service in site.services
        )
        sources = create_sources(site, _HALF_LOAD)
        return Trial(
            _TRIAL_SECONDS, sources, _NORMAL_WINDOW, _DISTURBED_WINDOW, restarts
        )


@experiment('store-outage')
class StoreOutage:
    """The platform's object store is unavailable for 10 s under load."""

    baseline = MappingProxyType({'rate': 'static'})
    enforces_rate_limits = True

    def plan_trial(self, site: Site) -> Trial:
        """Plan the load and the faults.

        :param site: the deployment.
        :return: the trial.
        """
        return Trial(
            _TRIAL_SECONDS,
            create_sources(site, _HALF_LOAD),
            _NORMAL_WINDOW,
            _DISTURBED_WINDOW,
            (
                Fault(_FAULT_AT_SECONDS, Action.STORE_DOWN),
                Fault(_REPAIR_AT_SECONDS, Action.STORE_UP),
            ),
        )


@experiment('kill-and-freeze')
class KillAndFreeze:
    """One node is killed and another is suspended for 10 s, under load."""

    baseline = MappingProxyType({'routing': 'random'})
    enforces_rate_limits = False

    def plan_trial(self, site: Site) -> Trial:
        """Plan the load and the faults.

        :param site: the deployment.
        :return: the trial.
        """
        killed = site.services[0].node_ids[-1]
        suspended = site.services[1].node_ids[-1]
        return Trial(
            _TRIAL_SECONDS,
            create_sources(site, _HALF_LOAD),
            _NORMAL_WINDOW,
            _DISTURBED_WINDOW,
            (
                Fault(_FAULT_AT_SECONDS, Action.KILL, killed),
                Fault(_FAULT_AT_SECONDS, Action.SUSPEND, suspended),
                Fault(_REPAIR_AT_SECONDS, Action.RESUME, suspended),
            ),
        )
