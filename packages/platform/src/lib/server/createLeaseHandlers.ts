import { randomInt } from 'node:crypto';

import { status } from '@grpc/grpc-js';
import type { etcdProtocol } from '@buckthornslip/wire';

import { MAXIMUM_LEASE_ID } from '../store/MAXIMUM_LEASE_ID';
import { handleUnary } from './handleUnary';
import { serviceError } from './serviceError';
import type { StoreServerContext } from './StoreServerContext';

const MILLISECONDS_PER_SECOND = 1_000;

function handleKeepAlive(context: StoreServerContext): etcdProtocol.LeaseServer['leaseKeepAlive'] {
  const { engine, faults, calls, clock } = context;
  return (call) => {
    const respond = (ID: number): void => {
      if (faults.isDown()) {
        call.emit('error', serviceError(status.UNAVAILABLE, 'the store is down'));
        return;
      }
      const timeToLiveMilliseconds = engine.keepAlive(ID) ?? 0;
      if (faults.takeLostResponse()) return;
      const TTL = timeToLiveMilliseconds / MILLISECONDS_PER_SECOND;
      call.write({ header: { revision: engine.revision() }, ID, TTL });
    };
    call.on('data', ({ ID }: etcdProtocol.LeaseKeepAliveRequest) => {
      calls.lease += 1;
      const delayMilliseconds = faults.slowMilliseconds();
      if (delayMilliseconds === 0) respond(ID);
      else clock.setTimer(delayMilliseconds, () => respond(ID));
    });
    call.on('end', () => call.end());
    call.on('error', () => undefined);
  };
}

/**
 * Creates the handlers of the etcd service `Lease`.
 *
 * @internal
 */
export function createLeaseHandlers(context: StoreServerContext): etcdProtocol.LeaseServer {
  const { engine } = context;
  const header = (): etcdProtocol.ResponseHeader => ({ revision: engine.revision() });
  return {
    leaseGrant: handleUnary(
      context,
      () => 'lease',
      (request) => {
        const ID = request.ID === 0 ? randomInt(1, MAXIMUM_LEASE_ID) : request.ID;
        engine.grantLease(ID, request.TTL * MILLISECONDS_PER_SECOND);
        return { header: header(), ID, TTL: request.TTL, error: '' };
      },
    ),
    leaseRevoke: handleUnary(
      context,
      () => 'lease',
      (request) => {
        if (engine.revokeLease(request.ID)) return { header: header() };
        throw serviceError(status.NOT_FOUND, 'the requested lease does not exist');
      },
    ),
    leaseKeepAlive: handleKeepAlive(context),
  };
}
