"""Clients of the platform: table, object store, VM list, leases."""
