/** Responses of the administration API and the mapping of errors to them. */
import type {ConfigurationError} from '@fireflytrack/configuration';
import type {PlatformError} from '@fireflytrack/platform';
import type {Result} from '@fireflytrack/result';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';

export type AdminRequest = IncomingMessage & {
  body?: unknown;
  /** Path and query parameters, set by moleculer-web. */
  $params?: Record<string, unknown>;
};

export interface AdminResponse {
  status: number;
  body: unknown;
}

export type AdminHandler = (
  request: AdminRequest,
) => Promise<AdminResponse> | AdminResponse;

/** Handlers keyed by method and path in the syntax of moleculer-web aliases. */
export type AdminHandlers = Record<string, AdminHandler>;

export type AdminErrorKind =
  | ConfigurationError['kind']
  | 'bad-request'
  | 'unauthorized'
  | 'not-found'
  | 'body-too-large'
  | 'internal';

const STATUS_BY_KIND: Record<AdminErrorKind, number> = {
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

export function errorResponse(
  kind: AdminErrorKind,
  message: string,
  details: Record<string, unknown> = {},
): AdminResponse {
  return {
    status: STATUS_BY_KIND[kind],
    body: {error: message, kind, ...details},
  };
}

export function toChangeResponse<T>(
  result: Result<T, ConfigurationError>,
): AdminResponse {
  if (result.ok) return {status: 200, body: result.val};
  const {kind, message, ...details} = result.val;
  return errorResponse(kind, message, details);
}

export function storeReadErrorResponse(error: PlatformError): AdminResponse {
  return errorResponse('store-unavailable', error.message);
}

/** Runs a handler and turns a thrown error into an error response. */
export async function runHandler(
  handler: AdminHandler,
  request: AdminRequest,
): Promise<AdminResponse> {
  try {
    return await handler(request);
  } catch (error) {
    if (!(error instanceof z.ZodError)) {
      return errorResponse('internal', 'internal error');
    }
    const issue = error.issues[0];
    const location = issue?.path.join('.') || 'body';
    return errorResponse('bad-request', `${location}: ${issue?.message}`);
  }
}

/** Maps errors of the HTTP gateway, such as malformed JSON, to responses. */
export function gatewayErrorResponse(error: unknown): AdminResponse {
  const {type, code, status} = error as {
    type?: string;
    code?: unknown;
    status?: unknown;
  };
  if (type === 'entity.too.large') {
    return errorResponse('body-too-large', 'the body is too large');
  }
  if (code === 404 || type === 'NOT_FOUND') {
    return errorResponse('not-found', 'no such operation');
  }
  const statusCode = Number(status ?? code);
  if (statusCode >= 400 && statusCode < 500) {
    return errorResponse('bad-request', 'body: expected a JSON object');
  }
  return errorResponse('internal', 'internal error');
}

export function sendAdminResponse(
  response: ServerResponse,
  adminResponse: AdminResponse,
): void {
  const body = JSON.stringify(adminResponse.body);
  response.writeHead(adminResponse.status, {
    'content-type': 'application/json',
  });
  response.end(body);
}
