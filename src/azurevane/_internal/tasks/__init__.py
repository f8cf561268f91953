"""State machines that own state and exchange messages, without I/O.

azurevane-entry uses the modules on requests, permits, claims and the fleet
state; azurevane-control uses those on tasks, workers and controller leases.
"""
