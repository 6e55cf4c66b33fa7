"""Client for permits to send requests to cold upstreams."""

import threading
import time
import uuid

import attrs

from sycamorespoke import decisions, domain, messages

REQUEST_TIMEOUT_S = 0.3
RENEW_INTERVAL_S = 1.0
MAX_REFERRALS = 2


@attrs.frozen
class Permit:
    """Permission to run one request at a cold upstream.

    Parameters
    ----------
    permit_id : str
        ID of the permit.
    upstream : str
        Name of the upstream.
    requested_s : float
        Monotonic time at which the permit was requested, in seconds.
    lifetime_s : float
        Seconds after ``requested_s`` within which the request must be sent.
    owner : str, default=""
        Address of the owner that granted the permit; empty if this process granted
        it, as the owner or because there is no owner.
    """

    permit_id: str
    upstream: str
    requested_s: float
    lifetime_s: float
    owner: str = ""


class PermitClient:
    """Acquires permits from their owners, renews those in use and releases them.

    The owner of a data centre is the host that holds its permit lease.

    Parameters
    ----------
    name : str
        Name of this host.
    get_view : callable
        Returns the current `View`.
    send_request : callable
        Takes an address, a message and a timeout in seconds and returns the
        reply, as `messages.send_request`.
    issuer : PermitIssuer or None, default=None
        Issuer of this process, which is used first for its own data centre.
    clock : callable, default=time.monotonic
        Returns the current monotonic time, in seconds.
    """

    def __init__(self, name, get_view, send_request, issuer=None, clock=time.monotonic):
        self.name = name
        self.get_view = get_view
        self.send_request = send_request
        self.issuer = issuer
        self.clock = clock
        self._lock = threading.Lock()
        self._permits_by_id = {}

    def acquire(self, host, boot_id=""):
        """Acquire a permit to send one request to a cold upstream.

        Check `is_usable` immediately before the request is sent, and `release` the
        permit when the request has ended.

        Parameters
        ----------
        host : domain.Host
            The cold upstream.
        boot_id : str, default=""
            Last reported boot ID of the upstream.

        Returns
        -------
        Permit or domain.Refusal
            The permit, or a refusal.
        """
        requested_s = self.clock()
        permit_id = uuid.uuid4().hex
        request = messages.PermitRequest(permit_id, self.name, host.name, boot_id)
        reply, owner = self._request_from_owner(host.data_centre, request)
        if reply is not None and reply.granted:
            permit = Permit(permit_id, host.name, requested_s, reply.lifetime_s, owner)
            return self._track(permit)
        permit = self._acquire_without_owner(permit_id, host, requested_s)
        if permit is not None:
            return permit
        reason = reply.reason if reply is not None else "no permit owner replied"
        return domain.Refusal(
            domain.ErrorKind.NO_UPSTREAM, f"{host.name} is cold: {reason}"
        )

    def is_usable(self, permit, now):
        """Return whether a request may still be sent under a permit.

        Parameters
        ----------
        permit : Permit
            The permit.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        bool
            Whether the lifetime of the permit has not passed.
        """
        return decisions.is_permit_usable(permit.requested_s, permit.lifetime_s, now)

    def release(self, permit):
        """Release a permit whose request has ended or was not sent.

        Parameters
        ----------
        permit : Permit
            The permit.
        """
        with self._lock:
            self._permits_by_id.pop(permit.permit_id, None)
        message = messages.PermitReturn(permit.permit_id, permit.upstream)
        self._send_to(permit.owner, message)

    def renew(self):
        """Renew the permits in use; one thread calls this every second."""
        with self._lock:
            permits = list(self._permits_by_id.values())
        for permit in permits:
            request = messages.PermitRequest(
                permit.permit_id, self.name, permit.upstream, ""
            )
            self._send_to(permit.owner, request)

    def _track(self, permit):
        with self._lock:
            self._permits_by_id[permit.permit_id] = permit
        return permit

    def _acquire_without_owner(self, permit_id, host, requested_s):
        view = self.get_view()
        group = view.configuration.groups_by_name.get(host.group)
        if group is None:
            return None
        longest_request_s = max(
            (
                route.deadline_s
                for route in view.configuration.routes_by_name.values()
                if route.group == host.group
            ),
            default=0.0,
        )
        allowed = decisions.compute_limit_without_owner(
            self.name, host.name, group.cold_limit, view, longest_request_s, requested_s
        )
        with self._lock:
            used = sum(
                permit.upstream == host.name for permit in self._permits_by_id.values()
            )
            if used >= allowed:
                return None
            permit = Permit(
                permit_id, host.name, requested_s, decisions.PERMIT_LIFETIME_S
            )
            self._permits_by_id[permit_id] = permit
        return permit

    def _request_from_owner(self, data_centre, request):
        if self.issuer is not None and self.issuer.data_centre == data_centre:
            reply = self.issuer.handle_message(request)
            if reply.granted or not reply.owner:
                return reply, ""
            address = reply.owner
        else:
            address = self._choose_first_address(data_centre)
        reply = None
        for _ in range(MAX_REFERRALS):
            reply = self._send_to(address, request) if address else None
            if reply is None or reply.granted or not reply.owner:
                break
            address = reply.owner
        return reply, address

    def _send_to(self, address, message):
        if not address:
            if self.issuer is None:
                return None
            return self.issuer.handle_message(message)
        reply = self.send_request(address, message, REQUEST_TIMEOUT_S)
        return reply if isinstance(reply, messages.PermitReply) else None

    def _choose_first_address(self, data_centre):
        view = self.get_view()
        holder = view.holder_by_shard.get(f"permits-{data_centre}")
        now = self.clock()
        names = [
            host.name
            for host in view.hosts.select(domain.HostRole.ENTRY)
            if host.data_centre == data_centre
            and decisions.is_alive(view, host.name, now)
        ]
        if holder in names:
            return view.hosts.by_name[holder].peer_address
        ranked = decisions.rank_hosts(f"permits {self.name}", names)
        return view.hosts.by_name[ranked[0]].peer_address if ranked else ""
