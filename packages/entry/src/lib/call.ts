/** State of one team call, shared by the steps of the request path. */
import type {KeyHolder, Route} from '@fireflytrack/configuration';
import type {Refusal} from './refusal.js';
import type {IncomingMessage, ServerResponse} from 'node:http';

export interface Call {
  requestId: string;
  route: Route;
  holder: KeyHolder;
  /** The team key as presented; it must not leave this process. */
  key: string;
  /** Path and query without the key. */
  target: string;
  request: IncomingMessage;
  response: ServerResponse;
  deadlineAtMs: number;
}

/** A refusal that is still to be sent; undefined if a response was already sent. */
export type CallResult = Refusal | undefined;
