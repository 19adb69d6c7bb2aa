/**
 * Something wrong with a manifest or a settings file.
 *
 * @public
 */
export interface ConfigurationIssue {
  /** Where the fault is, for example "routes[3].priority", or the line and column of a syntax error. */
  readonly path: string;
  readonly message: string;
}
