"""Simulated workers, requesters and operators, shared by the simulation and the tools."""
