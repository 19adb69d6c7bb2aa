import type { HostId } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import type { AccountLedger, LedgerPeers } from '@buckthornslip/limits';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { PeerLinks } from '../peers/createPeerLinks';
import type { LedgerLocator } from './createLedgerLocator';

/** Dependencies of the ledger client. */
interface LedgerPeersOptions {
  readonly logger: EventLogger;
  readonly host: HostId;
  readonly ledger: AccountLedger;
  readonly locator: LedgerLocator;
  readonly links: Pick<PeerLinks, 'get'>;
  /** @returns A promise that resolves when this node knows the other nodes. */
  readonly whenInformed: () => Promise<void>;
  /** Reports a node that does not answer. */
  readonly suspect: (host: HostId) => void;
}

/** A second attempt, because the ledger may have moved to another node. */
const MAXIMUM_ATTEMPTS = 2;

/**
 * Creates the client of the ledgers of all accounts.
 *
 * @param options - Dependencies, such as the local ledger and the locator of the others.
 * @returns The client.
 * @internal
 */
export function createLedgerPeers(options: LedgerPeersOptions): LedgerPeers {
  const { host, ledger, links, locator, logger, suspect, whenInformed } = options;
  return {
    request: async (request) => {
      // Restarted nodes that know only themselves would each grant the whole rate of an account.
      await whenInformed();
      for (let attempts = 0; attempts < MAXIMUM_ATTEMPTS; attempts += 1) {
        const ledgerNode = locator.locate(request.account);
        if (!ledgerNode) break;
        if (ledgerNode.host === host) return success(await ledger.grant(request));
        const grant = await links.get(ledgerNode.peerAddress).requestTokens(request);
        if (grant) return success(grant);
        suspect(ledgerNode.host);
      }
      const ledgerHost = locator.locate(request.account)?.host;
      logger.log('ledgerUnreachable', { account: request.account, keeper: ledgerHost });
      return failure({ kind: 'ledger-unreachable' });
    },
  };
}
