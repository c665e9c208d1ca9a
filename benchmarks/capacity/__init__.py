"""What each role costs by the size of a deployment, measured on the real classes, and the sums for a size."""
