"""Registry of experiments, and the types that describe an experiment."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol, TypeVar

from figlane.load.experiments.site import Site
from figlane.load.plan import SourcePlan


@enum.unique
class Action(enum.Enum):
    """Faults and operator actions that an experiment can trigger."""

    TAKE_OUT = 'take-out'
    RETURN = 'return'
    KILL = 'kill'
    SUSPEND = 'freeze'
    RESUME = 'thaw'
    RESTART_BACKEND = 'restart-backend'
    STORE_DOWN = 'store-down'
    STORE_UP = 'store-up'


@dataclass(slots=True, frozen=True)
class Fault:
    """An action ``at`` seconds into the trial on a node or failure domain."""

    at: float
    action: Action
    target: str = ''


@dataclass(slots=True, frozen=True)
class Window:
    """Time from ``start`` to ``end``, in seconds into the trial."""

    start: int
    end: int


@dataclass(slots=True, frozen=True)
class Trial:
    """Load and faults of a trial, and the windows that are evaluated.

    ``normal_window`` lies before the disturbance and ``disturbed_window``
    within it. Recovery is timed from the end of ``disturbed_window``.
    """

    seconds: int
    sources: list[SourcePlan]
    normal_window: Window
    disturbed_window: Window
    faults: tuple[Fault, ...] = ()


class Experiment(Protocol):
    """Interface of registered experiments.

    ``baseline`` names the policies of the nodes in the baseline run.
    ``enforces_rate_limits`` is set if rate limits of organisations are
    enforced.
    """

    baseline: Mapping[str, str]
    enforces_rate_limits: bool

    def plan_trial(self, site: Site) -> Trial:
        """Plan the load and the faults.

        :param site: the deployment.
        :return: the trial.
        """


ExperimentT = TypeVar('ExperimentT', bound=type)

experiment_by_name: dict[str, type] = {}


def experiment(name: str) -> Callable[[ExperimentT], ExperimentT]:
    """Create a decorator that registers an experiment.

    :param name: name of the experiment on the command line.
    :return: the decorator.
    """

    def decorate(experiment_class: ExperimentT) -> ExperimentT:
        experiment_by_name[name] = experiment_class
        return experiment_class

    return decorate
