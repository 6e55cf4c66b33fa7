"""Runs a gateway as the only program of a process."""

import os
import signal
import sys

import loguru

from sycamorespoke import settings, telemetry
from sycamorespoke.gateway import _program

LOG_FLUSH_TIMEOUT_S = 0.2


def run_process(path_variable, make_deployment):
    """Run a gateway until a signal ends it.

    Parameters
    ----------
    path_variable : str
        Environment variable that holds the path of the settings file.
    make_deployment : callable
        Takes the name of this host and the platform's address of the settings;
        returns the `Deployment`.

    Returns
    -------
    int
        Exit status: 0 after a shutdown that interrupted no request, 1 for invalid
        settings, 3 if requests were still running when the grace period ended.
    """
    path = os.environ.get(path_variable)
    if not path:
        print(f"environment variable {path_variable} is not set", file=sys.stderr)
        return settings.EXIT_INVALID
    loaded = settings.load(path, settings.GatewaySettings)
    if isinstance(loaded, settings.Faults):
        print(loaded, file=sys.stderr)
        return settings.EXIT_INVALID
    sink = telemetry.configure_bounded_logging(loaded.name, loaded.log_level)
    deployment = make_deployment(loaded.name, loaded.platform)
    program = _program.GatewayProgram(loaded, deployment)
    signal.signal(signal.SIGTERM, lambda *_: program.stop_requested.set())
    signal.signal(signal.SIGINT, lambda *_: program.stop_requested.set())
    signal.signal(signal.SIGHUP, lambda *_: reload_settings(path))
    program.start()
    exit_status = program.run()
    sink.flush(LOG_FLUSH_TIMEOUT_S)
    return exit_status


def reload_settings(path):
    """Validate the settings file again; changes take effect at the next start."""
    loaded = settings.load(path, settings.GatewaySettings)
    if isinstance(loaded, settings.Faults):
        loguru.logger.bind(faults=str(loaded)).error("settings reload refused")
        return
    loguru.logger.info("settings reloaded")
