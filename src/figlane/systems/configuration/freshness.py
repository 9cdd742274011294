"""Checks that this node's configuration is fresh enough for keyed calls."""

from __future__ import annotations

from figlane.entities.member import MemberPhase
from figlane.entities.service import ConfigurationPhase
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.systems.configuration.feed import FOLLOW_ROUTINE
from figlane.systems.configuration.versions import get_feed
from figlane.systems.registry import outage_policies

# Age of the configuration up to which keyed calls run; above it, the outage
# policy decides. Also the time for which a contact with a domain is recent.
MAX_CONTACT_AGE_SECONDS = 6.0


def configuration_refusal(world: World, now: float) -> Refusal | None:
    """Refuse keyed calls if a revocation of the key may have been missed.

    The clock advances while the process is paused. A resumed node therefore
    has no recent contact and refuses until a peer or the store has answered.

    :param world: the tables.
    :param now: the present time in seconds.
    :return: the refusal of keyed calls, or None.
    """
    if FOLLOW_ROUTINE not in world.routines:
        return None
    if now - get_feed(world).current_at <= MAX_CONTACT_AGE_SECONDS:
        return None
    policy = outage_policies.find(world.policies.outage)
    if policy(world, now):
        return None
    return Refusal(
        ErrorKind.STALE_CONFIGURATION,
        'the configuration of this node may be out of date',
        retry_after=1,
    )


@outage_policies.register('none')
def allow_all(world: World, now: float) -> bool:
    """Allow keyed calls with a configuration of any age (baseline policy).

    :param world: the tables.
    :param now: the present time in seconds.
    :return: True.
    """
    return True


@outage_policies.register('refuse')
def refuse_all(world: World, now: float) -> bool:
    """Refuse keyed calls in any outage of the platform's object store.

    :param world: the tables.
    :param now: the present time in seconds.
    :return: False.
    """
    return False


@outage_policies.register('majority')
def has_majority(world: World, now: float) -> bool:
    """Allow keyed calls while a majority of the failure domains is in contact.

    Only peers without newer objects count as contacts, so none of them had
    received a change that this node lacks.

    :param world: the tables.
    :param now: the present time in seconds.
    :return: whether there was a recent contact in more than half of the
        domains; this node's own domain always counts.
    """
    domains = configured_domains(world)
    own = world.identity.failure_domain
    contacted = [
        domain
        for domain in domains
        if domain == own or _is_fresh(world, domain, now)
    ]
    return len(contacted) * 2 > len(domains)


def _is_fresh(world: World, domain: str, now: float) -> bool:
    contacted_at = world.contacted_at_by_domain.get(domain)
    return (
        contacted_at is not None
        and now - contacted_at <= MAX_CONTACT_AGE_SECONDS
    )


def configured_domains(world: World) -> set[str]:
    """Return the failure domains whose majority the policy requires.

    :param world: the tables.
    :return: the configured domains; if there are none, those of the members
        that are not dead.
    """
    configured = world.failure_domains.in_phase(ConfigurationPhase.IN_FORCE)
    if configured:
        return {domain.id for domain in configured}
    return {
        member.failure_domain
        for member in world.members
        if member.phase is not MemberPhase.DEAD
    }
