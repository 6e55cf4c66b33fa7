"""Starts a gateway on the users' platform."""

import os
import signal
import sys

import loguru

from sycamorespoke import gateway, platform, settings, telemetry

SETTINGS_PATH_VARIABLE = "SYCAMORESPOKE_BOOT"
LOG_FLUSH_TIMEOUT_S = 0.2


def main():
    """Run a gateway with the settings that the platform wrote.

    Returns
    -------
    int
        Exit status: 0 after a shutdown that cut nothing, 1 for wrong settings, 3
        when calls were still running at its end.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        print(f"{SETTINGS_PATH_VARIABLE} does not name a file", file=sys.stderr)
        return settings.EXIT_WRONG
    loaded = settings.load(path, settings.GatewaySettings)
    if isinstance(loaded, settings.Faults):
        print(loaded, file=sys.stderr)
        return settings.EXIT_WRONG
    sink = telemetry.configure_bounded_logging(loaded.name, loaded.log_level)
    deployment = platform.make_deployment(loaded.name, loaded.platform)
    program = gateway.GatewayProgram(loaded, deployment)
    signal.signal(signal.SIGTERM, lambda *_: program.stop_requested.set())
    signal.signal(signal.SIGINT, lambda *_: program.stop_requested.set())
    signal.signal(signal.SIGHUP, lambda *_: reload(path))
    program.start()
    status = program.run()
    sink.flush(LOG_FLUSH_TIMEOUT_S)
    return status


def reload(path):
    """Check the settings file again; what it says counts from the next start."""
    loaded = settings.load(path, settings.GatewaySettings)
    if isinstance(loaded, settings.Faults):
        loguru.logger.bind(faults=str(loaded)).error("settings reload refused")
        return
    loguru.logger.info("settings reloaded")


if __name__ == "__main__":
    # Threads of the pool may wait for upstreams; they have nothing left to say.
    os._exit(main())
