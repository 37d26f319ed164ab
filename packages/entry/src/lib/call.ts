/** State of one team call, shared by the steps of the request path. */
import type {KeyHolder, Route} from '@fireflytrack/configuration';
import type {Refusal} from './refusal.js';
import type {IncomingMessage, ServerResponse} from 'node:http';

/** A request as it came on a caller's connection. */
export interface ReceivedRequest {
  requestId: string;
  request: IncomingMessage;
  response: ServerResponse;
  /** Aborted when the caller ends its connection. */
  abandoned: AbortSignal;
}

export interface Call extends ReceivedRequest {
  route: Route;
  holder: KeyHolder;
  /** The team key as presented; it must not leave this process. */
  key: string;
  /** Path and query without the key. */
  target: string;
  deadlineAtMs: number;
}

/** A refusal that is still to be sent; undefined if a response was already sent. */
export type CallResult = Refusal | undefined;
