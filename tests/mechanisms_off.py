"""Switches single mechanisms off, to show the tests that need them fail.

``python -m pytest -p tests.mechanisms_off --mechanism-off block-checks -m blocks``
"""

import attrs

from sycamorespoke import clients, world
from sycamorespoke.clients import _block_checks
from tests import mechanisms_off_run_once

_chain_block_keys = world.chain_block_keys
_find_block_error = _block_checks.find_block_error
_import_block = clients.BlockClient.import_block


def pytest_addoption(parser):
    parser.addoption(
        "--mechanism-off", action="append", default=[], choices=sorted(OFF_BY_NAME)
    )


def pytest_configure(config):
    for name in config.getoption("--mechanism-off"):
        OFF_BY_NAME[name]()


def _trust_every_byte():
    _block_checks.find_block_error = lambda *_: ""


def _trust_first_description():
    clients.StoreClient.check_unchanged = lambda *_: None


def _trust_file_name():
    """Check length and checksum, and not whose block it is."""

    def find_fault(key, version, described, data):
        own = clients.parse_envelope(data) or clients.Envelope(key, version, b"")
        described = attrs.evolve(described, key=own.key)
        return _find_block_error(own.key, own.version, described, data)

    _block_checks.find_block_error = find_fault


def _leave_account_out():
    world.chain_block_keys = lambda account, *rest, **named: _chain_block_keys(
        "", *rest, **named
    )


def _leave_version_out():
    def chain(account, model, version, prompt, adapter=""):
        return _chain_block_keys(account, model, "", prompt, adapter)

    world.chain_block_keys = chain


def _claim_version_wanted():
    """Tell an engine that refuses a block that it is of its own version."""

    def import_block(self, host, envelope):
        result = _import_block(self, host, envelope)
        for version in ("v1", "v2"):
            if isinstance(result, clients.Stale):
                claimed = attrs.evolve(envelope, version=version)
                result = _import_block(self, host, claimed)
        return result

    clients.BlockClient.import_block = import_block


def _trust_exports():
    def export_block(self, host, key, version):
        response = self._pool.request("GET", host, f"/v1/blocks/{key}")
        if response.status != 200:
            return clients.Missing()
        return clients.Envelope(key, version, response.data)

    clients.BlockClient.export_block = export_block


OFF_BY_NAME = {
    **mechanisms_off_run_once.OFF_BY_NAME,
    "block-checks": _trust_every_byte,
    "block-generation": _trust_first_description,
    "block-identity": _trust_file_name,
    "account-in-key": _leave_account_out,
    "version-in-key": _leave_version_out,
    "export-checks": _trust_exports,
    "version-of-import": _claim_version_wanted,
}
