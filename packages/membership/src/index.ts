/**
 * Membership of the fleet: announcements, service groups, zone contacts and failure detection.
 *
 * @packageDocumentation
 */

export type { ContactStore } from './lib/contacts/ContactStore';
export type { ContactStoreError } from './lib/contacts/ContactStoreError';
export { createMemoryContactStore } from './lib/contacts/createMemoryContactStore';
export type { MemoryContactStore } from './lib/contacts/createMemoryContactStore';
export type { RegistrationInfo } from './lib/contacts/RegistrationInfo';
export type { Announcement } from './lib/member/Announcement';
export type { Member } from './lib/member/Member';
export type { Membership } from './lib/member/Membership';
export type { MemberDeparture } from './lib/member/MemberDeparture';
export type { MemberState } from './lib/member/MemberState';
export { createMemoryFleet } from './lib/network/createMemoryFleet';
export type { MemoryFleet } from './lib/network/createMemoryFleet';
export { createMemoryNetwork } from './lib/network/createMemoryNetwork';
export type { MemoryNetwork } from './lib/network/MemoryNetwork';
export type { TrafficCount } from './lib/network/TrafficCount';
export { createMembership } from './lib/node/createMembership';
export type { MembershipNode } from './lib/node/MembershipNode';
export type { MembershipOptions } from './lib/node/MembershipOptions';
export { createGrpcMembershipPeers } from './lib/peers/createGrpcMembershipPeers';
export { createMembershipImplementation } from './lib/peers/createMembershipImplementation';
export type { MembershipHandler } from './lib/peers/MembershipHandler';
export type {
  MembershipMethod,
  MembershipRequest,
  MembershipResponse,
} from './lib/peers/MembershipMethod';
export type { MembershipPeers } from './lib/peers/MembershipPeers';
export type { PeerError } from './lib/peers/PeerError';
