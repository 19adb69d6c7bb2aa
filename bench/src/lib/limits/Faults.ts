/** Faults of the simulated network and store. They may change during the simulation. */
export interface Faults {
  /** Share of requests lost, and likewise of responses. */
  loss: number;
  /** Share of requests delivered twice. */
  duplication: number;
  /** Maximum additional delay of a message, in milliseconds. */
  delayMilliseconds: number;
  /** Share of store operations that fail. A failed write may have taken effect, or may do so later. */
  storeFailures: number;
}
