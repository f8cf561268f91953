"""Immutable values that the other packages exchange.

``manifest``, ``fleet``, ``request``, ``task`` and ``worker`` describe a site
of azurevane-entry, which sends requests to runners, and azurevane-control,
which starts tasks on workers. ``site``, ``job``, ``runner_messages`` and
``host_settings`` describe a site of azurevane-host, which starts the tasks
of jobs on runners.
"""
