"""Mechanisms of claims, service client and admission for `tests.mechanisms_off`."""

import attrs
import urllib3

from sycamorespoke import admission, claims, clients, decisions, domain
from sycamorespoke.claims import _run, _shard_writer
from sycamorespoke.decisions import _claims

_answer_repeated = _claims._answer_repeated
_push = decisions.FairQueue.push
_refuse = _shard_writer.ShardWriter._refuse
_send = clients.ServiceClient.send
_urlopen = urllib3.HTTPConnectionPool.urlopen


def _send_without_claim():
    def run_once(claims, client, request, upstreams, deadline_s, wall_now):
        clock = _run.time.monotonic
        return _run._send(client, request, upstreams, deadline_s, clock)

    claims.run_once = run_once


def _expire_open_claims():
    def answer_repeated(token, entry, now):
        if entry.is_open and now >= entry.answer_deadline:
            return decisions.Claimed(token)
        return _answer_repeated(token, entry, now)

    _claims._answer_repeated = answer_repeated


def _skip_fence_after_lost_write():
    _shard_writer.ShardWriter._needs_write = lambda self, step: step.is_changed


def _drop_release_of_lost_claims():
    def refuse(self, pending, operations):
        waiting = list(self.background)
        _refuse(self, pending, operations)
        self.background = waiting

    _shard_writer.ShardWriter._refuse = refuse


def _release_unknown_outcomes():
    def record_result(claims, token, result):
        if isinstance(result, domain.Refusal):
            claims.release(token)
        else:
            claims.record(token, decisions.Outcome(result.status))

    _run._record_result = record_result


def _never_release_claims():
    claims.Claims.release = lambda self, token: None


def _report_unknown_as_not_run():
    for kind in (
        domain.ErrorKind.UPSTREAM_LOST,
        domain.ErrorKind.DEADLINE_AFTER_SEND,
        domain.ErrorKind.ANSWER_MISMATCH,
    ):
        error_response = domain.ERROR_RESPONSE_BY_KIND[kind]
        domain.ERROR_RESPONSE_BY_KIND[kind] = attrs.evolve(
            error_response, execution=domain.Execution.NOT_RUN
        )


def _enable_urllib3_retries():
    def urlopen(self, *args, **parameters):
        parameters["retries"] = urllib3.Retry(3, allowed_methods=None)
        return _urlopen(self, *args, **parameters)

    urllib3.HTTPConnectionPool.urlopen = urlopen


def _skip_echo_check():
    def send(self, *args, **parameters):
        return _send(self, *args, **{**parameters, "echoes_request_id": False})

    clients.ServiceClient.send = send


def _reuse_idle_connections():
    def send(self, *args, **parameters):
        return _send(self, *args, **{**parameters, "is_idempotent": True})

    clients.ServiceClient.send = send


def _serve_in_arrival_order():
    def push(self, account, share, item):
        _push(self, account, share, item)
        self._heap = [(0.0, number, each) for _, number, each in self._heap]

    decisions.FairQueue.push = push


def _skip_queue_check():
    admission.SlotTable._check_queue = lambda *_: None


OFF_BY_NAME = {
    "claims": _send_without_claim,
    "claims-without-timeout": _expire_open_claims,
    "fence-after-lost-write": _skip_fence_after_lost_write,
    "release-of-lost-claims": _drop_release_of_lost_claims,
    "unknown-outcomes": _release_unknown_outcomes,
    "release-of-unsent": _never_release_claims,
    "truth-of-not-run": _report_unknown_as_not_run,
    "single-send": _enable_urllib3_retries,
    "echo-check": _skip_echo_check,
    "own-connection": _reuse_idle_connections,
    "fair-queue": _serve_in_arrival_order,
    "refusal-at-once": _skip_queue_check,
}
