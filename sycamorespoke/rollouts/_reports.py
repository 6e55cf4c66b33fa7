"""Reports, dumps and log lines of rollouts."""

import attrs
import loguru

from sycamorespoke import messages
from sycamorespoke.rollouts import _orders


def make_report(rollout, host, boot_id, in_flight_by_version, now):
    """Return what a host knows of a rollout as `messages.RolloutReport`.

    Parameters
    ----------
    rollout : HostRollout
        The rollout.
    host, boot_id : str
        Name of the host, and identifier of one start of its process.
    in_flight_by_version : dict of tuple to int
        Requests of the host that run, by service and software version.
    now : float
        Current time, seconds of the boot clock.
    """
    rollout_id = rollout.order.id
    return messages.RolloutReport(
        rollout_id.service,
        rollout_id.version,
        rollout_id.created,
        host,
        boot_id,
        known_s=now - rollout.seen_s,
        end=rollout.end.value if rollout.end else "",
        tallies=[
            messages.RouteTally(route, is_trial, tally.requests, tally.bad)
            for is_trial, by_route in (
                (True, rollout.trial_by_route),
                (False, rollout.old_by_route),
            )
            for route, tally in by_route.items()
        ],
        trial_lost_by_boot=dict(rollout.trial_lost_by_boot),
        old_lost_by_boot=dict(rollout.old_lost_by_boot),
        is_moving=rollout.is_moving,
        fraction=rollout.fraction,
        old_in_flight=sum(
            count
            for (service, version), count in in_flight_by_version.items()
            if service == rollout_id.service and version != rollout_id.version
        ),
    )


def describe(rollout, now):
    """Return a `HostRollout` as JSON values."""
    evidence = rollout.make_evidence()
    state = rollout.end or _orders.RolloutState.RUNNING
    judged_s_ago = now - rollout.judged_s
    return {
        "version": rollout.order.id.version,
        "state": state.value,
        "stored_state": rollout.order.state and rollout.order.state.value,
        "known_s": round(now - rollout.seen_s, 3),
        "judged_s_ago": round(judged_s_ago, 3) if judged_s_ago < 1e9 else None,
        "is_moving": rollout.is_moving,
        "fraction": round(rollout.fraction, 3),
        "has_stopped": rollout.has_stopped,
        "sent": rollout.sent,
        "tried": rollout.tried,
        "trial": attrs.asdict(evidence.sum_trial()),
        "old": attrs.asdict(evidence.sum_old()),
    }


def describe_finding(finding):
    """Return a `Finding` as fields of a log line."""
    return {
        "route": finding.route,
        "requests": finding.trial.requests,
        "bad": finding.trial.bad,
        "compared_share": round(finding.compared_share, 3),
    }


def log(event, order, **fields):
    """Log an event of a rollout, with the states among the fields as text."""
    values = {
        name: value.value if isinstance(value, _orders.RolloutState) else value
        for name, value in fields.items()
    }
    loguru.logger.bind(
        service=order.id.service, software_version=order.id.version, **values
    ).info(event)
