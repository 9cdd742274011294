"""Directs calls with the same idempotency key to the same ledger.

Each key has a home node among the nodes of its service, chosen by rendezvous
hashing. The home node runs the first call with a key only after the witness,
the next node in the ranking, has recorded the key: if the home node is lost,
the witness becomes the home node and knows that the key was used.
"""

from __future__ import annotations

import hashlib

import xxhash

from figlane.entities.call import Call
from figlane.entities.execution import Execution, ExecutionPhase
from figlane.entities.inbox import PeerMessage
from figlane.entities.key_messages import KeyClaim, KeyClaimed
from figlane.entities.ledger import WitnessedKey
from figlane.entities.member import Member, MemberPhase
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.registry import RunCondition
from figlane.systems.admission.execution import end_execution
from figlane.systems.admission.ledger import KEY_RECORD_SECONDS, ledger_epoch
from figlane.systems.links.messages import send_message
from figlane.systems.membership.domains import is_taken_out
from figlane.systems.registry import Stage, peer_handlers, system

# Time for which the home node waits for the reply of the witness.
_WITNESS_TIMEOUT_SECONDS = 1.0

_SERVING_PHASES = (MemberPhase.ALIVE, MemberPhase.SUSPECT)
_DIGEST_HEX_DIGITS = 32


def digest_key(call: Call) -> str:
    """Compute the ledger key of a call with an idempotency key.

    :param call: an identified call.
    :return: the digest; empty for a call without a key or an organisation,
        and for an idempotent call, which needs no deduplication.
    """
    if not call.idempotency_key or not call.organisation_id:
        return ''
    if call.route is None or call.route.idempotent:
        return ''
    parts = (call.service_id, call.organisation_id, call.idempotency_key)
    text = '\0'.join(parts)
    return hashlib.sha256(text.encode()).hexdigest()[:_DIGEST_HEX_DIGITS]


def ranked_nodes(world: World, service_id: str, key: str) -> list[Member]:
    """Rank the serving nodes of a service for a key by rendezvous hash.

    The first is the home node of the key and the second its witness.

    :param world: the tables.
    :param service_id: the service.
    :param key: the digest of the key.
    :return: the members, the lowest score first.
    """
    members = [
        member
        for phase in _SERVING_PHASES
        for member in world.members.in_phase(phase)
        if member.service == service_id
        and not is_taken_out(world, member.failure_domain)
    ]
    return sorted(members, key=lambda member: _rendezvous_score(key, member.id))


def _rendezvous_score(key: str, node_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key} {node_id}'.encode())


@system(Stage.EXECUTION, RunCondition('executions', ExecutionPhase.KEYED))
def claim_keys(world: World, now: float) -> None:
    """Send a key claim to the witness for each execution with a key.

    If no other node serves the service, there is no witness and the execution
    is queued at once.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for execution in world.executions.in_phase(ExecutionPhase.KEYED):
        _claim_key(world, execution, now)


def _claim_key(world: World, execution: Execution, now: float) -> None:
    own_id = world.identity.node_id
    key = execution.ledger_key
    others = [
        member
        for member in ranked_nodes(world, execution.service_id, key)
        if member.id != own_id
    ]
    if not others:
        world.executions.move(execution, ExecutionPhase.QUEUED)
        return
    due = min(execution.deadline, now + _WITNESS_TIMEOUT_SECONDS)
    world.executions.schedule(execution, due)
    world.executions.move(execution, ExecutionPhase.CLAIMING)
    epoch = ledger_epoch(world)
    claim = KeyClaim(key, execution.id, execution.attempt, epoch)
    send_message(world, others[0].id, claim)


@peer_handlers.register(KeyClaim)
def handle_claim(world: World, row: PeerMessage, now: float) -> None:
    """Record the claim of a key unless the key is already in use.

    It is in use if this node has an execution with it or another claimant has
    claimed it. A claimant is a node at one ledger epoch: after a restart the
    same node counts as another claimant.

    :param world: the tables.
    :param row: the claim.
    :param now: the present time in seconds.
    """
    claim: KeyClaim = row.message
    _evict_expired_claims(world, now)
    claimant = (row.sender, claim.epoch)
    witnessed = world.ledger.witnessed_by_key.get(claim.key)
    is_known = claim.key in world.ledger.execution_by_key
    if witnessed is not None and witnessed.claimant != claimant:
        is_known = True
    if not is_known:
        world.ledger.witnessed_by_key.pop(claim.key, None)
        world.ledger.witnessed_by_key[claim.key] = WitnessedKey(claimant, now)
    send_message(
        world,
        row.sender,
        KeyClaimed(claim.key, claim.call_id, claim.attempt, is_known),
    )


def _evict_expired_claims(world: World, now: float) -> None:
    by_key = world.ledger.witnessed_by_key
    while by_key:
        oldest = next(iter(by_key))
        if now - by_key[oldest].claimed_at < KEY_RECORD_SECONDS:
            return
        by_key.pop(oldest)


@peer_handlers.register(KeyClaimed)
def handle_claimed(world: World, row: PeerMessage, now: float) -> None:
    """Queue an execution if its key is unused, and refuse it otherwise.

    :param world: the tables.
    :param row: the reply of the witness.
    :param now: the present time in seconds.
    """
    claimed: KeyClaimed = row.message
    execution = world.executions.get(claimed.call_id)
    if execution is None or execution.phase is not ExecutionPhase.CLAIMING:
        return
    if claimed.is_known:
        known = Refusal(
            ErrorKind.OUTCOME_UNKNOWN,
            'the idempotency key was used on another node',
        )
        end_execution(world, execution, known, now)
        return
    world.executions.schedule(execution, execution.deadline)
    world.executions.move(execution, ExecutionPhase.QUEUED)
