"""The radishcourse router process."""
