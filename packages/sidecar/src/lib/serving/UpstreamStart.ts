import type { UpstreamInstance } from './UpstreamInstance';

/** What identifies one start of an upstream; a restarted upstream may keep its id. */
export type UpstreamStart = Pick<UpstreamInstance, 'id' | 'startedMilliseconds'>;
