"""Protocol of the users' platform: names, formats, calls; no policy."""
