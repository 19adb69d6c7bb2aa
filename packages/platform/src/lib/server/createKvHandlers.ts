import { status } from '@grpc/grpc-js';
import { etcdProtocol } from '@buckthornslip/wire';

import type { EngineMutation } from '../memory/EngineMutation';
import type { StoreCallCounts } from '../memory/StoreCallCounts';
import type { StoreEngine } from '../memory/StoreEngine';
import { evaluateCompare } from './evaluateCompare';
import { handleUnary } from './handleUnary';
import { serviceError } from './serviceError';
import type { StoreServerContext } from './StoreServerContext';
import { toKeyValue } from './toKeyValue';

const rangeEndOf = (rangeEnd: Buffer): string | undefined =>
  rangeEnd.length === 0 ? undefined : rangeEnd.toString();

const kindOfRange = (request: etcdProtocol.RangeRequest): keyof StoreCallCounts =>
  request.rangeEnd.length === 0 ? 'get' : 'list';

function kindOfTransaction(request: etcdProtocol.TxnRequest): keyof StoreCallCounts {
  const operations = request.success.map((operation) => operation.request?.$case);
  if (operations.includes('requestPut')) return 'compareAndSwap';
  return operations.includes('requestDeleteRange') ? 'remove' : 'list';
}

function putMutation(engine: StoreEngine, request: etcdProtocol.PutRequest): EngineMutation {
  const { lease } = request;
  if (lease !== 0 && !engine.hasLease(lease)) {
    throw serviceError(status.NOT_FOUND, 'the requested lease does not exist');
  }
  return { kind: 'put', key: request.key.toString(), value: request.value, leaseId: lease };
}

const removeMutations = (
  engine: StoreEngine,
  request: etcdProtocol.DeleteRangeRequest,
): EngineMutation[] =>
  engine
    .range(request.key.toString(), rangeEndOf(request.rangeEnd))
    .map(({ key }) => ({ kind: 'remove', key }));

function mutationsOf(engine: StoreEngine, operation: etcdProtocol.RequestOp): EngineMutation[] {
  const { request } = operation;
  if (request?.$case === 'requestPut') return [putMutation(engine, request.value)];
  if (request?.$case === 'requestDeleteRange') return removeMutations(engine, request.value);
  return [];
}

function rangeResponse(
  engine: StoreEngine,
  request: etcdProtocol.RangeRequest,
): etcdProtocol.RangeResponse {
  const entries = engine.range(request.key.toString(), rangeEndOf(request.rangeEnd));
  const header = { revision: engine.revision() };
  return { header, kvs: entries.map(toKeyValue), more: false, count: entries.length };
}

function responseOf(
  engine: StoreEngine,
  operation: etcdProtocol.RequestOp,
  deleted: number,
): etcdProtocol.ResponseOp {
  const { request } = operation;
  const header = { revision: engine.revision() };
  if (request?.$case === 'requestPut') {
    return { response: { $case: 'responsePut', value: { header } } };
  }
  if (request?.$case === 'requestDeleteRange') {
    return { response: { $case: 'responseDeleteRange', value: { header, deleted } } };
  }
  if (!request) throw serviceError(status.INVALID_ARGUMENT, 'a transaction has an empty operation');
  return { response: { $case: 'responseRange', value: rangeResponse(engine, request.value) } };
}

function runTransaction(
  engine: StoreEngine,
  request: etcdProtocol.TxnRequest,
): etcdProtocol.TxnResponse {
  const succeeded = request.compare.every((compare) => evaluateCompare(engine, compare));
  const operations = succeeded ? request.success : request.failure;
  const mutations = operations.map((operation) => mutationsOf(engine, operation));
  engine.apply(mutations.flat());
  const responses = operations.map((operation, index) =>
    responseOf(engine, operation, mutations[index]?.length ?? 0),
  );
  return { header: { revision: engine.revision() }, succeeded, responses };
}

/**
 * Creates the handlers of the etcd service `KV`.
 *
 * @internal
 */
export function createKvHandlers(context: StoreServerContext): etcdProtocol.KVServer {
  const { engine } = context;
  return {
    range: handleUnary(context, kindOfRange, (request) => rangeResponse(engine, request)),
    put: handleUnary(
      context,
      () => 'compareAndSwap',
      (request) => {
        engine.apply([putMutation(engine, request)]);
        return { header: { revision: engine.revision() } };
      },
    ),
    deleteRange: handleUnary(
      context,
      () => 'remove',
      (request) => {
        const mutations = removeMutations(engine, request);
        engine.apply(mutations);
        return { header: { revision: engine.revision() }, deleted: mutations.length };
      },
    ),
    txn: handleUnary(context, kindOfTransaction, (request) => runTransaction(engine, request)),
  };
}
