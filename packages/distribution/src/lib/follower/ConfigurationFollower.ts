import type { FreshnessReport } from '@buckthornslip/wire';

import type { ConfigurationSnapshot } from '../configuration/ConfigurationSnapshot';
import type { ConfigurationView } from '../configuration/ConfigurationView';
import type { ConfigurationHandlers } from '../peers/ConfigurationHandlers';

/**
 * Keeps a node's configuration up to date with the store, directly or through zone contacts.
 *
 * @public
 */
export interface ConfigurationFollower extends ConfigurationView {
  /**
   * The revision in force, or else the newest one received. After a restart, the latter may be older than what was in
   * force on the host before, so it must not be used to authorize keys. It is suitable for settings such as timeouts.
   */
  readonly provisional: () => ConfigurationSnapshot | undefined;

  /** Handles requests from other nodes and from ctl. */
  readonly handlers: ConfigurationHandlers;

  /** @returns How recently this revision was known to be the newest, to be sent in registration responses. */
  readonly freshnessReport: () => FreshnessReport;

  /**
   * Records a report that was received with another message, such as a registration response.
   *
   * @param report - The peer's report.
   * @param sentAt - Monotonic time at which the request was sent, in milliseconds.
   */
  readonly recordReport: (report: FreshnessReport, sentAt: number) => void;

  /**
   * @returns Milliseconds since the store had no newer revision; undefined if the store never confirmed the revision.
   */
  readonly confirmedAgeMilliseconds: () => number | undefined;

  /** Reads the store immediately. */
  readonly pollStore: () => Promise<void>;

  /** Polls the zone contacts that this node's role requires, immediately. */
  readonly pollPeers: () => Promise<void>;

  /**
   * Polls, watches the store and announces revisions until the signal is aborted.
   *
   * @param signal - Stops the follower.
   */
  readonly run: (signal: AbortSignal) => Promise<void>;
}
