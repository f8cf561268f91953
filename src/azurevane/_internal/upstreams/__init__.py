"""HTTP client for upstream runners."""
