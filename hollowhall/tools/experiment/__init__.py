"""Paired experiments on the scheduler's policies, in virtual time and without a network."""
