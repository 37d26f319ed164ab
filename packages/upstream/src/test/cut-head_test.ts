/**
 * Guards against a response that ends within its head or body, and is taken as
 * whole with an empty or short body.
 */
import {expect} from 'earl';
import type {Socket} from 'node:net';
import {describe, it} from 'node:test';
import type {UpstreamOutcome} from '../lib/upstream-outcome.js';
import {responseForms} from '../testing/cut-responses.js';
import type {ResponseForm} from '../testing/cut-responses.js';
import {answerTo} from '../testing/scripted-server.js';
import {SERVICE, ScriptedUpstream} from '../testing/scripted-upstream.js';

const DEADLINE_MS = 5000;
const WORKERS = 8;
const REQUEST_ID = 'cut';
const WARM_UP_ID = 'warm-up';
// The client has read what was sent before the reset by then.
const RESET_AFTER_MS = 5;

const ENDS: Record<string, (socket: Socket, bytes: string) => void> = {
  'an end': (socket, bytes) => void socket.end(bytes, 'latin1'),
  'a reset': (socket, bytes) => {
    socket.write(bytes, 'latin1');
    socket.resetAndDestroy();
  },
  'a later reset': (socket, bytes) => {
    socket.write(bytes, 'latin1');
    setTimeout(() => socket.resetAndDestroy(), RESET_AFTER_MS);
  },
};

interface Cut {
  form: ResponseForm;
  isReused: boolean;
  end: (socket: Socket, bytes: string) => void;
}

/** Receives the response of `cut`, cut off after some of its bytes. */
class CutResponse {
  private sentBytes = 0;
  private lastSocket: Socket | undefined;
  private warmSocket: Socket | undefined;

  private constructor(private readonly cut: Cut) {}

  /** Passes each outcome to `check`, for cuts at `from`, `from` + `step`, .... */
  static async receiveAll(
    cut: Cut,
    cutsAt: readonly number[],
    check: (sentBytes: number, outcome: UpstreamOutcome) => void,
  ): Promise<void> {
    const receiver = new CutResponse(cut);
    const scripted = await receiver.startServer();
    try {
      for (const sentBytes of cutsAt) {
        receiver.sentBytes = sentBytes;
        check(sentBytes, await receiver.receive(scripted));
      }
    } finally {
      scripted.stop();
    }
  }

  private startServer(): Promise<ScriptedUpstream> {
    const {form, end} = this.cut;
    const bytes = form.head + form.body;
    return ScriptedUpstream.start([
      request => {
        const {socket} = request;
        this.lastSocket = socket;
        if (request.requestId === WARM_UP_ID) {
          this.warmSocket = socket;
          socket.write(answerTo(request));
        } else {
          end(socket, bytes.slice(0, this.sentBytes));
        }
      },
    ]);
  }

  private async receive(scripted: ScriptedUpstream): Promise<UpstreamOutcome> {
    const {form, isReused} = this.cut;
    if (isReused) {
      const warmUp = await this.send(scripted, WARM_UP_ID, 'GET');
      expect(warmUp.kind).toEqual('answered');
    }
    const outcome = await this.send(scripted, REQUEST_ID, form.method);
    expect(this.lastSocket === this.warmSocket).toEqual(isReused);
    return outcome;
  }

  private send(
    scripted: ScriptedUpstream,
    requestId: string,
    method: string,
  ): Promise<UpstreamOutcome> {
    return scripted.upstream.run({
      route: 'reads',
      service: SERVICE,
      request: {
        requestId,
        method,
        target: '/',
        headers: ['Host', 'shop.example', 'Request-Id', requestId],
        body: {kind: 'none'},
      },
      team: 'north',
      rank: 1,
      isIdempotent: false,
      maxAttempts: 1,
      targetLatencyMs: 10_000,
      deadlineAtMs: performance.now() + DEADLINE_MS,
      abandoned: new AbortController().signal,
    });
  }
}

/** Whether the first `sentBytes` bytes of a response may be taken as whole. */
function mayBeWhole(form: ResponseForm, sentBytes: number): boolean {
  const {head, body, endsWithConnection} = form;
  if (sentBytes === head.length + body.length) return true;
  // Nothing tells an orderly end within such a body from its own end.
  return endsWithConnection && sentBytes >= head.length;
}

describe('response that ends early', () => {
  const own = `Request-Id: ${REQUEST_ID}\r\nSignature: good\r\n`;
  for (const [name, form] of Object.entries(responseForms(own))) {
    for (const [endName, end] of Object.entries(ENDS)) {
      for (const isReused of [false, true]) {
        const where = isReused ? 'reused' : 'first';
        // Guards against a success whose response did not arrive completely.
        it(`is not taken as whole: ${name}, ${endName}, ${where} connection`, async () => {
          const {length} = form.head + form.body;
          let checked = 0;
          const check = (sentBytes: number, outcome: UpstreamOutcome) => {
            checked += 1;
            const isCut = endName !== 'an end' || !mayBeWhole(form, sentBytes);
            // A reset may come before or after what was sent.
            if (isCut && sentBytes < length) {
              expect(outcome.kind).toEqual('unknown');
            } else if (endName === 'an end') {
              expect(outcome.kind).toEqual('answered');
            }
            if (outcome.kind !== 'answered') return;
            const {response} = outcome;
            if (response.kind !== 'buffered') throw new Error('streamed');
            expect(response.status).toEqual(form.status);
            const sentBody = bodyOf(form, sentBytes);
            expect(response.body.toString()).toEqual(sentBody);
          };
          const positions = Array.from({length: length + 1}, (_, at) => at);
          const shares = Array.from({length: WORKERS}, (_, worker) =>
            positions.filter(at => at % WORKERS === worker),
          );
          await Promise.all(
            shares.map(cutsAt =>
              CutResponse.receiveAll({form, isReused, end}, cutsAt, check),
            ),
          );
          expect(checked).toEqual(length + 1);
        });
      }
    }
  }
});

function bodyOf(form: ResponseForm, sentBytes: number): string {
  if (!form.endsWithConnection) return form.body === '' ? '' : 'answer';
  return form.body.slice(0, sentBytes - form.head.length);
}
