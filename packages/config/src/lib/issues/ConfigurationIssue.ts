/**
 * A problem in a manifest or a settings file.
 *
 * @public
 */
export interface ConfigurationIssue {
  /** Location of the issue, for example "routes[3].priority", or the line and column of a syntax error. */
  readonly path: string;
  readonly message: string;
}
