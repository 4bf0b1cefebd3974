"""Simulated workers, clients and operators, shared by the simulation and the tools."""
