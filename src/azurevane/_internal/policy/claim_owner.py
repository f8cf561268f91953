"""Selects the seat that stores the claim of a request."""

import hashlib


def seat_for_claim(team: str, request_id: str, seats: int) -> int:
    """Return the number of the seat for a request, by rendezvous hashing.

    Seats without a holder take part too. Otherwise their requests would be
    claimed at another seat, which doesn't know their previous claims.

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
