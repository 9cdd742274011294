"""Experiments in which the load exceeds capacity or a rate limit."""

from __future__ import annotations

from types import MappingProxyType

import msgspec

from figlane.load.experiments.registry import Trial, Window, experiment
from figlane.load.experiments.site import (
    LoadLevel,
    Site,
    create_sources,
    organisation_source,
)
from figlane.load.plan import SourcePlan

# Name of the policy that does nothing, in every registry of policies.
BASELINE = 'none'

# First in, first out, with no limit except the slots of the backend server.
NO_ADMISSION = MappingProxyType(
    {
        'shedding': BASELINE,
        'deadline': BASELINE,
        'limit': BASELINE,
        'cold_start': BASELINE,
        'retry': BASELINE,
    }
)

# Seconds into the trial, and load as a multiple of capacity.
_NORMAL_WINDOW = Window(5, 10)
_DISTURBED_WINDOW = Window(12, 20)
_TRIAL_SECONDS = 35
_FULL_LOAD = 1.0
_MODERATE_LOAD = 0.7
_SURGE_LOAD = 5.0

_SURGE_LEVELS = (
    LoadLevel(0, _FULL_LOAD),
    LoadLevel(10, _SURGE_LOAD),
    LoadLevel(20, _MODERATE_LOAD),
)


@experiment('surge')
class Surge:
    """All callers together send five times the capacity for 10 s."""

    baseline = NO_ADMISSION
    enforces_rate_limits = False

    def plan_trial(self, site: Site) -> Trial:
        """Plan the load.

        :param site: the deployment.
        :return: the trial.
        """
        sources = create_sources(site, _SURGE_LEVELS)
        return Trial(_TRIAL_SECONDS, sources, _NORMAL_WINDOW, _DISTURBED_WINDOW)


@experiment('retrying-callers')
class RetryingCallers:
    """The surge, with callers that retry failed requests up to three times."""

    baseline = NO_ADMISSION
    enforces_rate_limits = False

    def plan_trial(self, site: Site) -> Trial:
        """Plan the load.

        :param site: the deployment.
        :return: the trial.
        """
        sources = create_sources(site, _SURGE_LEVELS, retries=3)
        return Trial(_TRIAL_SECONDS, sources, _NORMAL_WINDOW, _DISTURBED_WINDOW)


@experiment('greedy-organisation')
class GreedyOrganisation:
    """One organisation exceeds its rate fivefold; all others keep to theirs."""

    baseline = MappingProxyType({'rate': BASELINE, **NO_ADMISSION})
    enforces_rate_limits = True

    def plan_trial(self, site: Site) -> Trial:
        """Plan the load.

        :param site: the deployment.
        :return: the trial.
        """
        greedy = max(
            site.weight_by_organisation,
            key=lambda name: site.weight_by_organisation[name],
        )
        sources = [
            self._source(site, organisation, greedy, service_index)
            for organisation in site.weight_by_organisation
            for service_index in range(len(site.services))
        ]
        return Trial(_TRIAL_SECONDS, sources, _NORMAL_WINDOW, _DISTURBED_WINDOW)

    def _source(
        self,
        site: Site,
        organisation: str,
        greedy: str,
        service_index: int,
    ) -> SourcePlan:
        service = site.services[service_index]
        route = service.routes[0]
        # Only the first route is called. Dividing by its share assigns it the
        # organisation's whole load on the service.
        whole_load_factor = 1 / route.share
        levels = (LoadLevel(0, _MODERATE_LOAD * whole_load_factor),)
        if organisation == greedy:
            levels = (
                LoadLevel(0, _MODERATE_LOAD * whole_load_factor),
                LoadLevel(10, _SURGE_LOAD * whole_load_factor),
                LoadLevel(20, _MODERATE_LOAD * whole_load_factor),
            )
        source = organisation_source(
            site,
            service,
            route,
            organisation,
            levels,
        )
        is_greedy = organisation == greedy
        return msgspec.structs.replace(source, within_rate=not is_greedy)
