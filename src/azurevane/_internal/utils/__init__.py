"""General-purpose helpers: backoff, timers, rate limits, identifiers."""
