import type { PeerCallError } from '@buckthornslip/wire';

/**
 * Why a peer returned no response. It may or may not have received the request.
 *
 * @public
 */
export type PeerError = PeerCallError;
