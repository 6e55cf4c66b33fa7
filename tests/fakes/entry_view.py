"""Views of entry hosts."""

from sycamorespoke import domain, membership


def make_entry_view(names, upstreams=()):
    """Return a `membership.View` that lists entry hosts and upstreams."""
    hosts_by_name = {
        name: domain.Host(name, "seeb", domain.HostRole.ENTRY, "127.0.0.1:1")
        for name in names
    }
    hosts_by_name.update({host.name: host for host in upstreams})
    return membership.View(hosts=domain.HostList(1, hosts_by_name))
