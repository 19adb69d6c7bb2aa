import { loadHeader } from './loadHeader';
import { runCall } from './runCall';
import { serveAttempt } from './serveAttempt';
import type { ServingDependencies } from './ServingDependencies';
import type { ServingNode } from './ServingNode';

/**
 * Creates the serving side of this node, which its own entry listener and the listener for peers use.
 *
 * @param dependencies - Dependencies of the serving side.
 * @returns The serving side.
 * @public
 */
export function createServingNode(dependencies: ServingDependencies): ServingNode {
  return {
    serve: async (call) => {
      const answer =
        call.attemptId === undefined
          ? await runCall(dependencies, call)
          : await serveAttempt(dependencies, call, call.attemptId);
      return { ...answer, load: loadHeader(dependencies.admission.load()) };
    },
  };
}
