"""Switches for `tests.mechanisms_off`: claims, service client and admission."""

import attrs
import urllib3

from sycamorespoke import admission, claims, clients, decisions, world
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


def _let_claims_time_out():
    def answer_repeated(token, entry, now):
        if entry.is_open and now >= entry.answer_deadline:
            return decisions.Claimed(token)
        return _answer_repeated(token, entry, now)

    _claims._answer_repeated = answer_repeated


def _trust_reads_after_lost_writes():
    _shard_writer.ShardWriter._needs_write = lambda self, step: step.is_changed


def _forget_lost_claims():
    def refuse(self, pending, operations):
        waiting = list(self.background)
        _refuse(self, pending, operations)
        self.background = waiting

    _shard_writer.ShardWriter._refuse = refuse


def _release_unknown_outcomes():
    def record_result(claims, token, result):
        if isinstance(result, world.Refusal):
            claims.release(token)
        else:
            claims.record(token, decisions.Outcome(result.status))

    _run._record_result = record_result


def _keep_unsent_claims():
    claims.Claims.release = lambda self, token: None


def _call_unknown_not_run():
    for kind in (
        world.ErrorKind.UPSTREAM_LOST,
        world.ErrorKind.DEADLINE_AFTER_SEND,
        world.ErrorKind.ANSWER_MISMATCH,
    ):
        error_response = world.ERROR_RESPONSE_BY_KIND[kind]
        world.ERROR_RESPONSE_BY_KIND[kind] = attrs.evolve(
            error_response, execution=world.Execution.NOT_RUN
        )


def _let_library_retry():
    def urlopen(self, *args, **parameters):
        parameters["retries"] = urllib3.Retry(3, allowed_methods=None)
        return _urlopen(self, *args, **parameters)

    urllib3.HTTPConnectionPool.urlopen = urlopen


def _leave_echo_unchecked():
    def send(self, *args, **parameters):
        return _send(self, *args, **{**parameters, "echoes_request_id": False})

    clients.ServiceClient.send = send


def _use_kept_connections():
    def send(self, *args, **parameters):
        return _send(self, *args, **{**parameters, "is_idempotent": True})

    clients.ServiceClient.send = send


def _serve_in_order_of_arrival():
    def push(self, account, share, item):
        _push(self, account, share, item)
        self._heap = [(0.0, number, each) for _, number, each in self._heap]

    decisions.FairQueue.push = push


def _refuse_after_waiting():
    admission.SlotTable._check_queue = lambda *_: None


OFF_BY_NAME = {
    "claims": _send_without_claim,
    "claims-without-timeout": _let_claims_time_out,
    "fence-after-lost-write": _trust_reads_after_lost_writes,
    "release-of-lost-claims": _forget_lost_claims,
    "unknown-outcomes": _release_unknown_outcomes,
    "release-of-unsent": _keep_unsent_claims,
    "truth-of-not-run": _call_unknown_not_run,
    "single-send": _let_library_retry,
    "echo-check": _leave_echo_unchecked,
    "own-connection": _use_kept_connections,
    "fair-queue": _serve_in_order_of_arrival,
    "refusal-at-once": _refuse_after_waiting,
}
