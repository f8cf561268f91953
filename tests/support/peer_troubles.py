"""Troubles of a stand-in that carries out one call at a time."""

_ALL = 1 << 30


def play(world, peer, trouble, seconds):
    """Let a peer have a trouble for some seconds of virtual time."""
    if trouble == "takes calls silently":
        peer.mute = True
    elif trouble == "loses calls":
        peer.loses_calls = True
    elif trouble == "loses answers":
        peer.answers_to_lose = _ALL
    elif trouble.startswith("answers "):
        peer.reject_status = int(trouble.split()[1])
    else:
        peer.slowness = float(trouble.split()[1])
    world.advance_time(seconds)
    peer.mute = peer.loses_calls = False
    peer.answers_to_lose = 0
    peer.reject_status = None
    peer.slowness = 1.0
    peer.work()
