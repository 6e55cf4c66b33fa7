"""What every stand-in has: faults, counts and a WSGI application."""

import threading
import time

from sycamorespoke.standins import _wsgi


class Standin:
    """Base of the stand-ins.

    Attributes
    ----------
    faults : dict
        Faults in force by name; ``PUT /faults`` replaces them.

    Notes
    -----
    A subclass sets ``FAULTS`` to its own faults and their values without a
    fault, and implements ``handle`` and ``count``. All state is guarded by
    ``_changed``.
    """

    FAULTS = {}
    COMMON_FAULTS = {"down": False, "delay_s": 0.0, "lose_answers": 0}

    def __init__(self):
        self._changed = threading.Condition()
        self.faults = {**self.COMMON_FAULTS, **self.FAULTS}

    def app(self, environ, start_response):
        """Answer one request, as a WSGI application."""
        request = _wsgi.parse_request(environ)
        try:
            response = self._answer(request)
        except _wsgi.BadRequestError as error:
            response = _wsgi.make_json_response(400, {"error": str(error)})
        if request.method == "HEAD":
            length = response.headers.get("X-Length", str(len(response.body)))
            headers = {**response.headers, "Content-Length": length}
            response = _wsgi.Response(response.status, b"", headers)
        return _wsgi.start_wsgi_response(response, start_response)

    def set_faults(self, faults):
        """Replace the faults.

        Parameters
        ----------
        faults : dict
            Values by name; what is left out has no fault.

        Raises
        ------
        BadRequestError
            For a fault that the stand-in does not have.
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
        """Act on faults that take effect at once; called with the lock held."""

    def count(self):
        """Return the counts shown by ``GET /counts``."""
        return {}

    def handle(self, request):
        """Answer a request of the stand-in's own protocol."""
        raise NotImplementedError

    def handle_down(self):
        """Answer a request while down; most stand-ins close the connection."""
        raise _wsgi.AbortConnectionError("down")

    def consume_fault(self, name):
        """Use up one of a counted fault; return whether there was one."""
        with self._changed:
            if self.faults[name] <= 0:
                return False
            self.faults[name] -= 1
            return True

    def _answer(self, request):
        if request.path == "/faults":
            if request.method == "PUT":
                self.set_faults(request.json())
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
            raise _wsgi.AbortConnectionError("the answer is lost")
        return response
