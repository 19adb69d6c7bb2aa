import type { InstallRevisionRequest, SignedHead } from '@buckthornslip/wire';

import type { ConfigurationHandlers } from '../peers/ConfigurationHandlers';
import { headSignature } from '../revision/headSignature';
import type { InstalledRevision } from '../revision/InstalledRevision';
import { verifySignedHead } from '../revision/verifySignedHead';
import type { FollowerOptions } from './FollowerOptions';
import type { FollowerState } from './FollowerState';

function signHead({ headBytes }: InstalledRevision, fleetSecret: string): SignedHead {
  return { head: headBytes, signature: headSignature(headBytes, fleetSecret) };
}

/**
 * Creates the handlers for requests from other nodes and from ctl.
 *
 * @param options - The follower's options.
 * @param state - The follower's state.
 * @param fetchFrom - Fetches a newer revision from the given address, in the background.
 * @returns The handlers.
 * @internal
 */
export function createHandlers(
  options: FollowerOptions,
  state: FollowerState,
  fetchFrom: (address: string) => void,
): ConfigurationHandlers {
  const install = ({ head: signed, parts }: InstallRevisionRequest): void => {
    if (signed === undefined) return;
    const head = verifySignedHead(signed, options.fleetSecret);
    if (!head.ok) {
      state.reject(head.error, 'install');
      return;
    }
    const newParts = new Map(parts.map((part) => [part.digest, part.compressed]));
    const accepted = state.accept(head.value, signed.head, newParts);
    if (!accepted.ok) state.reject(accepted.error, 'install');
  };

  return {
    fetchConfiguration: ({ knownRevision }) => {
      const current = state.current();
      const isNewer = current !== undefined && current.head.revision > knownRevision;
      return {
        report: state.freshness.report(state.currentRevision()),
        head: isNewer ? signHead(current, options.fleetSecret) : undefined,
      };
    },
    fetchParts: ({ digests }) => {
      const known = state.current()?.parts;
      const parts = digests.flatMap((digest) => {
        const compressed = known?.get(digest);
        return compressed === undefined ? [] : [{ digest, compressed: Buffer.from(compressed) }];
      });
      return { parts };
    },
    announceRevision: ({ revision, controlAddress }) => {
      if (revision > state.currentRevision()) fetchFrom(controlAddress);
    },
    installRevision: (request) => {
      install(request);
      return { revision: state.currentRevision() };
    },
  };
}
