import type { AttemptId, NodeIdentity } from '@buckthornslip/common';
import type { Manifest } from '@buckthornslip/config';
import type { ConfigurationView, KeyRecord } from '@buckthornslip/distribution';
import type { Member } from '@buckthornslip/membership';

/**
 * State that the test nodes of one process share instead of exchanging messages.
 *
 * @public
 */
export interface SharedFleetState {
  readonly configuration: ConfigurationView;
  readonly publish: (manifest: Manifest) => void;
  readonly grant: (key: string, account: string) => void;
  readonly withdraw: (key: string) => void;
  readonly setFresh: (isFresh: boolean) => void;
  readonly members: Map<string, Member>;
  readonly suspected: string[];
  readonly bindings: Map<
    string,
    { readonly digest: string; readonly attemptId: AttemptId; readonly servingNode: NodeIdentity }
  >;
}

/**
 * Key records by the digest of the key.
 *
 * @internal
 */
export type KeyTable = ReadonlyMap<string, KeyRecord>;
