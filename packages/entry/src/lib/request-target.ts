/**
 * Parses and validates the request target.
 *
 * Paths with dot segments are rejected: a backend server that resolves them
 * would serve a path outside the matched route.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';

export interface RequestTarget {
  path: string;
  query: URLSearchParams;
}

export interface TargetError {
  code: 'bad_request';
  message: string;
}

const DOT_SEGMENT = /(^|[/\\])(\.|%2e){1,2}([/\\]|$)/i;
const EMPTY_QUERY = new URLSearchParams();
const ENCODED_SEPARATOR = /%2f|%5c|\\/i;

export function parseTarget(url: string): Result<RequestTarget, TargetError> {
  if (!url.startsWith('/')) {
    return Err({code: 'bad_request', message: 'the target must be a path'});
  }
  const queryStart = url.indexOf('?');
  const path = queryStart < 0 ? url : url.slice(0, queryStart);
  if (DOT_SEGMENT.test(path) || ENCODED_SEPARATOR.test(path)) {
    const message = 'the path must not hold dot segments or encoded separators';
    return Err({code: 'bad_request', message});
  }
  const query =
    queryStart < 0
      ? EMPTY_QUERY
      : new URLSearchParams(url.slice(queryStart + 1));
  return Ok({path, query});
}
