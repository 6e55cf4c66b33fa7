"""The steward program."""

import signal
import threading

import loguru
import msgspec

from sycamorespoke import clients, membership, messages, settings, telemetry
from sycamorespoke.steward import _steward

STEP_INTERVAL_S = 0.3


class StewardProgram:
    """All components of one steward process.

    Parameters
    ----------
    steward_settings : settings.StewardSettings
        Validated settings.
    """

    def __init__(self, steward_settings):
        self.settings = steward_settings
        self.metrics = telemetry.Metrics({"host": steward_settings.name})
        self.stop_requested = threading.Event()
        platform_client = clients.PlatformClient(steward_settings.platform)
        self.member = membership.Member.start(
            # Differs from the host's name, which its entry daemon uses in heartbeats.
            f"{steward_settings.name}:steward",
            steward_settings.data_centre,
            platform_client,
            listen=steward_settings.peer_listen,
            shared_key=steward_settings.shared_key,
            seeds=steward_settings.seeds,
            handle=self._handle_message,
        )
        self.steward = _steward.Steward(
            steward_settings.name,
            steward_settings.data_centre,
            self.member,
            platform_client,
        )

    def start(self):
        """Start the HTTP server for operators."""
        app = telemetry.make_operators_app(
            self.metrics, self._dump, self._in_force, self.stop_requested.set
        )
        telemetry.OperatorsServer(self.settings.operators_listen, app).start()
        loguru.logger.info("steward started")

    def run(self):
        """Run until a stop is requested, then release the leases.

        Returns
        -------
        int
            Exit status, always 0.
        """
        while not self.stop_requested.wait(STEP_INTERVAL_S):
            try:
                self.steward.step()
            except Exception:
                # An error in one step must not end the process.
                loguru.logger.exception("steward step failed")
        self.steward.release()
        self.member.stop()
        loguru.logger.info("steward stopped")
        return 0

    def _in_force(self):
        return msgspec.structs.asdict(self.member.make_in_force_reply())

    def _dump(self):
        return {"in_force": self._in_force(), "shards": self.steward.dump()}

    def _handle_message(self, message):
        if isinstance(message, messages.DumpRequest):
            return messages.DumpReply(msgspec.to_builtins(self._dump(), enc_hook=str))
        return None


def main(arguments=None):
    """Run ``sycamorespoke-steward``.

    Parameters
    ----------
    arguments : list of str or None, default=None
        Command-line arguments without the program's name; ``None`` means those of
        the process.

    Returns
    -------
    int
        Exit status: 0 after a stop, 1 for invalid settings.
    """
    steward_settings = settings.read_command_line(
        "sycamorespoke-steward", settings.StewardSettings, arguments
    )
    if isinstance(steward_settings, settings.Exit):
        return steward_settings.status
    telemetry.configure_logging(steward_settings.name, steward_settings.log_level)
    program = StewardProgram(steward_settings)
    signal.signal(signal.SIGTERM, lambda *_: program.stop_requested.set())
    signal.signal(signal.SIGINT, lambda *_: program.stop_requested.set())
    program.start()
    return program.run()
