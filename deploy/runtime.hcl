# Settings for installations that allow a listener of their own; the platform's `run` line does not use this file.
# Check it with: ambershift check-settings deploy/runtime.hcl

runtime {
  socket "/tmp/ambershift.sock" {
    mode  = "0600"
    level = "admin"
  }

  # Whoever is on the machine may connect here, and only read.
  tcp "127.0.0.1:9999" {
    level = "user"
  }

  max_connections = 64
  timeout         = "60s"
}

log {
  level = "info"
}
