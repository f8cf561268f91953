"""Immutable values that the other packages exchange.

Two kinds of site have their own models. ``manifest``, ``fleet``,
``request``, ``task`` and ``worker`` describe a site of entry and control
daemons, which start tasks on workers. ``site``, ``job``,
``runner_messages`` and ``host_settings`` describe a site of site hosts,
which start tasks of jobs on runners.
"""
