/** Answers of the administration API and how errors become answers. */
import type {ConfigurationError} from '@fireflytrack/configuration';
import type {PlatformError} from '@fireflytrack/platform';
import type {Result} from '@fireflytrack/result';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';

export type AdminRequest = IncomingMessage & {
  body?: unknown;
  /** Parameters of the path and the query. */
  $params?: Record<string, unknown>;
};

export interface AdminAnswer {
  status: number;
  body: unknown;
}

export type AdminHandler = (
  request: AdminRequest,
) => Promise<AdminAnswer> | AdminAnswer;

/** Operations by method and path, as moleculer-web's aliases name them. */
export type AdminHandlers = Record<string, AdminHandler>;

export type AdminErrorKind =
  | ConfigurationError['kind']
  | 'bad-request'
  | 'unauthorized'
  | 'not-found'
  | 'body-too-large'
  | 'internal';

const STATUS: Record<AdminErrorKind, number> = {
  'bad-request': 400,
  unauthorized: 401,
  'not-found': 404,
  conflict: 409,
  'body-too-large': 413,
  invalid: 422,
  internal: 500,
  'store-unavailable': 503,
  'outcome-unknown': 504,
};

export function adminError(
  kind: AdminErrorKind,
  message: string,
  details: Record<string, unknown> = {},
): AdminAnswer {
  return {status: STATUS[kind], body: {error: message, kind, ...details}};
}

export function changeAnswer<T>(
  result: Result<T, ConfigurationError>,
): AdminAnswer {
  if (result.ok) return {status: 200, body: result.val};
  const {kind, message, ...details} = result.val;
  return adminError(kind, message, details);
}

export function readError(error: PlatformError): AdminAnswer {
  return adminError('store-unavailable', error.message);
}

/** Runs a handler; whatever it throws becomes one clear error. */
export async function runHandler(
  handler: AdminHandler,
  request: AdminRequest,
): Promise<AdminAnswer> {
  try {
    return await handler(request);
  } catch (error) {
    if (!(error instanceof z.ZodError)) {
      return adminError('internal', 'internal error');
    }
    const issue = error.issues[0];
    const place = issue?.path.join('.') || 'body';
    return adminError('bad-request', `${place}: ${issue?.message}`);
  }
}

/** Turns errors of the gateway itself, such as bad JSON, into answers. */
export function gatewayError(error: unknown): AdminAnswer {
  const {type, code, status} = error as {
    type?: string;
    code?: unknown;
    status?: unknown;
  };
  if (type === 'entity.too.large') {
    return adminError('body-too-large', 'the body is too large');
  }
  if (code === 404 || type === 'NOT_FOUND') {
    return adminError('not-found', 'no such operation');
  }
  const number = Number(status ?? code);
  if (number >= 400 && number < 500) {
    return adminError('bad-request', 'body: expected a JSON object');
  }
  return adminError('internal', 'internal error');
}

export function sendAnswer(
  response: ServerResponse,
  answer: AdminAnswer,
): void {
  const body = JSON.stringify(answer.body);
  response.writeHead(answer.status, {'content-type': 'application/json'});
  response.end(body);
}
