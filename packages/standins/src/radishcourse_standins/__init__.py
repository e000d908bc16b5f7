"""Stand-ins for the systems around radishcourse, a demo and benchmarks."""
