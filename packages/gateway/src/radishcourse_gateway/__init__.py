"""The gateway: forwards HTTP requests to upstreams by configured routes."""
