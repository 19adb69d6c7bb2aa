import type { AdmissionController } from '@buckthornslip/admission';
import type { ConfigurationView } from '@buckthornslip/distribution';
import type { AccountLimiter } from '@buckthornslip/limits';
import type { Router } from '@buckthornslip/routing';

/**
 * Steps of a call that a node stand-in reports.
 *
 * @public
 */
export type NodeStep = 'authenticate' | 'limit' | 'route' | 'forward' | 'queue';

interface ObservedComponents {
  readonly configuration: ConfigurationView;
  readonly limiter: AccountLimiter;
  readonly router: Router;
  readonly admission: AdmissionController;
}

/**
 * Reports each step of a call just before the part that takes the step is used.
 *
 * @param components - Components of a node.
 * @param onStep - Told of each step.
 * @returns The components, observed.
 * @internal
 */
export function observeSteps<Components extends ObservedComponents>(
  components: Components,
  onStep: (step: NodeStep) => void,
): Components {
  const { admission, configuration, limiter, router } = components;
  return {
    ...components,
    configuration: {
      ...configuration,
      current: () => {
        onStep('authenticate');
        return configuration.current();
      },
    },
    limiter: {
      ...limiter,
      spend: (account, signal) => {
        onStep('limit');
        return limiter.spend(account, signal);
      },
    },
    router: {
      ...router,
      choose: async (request) => {
        onStep('route');
        const chosen = await router.choose(request);
        onStep('forward');
        return chosen;
      },
    },
    admission: {
      ...admission,
      admit: (request, signal) => {
        onStep('queue');
        return admission.admit(request, signal);
      },
    },
  };
}
