"""Registry of the rules over the tables of a run."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from figlane.registry import Registry
from tools.soaking.entities import History


@dataclass(slots=True)
class Breach:
    """A case that breaks a rule.

    ``request_id`` is empty for a breach by a process, ``process_ids`` are the
    processes concerned.
    """

    rule: str
    text: str
    request_id: str = ''
    process_ids: tuple[int, ...] = ()


Rule = Callable[[History], Iterator[Breach]]
rules: Registry[Rule] = Registry('rule')


def check_all(history: History) -> list[Breach]:
    """Check all rules.

    :param history: the tables of the run.
    :return: the breaches, rule by rule.
    """
    return [
        breach for rule in rules.by_key.values() for breach in rule(history)
    ]
