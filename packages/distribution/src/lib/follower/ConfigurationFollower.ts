import type { FreshnessReport } from '@buckthornslip/wire';

import type { ConfigurationSnapshot } from '../configuration/ConfigurationSnapshot';
import type { ConfigurationView } from '../configuration/ConfigurationView';
import type { ConfigurationHandlers } from '../peers/ConfigurationHandlers';

/**
 * Keeps a node's configuration up to date.
 *
 * @public
 */
export interface ConfigurationFollower extends ConfigurationView {
  /**
   * The revision in force, or else the newest one that was received. After a restart, the latter may be older than what
   * the host had in force before, so it must not decide on keys. It serves for settings such as a service's time-outs.
   */
  readonly provisional: () => ConfigurationSnapshot | undefined;

  /** Answers messages of other nodes and of ctl. */
  readonly handlers: ConfigurationHandlers;

  /** @returns What this node knows about the age of its revision, for registration responses. */
  readonly freshnessReport: () => FreshnessReport;

  /**
   * Takes in a report that came with another message, such as a registration response.
   *
   * @param report - The peer's report.
   * @param sentAt - Monotonic time at which the request was sent, in milliseconds.
   */
  readonly recordReport: (report: FreshnessReport, sentAt: number) => void;

  /** @returns Milliseconds since a newer revision could be ruled out by the store; undefined if it never could. */
  readonly confirmedAgeMilliseconds: () => number | undefined;

  /** Reads the store now. */
  readonly pollStore: () => Promise<void>;

  /** Asks contacts now, as the node's role requires. */
  readonly pollPeers: () => Promise<void>;

  /**
   * Polls, watches and announces until the signal is aborted.
   *
   * @param signal - Stops the follower.
   */
  readonly run: (signal: AbortSignal) => Promise<void>;
}
