"""Fakes of external systems, for tests of single components."""

from tests.fakes.block_deployment import BlockDeployment, make_keys, make_prompt
from tests.fakes.document_platform import DocumentPlatform, PlatformConnection
from tests.fakes.engines import FakeEngines
from tests.fakes.fleet import Fleet
from tests.fakes.in_process import InProcessPool
from tests.fakes.platform import FakePlatform
from tests.fakes.slow_platform import InterruptiblePlatform, SlowPlatform

__all__ = [
    "BlockDeployment",
    "DocumentPlatform",
    "FakeEngines",
    "FakePlatform",
    "Fleet",
    "InProcessPool",
    "InterruptiblePlatform",
    "PlatformConnection",
    "SlowPlatform",
    "make_keys",
    "make_prompt",
]
