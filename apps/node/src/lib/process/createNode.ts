import type { Incarnation } from '@buckthornslip/common';

import { createAdminServer } from '../admin/createAdminServer';
import { addControlServices } from '../control/addControlServices';
import { createControlServer } from '../control/createControlServer';
import { createNodeComponents } from './createNodeComponents';
import { createPeerClients } from './createPeerClients';
import type { NodeOptions } from './NodeOptions';
import type { NodeProcess } from './NodeProcess';

/**
 * Time for the draining state to reach the other nodes, in milliseconds. Calls sent in the meantime are still served.
 */
const DRAIN_PROPAGATION_MILLISECONDS = 2_000;

/** Longest time that the handover of leases may delay the shutdown, in milliseconds. */
const HANDOVER_TIMEOUT_MILLISECONDS = 3_000;

/**
 * Creates a node.
 *
 * @param options - Settings and dependencies of the node.
 * @returns The node, not started.
 * @public
 */
export function createNode(options: NodeOptions): NodeProcess {
  const { settings, clock, store, logger, metrics } = options;
  const { host, region, zone, fleetSecret, listeners } = settings;
  const incarnation = clock.wallMilliseconds() as Incarnation;
  const running = new AbortController();
  const peers = createPeerClients(clock, fleetSecret);
  const components = createNodeComponents(options, { host, incarnation }, peers);
  const { callPath, configuration, participation, leases, membership, tokenServer } = components;
  const control = createControlServer();
  addControlServices(control, components, fleetSecret);

  let isStopping = false;
  const notReadyReason = (): string | undefined => {
    if (isStopping) return 'stopping';
    return configuration.current() ? undefined : 'no configuration in force';
  };
  const admin = createAdminServer(metrics, { notReadyReason });

  const close = async (): Promise<void> => {
    running.abort();
    participation.close();
    tokenServer.stop();
    leases.close();
    membership.close();
    const { entry, outgoing, peerListener } = callPath;
    await Promise.all([entry.close(), outgoing.close(), peerListener.close()]);
    callPath.forwarder.close();
    callPath.upstream.close();
    admin.close();
    control.close();
    peers.close();
    store.close();
  };

  const start = async (): Promise<void> => {
    await control.listen(listeners.control);
    await admin.listen(listeners.admin);
    membership.start();
    void configuration.run(running.signal);
    participation.run();
    await callPath.peerListener.listen(listeners.peers);
    await callPath.outgoing.listen(listeners.outgoing);
    await callPath.entry.listen(listeners.callers);
    logger.log('processStarted', { host, incarnation, region, zone });
  };

  const announceDraining = (): void => {
    const announcement = callPath.upstream.current();
    if (announcement) membership.announce({ ...announcement, state: 'draining' });
  };

  const stop = async (): Promise<void> => {
    isStopping = true;
    logger.log('processStopping', { host });
    announceDraining();
    await clock.sleep(DRAIN_PROPAGATION_MILLISECONDS);
    await Promise.all([callPath.entry.drain(), callPath.peerListener.drain()]);
    // Drained last, because calls in progress at the upstream may make nested calls.
    await callPath.outgoing.drain();
    await Promise.race([leases.handOverAll(), clock.sleep(HANDOVER_TIMEOUT_MILLISECONDS)]);
    await membership.leave();
    await close();
    logger.log('processStopped', { host });
  };

  return { start, stop, close, revision: () => configuration.current()?.revision ?? 0 };
}
