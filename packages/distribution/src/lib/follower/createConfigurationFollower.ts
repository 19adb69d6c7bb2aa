import { map } from 'rxjs';

import { announceRevision } from './announceRevision';
import type { ConfigurationFollower } from './ConfigurationFollower';
import { createFollowerState } from './createFollowerState';
import { createHandlers } from './createHandlers';
import { createPeerPoll } from './createPeerPoll';
import { createStoreSyncTask } from './createStoreSyncTask';
import { fetchRevision } from './fetchRevision';
import type { FollowerOptions } from './FollowerOptions';
import { pollStore } from './pollStore';
import { toFreshnessTimes } from './toFreshnessTimes';
import { repeatUntilAborted } from './repeatUntilAborted';
import { coalesceRuns } from './coalesceRuns';

/** Factor by which the poll interval is shorter while no revision is in force yet. */
const STARTUP_POLL_FACTOR = 8;

/** Number of polls within the freshness limit, so that a single lost poll does not make the node stale. */
const POLLS_PER_FRESHNESS_LIMIT = 4;

/**
 * Creates the configuration follower of a node. Zone contacts poll and watch the store and announce new revisions to
 * the nodes registered with them. Other nodes poll a contact.
 *
 * @param options - Identity, clock, store, peers and membership callbacks.
 * @returns The follower, idle until `run` is called.
 * @public
 */
export function createConfigurationFollower(options: FollowerOptions): ConfigurationFollower {
  const { clock } = options;
  const state = createFollowerState(options);
  const pollMilliseconds =
    options.pollMilliseconds ?? options.freshnessLimitMilliseconds / POLLS_PER_FRESHNESS_LIMIT;
  const pauseMilliseconds = (): number =>
    state.current() === undefined ? pollMilliseconds / STARTUP_POLL_FACTOR : pollMilliseconds;
  const pollPeers = createPeerPoll(options, state);
  const pollStoreOnce = coalesceRuns(() => pollStore(options, state));
  const fetchAnnounced = coalesceRuns((address: string) => fetchRevision(options, state, address));
  const handlers = createHandlers(options, state, (address) => {
    void fetchAnnounced(address);
  });

  const announceNewRevisions = (signal: AbortSignal): void => {
    const subscription = state.revisions.subscribe(({ head }) => {
      if (options.isContact()) void announceRevision(options, head.revision);
    });
    signal.addEventListener('abort', () => subscription.unsubscribe(), { once: true });
  };

  return {
    current: () => state.current()?.snapshot,
    provisional: () => state.newest()?.snapshot,
    snapshots: state.revisions.pipe(map(({ snapshot }) => snapshot)),
    isFresh: () => {
      const regions = state.current()?.snapshot.manifest.regions.keys();
      return regions !== undefined && state.freshness.isFresh(regions);
    },
    handlers,
    freshnessReport: () => state.freshness.report(state.currentRevision()),
    recordReport: (report, sentAt) => {
      const times = toFreshnessTimes(report, sentAt);
      if (times !== undefined) state.recordFreshness(times);
    },
    confirmedAgeMilliseconds: state.freshness.confirmedAgeMilliseconds,
    pollStore: async () => {
      await pollStoreOnce();
    },
    pollPeers,
    run: async (signal) => {
      announceNewRevisions(signal);
      await Promise.all([
        createStoreSyncTask(options, pollStoreOnce, pauseMilliseconds)(signal),
        repeatUntilAborted(clock, pauseMilliseconds, signal, () => {
          // Not awaited: a contact that does not respond must not delay the polls of other regions.
          void pollPeers();
          return Promise.resolve();
        }),
      ]);
    },
  };
}
