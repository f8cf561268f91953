"""Messages between the entry hosts, framed over TCP."""
