"""Write the example manifests of the two deployments.

All addresses are loopback addresses, so that the demo can use the files
unchanged.
"""

import json
import pathlib

HERE = pathlib.Path(__file__).resolve().parent


def build_manifest(
    site, region, zones, teams, services, spare, pool_size, first_port
):
    pools, queues, runners, hosts = [], [], [], []
    per_service, cores, per_rack = pool_size
    port = first_port
    for service in services:
        pools.append({"name": service, "spare": service == spare})
        queues.append(
            {
                "name": service,
                "pool": service,
                "teams": [team["name"] for team in teams],
                "deadline_ms": 4000,
                "max_run_s": 10.0,
            }
        )
        for index in range(per_service):
            zone = zones[index % len(zones)]
            runners.append(
                {
                    "name": f"{service}-runner-{index}",
                    "pool": service,
                    "zone": zone,
                    "address": "127.0.0.1",
                    "port": port,
                    "slots": 8,
                    "connections": 60,
                }
            )
            hosts.append(
                {
                    "name": f"{service}-worker-{index}",
                    "pool": service,
                    "zone": zone,
                    "rack": f"{service}-rack-{index // per_rack}",
                    "cores": cores,
                    "memory_gb": 130,
                }
            )
            port += 1
    return {
        "site": site,
        "region": region,
        "zones": zones,
        "entry_seats": 6,
        "teams": teams,
        "pools": pools,
        "queues": queues,
        "runners": runners,
        "hosts": hosts,
    }


def build_team(name, share, limit):
    return {
        "name": name,
        "share": share,
        "limit": limit,
        "task_limit": limit // 5,
    }


def main():
    dieworks = build_manifest(
        "dieworks-lagos",
        "ng-west",
        ["ng-west-a", "ng-west-b", "ng-west-c", "ng-west-d"],
        [
            build_team("apapa-mills", 4, 120),
            build_team("kano-grain", 3, 90),
            build_team("ibadan-pasta", 1, 40),
            build_team("jos-foods", 1, 40),
            build_team("aba-flour", 1, 30),
            build_team("field-fitters", 2, 60),
        ],
        ["quoting", "geometry", "rings", "inserts", "back-office"],
        "back-office",
        (8, 30, 4),
        21000,
    )
    dieworks["weights"] = {"buffer": 3, "moves": 3}
    sunfold = build_manifest(
        "sunfold-labs",
        "great-lakes",
        ["great-lakes-a", "great-lakes-b", "great-lakes-c"],
        [
            build_team("schools-uganda", 4, 100),
            build_team("schools-kenya", 4, 100),
            build_team("coop-mwanza", 1, 40),
            build_team("coop-kisumu", 1, 40),
            build_team("field-partners", 2, 60),
            build_team("curriculum", 1, 30),
        ],
        ["classroom", "partners", "field-kit", "builder", "back-office"],
        "back-office",
        (6, 60, 4),
        22000,
    )
    sunfold["weights"] = {"shares": 3, "zone_work": 3}
    for name, content in (("dieworks", dieworks), ("sunfold", sunfold)):
        path = HERE / f"{name}.json"
        path.write_text(json.dumps(content, indent=1) + "\n")


if __name__ == "__main__":
    main()
