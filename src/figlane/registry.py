"""Registries of functions and systems, filled by decorators."""

from __future__ import annotations

import enum
from collections.abc import Callable, Sized
from dataclasses import dataclass
from operator import attrgetter
from typing import Any, Generic, NamedTuple, TypeVar

FunctionT = TypeVar('FunctionT', bound=Callable[..., Any])


class Registry(Generic[FunctionT]):
    """Maps keys to functions that register themselves with a decorator."""

    __slots__ = ('_title', 'by_key')

    def __init__(self, title: str) -> None:
        """Create an empty registry.

        :param title: what the registry holds, used in error messages.
        """
        self._title = title
        self.by_key: dict[Any, FunctionT] = {}

    def register(self, key: Any) -> Callable[[FunctionT], FunctionT]:
        """Return a decorator that registers a function under a key.

        :param key: the key; a duplicate key raises ``ValueError``.
        :return: the decorator.
        """

        def decorate(function: FunctionT) -> FunctionT:
            if key in self.by_key:
                raise ValueError(f'{self._title} {key!r} is already registered')
            self.by_key[key] = function
            return function

        return decorate

    def find(self, key: Any) -> FunctionT:
        """Look up a function; raises ``LookupError`` for an unknown key.

        :param key: the key it was registered under.
        :return: the function.
        """
        try:
            return self.by_key[key]
        except KeyError:
            known = ', '.join(sorted(map(str, self.by_key)))
            raise LookupError(
                f'unknown {self._title} {key!r}, registered are: {known}',
            ) from None


System = Callable[[Any, float], None]
SystemT = TypeVar('SystemT', bound=System)


@dataclass(slots=True, frozen=True)
class RunCondition:
    """Condition on a table under which a system runs in a pass.

    ``table`` is the attribute path of a table of the world, for example
    ``quota.stocks``. With ``phase``, the system runs if the table has rows in
    that phase; without it, if a row of the table is due.
    """

    table: str
    phase: enum.Enum | None = None


# Stage, module name, system, and the conditions under which it runs.
_Registration = tuple[int, str, System, tuple[RunCondition, ...]]


class AnyNonEmpty:
    """Truthy if at least one of several collections is not empty."""

    __slots__ = ('_collections',)

    def __init__(self, collections: tuple[Sized, ...]) -> None:
        """Keep references to the collections.

        :param collections: the collections; their owner must not replace
            them by others.
        """
        self._collections = collections

    def __bool__(self) -> bool:
        """Return whether any collection has an element."""
        return any(self._collections)


class BoundSystem(NamedTuple):
    """A system with the collections of one world that decide if it runs.

    It runs if ``rows`` is not empty or the first entry of any of ``due_heaps``
    is due.
    """

    run: System
    rows: Any
    due_heaps: tuple[list[Any], ...]


@dataclass(slots=True, frozen=True)
class BoundSystems:
    """All systems bound to one world, in execution order.

    ``runs`` and ``rows`` hold the fields of the same name of all systems as
    parallel tuples, for passes in which no row is due.
    """

    systems: tuple[BoundSystem, ...] = ()
    runs: tuple[System, ...] = ()
    rows: tuple[Any, ...] = ()


class SystemRegistry:
    """Systems in execution order: by stage, then by module name."""

    __slots__ = ('_registrations',)

    def __init__(self) -> None:
        """Create an empty registry."""
        self._registrations: list[_Registration] = []

    def register(
        self,
        stage: enum.IntEnum,
        *conditions: RunCondition,
    ) -> Callable[[SystemT], SystemT]:
        """Return a decorator that adds a system to the tick.

        Systems of one stage run in the order of their module names.

        :param stage: the stage of the tick in which the system runs.
        :param conditions: the system runs in a pass if any of them holds; if
            none is given, it runs in every pass.
        :return: the decorator.
        """

        def decorate(function: SystemT) -> SystemT:
            registration = (stage, function.__module__, function, conditions)
            self._registrations.append(registration)
            self._registrations.sort(key=lambda registered: registered[:2])
            return function

        return decorate

    def ordered(self) -> tuple[System, ...]:
        """List the systems in execution order.

        :return: the systems.
        """
        return tuple(registered[2] for registered in self._registrations)

    def bind(self, world: Any) -> BoundSystems:
        """Resolve the run conditions of all systems against a world.

        :param world: the world; its tables must not be replaced afterwards.
        :return: the bound systems in execution order.
        """
        bound = tuple(
            _bind_system(world, function, conditions)
            for _, _, function, conditions in self._registrations
        )
        return BoundSystems(
            bound,
            tuple(system.run for system in bound),
            tuple(system.rows for system in bound),
        )


# Rows of a system without conditions: never empty, so it always runs.
_ALWAYS_RUNNABLE = (None,)
_NO_ROWS = ()


def _bind_system(
    world: Any, function: System, conditions: tuple[RunCondition, ...]
) -> BoundSystem:
    rows: list[Sized] = []
    due_heaps = []
    for condition in conditions:
        table = attrgetter(condition.table)(world)
        if condition.phase is None:
            due_heaps.append(table.due_heap)
        else:
            rows.append(table.ids_in_phase(condition.phase))
    if not conditions:
        rows.append(_ALWAYS_RUNNABLE)
    # A single collection is used directly: its truth value is evaluated in C,
    # while ``AnyNonEmpty`` costs a call of Python code in each pass.
    watched: Any = AnyNonEmpty(tuple(rows)) if len(rows) > 1 else _NO_ROWS
    if len(rows) == 1:
        watched = rows[0]
    return BoundSystem(function, watched, tuple(due_heaps))
