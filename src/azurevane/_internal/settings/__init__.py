"""INI settings: schema, loading and checking."""
