"""Wire format of capacities on the platform."""

import msgspec

from azurevane._internal.models import job as job_models

# Larger amounts are none that a host can have.
MAX_AMOUNT = 1 << 40


class WireCapacity(msgspec.Struct):
    """Processors in thousandths of a core, memory in MB, accelerators."""

    cpu: int = 0
    memory: int = msgspec.field(name="memMb", default=0)
    gpu: int = 0

    def decode(self) -> job_models.Capacity:
        """Return the capacity as the internal type.

        Raises:
            msgspec.ValidationError: an amount is out of range. Ratios of
                larger ones couldn't be computed.
        """
        amounts = self.cpu, self.memory, self.gpu
        if min(amounts) < 0 or max(amounts) > MAX_AMOUNT:
            raise msgspec.ValidationError("capacity is out of range")
        return job_models.Capacity(*amounts)

    def decode_limit(self) -> job_models.Capacity:
        """Return the upper limit that it stands for; 0 means no limit."""
        return job_models.Capacity(
            min(self.cpu, MAX_AMOUNT),
            min(self.memory, MAX_AMOUNT),
            min(self.gpu, MAX_AMOUNT),
        )
