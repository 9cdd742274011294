"""Command ``explain``: explains error kinds and refused calls."""

from __future__ import annotations

import argparse
import asyncio
from typing import Any

from figlane.adapters.admin_client import call_admin
from figlane.commands.advice import ADVICE_BY_KIND
from figlane.commands.arguments import add_examples
from figlane.commands.client import Client
from figlane.commands.exit_code import ExitCode
from figlane.commands.nodes import read_fleet
from figlane.commands.registry import command
from figlane.commands.result import CommandResult, failure
from figlane.errors import RESPONSE_BY_KIND, ErrorKind

_HTTP_OK = 200
_KINDS = frozenset(kind.value for kind in ErrorKind)


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'subject',
        help='a call id (header figlane-call) or an error kind',
    )
    add_examples(
        parser,
        'figlane explain overloaded',
        'figlane explain 5f0c4b1f2f7e4f0f9a0b6c1d2e3f4a5b',
    )


@command('explain', _configure)
async def explain(
    options: argparse.Namespace,
    client: Client,
) -> CommandResult:
    """Explain an error kind, or why a call was refused.

    :param options: ``subject``.
    :param client: context of the command.
    :return: result of the command.
    """
    if options.subject in _KINDS:
        kind = ErrorKind(options.subject)
        return CommandResult(
            ExitCode.OK, format_kind(kind), describe_kind(kind)
        )
    return await _explain_call(options.subject, client)


def describe_kind(kind: ErrorKind) -> dict[str, Any]:
    """Describe an error kind for ``--json``.

    :param kind: the error kind.
    :return: its HTTP status, outcome, title and advice.
    """
    answer = RESPONSE_BY_KIND[kind]
    return {
        'kind': kind.value,
        'status': answer.status,
        'outcome': answer.execution_status.value,
        'title': answer.title,
        'retried_elsewhere': answer.retry_elsewhere,
        'advice': ADVICE_BY_KIND[kind],
    }


def format_kind(kind: ErrorKind) -> list[str]:
    """Describe an error kind as text.

    :param kind: the error kind.
    :return: lines of text.
    """
    json_data = describe_kind(kind)
    return [
        f'{kind.value}: {json_data["title"]}',
        f'  HTTP status {json_data["status"]}, outcome {json_data["outcome"]}',
        f'  {json_data["advice"]}',
    ]


async def _explain_call(call_id: str, client: Client) -> CommandResult:
    view = await read_fleet(client.platform)
    answers = await asyncio.gather(
        *(
            call_admin(
                node.member['admin_address'],
                'GET',
                f'/refusals/{call_id}',
            )
            for node in view.nodes
        ),
    )
    found = [
        _format_refusal(node.id, answer[1])
        for node, answer in zip(view.nodes, answers, strict=True)
        if isinstance(answer, tuple) and answer[0] == _HTTP_OK
    ]
    if found:
        return found[0]
    unreachable = [node.id for node in view.nodes if node.state is None]
    return failure(
        ExitCode.NOT_FOUND,
        f'no node has a record of refusing call {call_id}; nodes keep a '
        'sample of the refusals of the last minute; the error kind is also '
        'part of the answer to the call',
        silent_nodes=unreachable,
    )


def _format_refusal(node_id: str, refusal: dict[str, Any]) -> CommandResult:
    kind = ErrorKind(refusal['kind'])
    service = refusal['service']
    organisation = refusal['organisation'] or 'none'
    lines = [
        f'call {refusal["call"]} was refused by node {node_id}',
        f'  service {service}, organisation {organisation}',
        f'  detail: {refusal["detail"] or "-"}',
        *format_kind(kind),
    ]
    json_data = {**refusal, **describe_kind(kind), 'node': node_id}
    return CommandResult(ExitCode.OK, lines, json_data)
