import type { CallContext } from '@buckthornslip/calls';
import { createContextSigner } from '@buckthornslip/calls';
import type { AccountId, CallId, HostId, Incarnation, RootCallId } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
import fc from 'fast-check';
import t from 'tap';

const clock = createFakeClock();
const signer = createContextSigner(clock, 'secret of the fleet');

const context: CallContext = {
  rootCallId: 'root' as RootCallId,
  rootNode: { host: 'riga-1' as HostId, incarnation: 7 as Incarnation },
  rootControlAddress: '127.0.0.1:1',
  callId: 'call' as CallId,
  account: 'family' as AccountId,
  priority: 'high',
  depth: 2,
  deadlineWallMilliseconds: clock.wallMilliseconds() + 1_000,
};

void t.test('a signed context is verified and decoded', async (test) => {
  const result = signer.verify(signer.sign(context, 'upstream'), 'upstream');
  test.same(result, { ok: true, value: context });
});

void t.test('a context signed for an upstream is not valid for a peer', async (test) => {
  const result = signer.verify(signer.sign(context, 'upstream'), 'peer');
  test.match(result, { ok: false, error: { kind: 'forged' } });
});

void t.test('a context signed with another secret is rejected', async (test) => {
  const other = createContextSigner(clock, 'secret of another fleet');
  test.match(signer.verify(other.sign(context, 'peer'), 'peer'), { error: { kind: 'forged' } });
});

void t.test('a context past its deadline is rejected', async (test) => {
  const expired = { ...context, deadlineWallMilliseconds: clock.wallMilliseconds() };
  test.match(signer.verify(signer.sign(expired, 'upstream'), 'upstream'), {
    error: { kind: 'expired' },
  });
});

void t.test('modified or random headers are always rejected without an exception', async (test) => {
  const header = signer.sign(context, 'peer');
  fc.assert(
    fc.property(
      fc.nat(header.length - 1),
      fc.constantFrom('A', 'b', '.', '-'),
      (index, character) => {
        const changed = header.slice(0, index) + character + header.slice(index + 1);
        const isSameCode = signer.verify(changed, 'peer').ok;
        // The last character of an unpadded base64 code has bits that are not part of the decoded value.
        return changed === header || !isSameCode || index === header.length - 1;
      },
    ),
    { seed: 11, numRuns: 1_000 },
  );
  fc.assert(
    fc.property(fc.string(), (text) => !signer.verify(text, 'peer').ok),
    { seed: 12, numRuns: 1_000 },
  );
  test.pass('all modified headers were rejected');
});
