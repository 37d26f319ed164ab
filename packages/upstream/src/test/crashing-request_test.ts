/**
 * Guards against retries that cost one server after another, and against
 * suspecting requests of servers that only break off their answers.
 */
import {expect} from 'earl';
import {afterEach, describe, it} from 'node:test';
import {answerTo} from '../testing/scripted-server.js';
import type {ReceivedRequest} from '../testing/scripted-server.js';
import {SERVICE, ScriptedUpstream} from '../testing/scripted-upstream.js';
import type {UpstreamOutcome} from '../lib/upstream-outcome.js';

const MAX_ATTEMPTS = 4;

describe('request under which servers go down', () => {
  let scripted: ScriptedUpstream;
  let nextId = 0;
  afterEach(() => scripted.stop());

  type Behaviour = 'crash' | 'break-off' | 'answer';

  async function start(...behaviours: Behaviour[]): Promise<void> {
    scripted = await ScriptedUpstream.start(
      behaviours.map((behaviour, index) => (request: ReceivedRequest) => {
        if (behaviour === 'crash') scripted.servers[index]!.stop();
        else if (behaviour === 'break-off') request.socket.destroy();
        else request.socket.write(answerTo(request));
      }),
    );
  }

  function run(
    change: {isIdempotent?: boolean; target?: string; team?: string} = {},
  ): Promise<UpstreamOutcome> {
    nextId += 1;
    const requestId = `r${nextId}`;
    const {target = '/reads/1', team = 'north'} = change;
    return scripted.upstream.run({
      route: 'reads',
      service: SERVICE,
      request: {
        requestId,
        method: 'GET',
        target,
        headers: ['host', 'shop.example', 'request-id', requestId],
        body: {kind: 'none'},
      },
      team,
      rank: 1,
      isIdempotent: change.isIdempotent ?? true,
      maxAttempts: MAX_ATTEMPTS,
      targetLatencyMs: 1000,
      deadlineAtMs: performance.now() + 3000,
      abandoned: new AbortController().signal,
    });
  }

  const countArrivals = () =>
    scripted.servers.reduce((sum, {received}) => sum + received.length, 0);

  it('is sent to one more server after the first crash', async () => {
    await start('crash', 'crash', 'crash', 'crash');
    const outcome = await run();
    expect(outcome.kind).toEqual('unknown');
    expect(outcome.fingerprint?.length).toEqual(32);
    expect(countArrivals()).toEqual(2);
  });

  it('is not sent again at all if it has ended a server before', async () => {
    await start('crash', 'crash', 'crash', 'crash');
    await run({isIdempotent: false});
    expect(countArrivals()).toEqual(1);
    await run();
    expect(countArrivals()).toEqual(2);
  });

  // Guards against a refusal that says "not run" of a request that was sent.
  it('is refused as not run from the third crash on', async () => {
    await start('crash', 'crash', 'crash', 'crash');
    expect((await run()).kind).toEqual('unknown');
    expect((await run()).kind).toEqual('unknown');
    expect(countArrivals()).toEqual(3);
    const refused = await run();
    expect(refused.kind).toEqual('not-run');
    expect(refused.kind === 'not-run' && refused.retryAfterMs! > 1000).toEqual(
      true,
    );
    expect(scripted.upstream.heldBack).toEqual(1);
    expect(countArrivals()).toEqual(3);
    // Another request, and the same of another team, are sent.
    await run({target: '/reads/2'});
    expect(countArrivals()).toEqual(4);
  });

  it('is not suspected if the server only broke off its answer', async () => {
    await start('break-off', 'break-off', 'answer');
    const outcome = await run();
    expect(outcome.kind).toEqual('answered');
    expect(scripted.suspects.count()).toEqual({suspected: 0, held: 0});
  });

  it('is cleared by a response of another server', async () => {
    await start('crash', 'answer');
    expect((await run()).kind).toEqual('answered');
    expect(scripted.suspects.count()).toEqual({suspected: 0, held: 0});
  });

  // Guards against suspecting the last requests of servers that are removed.
  it('is not suspected if the server had left the list', async () => {
    await start('crash');
    const [server] = scripted.servers;
    const outcome = run();
    while (server!.connections === 0) {
      await new Promise(resolve => setImmediate(resolve));
    }
    scripted.upstream.removeServer(scripted.entries[0]!);
    await outcome;
    expect(scripted.suspects.count()).toEqual({suspected: 0, held: 0});
  });
});
