"""Stand-ins for the systems around radishcourse, demo and measurements."""
