/**
 * Settings of the load balancing. `routerDefaults` holds the default values.
 *
 * @public
 */
export interface RouterSettings {
  /** Maximum age of a load report that is still used, in milliseconds. */
  readonly loadReportMaxAgeMilliseconds: number;
  /** Maximum age of a reported cutoff that still diverts or refuses calls, in milliseconds. */
  readonly cutoffMaxAgeMilliseconds: number;
  /** Utilization (load per limit) of the own zone above which calls spill over to other zones of the region. */
  readonly zoneSpilloverThreshold: number;
  /** Utilization of the own region's other zones above which calls spill over to other regions. */
  readonly regionSpilloverThreshold: number;
  /** Duration of the slow start, in which a newly ready member ramps up to its full share, in milliseconds. */
  readonly slowStartMilliseconds: number;
  /** Share of a member's limit at the beginning of its slow start. */
  readonly slowStartShare: number;
  /** Consecutive failures, or error answers, after which a member is ejected. */
  readonly ejectionFailureThreshold: number;
  /** Consecutive attempts without any response after which a member is ejected. */
  readonly ejectionTimeoutThreshold: number;
  /**
   * How far a member's share of error answers must exceed the mean of the other members for an ejection because of
   * errors.
   */
  readonly ejectionErrorMargin: number;
  /** Duration of a member's first ejection, in milliseconds. It doubles with each further ejection. */
  readonly baseEjectionMilliseconds: number;
  /** Maximum duration of an ejection, in milliseconds. */
  readonly maximumEjectionMilliseconds: number;
  /** Maximum wait for the first member list of a service, in milliseconds. */
  readonly memberListTimeoutMilliseconds: number;
  /** Bytes charged to a link budget for a call whose body size is not declared. */
  readonly undeclaredBodyBytes: number;
}
