/**
 * Information about the configuration that a contact sends to nodes that register with it.
 *
 * @public
 */
export interface RegistrationInfo {
  /** Configuration revision in force. */
  readonly revision: number;
  /** Time since the revision was last known to be the newest, in milliseconds; infinite if it never was. */
  readonly freshnessMilliseconds: number;
}
