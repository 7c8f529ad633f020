// Settings of two small deployments, from BRIEF-brookspur.md and the site files `sites/*.toml`.

export const trailhead = {
  nodes: [
    ['stable-0', 'regina'],
    ['stable-1', 'calgary'],
    ['stable-2', 'regina'],
  ],
  zones: ['regina', 'calgary'],
  teams: [{ name: 'trail-ops', cpus: 0, cpus_max: 0, gpus: 8, gpus_max: 250 }],
  workers: { report_s: 3, lease_s: 17, gang_wait_s: 30, gang_peer_s: 6, cancel_s: 42 },
  state: { rps: 200, write_rps: 50, value_kb: 8, txn_ops: 24 },
  cloud: { rps: 2, list_lag_s: 10 },
  limits: { cpu: 0.136, memory_mb: 146, fd_limit: 1000 },
  types: [
    {
      label: 'coach-box',
      vcpus: 24,
      accelerators: 4,
      memGb: 96,
      cacheGb: 100,
      fetchGbPerS: 0.15,
      price: 11.36,
      lowPrice: 3.1,
      startupS: 25,
      pastures: ['regina', 'calgary'],
    },
    {
      label: 'elevator',
      vcpus: 96,
      accelerators: 8,
      memGb: 576,
      cacheGb: 80,
      fetchGbPerS: 0.12,
      price: 17.77,
      lowPrice: 4.3,
      startupS: 25,
      pastures: ['regina', 'calgary'],
    },
  ],
};

export const entregas = {
  nodes: [
    ['stable-0', 'lisboa'],
    ['stable-1', 'ribeira'],
    ['stable-2', 'lisboa'],
  ],
  zones: ['lisboa', 'ribeira'],
  teams: [
    { name: 'rotas', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
    { name: 'catalogo', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
  ],
  workers: { report_s: 1.5, lease_s: 10, gang_wait_s: 45, gang_peer_s: 8, cancel_s: 40 },
  state: { rps: 120, write_rps: 20, value_kb: 16, txn_ops: 16 },
  cloud: { rps: 4, list_lag_s: 8 },
  limits: { cpu: 0.255, memory_mb: 146, fd_limit: 900 },
  types: [
    {
      label: 'caixa',
      vcpus: 16,
      accelerators: 2,
      memGb: 64,
      cacheGb: 80,
      fetchGbPerS: 0.25,
      price: 5.07,
      lowPrice: 2.1,
      startupS: 60,
      pastures: ['lisboa', 'ribeira'],
    },
    {
      label: 'estufa',
      vcpus: 96,
      accelerators: 8,
      memGb: 576,
      cacheGb: 80,
      fetchGbPerS: 0.25,
      price: 21.83,
      lowPrice: 9.63,
      startupS: 25,
      pastures: ['lisboa', 'ribeira'],
    },
  ],
};
