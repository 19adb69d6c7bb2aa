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

/** How much shorter the time between polls is while no revision is in force yet. */
const STARTUP_POLL_FACTOR = 8;

/** Polls within the freshness limit, so that one lost poll does not make a node stale. */
const POLLS_PER_FRESHNESS_LIMIT = 4;

/**
 * Creates the follower of a node. Zone contacts read and watch the store and announce new revisions to the nodes
 * registered with them; other nodes poll a contact.
 *
 * @param options - Identity, clock, store, peers and callbacks for membership.
 * @returns The follower; nothing runs before `run`.
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
          // A poll that waits for a silent contact must not delay the polls of other regions.
          void pollPeers();
          return Promise.resolve();
        }),
      ]);
    },
  };
}
