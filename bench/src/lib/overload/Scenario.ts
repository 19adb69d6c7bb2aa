/** Parameters of one run of the overload simulation. */
export interface Scenario {
  readonly name: string;
  /** Whether the upstream is behind an admission controller. */
  readonly control: boolean;
  readonly seed: number;
  /** Calls that the upstream runs concurrently. */
  readonly workers: number;
  /** Slots that the upstream announces. */
  readonly announcedSlots: number;
  /** Demand without retries, as a multiple of the capacity. */
  readonly demand: number;
  /** Additional factor on the demand of the first account. */
  readonly surge: number;
  /** Phase in which the upstream is slower and the demand is multiplied, if any. */
  readonly trigger?: {
    readonly fromMilliseconds: number;
    readonly untilMilliseconds: number;
    readonly slowness: number;
    readonly demandFactor: number;
  };
  readonly durationMilliseconds: number;
}
