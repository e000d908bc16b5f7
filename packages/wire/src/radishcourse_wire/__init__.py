"""Messages between radishcourse nodes."""
