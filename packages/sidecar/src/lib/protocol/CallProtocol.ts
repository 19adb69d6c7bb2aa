import type { ResponseHead } from './ResponseHead';
import type { RequestHead } from './RequestHead';
import type { UpstreamHeaders } from './UpstreamHeaders';

/** Headers as Node.js parses them: names in lower case. */
type ParsedHeaders = Readonly<Record<string, string | string[] | undefined>>;

/**
 * The headers that callers and upstreams use. The call path works with the decoded form only.
 *
 * @public
 */
export interface CallProtocol {
  readonly readRequest: (headers: ParsedHeaders) => RequestHead;
  readonly readResponse: (headers: ParsedHeaders) => ResponseHead;
  /** @returns Names and values in turn. */
  readonly writeUpstreamHeaders: (headers: UpstreamHeaders) => string[];
  /** Names in lower case that a caller may not set; the system writes them itself. */
  readonly reservedNames: ReadonlySet<string>;
}
