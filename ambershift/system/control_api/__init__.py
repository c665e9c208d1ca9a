"""What operators, backends, applications and those that seek a desk ask of a control node by HTTP."""
