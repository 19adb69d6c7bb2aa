import type { AdmissionController } from '@buckthornslip/admission';
import type {
  CallForwarder,
  HttpListener,
  SuspectTable,
  UpstreamState,
} from '@buckthornslip/calls';

/**
 * Components of a node's call path that the process starts and stops.
 *
 * @internal
 */
export interface CallPath {
  readonly admission: AdmissionController;
  readonly suspects: SuspectTable;
  readonly upstream: UpstreamState;
  readonly forwarder: CallForwarder;
  /** Listener for requests from callers. */
  readonly entry: HttpListener;
  /** Listener for calls forwarded by other nodes. */
  readonly peerListener: HttpListener;
  /** Listener for nested calls and announcements of the node's own upstream. */
  readonly outgoing: HttpListener;
}
