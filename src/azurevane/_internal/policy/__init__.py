"""Pure decision functions; they do no I/O and read no clock.

Three programs use them. Modules on slots, permits, seats and freshness
serve the entry daemon; those on workers and their leases serve the control
daemon; those on runners and jobs serve the site host. ``budgets``,
``buffers``, ``moves`` and ``waves`` are used by tests and benchmarks only.
"""
