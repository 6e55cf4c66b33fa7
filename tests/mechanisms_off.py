"""Pytest plugin that disables single mechanisms to show that tests fail without them.

``python -m pytest -p tests.mechanisms_off --mechanism-off block-checks -m blocks``
"""

import http.client

import attrs

from sycamorespoke import clients, decisions, domain
from sycamorespoke.clients import _block_checks
from sycamorespoke.decisions import _crash_evidence
from sycamorespoke.gateway import (
    _continuations,
    _crash_watch,
    _events,
    _forwarding,
    _listed_versions,
    _origin_directory,
    _stored_origins,
    _stream_body,
    _table,
)
from sycamorespoke.objects import _revision_log
from sycamorespoke.platform import _names
from sycamorespoke.quarantine import _quarantine
from sycamorespoke.rollouts import (
    _listed_versions as _rollout_versions,
    _share,
    _timing,
)
from tests import mechanisms_off_run_once

_chain_block_keys = domain.chain_block_keys
_find_block_error = _block_checks.find_block_error
_NO_EVENTS = domain.Refusal(domain.ErrorKind.UPSTREAM_REFUSED, "no events")
_import_block = clients.BlockClient.import_block


def pytest_addoption(parser):
    parser.addoption(
        "--mechanism-off", action="append", default=[], choices=sorted(OFF_BY_NAME)
    )


def pytest_configure(config):
    for name in config.getoption("--mechanism-off"):
        OFF_BY_NAME[name]()


def _skip_block_checks():
    _block_checks.find_block_error = lambda *_: ""


def _skip_check_after_read():
    clients.StoreClient.check_unchanged = lambda *_: None


def _skip_identity_check():
    """Check the length and the checksum, but not the key and the version."""

    def find_block_error(key, version, metadata, data):
        stored = clients.parse_envelope(data) or clients.Envelope(key, version, b"")
        metadata = attrs.evolve(metadata, key=stored.key)
        return _find_block_error(stored.key, stored.version, metadata, data)

    _block_checks.find_block_error = find_block_error


def _skip_cut_off_check():
    for pool_class in (clients.CheckedPool, clients.ReplyPool):
        pool_class.ConnectionCls.response_class = http.client.HTTPResponse


def _skip_stream_end_check():
    _stream_body.StreamBody._find_early_end = lambda _: None


def _join_all_responses_with_status_200():
    _continuations.find_bar = lambda head: None if head.status == 200 else _NO_EVENTS


def _take_all_pieces_for_events():
    _events.EventSplitter._is_error = lambda *_: False


def _omit_account_from_keys():
    domain.chain_block_keys = lambda account, *rest, **keywords: _chain_block_keys(
        "", *rest, **keywords
    )


def _omit_version_from_keys():
    def chain(account, model, version, prompt, adapter=""):
        return _chain_block_keys(account, model, "", prompt, adapter)

    domain.chain_block_keys = chain


def _import_under_version_of_engine():
    """Import a refused block again, labelled with the version of the engine."""

    def import_block(self, host, envelope):
        result = _import_block(self, host, envelope)
        for version in ("v1", "v2"):
            if isinstance(result, clients.Stale):
                relabelled = attrs.evolve(envelope, version=version)
                result = _import_block(self, host, relabelled)
        return result

    clients.BlockClient.import_block = import_block


def _skip_export_checks():
    def export_block(self, host, key, version):
        response = self._pool.request("GET", host, f"/v1/blocks/{key}")
        if response.status != 200:
            return clients.Missing()
        return clients.Envelope(key, version, response.data)

    clients.BlockClient.export_block = export_block


def _ignore_leaving():
    _table.UpstreamTable.record_leaving = lambda *_: False


def _ignore_software_versions():
    decisions.StreamOrigin.allows = lambda *_: True


def _ask_no_host():
    _origin_directory.OriginDirectory._list_links = lambda *_: []


def _ignore_backoff():
    _table.UpstreamTable.record_backoff = lambda *_: False


def _ignore_quarantine():
    _crash_watch.CrashWatch.find_refusal = lambda *_: None


def _ignore_requests_lost_before_a_response():
    record_lost = _crash_watch.CrashWatch.record_lost

    def record_lost_response(self, upstream, kind, has_begun, now):
        if has_begun:
            record_lost(self, upstream, kind, has_begun, now)

    _crash_watch.CrashWatch.record_lost = record_lost_response


def _count_upstreams_lost_together():
    _crash_evidence.MIN_MOMENTS = 1


def _keep_disproved_quarantine():
    _quarantine.Quarantine._lift_disproved = lambda *_: None


def _forward_nothing():
    _forwarding.Forwarder.choose = lambda *_: None


def _read_no_stored_origins():
    _stored_origins.StoredOrigins.find = lambda *_: None


def _decode_documents_whole():
    clients.salvage_document = lambda data, keys: clients.decode_document(data)


def _trust_pending_watches():
    _revision_log.RevisionLog.is_unchanged = lambda *_: True


def _ignore_the_era_of_the_store():
    _names.STORE_ERA = "No-Such-Header"


def _learn_nothing_of_other_hosts():
    _table.UpstreamTable.set_pooled_ejections = lambda *_: None


def _trust_the_known_versions():
    _listed_versions.ListedVersions.read = lambda *_: frozenset()


def _send_any_share():
    _share.may_try = lambda *_, **__: True


def _use_versions_before_their_orders():
    _rollout_versions.ListedVersions.may_use = lambda *_: True


def _need_no_judge():
    _timing.Limits.compute_patience_s = lambda *_: float("inf")


OFF_BY_NAME = {
    **mechanisms_off_run_once.OFF_BY_NAME,
    "block-checks": _skip_block_checks,
    "cut-off-check": _skip_cut_off_check,
    "stream-end-check": _skip_stream_end_check,
    "continuation-check": _join_all_responses_with_status_200,
    "error-in-stream-check": _take_all_pieces_for_events,
    "block-generation": _skip_check_after_read,
    "block-identity": _skip_identity_check,
    "account-in-key": _omit_account_from_keys,
    "version-in-key": _omit_version_from_keys,
    "export-checks": _skip_export_checks,
    "version-of-import": _import_under_version_of_engine,
    "leaving": _ignore_leaving,
    "backoff": _ignore_backoff,
    "stream-versions": _ignore_software_versions,
    "stream-records": _ask_no_host,
    "listed-versions": _trust_the_known_versions,
    "lost-watches": _trust_pending_watches,
    "store-eras": _ignore_the_era_of_the_store,
    "pooled-outcomes": _learn_nothing_of_other_hosts,
    "salvage": _decode_documents_whole,
    "stored-origins": _read_no_stored_origins,
    "forwarding": _forward_nothing,
    "quarantine": _ignore_quarantine,
    "lost-before-response": _ignore_requests_lost_before_a_response,
    "moments": _count_upstreams_lost_together,
    "rollout-share": _send_any_share,
    "rollout-orders": _use_versions_before_their_orders,
    "rollout-judge": _need_no_judge,
    "disproof": _keep_disproved_quarantine,
}
