"""Clients that book at a steady rate, and the rule on requests that stay unanswered."""

import http.client
import threading
import time
import uuid

import deployment as deployments
import servers

WORK_S = 0.045
TIMEOUT_S = 1.5
# What the rule allows beyond the timeout of the route.
LATE_S = 0.5
DEADLINE_MS = 4000
# Twenty requests a second, as one machine of a small deployment gets.
INTERVAL_S = 0.05
STABILITY_WINDOW_S = 3.0


def answer(handler):
    """Assign a place, as a small booking service."""
    handler.run()
    time.sleep(WORK_S)
    handler.reply(200, b"place 17")


def start(deployment, record):
    """Start a gateway in front of three booking servers; return these."""
    route = deployments.make_route("book", "unsafe", "desk")
    service = {"Name": "desk", "MaxConns": 110}
    deployment.write_configuration(3, [route], [service])
    desks = [
        servers.Server("desk", f"i-desk{number}", zone, answer)
        for number, zone in enumerate(deployments.ZONES)
    ]
    for desk in desks:
        desk.record = record
        deployment.register(desk)
    servers.Heartbeats(deployment, desks)
    deployment.start()
    time.sleep(STABILITY_WINDOW_S + 0.5)
    return desks


class Booking:
    """One request of a client, which waits longer than the rule allows."""

    def __init__(self, gateway, record):
        self.gateway = gateway
        self.record = record
        self.id = uuid.uuid4().hex[:16]
        self.sent_s = None
        self.answered_s = None
        self.status = None

    def send(self):
        """Send the request on a new channel and wait for the answer."""
        ip, port = self.gateway.front.split(":")
        wait_s = TIMEOUT_S + LATE_S + 0.5
        connection = http.client.HTTPConnection(ip, int(port), timeout=wait_s)
        headers = {
            "Host": deployments.HOST_NAME,
            "X-Sycamorespoke-Request-Id": self.id,
            "X-Sycamorespoke-Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Bearer {deployments.KEY}",
        }
        self.sent_s = time.monotonic()
        try:
            connection.request("POST", "/book/1", body=b"runner", headers=headers)
            response = connection.getresponse()
            response.read()
            self.status = response.status
            self.answered_s = time.monotonic()
        except (OSError, http.client.HTTPException) as error:
            self.status = type(error).__name__
        finally:
            connection.close()
        self.record.write(f"client {self.id} {self.status}")

    def is_unanswered(self, after_s):
        """Return whether there was no answer so long after the request."""
        return self.answered_s is None or self.answered_s - self.sent_s > after_s


def send_for(duration_s, gateway, record):
    """Send bookings at a steady rate; return them once all have ended."""
    bookings, threads = [], []
    begun_s = time.monotonic()
    while time.monotonic() - begun_s < duration_s:
        booking = Booking(gateway, record)
        thread = threading.Thread(target=booking.send)
        thread.start()
        bookings.append(booking)
        threads.append(thread)
        time.sleep(INTERVAL_S)
    for thread in threads:
        thread.join()
    return bookings


def check_served(bookings):
    """Raise unless nearly all were answered, before the disruption."""
    if sum(each.status == 200 for each in bookings) < 0.9 * len(bookings):
        raise deployments.CannotRunError("not served before the disruption")


def is_rule_broken(bookings, gateway, record):
    """Return whether more than half of the late requests stay unanswered."""
    late = [each for each in bookings if each.is_unanswered(TIMEOUT_S)]
    lost = [each for each in late if each.is_unanswered(TIMEOUT_S + LATE_S)]
    is_running = gateway.process.poll() is None
    record.write(f"{len(bookings)} requests, {len(late)} unanswered at TimeoutMs")
    record.write(f"{len(lost)} of these unanswered half a second later")
    record.write(f"process runs: {is_running}; says ready: {gateway.is_ready()}")
    return len(late) >= 8 and len(lost) > len(late) / 2
