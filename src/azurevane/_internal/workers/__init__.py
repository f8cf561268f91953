"""Client of the platform's workers."""
