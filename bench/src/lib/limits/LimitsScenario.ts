import type { LimitsSimulation } from './createLimitsSimulation';

/** Parameters of one run of the account limits benchmark. */
export interface LimitsScenario {
  readonly name: string;
  readonly seed: number;
  readonly nodes: number;
  /** Demand of each account as a multiple of its rate. */
  readonly demand: number;
  /** Additional factor on the demand of the first account. */
  readonly surge: number;
  /** Share of the demand that arrives in the first region. */
  readonly firstRegionShare: number;
  readonly fault?: {
    readonly atMilliseconds: number;
    readonly apply: (simulation: LimitsSimulation) => void;
  };
}
