import type { MembershipMethod, MembershipRequest, MembershipResponse } from './MembershipMethod';

/**
 * Answers the requests of other nodes.
 *
 * @public
 */
export type MembershipHandler = {
  readonly [Method in MembershipMethod]: (
    request: MembershipRequest<Method>,
  ) => MembershipResponse<Method> | Promise<MembershipResponse<Method>>;
};
