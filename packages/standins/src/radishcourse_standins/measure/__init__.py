"""Measurements of the policies on seeded traces, one subcommand each."""
