"""Pure decisions of radishcourse: cascades, roll-outs, placement, admission."""
