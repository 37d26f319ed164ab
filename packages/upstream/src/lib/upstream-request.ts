/** A request as it is sent to backend servers, and the responses to it. */
import type {Readable} from 'node:stream';

export type RequestBody =
  | {kind: 'none'}
  /** Buffered in memory, so that it can be resent. */
  | {kind: 'buffered'; bytes: Buffer}
  /** Too large to buffer; it can be sent only once. */
  | {kind: 'stream'; stream: Readable};

export interface UpstreamRequest {
  requestId: string;
  method: string;
  /** Path and query as the caller sent them. */
  target: string;
  /** Names and values in turn, without hop-by-hop headers. */
  headers: string[];
  body: RequestBody;
}

export interface BufferedResponse {
  kind: 'buffered';
  status: number;
  /** Names and values in turn, without hop-by-hop headers. */
  headers: string[];
  body: Buffer;
}

export interface StreamedResponse {
  kind: 'streamed';
  status: number;
  headers: string[];
  body: Readable;
}

export type UpstreamResponse = BufferedResponse | StreamedResponse;
