/** A configuration of the operator with the given version, routes, services and tenants. */
export function configurationOf(version, { routes, services, tenants }) {
  return {
    version: `r${version}`,
    routes: routes.map((route) => ({
      host: 'calls.example',
      timeout: '5s',
      latencyGoal: '1s',
      priority: 1,
      attempts: 2,
      public: false,
      type: 'idempotent',
      ...route,
    })),
    services: services.map((name) => ({ name, healthPath: '/health', maxConnections: 484 })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 67_108_864,
      headerTimeout: '3000ms',
      idleTimeout: '15000ms',
    },
    tenants,
  };
}
