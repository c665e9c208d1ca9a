"""The path of a message: received, admitted, passed to the policy module, and its orders sent and logged."""
