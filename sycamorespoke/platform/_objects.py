"""Parses objects of the platform's store into the types of the gateway."""

import attrs

from sycamorespoke import clients, gateway, serving

MS_PER_S = 1000.0
BITS_PER_MBIT = 1_000_000.0
MalformedObjectError = clients.MalformedFieldError
_field = clients.read_field
_check_type = clients.check_type
_number = clients.check_number
MAX_SLOTS = 1_000_000
# Timeouts of sockets cannot be much longer.
MAX_DURATION_MS = 1e12
UPSTREAM_STATES = ("ready", "draining")
ROUTE_KIND_BY_NAME = {
    "safe": gateway.RouteKind.SAFE,
    "unsafe": gateway.RouteKind.UNSAFE,
    "streaming": gateway.RouteKind.STREAM,
}


@attrs.frozen
class StoredObject:
    """Object of the store.

    Parameters
    ----------
    name : str
        Name, unique within the kind of the object.
    revision : int
        Revision of the store at the last change of the object.
    spec : object
        JSON value that the writer stored.
    created_revision : object, default=0
        JSON value of the revision at which the object was created.
    status : object, default=None
        JSON value of its status.
    """

    name: str
    revision: int
    spec: object
    created_revision: object = 0
    status: object = None


def parse_object(value):
    """Parse the envelope of an object: its name, revision and value.

    Raises
    ------
    MalformedObjectError
        If the object has no name or revision.
    """
    metadata = _field(value, "Metadata", dict)
    return StoredObject(
        name=clients.check_name(_field(metadata, "Name", str), "Name"),
        revision=_field(metadata, "Revision", int),
        spec=value.get("Spec"),
        created_revision=metadata.get("CreatedRev", 0),
        status=value.get("Status"),
    )


def parse_configuration(stored, now):
    """Parse routes, services, client accounts and limits.

    Parameters
    ----------
    stored : StoredObject
        Configuration object, which operators write.
    now : float
        Unused; all functions for `gateway.ObjectKind` have this parameter.

    Returns
    -------
    gateway.Configuration
        Configuration; times in seconds.

    Raises
    ------
    MalformedObjectError
        If a field is missing or has another type.
    """
    entries, reader = parse_entries(stored.spec)
    if reader.problems:
        raise MalformedObjectError(str(reader.problems[0]))
    return entries.build()


def parse_entries(spec):
    """Return the entries of a configuration, and the reader that has its problems.

    Returns
    -------
    tuple of (gateway.ConfigurationEntries, clients.EntryReader)
    """
    reader = clients.EntryReader(spec, "configuration")
    entries = gateway.ConfigurationEntries(
        version=reader.read("Version", int),
        routes=reader.parse_each("Routes", _parse_route),
        services=reader.parse_each("Services", _parse_service),
        accounts=reader.parse_each("Tenants", _parse_account, is_required=False),
        # Without this field, no request needs an API key.
        needs_key=spec.get("Tenants") is not None,
        limits=reader.parse_part("Limits", _parse_limits),
    )
    return entries, reader


def parse_configuration_file(value):
    """Do as `parse_entries`, for a value that may be the object of the store."""
    is_object = isinstance(value, dict) and "Metadata" in value
    return parse_entries(value.get("Spec") if is_object else value)


def parse_upstream(stored, now):
    """Parse the entry under which an upstream registered itself.

    Parameters
    ----------
    stored : StoredObject
        Object whose name is the ID of the upstream.
    now : float
        Time at which it was received, seconds of the boot clock.

    Returns
    -------
    gateway.Upstream
        Upstream with address, state and weight versions.

    Raises
    ------
    MalformedObjectError
        If a field is missing or has another type, the state is unknown or the address
        is invalid.
    """
    spec = _check_type(stored.spec, dict, "upstream")
    state = _field(spec, "State", str)
    if state not in UPSTREAM_STATES:
        raise MalformedObjectError("the state of an upstream is unknown")
    return gateway.Upstream(
        id=stored.name,
        # "born" holds the start, Unix milliseconds.
        started_ms=_check_type(spec.get("born", 0), int, "born"),
        service=_field(spec, "Service", str),
        address=clients.check_address(_field(spec, "Address", str), "Address"),
        # "Zone" holds a data centre, here and for a block store.
        data_centre=_field(spec, "Zone", str),
        slots=max(_number(_field(spec, "Slots", int), "Slots", MAX_SLOTS), 1),
        is_draining=state == "draining",
        cold_s=_duration_s(spec.get("ColdRemainingMs", 0), "ColdRemainingMs"),
        seen_s=now,
        versions_by_model=parse_versions(clients.read_list(spec, "Models")),
        # "Version" is that of the software, not of the weights.
        software_version=_field(spec, "Version", str),
    )


def parse_target_version(stored, now):
    """Parse the target version of a model.

    Raises
    ------
    MalformedObjectError
        If a field is missing or has another type.
    """
    spec = _check_type(stored.spec, dict, "version")
    return gateway.TargetVersion(
        model=_field(spec, "Model", str),
        version=_field(spec, "Version", int),
        seen_s=now,
    )


def parse_name(stored, now):
    """Return the name of an object that holds no other information."""
    return stored.name


def parse_host(stored, now):
    """Parse the entry under which an entry host registered itself.

    Raises
    ------
    MalformedObjectError
        If a field is missing or has another type.
    """
    spec = _check_type(stored.spec, dict, "host")
    return gateway.Host(
        name=stored.name,
        data_centre=_field(spec, "data_centre", str),
        peer_address=clients.check_address(
            _field(spec, "peer_address", str), "peer_address"
        ),
    )


def encode_host(host):
    """Return the JSON value of a host that `parse_host` parses."""
    return {"data_centre": host.data_centre, "peer_address": host.peer_address}


def _parse_route(value):
    kind = ROUTE_KIND_BY_NAME.get(_field(value, "Kind", str))
    if kind is None:
        raise MalformedObjectError("the kind of a route is unknown")
    return gateway.Route(
        name=_field(value, "Name", str),
        host=_field(value, "Host", str),
        path_prefix=_field(value, "PathPrefix", str),
        kind=kind,
        timeout_s=_duration_s(value.get("TimeoutMs"), "TimeoutMs"),
        target_latency_s=_duration_s(
            value.get("TargetLatencyMs", 0), "TargetLatencyMs"
        ),
        priority=_number(value.get("Priority") or 0, "Priority"),
        weights_by_service=_parse_weights(value),
        attempts=max(int(_number(value.get("MaxAttempts", 1), "MaxAttempts")), 1),
        is_anonymous=bool(value.get("Anonymous")),
        is_resumable=bool(value.get("Resumable")),
        # "Sticky" marks routes whose requests list the blocks of their prompt.
        carries_prompt=bool(value.get("Sticky")),
        event_gap_s=_duration_s(value.get("GapAimMs") or 0, "GapAimMs"),
    )


def _parse_weights(value):
    if value.get("Split"):
        return {
            _field(share, "Service", str): _number(share.get("Weight"), "Weight")
            for share in _field(value, "Split", list)
        }
    return {_field(value, "Service", str): 1.0}


def _parse_service(value):
    address = _check_type(value, dict, "service").get("KvStoreAddr")
    engine = value.get("Engine")
    return gateway.Service(
        name=_field(value, "Name", str),
        connection_limit=int(_number(value.get("MaxConns") or 0, "MaxConns")),
        cold_start_s=_number(value.get("ColdStartS") or 0, "ColdStartS"),
        cold_requests_per_s=_number(value.get("ColdPerS") or 0, "ColdPerS"),
        engine=_parse_engine(engine) if engine else None,
        store=_parse_block_store(value) if address else None,
    )


def _parse_engine(value):
    return gateway.EngineSpec(
        slots=_field(value, "Slots", int),
        # The capacity is shared by running requests and cached blocks.
        cache_tokens=int(_number(value.get("KvCapacityTokens"), "KvCapacityTokens")),
        token_bytes=int(_number(value.get("KvTokenBytes"), "KvTokenBytes")),
    )


def _parse_block_store(value):
    return gateway.BlockStore(
        address=clients.check_address(_field(value, "KvStoreAddr", str), "KvStoreAddr"),
        data_centre=_field(value, "Zone", str),
        capacity_tokens=int(_number(value.get("KvCapacityTokens"), "KvCapacityTokens")),
        link_bits_per_s=_number(value.get("LinkMbps"), "LinkMbps") * BITS_PER_MBIT,
        first_byte_s=_number(value.get("first_ms") or 0, "first_ms") / MS_PER_S,
        # A managed store evicts nothing by itself.
        is_managed=bool(value.get("Managed")),
        # "MaxInflight" limits the hosts that read the events at the same time.
        readers=int(_number(value.get("MaxInflight") or 0, "MaxInflight")),
    )


def _parse_account(value):
    priority = _check_type(value, dict, "account").get("Priority")
    account = gateway.Account(
        name=_field(value, "Name", str),
        priority=None if priority is None else int(_number(priority, "Priority")),
        is_isolated=bool(value.get("Isolated")),
    )
    keys = clients.read_list(value, "ApiKeys")
    keys = tuple(_check_type(key, str, "ApiKeys") for key in keys)
    return gateway.AccountEntry(account, keys)


def _parse_limits(value):
    limits = {
        "header_bytes": int(_number(value.get("MaxHeaderBytes", 0), "MaxHeaderBytes")),
        "body_bytes": int(_number(value.get("MaxBodyBytes", 0), "MaxBodyBytes")),
        "idle_s": _duration_s(value.get("IdleTimeoutMs", 0), "IdleTimeoutMs"),
        "header_s": _duration_s(value.get("HeaderTimeoutMs", 0), "HeaderTimeoutMs"),
    }
    stated = {name: limit for name, limit in limits.items() if limit}
    return serving.CallerLimits(**stated)


def _duration_s(value_ms, key):
    """Return a duration in seconds, of a field in milliseconds."""
    return _number(value_ms, key, MAX_DURATION_MS) / MS_PER_S


def parse_versions(values):
    """Return the weight versions of models by the name of the model."""
    return {
        _field(value, "Name", str): _field(value, "Version", int) for value in values
    }
