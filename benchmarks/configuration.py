"""Figures of fleet state changes, in virtual time.

The two-year target: 40,000 changes a day reach five regions, and a region
that was unreachable for an hour has every change in force 17 s after its
link is back. Regions share nothing, so one that stays reachable and one
that returns represent the five. The operators' pipeline sends the changes
that an unreachable region missed as one batch.

``control.bytes`` counts per entry host the bytes sent to peers, frames
included, and those of its calls to the table in both directions. The HTTP
heads have the sizes of real calls on loopback (HEAD_BYTES).

The baseline is the simplest policy: every host reads the whole state from
the table once a second, and a change is a compare-and-set. Processor time
isn't counted; tests/daemons/configuration.feature uses real processes.
"""

import pathlib
import random
import sys

import msgspec
from twisted.internet import defer

TESTS = pathlib.Path(__file__).resolve().parents[1] / "tests"
if str(TESTS) not in sys.path:
    sys.path.insert(0, str(TESTS))

from support import virtual_fleet  # noqa: E402

CHANGES_A_DAY = 40_000
REGIONS = 5
WORKERS = 20_000
TEAMS = 98
CUT_S = 3600.0
BOUND_S = 17.0
BYTES_BOUND = 3000
MEASURED_S = 300.0
POLL_S = 1.0

# Size of the HTTP head of a request plus that of its response.
HEAD_BYTES = {"GET": 121 + 156, "POST": 109 + 136}


def two_year_manifest():
    """Return the two-year target of a region: 4,000 workers, 98 teams."""
    manifest = virtual_fleet.site_manifest()
    manifest["teams"] += [
        {"name": f"team-{index}", "share": 1.0, "limit": 40}
        for index in range(TEAMS - len(manifest["teams"]))
    ]
    manifest["hosts"] = [
        {
            "name": f"host-{index}",
            "pool": "pool-1",
            "zone": manifest["zones"][index % 3],
            "rack": f"rack-{index // 4}",
            "cores": 30.0,
            "memory_gb": 130.0,
        }
        for index in range(WORKERS // REGIONS)
    ]
    return manifest


class Region(virtual_fleet.VirtualFleet):
    """A site that counts bytes and records when changes are in force."""

    def __init__(self, seed, manifest):
        self.peer_bytes = self.store_bytes = 0
        self.in_force_at = []
        self.in_force_s = []
        super().__init__(seed)
        self.run(1)
        self.set_up_site(manifest)

    def transmit(self, sender, peer, data):
        self.peer_bytes += len(data) + 4
        super().transmit(sender, peer, data)

    def on_call_answered(self, method, body, answer):
        self.store_bytes += HEAD_BYTES[method]
        for value in (body, answer):
            if value is not None:
                self.store_bytes += len(msgspec.json.encode(value))

    def on_state_in_force(self):
        lowest = min(
            host.keeper.in_force.version for host in self.host_by_name.values()
        )
        while len(self.in_force_at) < lowest:
            self.in_force_at.append(self.clock.seconds())

    def make_timed(self, rng, kind, content, began=None):
        """Make a change, retried on conflict; time it until in force."""
        began = self.clock.seconds() if began is None else began
        host = self.host_by_name[rng.choice(self.names)]
        running = defer.ensureDeferred(
            host.follower.make_change(kind, None, content)
        )

        def answered(answer):
            status, body = answer
            if status == 409:
                self.make_timed(rng, kind, content, began)
                return
            assert status == 200, body
            in_force_at = self.in_force_at[body["version"] - 1]
            self.in_force_s.append(in_force_at - began)

        running.addCallback(answered)


def draw_change(rng):
    """Return a random change: mostly drains and returns, some keys."""
    host = {"name": f"host-{rng.randrange(WORKERS // REGIONS)}"}
    digest = virtual_fleet.digest_of(f"key-{rng.randrange(500)}")
    return rng.choices(
        [
            ("drain", host),
            ("return", host),
            ("key-grant", {"digest": digest, "team": "mills"}),
            ("key-withdraw", {"digest": digest}),
        ],
        (4, 4, 1, 1),
    )[0]


def change_steadily(region, rng, seconds):
    """Make changes at the rate of the whole fleet in one region."""
    end = region.clock.seconds() + seconds
    while region.clock.seconds() < end:
        wait = rng.expovariate(CHANGES_A_DAY / 86400)
        region.run(min(wait, end - region.clock.seconds()))
        if region.clock.seconds() < end:
            region.make_timed(rng, *draw_change(rng))
    region.run(5)


def bytes_per_host(region, seconds, work):
    peers, store = region.peer_bytes, region.store_bytes
    began = region.clock.seconds()
    work(seconds)
    elapsed_s = region.clock.seconds() - began
    sent = region.peer_bytes - peers + region.store_bytes - store
    return sent / elapsed_s / len(region.names)


def state_bytes(region):
    return sum(
        len(msgspec.json.encode(value))
        for _, _, value in region.platform.table.read_prefix("fleet/")
    )


def polled_in_force(seed, changes):
    """Return the longest time until all six hosts have polled a change."""
    rng = random.Random(seed)
    phases = [rng.random() * POLL_S for _ in range(6)]
    return max(
        max((phase - at) % POLL_S for phase in phases)
        for at in (rng.random() * POLL_S for _ in range(changes))
    )


def run(seed=1):
    """Return the figures; takes about a minute."""
    rng = random.Random(seed)
    manifest = two_year_manifest()
    region = Region(seed, manifest)
    at_rest = bytes_per_host(region, MEASURED_S, region.run)
    busy = bytes_per_host(
        region,
        MEASURED_S,
        lambda seconds: change_steadily(region, rng, seconds),
    )
    returned = Region(seed + 1, manifest)
    missed = int(CHANGES_A_DAY / 86400 * CUT_S)
    batch = [
        {"kind": kind, "content": content}
        for kind, content in (draw_change(rng) for _ in range(missed))
    ]
    returned.make_timed(rng, "batch", batch)
    change_steadily(returned, rng, 10)
    changes = len(region.in_force_s)
    polled = polled_in_force(seed, max(changes, 1))
    polled_bytes = (state_bytes(region) + HEAD_BYTES["GET"]) / POLL_S
    return [
        figure("config.in_force", max(region.in_force_s), "s", polled),
        figure(
            "config.in_force.returned", max(returned.in_force_s), "s", polled
        ),
        figure("control.bytes.rest", at_rest, "B/s", polled_bytes),
        figure("control.bytes.changes", busy, "B/s", polled_bytes),
    ]


def figure(name, value, unit, baseline):
    return {
        "name": name,
        "value": round(value, 3),
        "unit": unit,
        "bound": BOUND_S if unit == "s" else BYTES_BOUND,
        "better": "lower",
        "baseline": round(baseline, 3),
    }


if __name__ == "__main__":
    for item in run():
        print(item)
