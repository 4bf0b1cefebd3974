"""Stand-ins for workers, requesters and operators, shared by the simulation and the tools."""
