/** One call of a team, as the steps of the request path pass it on. */
import type {KeyHolder, Route} from '@fireflytrack/configuration';
import type {Refusal} from './refusal.js';
import type {IncomingMessage, ServerResponse} from 'node:http';

export interface Call {
  requestId: string;
  route: Route;
  holder: KeyHolder;
  /** The presented key; it must not leave this process. */
  key: string;
  /** Path and query without the key. */
  target: string;
  request: IncomingMessage;
  response: ServerResponse;
  deadlineAtMs: number;
}

/** Undefined when the caller was answered. */
export type CallResult = Refusal | undefined;
