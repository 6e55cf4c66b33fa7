"""Command that runs a gateway on the users' platform."""

import os
import signal
import sys

import loguru

from sycamorespoke import gateway, platform, settings, telemetry

SETTINGS_PATH_VARIABLE = "SYCAMORESPOKE_BOOT"
LOG_FLUSH_TIMEOUT_S = 0.2


def main():
    """Run a gateway with the settings file that the platform wrote.

    Returns
    -------
    int
        Exit status: 0 after a shutdown that interrupted no request, 1 for invalid
        settings, 3 if requests were still running when the grace period ended.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        print(
            f"environment variable {SETTINGS_PATH_VARIABLE} is not set", file=sys.stderr
        )
        return settings.EXIT_INVALID
    loaded = settings.load(path, settings.GatewaySettings)
    if isinstance(loaded, settings.Faults):
        print(loaded, file=sys.stderr)
        return settings.EXIT_INVALID
    sink = telemetry.configure_bounded_logging(loaded.name, loaded.log_level)
    deployment = platform.make_deployment(loaded.name, loaded.platform)
    program = gateway.GatewayProgram(loaded, deployment)
    signal.signal(signal.SIGTERM, lambda *_: program.stop_requested.set())
    signal.signal(signal.SIGINT, lambda *_: program.stop_requested.set())
    signal.signal(signal.SIGHUP, lambda *_: reload(path))
    program.start()
    exit_status = program.run()
    sink.flush(LOG_FLUSH_TIMEOUT_S)
    return exit_status


def reload(path):
    """Validate the settings file again; changes take effect at the next start."""
    loaded = settings.load(path, settings.GatewaySettings)
    if isinstance(loaded, settings.Faults):
        loguru.logger.bind(faults=str(loaded)).error("settings reload refused")
        return
    loguru.logger.info("settings reloaded")


if __name__ == "__main__":
    # Skip the join of worker threads at exit: they may still wait for upstreams,
    # and nobody needs their results.
    os._exit(main())
