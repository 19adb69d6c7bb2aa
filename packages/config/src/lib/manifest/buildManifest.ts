import type { AccountId, RegionId, ServiceId, ZoneId } from '@buckthornslip/common';

import type { AccountDefinition } from './AccountDefinition';
import type { Manifest } from './Manifest';
import type { RouteDefinition } from './RouteDefinition';
import type { AccountEntry } from './schemas/accountSchema';
import type { Limits } from './schemas/limitsSchema';
import type { ManifestDocument } from './schemas/manifestSchema';
import type { RouteEntry } from './schemas/routeSchema';
import type { ServiceDefinition } from './ServiceDefinition';

/** HTTP methods that RFC 9110 defines as safe. */
const SAFE_METHODS: readonly string[] = ['GET', 'HEAD', 'OPTIONS'];

/** Routes are repeatable by default only if all their methods are safe. */
function isSafe(methods: readonly string[]): boolean {
  return methods.length > 0 && methods.every((method) => SAFE_METHODS.includes(method));
}

function buildRoute(entry: RouteEntry, limits: Limits): RouteDefinition {
  return {
    name: entry.name,
    service: entry.service as ServiceId,
    methods: entry.methods,
    pathPrefix: entry.path_prefix,
    access: entry.access,
    priority: entry.priority,
    repeatable: entry.repeatable ?? isSafe(entry.methods),
    idempotencyKey: entry.idempotency_key,
    deadlineMilliseconds: entry.deadline_milliseconds ?? limits.deadline_milliseconds,
    bodyLimitBytes: entry.body_limit_bytes ?? limits.body_limit_bytes,
    retryBudget: entry.retry_budget ?? limits.retry_budget,
  };
}

function buildAccount(entry: AccountEntry): AccountDefinition {
  return {
    id: entry.id as AccountId,
    ratePerSecond: entry.rate_per_second,
    burst: entry.burst ?? Math.ceil(entry.rate_per_second),
    routes: entry.routes,
    whenIsolated: entry.when_isolated,
  };
}

function buildServices(document: ManifestDocument): ReadonlyMap<ServiceId, ServiceDefinition> {
  const { limits } = document;
  const entries = Object.entries(document.services).map(([name, entry]) => {
    const id = name as ServiceId;
    const definition: ServiceDefinition = {
      id,
      queueTargetMilliseconds: entry.queue_target_milliseconds ?? limits.queue_target_milliseconds,
      firstByteTimeoutMilliseconds:
        entry.first_byte_timeout_milliseconds ?? limits.first_byte_timeout_milliseconds,
    };
    return [id, definition] as const;
  });
  return new Map(entries);
}

function buildRegions(document: ManifestDocument): ReadonlyMap<RegionId, readonly ZoneId[]> {
  const entries = Object.entries(document.regions).map(
    ([region, { zones }]) => [region as RegionId, zones as ZoneId[]] as const,
  );
  return new Map(entries);
}

/**
 * @param document - A valid manifest document.
 * @returns The typed model with all defaults filled in.
 * @internal
 */
export function buildManifest(document: ManifestDocument): Manifest {
  const accounts = document.accounts.map(buildAccount);
  return {
    release: document.release,
    regions: buildRegions(document),
    services: buildServices(document),
    routes: document.routes.map((entry) => buildRoute(entry, document.limits)),
    accounts: new Map(accounts.map((account) => [account.id, account])),
  };
}
