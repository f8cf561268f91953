"""Pick the seat that keeps the claim of a request."""

import hashlib


def seat_for_claim(team: str, request_id: str, seats: int) -> int:
    """Return the number of a request's seat, by rendezvous hashing.

    Every seat of the site takes part, also one without a holder: were it
    left out, its requests would be claimed at another seat, which knows
    nothing of their earlier claims.

    Args:
        seats: number of seats of the site; at least 1.
    """
    item = f"{len(team)}:{team}{request_id}".encode()
    return max(
        range(seats),
        key=lambda number: hashlib.blake2b(
            item, digest_size=8, salt=number.to_bytes(8, "big")
        ).digest(),
    )
