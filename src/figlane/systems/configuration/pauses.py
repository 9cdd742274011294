"""Holds calls back after a pause until the configuration is known as current.

While a process is paused, keys may be withdrawn and failure domains taken out.
The calls that have arrived meanwhile must not run by what was in force before.
"""

from __future__ import annotations

from figlane.entities.configuration_messages import ConfigurationQuery
from figlane.entities.outbox import LogDecision
from figlane.entities.world import World
from figlane.systems.configuration.exchange import ROUTINE, checksum
from figlane.systems.links.messages import send_message
from figlane.systems.membership.rendezvous import live_members
from figlane.systems.registry import Stage, system
from figlane.systems.scheduling import bring_forward

# Time between two ticks above which the process was paused. Routines cause a
# tick each second.
_MAX_TICK_INTERVAL_SECONDS = 2.0
# Number of peers that are asked after a pause, and the longest time for which
# calls wait for their answers.
_ASKED_PEERS = 3
_MAX_WAIT_SECONDS = 0.5


@system(Stage.CONFIGURATION)
def detect_pause(world: World, now: float) -> None:
    """Ask peers for their versions in the first tick after a pause.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    exchange = world.configuration_exchange
    was_paused = world.seconds_since_last_tick > _MAX_TICK_INTERVAL_SECONDS
    if not was_paused or exchange.resumed_at == now or not world.kind_feeds:
        return
    exchange.resumed_at = now
    seconds = round(world.seconds_since_last_tick, 3)
    world.outbox.append(
        LogDecision(
            'process_resumed',
            {'seconds': seconds, 'configuration': world.ingress.version},
        )
    )
    members = live_members(world)
    if not members or not world.ingress.version:
        return
    exchange.confirm_by = now + _MAX_WAIT_SECONDS
    exchange.version_at_pause = world.ingress.version
    exchange.asked_at = now
    exchange.asked_id = ''
    question = ConfigurationQuery(now, checksum(world))
    count = min(_ASKED_PEERS, len(members))
    for member in world.random.sample(members, count):
        send_message(world, member.id, question)
    bring_forward(world, ROUTINE, exchange.confirm_by)


def awaits_confirmation(world: World, now: float) -> bool:
    """Check whether calls have to wait for the first answer after a pause.

    :param world: the tables.
    :param now: the present time in seconds.
    :return: False once a peer has answered, or none has in time.
    """
    exchange = world.configuration_exchange
    if now >= exchange.confirm_by:
        return False
    return world.ingress.version == exchange.version_at_pause
