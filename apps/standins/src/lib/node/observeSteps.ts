import type { AdmissionController } from '@buckthornslip/admission';
import type { ConfigurationView } from '@buckthornslip/distribution';
import type { AccountLimiter } from '@buckthornslip/limits';
import type { Router } from '@buckthornslip/routing';

/**
 * Steps of a call that a test node reports.
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
 * Wraps components of a node so that they report each step of a call just before they run it.
 *
 * @param components - Components of a node.
 * @param onStep - Called with each step.
 * @returns The wrapped components.
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
