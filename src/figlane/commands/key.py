"""Command ``key``: grants, withdraws and lists keys of organisations."""

from __future__ import annotations

import argparse
import datetime
import functools
import hashlib
import secrets
from typing import Any

from figlane.adapters.platform_client import Unavailable
from figlane.commands.arguments import add_examples, add_wait
from figlane.commands.change import Edit
from figlane.commands.client import Client, CommandError
from figlane.commands.document import JsonObject, without_change_log
from figlane.commands.exit_code import ExitCode
from figlane.commands.nodes import platform_unavailable
from figlane.commands.registry import command
from figlane.commands.reporting import change_and_report
from figlane.commands.result import CommandResult, failure
from figlane.registry import Registry

_KIND = 'organisation'
_KEY_HASHES = 'key_hashes'
_GRANTED_AT = 'granted_at'
_KEY_BYTES = 32
# A key's id is a prefix of this many characters of its hash.
_KEY_ID_LENGTH = 12

_actions: Registry[Any] = Registry('action on keys')


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('action', choices=sorted(_actions.by_key))
    parser.add_argument('organisation')
    parser.add_argument(
        'key_id',
        nargs='?',
        help='id of the key to withdraw, as shown by "key list"',
    )
    add_wait(parser)
    add_examples(
        parser,
        'figlane key grant waco --wait',
        'figlane key list waco',
        'figlane key withdraw waco 3f1b0c2d4e5a --wait',
    )


@command('key', _configure)
async def manage_keys(
    options: argparse.Namespace,
    client: Client,
) -> CommandResult:
    """Grant, withdraw or list the keys of an organisation.

    :param options: ``action``, ``organisation`` and ``key_id``.
    :param client: context of the command.
    :return: result of the command.
    """
    result: CommandResult = await _actions.find(options.action)(
        options,
        client,
    )
    return result


@_actions.register('grant')
async def _grant(options: argparse.Namespace, client: Client) -> CommandResult:
    key = secrets.token_urlsafe(_KEY_BYTES)
    key_hash = hashlib.sha256(key.encode()).hexdigest()
    edit = _key_edit(
        options,
        client,
        functools.partial(_with_key, options.organisation, key_hash),
        f'grant key {_key_id_of(key_hash)}',
    )
    result = await change_and_report(options, client, edit)
    unknown = result.exit_code is ExitCode.OUTCOME_UNKNOWN
    if 'version' in result.json_data or unknown:
        # Also shown if the outcome is unknown, since the key may be in force.
        result.json_data['key'] = key
        result.json_data['key_id'] = _key_id_of(key_hash)
        result.lines.append(
            f'key {_key_id_of(key_hash)}, which cannot be shown again: {key}',
        )
    return result


@_actions.register('withdraw')
async def _withdraw(
    options: argparse.Namespace,
    client: Client,
) -> CommandResult:
    if not options.key_id:
        return failure(ExitCode.BAD_INPUT, 'the id of the key is required')
    edit = _key_edit(
        options,
        client,
        functools.partial(_without_key, options.organisation, options.key_id),
        f'withdraw key {options.key_id}',
    )
    return await change_and_report(options, client, edit)


@_actions.register('list')
async def _list(options: argparse.Namespace, client: Client) -> CommandResult:
    stored = await client.platform.read(_KIND, options.organisation)
    if isinstance(stored, Unavailable):
        return platform_unavailable(stored)
    if stored.value is None:
        return _organisation_not_found(options.organisation)
    granted_at = stored.value.get(_GRANTED_AT, {})
    keys = [
        {'id': _key_id_of(key_hash), 'granted_at': granted_at.get(key_hash, '')}
        for key_hash in stored.value.get(_KEY_HASHES, ())
    ]
    lines = [f'{key["id"]}  {key["granted_at"] or "-"}' for key in keys]
    lines.append(f'{options.organisation}: {len(keys)} keys')
    json_data = {
        'organisation': options.organisation,
        'version': stored.version,
        'keys': keys,
    }
    return CommandResult(ExitCode.OK, lines, json_data)


def _key_edit(
    options: argparse.Namespace,
    client: Client,
    make_document: Any,
    summary: str,
) -> Edit:
    return Edit(
        kind=_KIND,
        name=options.organisation,
        make_document=make_document,
        operator=client.operator,
        summary=summary,
        retries_on_conflict=True,
    )


def _with_key(
    organisation: str,
    key_hash: str,
    stored: JsonObject | None,
) -> JsonObject:
    document = without_change_log(stored or {_KIND: organisation})
    now = datetime.datetime.now(datetime.UTC).isoformat(timespec='seconds')
    return {
        **document,
        _KEY_HASHES: [*document.get(_KEY_HASHES, ()), key_hash],
        _GRANTED_AT: {**document.get(_GRANTED_AT, {}), key_hash: now},
    }


def _without_key(
    organisation: str,
    key_id: str,
    stored: JsonObject | None,
) -> JsonObject:
    if stored is None:
        raise CommandError(_organisation_not_found(organisation))
    document = without_change_log(stored)
    hashes = document.get(_KEY_HASHES, [])
    found = [key_hash for key_hash in hashes if _key_id_of(key_hash) == key_id]
    if not found:
        text = f'organisation {organisation} has no key {key_id}'
        raise CommandError(failure(ExitCode.NOT_FOUND, text))
    granted_at = document.get(_GRANTED_AT, {})
    return {
        **document,
        _KEY_HASHES: [key_hash for key_hash in hashes if key_hash not in found],
        _GRANTED_AT: {
            key_hash: at
            for key_hash, at in granted_at.items()
            if key_hash not in found
        },
    }


def _organisation_not_found(organisation: str) -> CommandResult:
    text = f'organisation {organisation} does not exist'
    return failure(ExitCode.NOT_FOUND, text)


def _key_id_of(key_hash: str) -> str:
    return key_hash[:_KEY_ID_LENGTH]
