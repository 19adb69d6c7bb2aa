import type { EngineEntry } from './EngineEntry';

/**
 * A change in the history of the storage engine.
 *
 * @internal
 */
export interface EngineChange {
  readonly key: string;
  readonly revision: number;
  /** Undefined when the key was removed. */
  readonly entry: EngineEntry | undefined;
}
