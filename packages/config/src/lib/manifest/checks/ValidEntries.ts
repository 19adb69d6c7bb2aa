import type { AccountEntry } from '../schemas/accountSchema';
import type { RouteEntry } from '../schemas/routeSchema';

/**
 * The parts of a manifest that can be read even though others may be faulty. Checks between parts work on these, so
 * that one run reports every fault.
 *
 * @internal
 */
export interface ValidEntries {
  readonly services: ReadonlySet<string>;
  readonly routeNames: ReadonlySet<string>;
  /** Valid routes with their index in the document. */
  readonly routes: readonly { readonly index: number; readonly entry: RouteEntry }[];
  /** Valid accounts with their index in the document. */
  readonly accounts: readonly { readonly index: number; readonly entry: AccountEntry }[];
  /** Zone names with the region and the index that they stand at. */
  readonly zones: readonly {
    readonly zone: string;
    readonly region: string;
    readonly index: number;
  }[];
}
