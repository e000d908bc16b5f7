"""Clients of the platform: table, objects, VM list, leases."""
