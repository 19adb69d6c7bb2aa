/**
 * Constants of the choice of serving nodes. `routerDefaults` holds the values in use.
 *
 * @public
 */
export interface RouterSettings {
  /** Age up to which a load report counts, in milliseconds. */
  readonly loadReportMaxAgeMilliseconds: number;
  /** Age up to which a reported cut-off keeps calls away, in milliseconds. */
  readonly cutoffMaxAgeMilliseconds: number;
  /** Load per limit of the own zone above which calls also go to other zones of the region. */
  readonly zoneSpilloverThreshold: number;
  /** Load per limit of the own region above which calls also go to other regions. */
  readonly regionSpilloverThreshold: number;
  /** Time over which a newly ready member reaches its full share, in milliseconds. */
  readonly slowStartMilliseconds: number;
  /** Share of a member at the beginning of its slow start. */
  readonly slowStartShare: number;
  /** Consecutive failures after which a member is ejected. */
  readonly ejectionFailureThreshold: number;
  /** Consecutive silences after which a member is ejected. */
  readonly ejectionSilenceThreshold: number;
  /** How far the share of error answers must lie above that of the other members for an ejection. */
  readonly ejectionErrorMargin: number;
  /** Length of a member's first ejection, in milliseconds; each further one is twice as long. */
  readonly baseEjectionMilliseconds: number;
  /** Longest ejection, in milliseconds. */
  readonly maxEjectionMilliseconds: number;
  /** Longest wait for the first roster of a service, in milliseconds. */
  readonly memberListTimeoutMilliseconds: number;
  /** Bytes charged for a call whose size is not declared. */
  readonly undeclaredBodyBytes: number;
}
