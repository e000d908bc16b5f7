"""The operators' command line of radishcourse."""
