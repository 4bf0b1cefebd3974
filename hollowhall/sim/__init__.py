"""Deterministic simulation of a whole fleet from a seed, in virtual time: event loop, network,
disks, faults and fault campaigns (storms)."""
