/** Number of an invariant in docs/design.md, section 1.1. */
export type InvariantNumber = 1 | 2 | 3 | 4 | 5 | 6 | 7 | 8 | 9 | 10 | 11 | 12;

/**
 * Cell of the matrix: one fault at one step or operation. It has a check that throws if an invariant is violated, or
 * the reason why there is nothing to check, or a note on the check that is still missing.
 */
export type Cell =
  | {
      readonly kind: 'checked';
      readonly invariants: readonly InvariantNumber[];
      readonly check: () => Promise<void>;
    }
  | { readonly kind: 'not-applicable'; readonly reason: string }
  | { readonly kind: 'open'; readonly missing: string };
