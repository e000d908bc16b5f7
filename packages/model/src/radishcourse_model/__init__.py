"""Configuration schema, identifiers and states of radishcourse."""
