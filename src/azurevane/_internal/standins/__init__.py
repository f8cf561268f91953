"""In-memory stand-ins for the platform and upstreams, with fault injection."""
