import type { AccountEntry } from '../schemas/accountSchema';
import type { RouteEntry } from '../schemas/routeSchema';

/**
 * The entries of a manifest that are valid on their own, even if others are not. Consistency checks use these, so that
 * all issues of a manifest are reported at once.
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
  /** Zone names with their region and their index in its list of zones. */
  readonly zones: readonly {
    readonly zone: string;
    readonly region: string;
    readonly index: number;
  }[];
}
