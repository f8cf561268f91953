"""control.bytes.burst: permit messages and usage reports in bursts.

Bytes per second that an entry host sends to its peers, frames included,
while each of Dieworks' queues in turn has five times its mean load. The
baseline is fixed division, which lends and sends nothing.
"""

import burst
import permit_backends
import virtual_site

from azurevane._internal.peers import codec

FRAME_BYTES = 4
SECONDS = 10.0
BOUND_BYTES = 3000


def run(seed=1):
    site = virtual_site.VirtualSite(
        virtual_site.build_dieworks_manifest(),
        permit_backends.KeeperBackend(),
        seed,
    )
    sent = [0]

    def count(_, effect):
        sent[0] += len(codec.encode_message(effect.message)) + FRAME_BYTES

    burst.BurstLoad(site)
    site.run(burst.WARM_UP_S)
    site.network.on_send = count
    site.run(burst.WARM_UP_S + SECONDS)
    return [
        {
            "name": "control.bytes.burst",
            "value": round(sent[0] / SECONDS / len(site.hosts)),
            "unit": "B/s",
            "bound": BOUND_BYTES,
            "better": "lower",
            "baseline": 0,
        }
    ]
