"""Platform stand-in that also carries out calls late."""

from twisted.internet import defer

from azurevane._internal.standins import site_platform


class FaultyPlatform(site_platform.SitePlatform):
    """Platform that also carries out calls late.

    Attributes:
        late_writes: number of next store writes that are carried out late
            and without a response.
        write_delay_s: how much later.
        late_runners: ids of runners that also carry out polls late.
        unguarded_pools: pools whose runners start whatever they are told to.
        slow_hosts: names of hosts whose runners' clocks are slow.
    """

    def __init__(self, reactor):
        super().__init__(reactor)
        self.late_writes = 0
        self.write_delay_s = 0.0
        self.late_runners = set()
        self.unguarded_pools = set()
        self.slow_hosts = set()

    def add_runner(self, host, **options):
        options["guards_capacity"] = host.pool not in self.unguarded_pools
        options["clock_rate"] = 0.98 if host.name in self.slow_hosts else 1.0
        return super().add_runner(host, **options)

    def handle_request(self, entry_host, request):
        if request.path.endswith("rows-tx") and self.late_writes:
            self.late_writes -= 1
            self._carry_out_late(self.write_delay_s, entry_host, request)
            return None
        runner = self.runner_by_address.get(str(request.address))
        is_poll = request.path.endswith("hold")
        if is_poll and runner is not None and runner.id in self.late_runners:
            self._carry_out_late(runner.command_delay_s, entry_host, request)
            return None
        return super().handle_request(entry_host, request)

    def _carry_out_late(self, delay_s, entry_host, request):
        call = super().handle_request, entry_host, request
        self.reactor.callLater(
            delay_s,
            lambda: defer.maybeDeferred(*call).addErrback(lambda _: None),
        )
