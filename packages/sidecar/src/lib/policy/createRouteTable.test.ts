import type { ServiceId } from '@buckthornslip/common';
import { createSeededRandom } from '@buckthornslip/common';
import type { CallPolicy, PolicyRoute, PolicyTarget } from '@buckthornslip/config';
import t from 'tap';

import { createRouteTable } from './createRouteTable';

const SEED = 20_261_204;

const target = (service: string, weight: number): PolicyTarget => ({
  service: service as ServiceId,
  weight,
});

function policyOf(routes: readonly Partial<PolicyRoute>[]): CallPolicy {
  const whole = routes.map((route) => ({
    host: 'calls.example',
    targets: [target('a', 1)],
    ...route,
  }));
  return { revision: 1, routes: whole } as unknown as CallPolicy;
}

const tableOf = (routes: readonly Partial<PolicyRoute>[]) =>
  createRouteTable(policyOf(routes), createSeededRandom(SEED));

// Guards against routing a request by a shorter prefix or by another host's route.
void t.test('the longest matching prefix of the host is used', async (test) => {
  const table = tableOf([
    { name: 'all', pathPrefix: '/' },
    { name: 'part', pathPrefix: '/part/' },
    { name: 'other', pathPrefix: '/part/of/', host: 'other.example' },
  ]);
  const nameOf = (host: string, path: string) => table.match(host, path)?.route.name;
  test.equal(nameOf('calls.example', '/part/of/1?x=/'), 'part');
  test.equal(nameOf('calls.example', '/partly/1'), 'all');
  test.equal(nameOf('CALLS.example:8080', '/part/1'), 'part');
  test.equal(nameOf('other.example', '/part/1'), undefined);
});

// Guards against shares that deviate from the weights, over the whole run or within a short part of it.
void t.test('requests are split among targets by weight', async (test) => {
  const targets = [target('a', 90), target('b', 10)];
  const entry = tableOf([{ name: 'split', pathPrefix: '/', targets }]).match('calls.example', '/');
  const chosen = Array.from({ length: 1_000 }, () => entry?.nextService());
  const shareOf = (part: readonly unknown[]) =>
    part.filter((service) => service === 'b').length / part.length;
  test.ok(Math.abs(shareOf(chosen) - 0.1) < 0.005);
  test.ok(Math.abs(shareOf(chosen.slice(300, 400)) - 0.1) < 0.02);
});
