/**
 * Checks that an answer of a backend server belongs to the request and is
 * intact. A wrong value inside a well-formed answer cannot be found here.
 */
import {createHash} from 'node:crypto';
import type {Hash} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';

export interface ExpectedAnswer {
  requestId: string;
  answerContentType: string | undefined;
}

/** Returns what is wrong with the head of an answer, if anything. */
export function findHeadFault(
  status: number,
  headers: IncomingHttpHeaders,
  expected: ExpectedAnswer,
): string | undefined {
  const echoed = headers['x-request-id'];
  if (echoed !== undefined && echoed !== expected.requestId) {
    return 'answer to another request';
  }
  const type = expected.answerContentType;
  if (type === undefined || status < 200 || status > 299 || status === 204) {
    return undefined;
  }
  const actual = headers['content-type']?.split(';')[0]?.trim();
  return actual === type ? undefined : `content type is not ${type}`;
}

const DIGEST = /sha-256=:([A-Za-z0-9+/=]+):/;

/** Verifies `content-digest` (RFC 9530) over the body as it arrives. */
export class DigestCheck {
  private constructor(
    private readonly hash: Hash,
    private readonly expectedBase64: string,
  ) {}

  /** Returns undefined when the answer carries no SHA-256 digest. */
  static create(headers: IncomingHttpHeaders): DigestCheck | undefined {
    const field = headers['content-digest'];
    const match = typeof field === 'string' ? DIGEST.exec(field) : null;
    return match ? new DigestCheck(createHash('sha256'), match[1]!) : undefined;
  }

  update(chunk: Buffer): void {
    this.hash.update(chunk);
  }

  matches(): boolean {
    return this.hash.digest('base64') === this.expectedBase64;
  }
}
