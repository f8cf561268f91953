"""State machines that own state and exchange messages, without I/O.

The entry daemon uses the modules on requests, permits, claims and the fleet
state; the control daemon uses those on tasks, workers and controller leases.
"""
