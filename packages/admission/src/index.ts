/**
 * Admission control for a node's local upstream: an adaptive concurrency limit, a fair priority queue and load
 * shedding.
 *
 * @packageDocumentation
 */

export type { CostEstimates } from './lib/cost/createCostEstimates';
export { createCostEstimates } from './lib/cost/createCostEstimates';
export type { CostKey } from './lib/cost/CostKey';
export type { AdmissionController } from './lib/controller/AdmissionController';
export type { AdmissionLoad } from './lib/controller/AdmissionLoad';
export type { AdmissionPermit } from './lib/controller/AdmissionPermit';
export type { AdmissionRefusal } from './lib/controller/AdmissionRefusal';
export type { AdmissionRequest } from './lib/controller/AdmissionRequest';
export type { UpstreamCapacity } from './lib/controller/UpstreamCapacity';
export type { AdmissionOptions } from './lib/controller/AdmissionOptions';
export type { RateLimitSource } from './lib/limit/RateLimitSource';
export { createAdmissionController } from './lib/controller/createAdmissionController';
