"""What operators, backends, applications and those that seek a proxy ask of a control node by HTTP."""
