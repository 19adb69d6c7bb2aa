import type { Priority, ServiceId } from '@buckthornslip/common';

/**
 * A route: how requests that match its methods and path prefix are handled.
 *
 * @public
 */
export interface RouteDefinition {
  readonly name: string;
  readonly service: ServiceId;
  /** HTTP methods in upper case; empty for all. */
  readonly methods: readonly string[];
  /** Prefix of whole path segments, for example "/statements". */
  readonly pathPrefix: string;
  readonly access: 'open' | 'keyed';
  readonly priority: Priority;
  /** Whether it is safe to execute the request more than once. */
  readonly repeatable: boolean;
  /** Whether requests to a route that is not repeatable must have an Idempotency-Key header. */
  readonly idempotencyKey: 'required' | 'optional';
  /** Maximum time from the arrival of the request to the end of the response, in milliseconds. */
  readonly deadlineMilliseconds: number;
  /** Maximum size of the request body, in bytes. */
  readonly bodyLimitBytes: number;
  /** Maximum number of retries for one root call of this route, including its nested calls. */
  readonly retryBudget: number;
}
