import type { HealthHead } from './HealthHead';
import type { ResponseHead } from './ResponseHead';
import type { RequestHead } from './RequestHead';
import type { UpstreamHeaders } from './UpstreamHeaders';

/** Headers as parsed by Node.js, with names in lower case. */
type ParsedHeaders = Readonly<Record<string, string | string[] | undefined>>;

/**
 * Codec of the headers that callers and upstreams use. The call path handles the decoded form only.
 *
 * @public
 */
export interface CallProtocol {
  readonly readRequest: (headers: ParsedHeaders) => RequestHead;
  readonly readResponse: (headers: ParsedHeaders) => ResponseHead;
  readonly readHealth: (headers: ParsedHeaders) => HealthHead;
  /** @returns Alternating names and values. */
  readonly writeUpstreamHeaders: (headers: UpstreamHeaders) => string[];
  /** Header names in lower case that callers may not set, because the sidecar sets them. */
  readonly reservedNames: ReadonlySet<string>;
}
