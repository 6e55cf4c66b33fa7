"""Checks of the services of a gateway's configuration."""

from sycamorespoke.checks import _findings, _names

Finding = _findings.Finding
Kind = _findings.FindingKind


def find_service_findings(entries):
    """Yield what is found about services.

    Parameters
    ----------
    entries : gateway.ConfigurationEntries
        Entries of the configuration.

    Yields
    ------
    Finding
        Findings, in the order of the services for each check.
    """
    yield from _names.find_repeated_names("service", entries.services)
    yield from _find_repeated_addresses(entries.services)
    used = {name for route in entries.routes for name in route.weights_by_service}
    for service in entries.services:
        subject = f"service {service.name}"
        if service.store is None and service.name not in used:
            yield Finding(Kind.WITHOUT_EFFECT, subject, "no route uses it")
        for kind, text in (
            *_check_cold_rate(service),
            *_check_engine(service),
            *_check_store(service),
        ):
            yield Finding(kind, subject, text)


def _find_repeated_addresses(services):
    first_by_address = {}
    for service in services:
        if service.store is None:
            continue
        first = first_by_address.setdefault(service.store.address, service)
        if first.name != service.name:
            yield Finding(
                Kind.AMBIGUOUS,
                f"service {service.name}",
                f"service {first.name} is a block store at the same address",
            )


def _check_cold_rate(service):
    if service.cold_start_s > 0 and service.cold_requests_per_s == 0:
        yield (
            Kind.CONTRADICTION,
            f"its upstreams are cold for {service.cold_start_s:g} s, but the rate that"
            " they sustain while cold is 0: their requests are not limited",
        )


def _check_engine(service):
    engine = service.engine
    if engine is None:
        return
    names_by_attribute = {
        "slots": "slots",
        "cache_tokens": "cache capacity",
        "token_bytes": "size of a token",
    }
    for attribute, name in names_by_attribute.items():
        if getattr(engine, attribute) <= 0:
            yield Kind.CONTRADICTION, f"the {name} of its engines is not above 0"
    if 0 < service.connection_limit < engine.slots:
        yield (
            Kind.CONTRADICTION,
            f"an engine runs {engine.slots} requests at once, but accepts"
            f" {service.connection_limit} connections, with one request on each",
        )


def _check_store(service):
    store = service.store
    if store is None:
        return
    if store.capacity_tokens == 0:
        yield Kind.CONTRADICTION, "its capacity is 0: it holds no block"
    if store.link_bits_per_s == 0:
        yield Kind.CONTRADICTION, "the bandwidth of its link is 0"
    if service.engine is not None:
        yield Kind.CONTRADICTION, "it has engines and is a block store"
