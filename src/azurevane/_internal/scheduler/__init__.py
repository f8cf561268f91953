"""The scheduler of a site: which task runs where, and what must last."""
