/**
 * Checks that a backend server's response belongs to the request and is
 * intact. A wrong value inside a well-formed response cannot be detected here.
 */
import {createHash} from 'node:crypto';
import type {Hash} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';

export interface ExpectedResponse {
  requestId: string;
  answerContentType: string | undefined;
}

/** Checks status and headers; returns the reason if the response is rejected. */
export function checkResponseHead(
  status: number,
  headers: IncomingHttpHeaders,
  expected: ExpectedResponse,
): string | undefined {
  const echoedRequestId = headers['x-request-id'];
  if (echoedRequestId !== undefined && echoedRequestId !== expected.requestId) {
    return 'answer to another request';
  }
  const expectedType = expected.answerContentType;
  if (
    expectedType === undefined ||
    status < 200 ||
    status > 299 ||
    status === 204
  ) {
    return undefined;
  }
  const actualType = headers['content-type']?.split(';')[0]?.trim();
  return actualType === expectedType
    ? undefined
    : `content type is not ${expectedType}`;
}

const SHA256_DIGEST_FIELD = /sha-256=:([A-Za-z0-9+/=]+):/;

/** Verifies `content-digest` (RFC 9530) incrementally over the response body. */
export class DigestCheck {
  private constructor(
    private readonly hash: Hash,
    private readonly expectedBase64: string,
  ) {}

  /** Returns undefined when the response carries no SHA-256 digest. */
  static create(headers: IncomingHttpHeaders): DigestCheck | undefined {
    const field = headers['content-digest'];
    const match =
      typeof field === 'string' ? SHA256_DIGEST_FIELD.exec(field) : null;
    return match ? new DigestCheck(createHash('sha256'), match[1]!) : undefined;
  }

  update(chunk: Buffer): void {
    this.hash.update(chunk);
  }

  matches(): boolean {
    return this.hash.digest('base64') === this.expectedBase64;
  }
}
