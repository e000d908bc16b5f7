"""Routing policies without I/O: cascades, roll-outs, placement, admission."""
