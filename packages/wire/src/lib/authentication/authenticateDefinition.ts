import { createHmac, timingSafeEqual } from 'node:crypto';

import type { MethodDefinition, ServiceDefinition } from '@grpc/grpc-js';

import { AuthenticationError } from './AuthenticationError';

/** Length of the message authentication code that precedes each message, in bytes. */
const CODE_BYTES = 16;

type AnyMethod = MethodDefinition<unknown, unknown>;

function authenticationCode(secret: string, direction: string, path: string, body: Buffer): Buffer {
  const hmac = createHmac('sha256', secret);
  hmac.update(`${direction} ${path}\n`);
  hmac.update(body);
  return hmac.digest().subarray(0, CODE_BYTES);
}

function withCode<Message>(
  serialize: (value: Message) => Buffer,
  secret: string,
  direction: string,
  path: string,
): (value: Message) => Buffer {
  return (value) => {
    const body = serialize(value);
    return Buffer.concat([authenticationCode(secret, direction, path, body), body]);
  };
}

function withVerification<Message>(
  deserialize: (bytes: Buffer) => Message,
  secret: string,
  direction: string,
  path: string,
): (bytes: Buffer) => Message {
  return (bytes) => {
    const body = bytes.subarray(CODE_BYTES);
    const expected = authenticationCode(secret, direction, path, body);
    const received = bytes.subarray(0, CODE_BYTES);
    const isAuthentic = received.length === CODE_BYTES && timingSafeEqual(received, expected);
    if (!isAuthentic) throw new AuthenticationError(path);
    return deserialize(body);
  };
}

function authenticateMethod(method: AnyMethod, secret: string): AnyMethod {
  const { path } = method;
  return {
    ...method,
    requestSerialize: withCode(method.requestSerialize, secret, 'request', path),
    requestDeserialize: withVerification(method.requestDeserialize, secret, 'request', path),
    responseSerialize: withCode(method.responseSerialize, secret, 'response', path),
    responseDeserialize: withVerification(method.responseDeserialize, secret, 'response', path),
  };
}

/**
 * Adds a message authentication code, keyed with the fleet secret, to each message of a gRPC service.
 * The server and the client of the service must both use the result.
 *
 * @param definition - Generated definition of the service.
 * @param fleetSecret - Secret shared by the nodes.
 * @returns A definition of the same type whose messages are authenticated.
 * @public
 */
export function authenticateDefinition<Definition extends ServiceDefinition>(
  definition: Definition,
  fleetSecret: string,
): Definition {
  const entries = Object.entries(definition).map(
    ([name, method]) => [name, authenticateMethod(method as AnyMethod, fleetSecret)] as const,
  );
  return Object.fromEntries(entries) as unknown as Definition;
}
