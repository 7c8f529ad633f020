# Operators' own settings. Parsed by the build step; every value has a default (docs/operations.md).

leadership {
  lease_ms = 3000
}

scaling {
  idle_hold_s = 15
  capacity_retry_s = 15
  headroom = 0.6
}

scheduling {
  cycle_ms = 200
  aging_s  = 90
}
