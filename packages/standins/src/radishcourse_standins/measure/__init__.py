"""Measurements of the decisions, one subcommand for each policy."""
