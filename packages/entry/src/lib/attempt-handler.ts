/**
 * Receives one response from undici: buffers a small response until it is
 * complete and verified, and streams a large one to the caller with
 * back-pressure.
 */
import {BodyBuffer} from '@fireflytrack/body';
import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import type {Dispatcher} from 'undici';
import {DigestCheck, checkResponseHead} from './response-checks.js';
import type {ExpectedResponse} from './response-checks.js';
import {toCallerHeaders} from './response-headers.js';
import type {AttemptResult} from './attempt-result.js';
import {CallerBodyError} from './key-scanner.js';
import type {ResponseOwner} from './response-owner.js';

export interface AttemptOptions extends ExpectedResponse {
  deadlineAtMs: number;
  bufferResponse: boolean;
}

// Responses up to this size are verified completely before the caller receives
// the first byte.
const STREAMING_THRESHOLD_BYTES = 65_536;
// Limit of a response that is buffered completely so that it can be stored; a
// larger one is rejected.
const MAX_STORED_RESPONSE_BYTES = 8_388_608;

type FailureCause = Extract<AttemptResult, {kind: 'failed'}>['cause'];

export class AttemptHandler implements Dispatcher.DispatchHandler {
  readonly result: Promise<AttemptResult>;
  private resolve!: (result: AttemptResult) => void;
  private settled = false;
  private dispatched = false;
  private controller: Dispatcher.DispatchController | undefined;
  private readonly deadlineTimer: NodeJS.Timeout;
  private status = 0;
  private headers: IncomingHttpHeaders = {};
  private digest: DigestCheck | undefined;
  private readonly body = BodyBuffer.create();
  private streaming = false;
  private lastChunk: Buffer | undefined;

  private constructor(
    private readonly options: AttemptOptions,
    private readonly response: ServerResponse,
    private readonly owner: ResponseOwner,
  ) {
    this.result = new Promise(resolve => {
      this.resolve = resolve;
    });
    const remainingMs = Math.max(1, options.deadlineAtMs - performance.now());
    this.deadlineTimer = setTimeout(
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
    // Aborting here keeps undici from writing a request that was cancelled
    // while it waited for a connection.
    if (this.settled) {
      controller.abort(new Error('cancelled before it was sent'));
      return;
    }
    this.dispatched = true;
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
    const rejectionReason = checkResponseHead(status, headers, this.options);
    if (rejectionReason) {
      this.fail('invalid', rejectionReason);
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
      this.writeDelayed(controller, chunk);
      return;
    }
    this.body.append(chunk);
    const {byteLength} = this.body;
    if (this.options.bufferResponse) {
      if (byteLength > MAX_STORED_RESPONSE_BYTES) {
        this.fail('invalid', `answer over ${MAX_STORED_RESPONSE_BYTES} bytes`);
      }
    } else if (byteLength > STREAMING_THRESHOLD_BYTES) {
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
      this.response.end(this.lastChunk);
      this.settle({kind: 'streamed', status: this.status});
      return;
    }
    if (this.status === 503 && this.headers['x-not-run'] === '1') {
      const draining = this.headers['x-draining'] === '1';
      const retryAfterMs = parseRetryAfterMs(this.headers);
      this.settle({kind: 'declined', draining, retryAfterMs});
      return;
    }
    const {status} = this;
    const headers = toCallerHeaders(this.headers);
    const body = this.body.take();
    this.settle({kind: 'buffered', response: {status, headers, body}});
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (error instanceof CallerBodyError) {
      this.fail('caller', error.message);
      return;
    }
    const cause = this.dispatched ? 'connection' : 'connect';
    this.fail(cause, error.message);
  }

  private startStreaming(controller: Dispatcher.DispatchController): void {
    if (!this.owner.claim(this)) {
      this.fail('cancelled', 'another attempt owns the response');
      return;
    }
    this.streaming = true;
    this.response.writeHead(this.status, toCallerHeaders(this.headers));
    // When the caller disconnects, the backend request is cancelled.
    this.response.once('close', () => this.cancel());
    this.writeDelayed(controller, this.body.take());
  }

  /**
   * Sends each chunk only after the next one has arrived, so that the caller
   * cannot receive the complete body before its digest is verified.
   */
  private writeDelayed(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    const previousChunk = this.lastChunk;
    this.lastChunk = chunk;
    if (previousChunk === undefined || this.response.write(previousChunk))
      return;
    controller.pause();
    this.response.once('drain', () => controller.resume());
  }

  private fail(cause: FailureCause, reason: string): void {
    if (this.settled) return;
    if (this.streaming) {
      // Without the terminating chunk or the announced length, the caller
      // cannot mistake the truncated response for a complete one.
      this.response.destroy();
      this.settle({kind: 'broken', reason, cancelled: cause === 'cancelled'});
    } else {
      const mayHaveRun = this.dispatched;
      this.settle({kind: 'failed', mayHaveRun, cause, reason});
    }
    this.controller?.abort(new Error(reason));
  }

  private settle(result: AttemptResult): void {
    this.settled = true;
    clearTimeout(this.deadlineTimer);
    this.resolve(result);
  }
}

function parseRetryAfterMs(headers: IncomingHttpHeaders): number | undefined {
  const seconds = Number(headers['retry-after']);
  return Number.isFinite(seconds) ? seconds * 1000 : undefined;
}
