"""Stand-ins for what is around coordinators, and a rig of several processes with faults between them."""
