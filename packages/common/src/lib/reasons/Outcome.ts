/**
 * Whether a refused or failed call was executed. `not-run` is used only if it is certain that execution
 * did not start.
 *
 * @public
 */
export type Outcome = 'not-run' | 'may-have-run' | 'ran';
