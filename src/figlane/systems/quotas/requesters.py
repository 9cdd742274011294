"""Recognises requesters of a bucket that have fallen silent."""

from __future__ import annotations

from figlane.entities.charge import OwnedBucket, Requester

# Least time without a request after which a requester has fallen silent.
_ASKED_SECONDS = 1.0
# Interval at which an owner looks for requesters that have fallen silent.
_CHECK_SECONDS = 0.25
# A requester has fallen silent after this multiple of the mean time between its
# requests. It is looked at until it must have been declared dead.
_SILENT_GAPS = 5
_SILENT_MAX_SECONDS = 10.0
# Weight of the newest sample in the mean time between requests.
_GAP_GAIN = 0.25


def record_requester(bucket: OwnedBucket, node_id: str, now: float) -> None:
    """Record a request and the mean time between requests of its sender.

    :param bucket: the bucket.
    :param node_id: the sender.
    :param now: the present time in seconds.
    """
    requester = bucket.requester_by_node.get(node_id)
    if requester is None:
        bucket.requester_by_node[node_id] = Requester(now)
        return
    gap = now - requester.asked_at
    mean_gap = requester.mean_gap or gap
    requester.mean_gap = mean_gap + _GAP_GAIN * (gap - mean_gap)
    requester.asked_at = now


def has_silent_requester(bucket: OwnedBucket, now: float) -> bool:
    """Check whether a node that used the bucket has stopped to do so.

    :param bucket: the bucket.
    :param now: the present time in seconds.
    :return: True if a successor may serve one of its users.
    """
    if now < bucket.checked_at + _CHECK_SECONDS:
        return bucket.has_silent_requester
    bucket.checked_at = now
    bucket.requester_by_node = {
        node_id: requester
        for node_id, requester in bucket.requester_by_node.items()
        if now - requester.asked_at < _SILENT_MAX_SECONDS
    }
    bucket.has_silent_requester = any(
        is_silent(requester, now)
        for requester in bucket.requester_by_node.values()
    )
    return bucket.has_silent_requester


def is_silent(requester: Requester, now: float) -> bool:
    """Check whether a requester has sent no request for unusually long.

    :param requester: the requester.
    :param now: the present time in seconds.
    :return: whether it has.
    """
    patience = max(_ASKED_SECONDS, _SILENT_GAPS * requester.mean_gap)
    return now - requester.asked_at > patience
