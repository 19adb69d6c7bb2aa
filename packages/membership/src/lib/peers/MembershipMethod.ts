import type { membershipMessages } from '@buckthornslip/wire';

type Service = typeof membershipMessages.MembershipPeerService;

/**
 * Name of a gRPC method of membership.
 *
 * @public
 */
export type MembershipMethod = keyof Service;

/**
 * Request type of a method.
 *
 * @public
 */
export type MembershipRequest<Method extends MembershipMethod> = ReturnType<
  Service[Method]['requestDeserialize']
>;

/**
 * Response type of a method.
 *
 * @public
 */
export type MembershipResponse<Method extends MembershipMethod> = ReturnType<
  Service[Method]['responseDeserialize']
>;
