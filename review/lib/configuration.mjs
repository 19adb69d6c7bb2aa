/** Key of the tenant that sends the requests. */
export const KEY = 'key-of-pulo780';

/** Host of all routes. */
export const HOST = 'hulo84.example';

/** A configuration of the users' form with the given routes. */
export function createConfiguration({ routes, services, ratePerS = 1000, burst = 1000 }) {
  const common = { host: HOST, latencyGoal: '1500ms', priority: 0, attempts: 2, public: false };
  return {
    version: 'r7',
    routes: routes.map((route) => ({ ...common, ...route })),
    services: services.map((name) => ({ name, healthPath: '/health', maxConnections: 484 })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 67_108_864,
      headerTimeout: '3000ms',
      idleTimeout: '15000ms',
    },
    tenants: [{ name: 'pulo780', apiKeys: [KEY], priority: 1, ratePerS, burst }],
  };
}
