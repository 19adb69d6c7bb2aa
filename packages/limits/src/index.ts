/**
 * Enforces the rate and burst of client accounts across the whole fleet.
 *
 * @packageDocumentation
 */

export type { AccountLimiter } from './lib/entry/AccountLimiter';
export type { LimitRefusal } from './lib/entry/LimitRefusal';
export type { AccountLimiterOptions } from './lib/entry/AccountLimiterOptions';
export { createAccountLimiter } from './lib/entry/createAccountLimiter';
export type { AccountGrouping } from './lib/groups/AccountGrouping';
export { createAccountGrouping } from './lib/groups/createAccountGrouping';
export { GROUPS_PER_REGION } from './lib/groups/GROUPS_PER_REGION';
export { limitsPartition } from './lib/groups/limitsPartition';
export { limitsPartitionsOf } from './lib/groups/limitsPartitionsOf';
export { createGrpcLimitPeers } from './lib/grpc/createGrpcLimitPeers';
export { createLimitsHandlers } from './lib/grpc/createLimitsHandlers';
export type { LimitsHandlers } from './lib/grpc/createLimitsHandlers';
export { createTokenServer } from './lib/server/createTokenServer';
export type { TokenServer } from './lib/server/TokenServer';
export type { TokenServerOptions } from './lib/server/TokenServerOptions';
export type { GrantReport } from './lib/messages/GrantReport';
export type { GrantRequest } from './lib/messages/GrantRequest';
export type { GrantResponse } from './lib/messages/GrantResponse';
export type { LimitPeers } from './lib/messages/LimitPeers';
export type { SplitStore, SplitStoreError } from './lib/split/SplitStore';
export type { AccountAllowance } from './lib/ledger/AccountAllowance';
export type { LedgerLimitRefusal, LedgerRateLimiter } from './lib/ledger/LedgerRateLimiter';
export type { AccountLedger } from './lib/ledger/AccountLedger';
export { createLedgerRateLimiter } from './lib/ledger/createLedgerRateLimiter';
export { createAccountLedger } from './lib/ledger/createAccountLedger';
export type { LedgerGrant } from './lib/ledger/LedgerGrant';
export type { LedgerPeers, LedgerUnreachable } from './lib/ledger/LedgerPeers';
export type { LedgerRequest } from './lib/ledger/LedgerRequest';
