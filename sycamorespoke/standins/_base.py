"""Base class of the stand-ins: faults, counts and the WSGI application."""

import threading
import time

from sycamorespoke.standins import _wsgi


class Standin:
    """Base class of the stand-ins.

    Attributes
    ----------
    faults : dict
        Active faults: value by name. ``PUT /faults`` replaces them.

    Notes
    -----
    A subclass sets ``FAULTS`` to the names of its own faults with the values
    that disable them, and implements ``handle`` and ``count``. ``_changed``
    guards all state.
    """

    FAULTS = {}
    COMMON_FAULTS = {"down": False, "delay_s": 0.0, "lose_answers": 0}

    def __init__(self):
        self._changed = threading.Condition()
        self.faults = {**self.COMMON_FAULTS, **self.FAULTS}

    def app(self, environ, start_response):
        """Handle a request, as a WSGI application."""
        request = _wsgi.parse_request(environ)
        try:
            response = self._respond(request)
        except _wsgi.BadRequestError as error:
            response = _wsgi.make_json_response(400, {"error": str(error)})
        if request.method == "HEAD":
            length = response.headers.get("X-Length", str(len(response.body)))
            headers = {**response.headers, "Content-Length": length}
            response = _wsgi.Response(response.status, b"", headers)
        return _wsgi.start_wsgi_response(response, start_response)

    def set_faults(self, faults):
        """Replace the active faults.

        Parameters
        ----------
        faults : dict
            Values by name. Faults that are not given are disabled.

        Raises
        ------
        BadRequestError
            If the stand-in does not support a fault.
        """
        known = {**self.COMMON_FAULTS, **self.FAULTS}
        unknown = sorted(set(faults) - set(known))
        if unknown:
            raise _wsgi.BadRequestError(f"unknown faults: {', '.join(unknown)}")
        with self._changed:
            self.faults = {**known, **faults}
            self.handle_faults_changed()
            self._changed.notify_all()

    def handle_faults_changed(self):
        """Apply faults that take effect immediately; called with the lock held."""

    def count(self):
        """Return the counts for ``GET /counts``."""
        return {}

    def handle(self, request):
        """Handle a request of the stand-in's own protocol."""
        raise NotImplementedError

    def handle_down(self):
        """Handle a request while ``down`` is set; by default, close the connection."""
        raise _wsgi.AbortConnectionError("down")

    def consume_fault(self, name):
        """Decrement a counted fault; return whether it was above 0."""
        with self._changed:
            if self.faults[name] <= 0:
                return False
            self.faults[name] -= 1
            return True

    def _respond(self, request):
        if request.path == "/faults":
            if request.method == "PUT":
                self.set_faults(request.parse_json())
            return _wsgi.make_json_response(200, self.faults)
        if request.path == "/counts":
            return _wsgi.make_json_response(200, self.count())
        if self.faults["delay_s"]:
            time.sleep(self.faults["delay_s"])
        if self.faults["down"]:
            return self.handle_down()
        response = self.handle(request)
        is_mutating = request.method in _wsgi.MUTATING_METHODS
        if is_mutating and self.consume_fault("lose_answers"):
            _wsgi.exhaust_body(response)
            raise _wsgi.AbortConnectionError("response dropped")
        return response
