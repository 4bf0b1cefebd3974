"""Judge histories: check, and storm and replay of seeded simulations."""
