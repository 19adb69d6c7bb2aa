import type { AccountId, HostId } from '@buckthornslip/common';
import type { LedgerGrant, LedgerRequest } from '@buckthornslip/limits';
import { createAccountLedger } from '@buckthornslip/limits';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import { channelTimes } from '../channel/channelTimes';
import type { PeerLink } from '../channel/PeerLink';
import type { DirectoryFleet } from '../testing/createDirectoryFleet';
import { createDirectoryFleet } from '../testing/createDirectoryFleet';
import { createLedgerLocator } from './createLedgerLocator';
import { createLedgerPeers } from './createLedgerPeers';

const ACCOUNT = 'account' as AccountId;
const ALLOWANCE = { ratePerSecond: 100, burst: 50 };
const PLAYED_MILLISECONDS = 3_000;

/** Time after the restart at which a store that is down answers again, in milliseconds. */
const STORE_RETURNS_MILLISECONDS = 300;

/** Response time of a store in another region, in milliseconds. */
const STORE_MILLISECONDS = 65;

const HOSTS = Array.from({ length: 16 }, (_, index) => `host-${index}`);

/** Ledgers of the nodes of a directory fleet, connected by function calls. */
function createLedgers(
  { clock, get, unreachable }: DirectoryFleet,
  { resetByCut = false, isFirstStart = false } = {},
) {
  const ledgers = HOSTS.map((host) =>
    createAccountLedger(clock, {
      allowanceOf: () => ALLOWANCE,
      isFirstStart,
      share: () => get(host).rateShare(),
      hasLostNodes: () => get(host).hasLostNodes(),
    }),
  );
  return HOSTS.map((host, index) => {
    const directory = get(host);
    return createLedgerPeers({
      logger: createSilentLogger(),
      host: host as HostId,
      ledger: ledgers[index]!,
      locator: createLedgerLocator(directory),
      links: {
        get: (address) =>
          ({
            requestTokens: async (request: LedgerRequest) => {
              const other = address.split(':')[0] as string;
              if (!unreachable.has(host) && !unreachable.has(other)) {
                return ledgers[HOSTS.indexOf(other)]?.grant(request);
              }
              if (!resetByCut) await clock.sleep(channelTimes.tokenTimeout);
              return undefined;
            },
          }) as unknown as PeerLink,
      },
      suspect: directory.suspect,
      whenInformed: directory.whenInformed,
    });
  });
}

// Guards against an account that exceeds its limit after a restart of all nodes, each of which knows only itself at first and
// grants the rate on its own.
for (const isStoreDown of [false, true]) {
  const state = isStoreDown ? 'down at first' : 'slow';
  void t.test(`nodes restart together, the store is ${state}`, async (test) => {
    const fleet = createDirectoryFleet(202_612_052);
    fleet.store.faults.setSlow(STORE_MILLISECONDS);
    HOSTS.forEach((host) => fleet.start(host));
    await fleet.clock.advance(5_000);
    HOSTS.forEach((host) => fleet.end(host));
    await fleet.clock.advance(1_000);
    fleet.store.faults.setDown(isStoreDown);
    HOSTS.forEach((host) => fleet.start(host));
    const ledgers = createLedgers(fleet);
    let granted = 0;
    const countTokens = (grant: LedgerGrant): void => {
      granted += grant.tokens;
    };
    for (let elapsed = 0; elapsed < PLAYED_MILLISECONDS; elapsed += 50) {
      if (elapsed === STORE_RETURNS_MILLISECONDS) fleet.store.faults.setDown(false);
      ledgers.forEach((ledger) => {
        void ledger
          .request({ account: ACCOUNT, needed: 3, ahead: 0 })
          .then((result) => result.ok && countTokens(result.value));
      });
      await fleet.clock.advance(50);
    }
    const seconds = PLAYED_MILLISECONDS / 1_000;
    const allowed = ALLOWANCE.ratePerSecond * seconds + ALLOWANCE.burst;
    test.ok(granted <= allowed, `${granted} tokens, ${allowed} allowed`);
    test.ok(granted >= 0.2 * ALLOWANCE.ratePerSecond * seconds, `${granted} tokens`);
  });
}

/** Time for which a node is cut off, in milliseconds. */
const CUT_MILLISECONDS = 10_000;

// Guards against an account that gets its whole rate twice: from a node that is cut off and takes all others for dead, and from
// the others.
const CUTS = [
  { isKeeper: false, resetByCut: false },
  { isKeeper: true, resetByCut: false },
  { isKeeper: false, resetByCut: true },
  { isKeeper: true, resetByCut: true },
];
for (const { isKeeper, resetByCut } of CUTS) {
  const role = isKeeper ? 'that keeps the ledger' : 'without the ledger';
  const connections = resetByCut ? 'connections are reset' : 'connections are silent';
  void t.test(`a node ${role} is cut off, ${connections}`, async (test) => {
    const fleet = createDirectoryFleet(202_612_053, { resetByCut });
    HOSTS.forEach((host) => fleet.start(host));
    await fleet.clock.advance(10_000);
    const ledgers = createLedgers(fleet, { resetByCut, isFirstStart: true });
    const keeper = createLedgerLocator(fleet.get('host-0')).locate(ACCOUNT)?.host as string;
    const cut = isKeeper ? keeper : (HOSTS.find((host) => host !== keeper) as string);
    const granted = new Map<number, number>();
    const countTokens = ({ tokens }: LedgerGrant): void => {
      const second = Math.floor(fleet.clock.monotonicMilliseconds() / 1_000);
      granted.set(second, (granted.get(second) ?? 0) + tokens);
    };
    const play = async (milliseconds: number): Promise<void> => {
      for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
        ledgers.forEach((ledger) => {
          void ledger
            .request({ account: ACCOUNT, needed: 3, ahead: 0 })
            .then((result) => result.ok && countTokens(result.value));
        });
        await fleet.clock.advance(50);
      }
    };
    await play(5_000);
    fleet.unreachable.add(cut);
    await play(CUT_MILLISECONDS);
    fleet.unreachable.delete(cut);
    await play(5_000);
    const seconds = [...granted.values()];
    const windows = seconds.map((_tokens, second) =>
      seconds.slice(second, second + 5).reduce((sum, tokens) => sum + tokens, 0),
    );
    const allowed = (ALLOWANCE.ratePerSecond * 5 + ALLOWANCE.burst) * 1.1 + 20;
    const most = Math.max(...windows);
    test.ok(most <= allowed, `${most} tokens in 5 s, ${allowed} allowed`);
    const least = Math.min(...windows.slice(0, -4));
    test.ok(least >= ALLOWANCE.ratePerSecond * 5 * 0.5, `${least} tokens in 5 s at least`);
  });
}

/** Time for which the store is away after all nodes have restarted; longer than nodes wait to be told of the others. */
const LONG_OUTAGE_MILLISECONDS = 3_500;

// Guards against an account that exceeds its limit when the store is back: nodes that could not read the records of the others
// get the policy first.
void t.test('nodes restart together while the store is away for long', async (test) => {
  const fleet = createDirectoryFleet(202_612_071);
  HOSTS.forEach((host) => fleet.start(host));
  await fleet.publish(1);
  await fleet.clock.advance(5_000);
  HOSTS.forEach((host) => fleet.end(host));
  fleet.store.faults.setDown(true);
  await fleet.clock.advance(1_000);
  HOSTS.forEach((host) => fleet.start(host));
  await fleet.clock.advance(LONG_OUTAGE_MILLISECONDS);
  fleet.store.faults.setDown(false);
  const ledgers = createLedgers(fleet);
  let granted = 0;
  const countTokens = ({ tokens }: LedgerGrant): void => {
    granted += tokens;
  };
  for (let elapsed = 0; elapsed < PLAYED_MILLISECONDS; elapsed += 50) {
    ledgers.forEach((ledger, index) => {
      if (fleet.policyRevision(HOSTS[index] as string) === 0) return;
      void ledger
        .request({ account: ACCOUNT, needed: 3, ahead: 0 })
        .then((result) => result.ok && countTokens(result.value));
    });
    await fleet.clock.advance(50);
  }
  const seconds = PLAYED_MILLISECONDS / 1_000;
  const allowed = ALLOWANCE.ratePerSecond * seconds + ALLOWANCE.burst;
  test.ok(granted <= allowed, `${granted} tokens, ${allowed} allowed`);
  test.ok(granted >= 0.2 * ALLOWANCE.ratePerSecond * seconds, `${granted} tokens`);
});
