/**
 * What the answer of an upstream says of itself, decoded from its headers.
 *
 * @public
 */
export interface ResponseHead {
  /** Request that the answer belongs to. */
  readonly requestId: string | undefined;
  /** Whether the upstream states that it has not run the request. */
  readonly isNotRun: boolean;
  /** Whether the answer has the mark that each answer of an upstream's own work carries. */
  readonly isSigned: boolean;
}
