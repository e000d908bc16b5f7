"""The gateway: forwards HTTP requests by a directory of routes."""
