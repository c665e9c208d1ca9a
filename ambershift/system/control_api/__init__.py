"""What operators, backends, applications and those that seek a desk ask of an archivist by HTTP."""
