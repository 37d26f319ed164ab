/**
 * Receives one answer from undici: holds small answers until they are whole
 * and checked, and streams large ones to the caller with back-pressure.
 */
import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import type {Dispatcher} from 'undici';
import {DigestCheck, findHeadFault} from './answer-checks.js';
import type {ExpectedAnswer} from './answer-checks.js';
import {callerHeaders} from './answer-headers.js';
import type {AttemptResult} from './attempt-result.js';
import {CallerBodyError} from './key-scanner.js';
import type {ResponseOwner} from './response-owner.js';

export interface AttemptOptions extends ExpectedAnswer {
  deadlineAtMs: number;
  holdAnswer: boolean;
}

// Answers up to this size are checked whole before the caller gets a byte.
const HOLD_BYTES = 65_536;
// Largest answer that is held for storing; a larger one is a fault.
const MAX_HELD_BYTES = 8_388_608;

type FailureCause = Extract<AttemptResult, {kind: 'failed'}>['cause'];

export class AttemptHandler implements Dispatcher.DispatchHandler {
  readonly result: Promise<AttemptResult>;
  private resolve!: (result: AttemptResult) => void;
  private settled = false;
  private started = false;
  private controller: Dispatcher.DispatchController | undefined;
  private readonly deadline: NodeJS.Timeout;
  private status = 0;
  private headers: IncomingHttpHeaders = {};
  private digest: DigestCheck | undefined;
  private chunks: Buffer[] = [];
  private heldBytes = 0;
  private streaming = false;

  private constructor(
    private readonly options: AttemptOptions,
    private readonly response: ServerResponse,
    private readonly owner: ResponseOwner,
  ) {
    this.result = new Promise(resolve => {
      this.resolve = resolve;
    });
    const remainingMs = Math.max(1, options.deadlineAtMs - performance.now());
    this.deadline = setTimeout(
      () => this.fail('deadline', 'deadline passed'),
      remainingMs,
    );
  }

  static create(
    options: AttemptOptions,
    response: ServerResponse,
    owner: ResponseOwner,
  ): AttemptHandler {
    return new AttemptHandler(options, response, owner);
  }

  cancel(): void {
    this.fail('cancelled', 'given up');
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // Aborting here keeps undici from writing a request that was given up
    // while it waited for a connection.
    if (this.settled) {
      controller.abort(new Error('given up before it was sent'));
      return;
    }
    this.started = true;
    this.controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.settled || status < 200) return;
    this.status = status;
    this.headers = headers;
    const fault = findHeadFault(status, headers, this.options);
    if (fault) {
      this.fail('invalid', fault);
      return;
    }
    this.digest = DigestCheck.create(headers);
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.settled) return;
    this.digest?.update(chunk);
    if (this.streaming) {
      this.write(controller, chunk);
      return;
    }
    this.chunks.push(chunk);
    this.heldBytes += chunk.length;
    if (this.options.holdAnswer) {
      if (this.heldBytes > MAX_HELD_BYTES) {
        this.fail('invalid', `answer over ${MAX_HELD_BYTES} bytes`);
      }
    } else if (this.heldBytes > HOLD_BYTES) {
      this.startStreaming(controller);
    }
  }

  onResponseEnd(): void {
    if (this.settled) return;
    if (this.digest && !this.digest.matches()) {
      this.fail('invalid', 'content digest does not match');
      return;
    }
    if (this.streaming) {
      this.response.end();
      this.settle({kind: 'streamed', status: this.status});
      return;
    }
    if (this.status === 503 && this.headers['x-not-run'] === '1') {
      const draining = this.headers['x-draining'] === '1';
      const retryAfterMs = retryAfterOf(this.headers);
      this.settle({kind: 'declined', draining, retryAfterMs});
      return;
    }
    const {status} = this;
    const headers = callerHeaders(this.headers);
    const body = Buffer.concat(this.chunks);
    this.settle({kind: 'held', answer: {status, headers, body}});
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (error instanceof CallerBodyError) {
      this.fail('caller', error.message);
      return;
    }
    const cause = this.started ? 'connection' : 'connect';
    this.fail(cause, error.message);
  }

  private startStreaming(controller: Dispatcher.DispatchController): void {
    if (!this.owner.claim(this)) {
      this.fail('cancelled', 'another attempt answers');
      return;
    }
    this.streaming = true;
    this.response.writeHead(this.status, callerHeaders(this.headers));
    // A caller that hangs up cancels the work at the backend server.
    this.response.once('close', () => this.cancel());
    const held = Buffer.concat(this.chunks);
    this.chunks = [];
    this.write(controller, held);
  }

  private write(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.response.write(chunk)) return;
    controller.pause();
    this.response.once('drain', () => controller.resume());
  }

  private fail(cause: FailureCause, reason: string): void {
    if (this.settled) return;
    if (this.streaming) {
      // Without the terminating chunk or the announced length, the caller
      // cannot take the truncated answer for a whole one.
      this.response.destroy();
      this.settle({kind: 'broken', reason, byCaller: cause === 'cancelled'});
    } else {
      const mayHaveRun = this.started;
      this.settle({kind: 'failed', mayHaveRun, cause, reason});
    }
    this.controller?.abort(new Error(reason));
  }

  private settle(result: AttemptResult): void {
    this.settled = true;
    clearTimeout(this.deadline);
    this.resolve(result);
  }
}

function retryAfterOf(headers: IncomingHttpHeaders): number | undefined {
  const seconds = Number(headers['retry-after']);
  return Number.isFinite(seconds) ? seconds * 1000 : undefined;
}
