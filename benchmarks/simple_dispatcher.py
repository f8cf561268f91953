"""Baseline: first come, first served, without shares or admission."""

import collections

from azurevane._internal.models import request as request_models
from azurevane._internal.tasks import permits as permits_module


class SimpleDispatcher:
    """One queue per pool in arrival order; picks the least loaded runner."""

    def __init__(self, permits, zone=""):
        self._permits = permits
        self._waiting = collections.defaultdict(collections.deque)
        self._outstanding = collections.Counter()

    def configure(self, now, state):
        self._manifest = state.manifest
        self._runners_by_pool = collections.defaultdict(list)
        for runner in state.manifest.runners:
            zone_is_out = runner.zone in state.zones_out
            if not zone_is_out and runner.name not in state.draining:
                self._runners_by_pool[runner.pool].append(runner.name)
        return []

    @property
    def waiting(self):
        return sum(len(queue) for queue in self._waiting.values())

    def usage(self, now):
        return ()

    def submit(self, now, item):
        pool = self._manifest.queue_by_name[item.queue].pool
        self._waiting[pool].append(item)
        return self._dispatch_waiting(now, pool)

    def handle_run_end(self, now, outcome):
        self._permits.release(now, outcome.submission_id)
        self._outstanding[outcome.runner] -= 1
        pool = self._manifest.runner_by_name[outcome.runner].pool
        return self._dispatch_waiting(now, pool)

    def tick(self, now):
        decided = []
        for pool, queue in self._waiting.items():
            while queue and queue[0].deadline <= now:
                name = queue.popleft().submission_id
                decided.append(
                    request_models.Refusal(name, 504, "deadline-passed", "")
                )
            decided += self._dispatch_waiting(now, pool)
        return decided

    def _dispatch_waiting(self, now, pool):
        decided = []
        queue = self._waiting[pool]
        while queue:
            free = [
                (self._outstanding[name], name)
                for name in self._runners_by_pool[pool]
                if self._permits.free(
                    now, permits_module.runner_limit_key(name)
                )
                > 0
            ]
            if not free:
                break
            item = queue.popleft()
            name = min(free)[1]
            self._permits.acquire(
                now,
                permits_module.runner_limit_key(name),
                item.submission_id,
                now + 30.0,
            )
            self._outstanding[name] += 1
            decided.append(
                request_models.Dispatch(item.submission_id, name, now + 30.0)
            )
        return decided
