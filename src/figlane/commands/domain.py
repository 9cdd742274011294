"""Command ``domain``: takes failure domains out of service and back."""

from __future__ import annotations

import argparse
import functools
from types import MappingProxyType

from figlane.commands.arguments import add_examples, add_wait
from figlane.commands.change import Edit
from figlane.commands.client import Client
from figlane.commands.document import JsonObject, without_change_log
from figlane.commands.exit_code import ExitCode
from figlane.commands.nodes import read_fleet
from figlane.commands.registry import command
from figlane.commands.reporting import change_and_report
from figlane.commands.result import CommandResult, failure

_KIND = 'domain'
_TAKEN_OUT_BY_ACTION = MappingProxyType({'take-out': True, 'return': False})


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('action', choices=tuple(_TAKEN_OUT_BY_ACTION))
    parser.add_argument('domain')
    add_wait(parser)
    add_examples(
        parser,
        'figlane domain take-out temple --wait',
        'figlane domain return temple --wait',
    )


@command('domain', _configure)
async def change_domain(
    options: argparse.Namespace,
    client: Client,
) -> CommandResult:
    """Take a failure domain out of service or return it to service.

    A domain that is out of service gets no new calls.

    :param options: ``action`` and ``domain``.
    :param client: context of the command.
    :return: result of the command.
    """
    view = await read_fleet(client.platform)
    known = {node.member['failure_domain'] for node in view.nodes}
    known |= {stored.name for stored in view.objects if stored.kind == _KIND}
    if options.domain not in known:
        return failure(
            ExitCode.NOT_FOUND,
            f'unknown failure domain {options.domain}; known domains: '
            f'{", ".join(sorted(known))}',
        )
    taken_out = _TAKEN_OUT_BY_ACTION[options.action]
    edit = Edit(
        kind=_KIND,
        name=options.domain,
        make_document=functools.partial(
            _with_taken_out, options.domain, taken_out
        ),
        operator=client.operator,
        summary=options.action,
    )
    return await change_and_report(options, client, edit)


def _with_taken_out(
    domain: str, taken_out: bool, stored: JsonObject | None
) -> JsonObject:
    document = without_change_log(stored or {_KIND: domain})
    return {**document, 'taken_out': taken_out}
