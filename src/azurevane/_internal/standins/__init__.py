"""Small stand-ins for the platform and upstreams, with faults."""
