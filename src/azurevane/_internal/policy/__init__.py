"""Pure decision functions; they do no I/O and read no clock.

Three programs use them:

- azurevane-entry: ``claim_owner``, ``freshness``, ``limits``,
  ``queueing``, ``restrictions``, ``retry``, ``routing``, ``seats`` and
  ``shares``;
- azurevane-control: ``lease_renewal``, ``task_sizes``, ``worker_index``
  and ``worker_placement``;
- azurevane-host: ``job_order``, ``pacing``, ``pool_sizing``,
  ``runner_health``, ``start_window``, ``task_placement`` and
  ``wave_steps``.

``budgets``, ``buffers``, ``moves`` and ``waves`` are used by tests and
benchmarks only.
"""
