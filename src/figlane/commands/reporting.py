"""Writes a change and reports its outcome."""

from __future__ import annotations

import argparse
import functools
from typing import Any

from figlane.commands.change import (
    Changed,
    ChangeOutcome,
    Edit,
    Unchanged,
    Unconfirmed,
    VersionConflict,
    change_object,
)
from figlane.commands.client import Client
from figlane.commands.document import JsonObject, differences
from figlane.commands.exit_code import ExitCode
from figlane.commands.notification import notify_nodes, read_admin_addresses
from figlane.commands.result import CommandResult, failure
from figlane.commands.rollout import wait_until_in_force


async def change_and_report(
    options: argparse.Namespace,
    client: Client,
    edit: Edit,
) -> CommandResult:
    """Write a change, notify nodes and, with ``--wait``, await its rollout.

    :param options: ``wait`` and ``wait_seconds``.
    :param client: context of the command.
    :param edit: the change.
    :return: result of the command.
    """
    key = f'{edit.kind}/{edit.name}'
    # Read before the write, since the platform may fail right after it.
    addresses = await read_admin_addresses(client.platform)
    outcome = await change_object(client.platform, edit)
    if isinstance(outcome, Changed):
        await notify_nodes(addresses, key, outcome.version, outcome.after)
    result = describe_outcome(outcome, key)
    if result.exit_code is not ExitCode.OK or not options.wait:
        return result
    return await _wait_for_rollout(options, client, edit, result)


async def _wait_for_rollout(
    options: argparse.Namespace,
    client: Client,
    edit: Edit,
    result: CommandResult,
) -> CommandResult:
    key = f'{edit.kind}/{edit.name}'
    version = result.json_data['version']
    rollout = await wait_until_in_force(
        client, key, version, options.wait_seconds
    )
    result.json_data['nodes'] = rollout.node_count
    result.json_data['lagging'] = list(rollout.lagging)
    if rollout.is_complete:
        result.lines.append(f'in force on {rollout.node_count} nodes')
        return result
    result.exit_code = ExitCode.NOT_IN_FORCE
    result.lines.append(
        f'version {version} is accepted but not yet in force on: '
        f'{", ".join(rollout.lagging)}',
    )
    return result


@functools.singledispatch
def describe_outcome(outcome: ChangeOutcome, key: str) -> CommandResult:
    """Convert the outcome of a change to the result of the command.

    :param outcome: the outcome.
    :param key: ``kind/name`` of the object.
    :return: result of the command.
    """
    raise TypeError(f'{key}: unknown type of outcome: {outcome}')


@describe_outcome.register
def _describe_changed(outcome: Changed, key: str) -> CommandResult:
    lines = list(differences(outcome.before, outcome.after))
    json_data: dict[str, Any] = {
        'object': key,
        'version': outcome.version,
        'differences': lines,
        'settled_by_reading_back': outcome.confirmed_by_reading,
    }
    text = f'{key}: version {outcome.version} is accepted'
    if outcome.confirmed_by_reading:
        text = f'{text} (answer lost, confirmed by reading it back)'
    return CommandResult(ExitCode.OK, [*lines, text], json_data)


@describe_outcome.register
def _describe_unchanged(outcome: Unchanged, key: str) -> CommandResult:
    json_data = {'object': key, 'version': outcome.version, 'differences': []}
    text = f'{key}: no changes, version {outcome.version} is up to date'
    return CommandResult(ExitCode.OK, [text], json_data)


@describe_outcome.register
def _describe_conflict(outcome: VersionConflict, key: str) -> CommandResult:
    return failure(
        ExitCode.CONFLICT,
        f'{key}: conflict, nothing was written; the stored version is '
        f'{outcome.version}, '
        f'{_describe_author(outcome.conflicting_change)}; compare with '
        '"figlane diff" and apply again',
        object=key,
        version=outcome.version,
        winner=outcome.conflicting_change,
    )


def _describe_author(change: JsonObject) -> str:
    if not change:
        return 'not written by this client'
    return f'by {change["by"]} at {change["at"]} ({change["summary"]})'


@describe_outcome.register
def _describe_unconfirmed(outcome: Unconfirmed, key: str) -> CommandResult:
    if not outcome.may_have_been_written:
        text = f'{key}: nothing was written, the platform did not answer'
        return failure(
            ExitCode.UNAVAILABLE,
            f'{text}: {outcome.reason}',
            object=key,
        )
    return failure(
        ExitCode.OUTCOME_UNKNOWN,
        f'{key}: the change may have been written, the platform did not '
        f'answer ({outcome.reason}); check with "figlane history" once the '
        'platform is available',
        object=key,
    )
