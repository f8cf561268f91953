"""Builds small manifests for scenarios."""


def small_manifest(site, queue, team):
    """Return a manifest with one queue and pool over a site's runners."""
    zones = ["az-a", "az-b", "az-c", "az-d"]
    runners = [
        {
            "name": name,
            "pool": "pool-1",
            "zone": zones[index % len(zones)],
            "address": "127.0.0.1",
            "port": port,
        }
        for index, (name, port) in enumerate(
            (name, port)
            for name, port in site.port_by_name.items()
            if name.startswith("quote-")
        )
    ]
    hosts = [
        {
            "name": worker,
            "pool": "pool-1",
            "zone": zones[index % len(zones)],
            "rack": "rack-1",
            "cores": 30.0,
            "memory_gb": 130.0,
        }
        for index, worker in enumerate(getattr(site, "workers", []))
    ]
    return {
        "site": "test-site",
        "region": "test-region",
        "zones": zones,
        "teams": [{"name": team, "share": 1.0, "limit": 12, "task_limit": 3}],
        "pools": [{"name": "pool-1"}],
        "queues": [{"name": queue, "pool": "pool-1", "teams": [team]}],
        "runners": runners,
        "hosts": hosts,
    }
