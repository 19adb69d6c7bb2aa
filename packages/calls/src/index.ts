/**
 * The path of a call: context, retries, idempotency, suspects and HTTP on both sides.
 *
 * @packageDocumentation
 */

export type { AttemptResult } from './lib/attempts/AttemptResult';
export type { AttemptTable } from './lib/attempts/AttemptTable';
export type { StoredResponse } from './lib/attempts/StoredResponse';
export type { CallContext } from './lib/context/CallContext';
export type { ContextError } from './lib/context/ContextError';
export type { ContextSigner } from './lib/context/ContextSigner';
export type { Claim } from './lib/idempotency/Claim';
export type { ClaimRefusal } from './lib/idempotency/ClaimRefusal';
export type { ClaimRequest } from './lib/idempotency/ClaimRequest';
export type { IdempotencyHomeClient } from './lib/idempotency/IdempotencyHomeClient';
export type { RetryDecision } from './lib/retry/RetryDecision';
export type { RetryPolicy } from './lib/retry/RetryPolicy';
export type { RetryRequest } from './lib/retry/RetryRequest';
export type { SuspectTable } from './lib/suspects/SuspectTable';
export type { CallForwarder } from './lib/entry/CallForwarder';
export { createCallForwarder } from './lib/entry/createCallForwarder';
export { createEntryServer } from './lib/entry/createEntryServer';
export type { EntryDependencies } from './lib/entry/EntryDependencies';
export type { ForwarderDependencies } from './lib/entry/ForwarderDependencies';
export type { RoutedCall } from './lib/entry/RoutedCall';
export type { CallAnswer, CallResponse } from './lib/http/CallAnswer';
export type { CallPathDependencies } from './lib/http/CallPathDependencies';
export type { CallScope } from './lib/http/CallScope';
export { defaultHttpLimits } from './lib/http/defaultHttpLimits';
export type { HttpLimits } from './lib/http/HttpLimits';
export type { HttpListener } from './lib/http/HttpListener';
export type { Refusal } from './lib/http/Refusal';
export type { RequestBody } from './lib/http/RequestBody';
export type { AnnouncementError } from './lib/outgoing/AnnouncementError';
export { createOutgoingServer } from './lib/outgoing/createOutgoingServer';
export type { OutgoingDependencies } from './lib/outgoing/OutgoingDependencies';
export { createServingNode } from './lib/serving/createServingNode';
export type { ServingServerDependencies } from './lib/serving/createServingServer';
export { createServingServer } from './lib/serving/createServingServer';
export type { UpstreamStateDependencies } from './lib/serving/createUpstreamState';
export { createUpstreamState } from './lib/serving/createUpstreamState';
export type { ServingCall } from './lib/serving/ServingCall';
export type { ServingDependencies } from './lib/serving/ServingDependencies';
export type { ServingNode } from './lib/serving/ServingNode';
export type { UpstreamState } from './lib/serving/UpstreamState';
