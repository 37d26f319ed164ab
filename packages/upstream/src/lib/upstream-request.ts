/** A request as it is sent to backend servers, and the answers to it. */
import type {Readable} from 'node:stream';

export type RequestBody =
  | {kind: 'none'}
  /** Held in memory, so that it can be sent again. */
  | {kind: 'held'; bytes: Buffer}
  /** Too large to hold; it can be sent once. */
  | {kind: 'stream'; stream: Readable};

export interface UpstreamRequest {
  requestId: string;
  method: string;
  /** Path and query as the caller sent them. */
  target: string;
  /** Names and values in turn, without those of one connection only. */
  headers: string[];
  body: RequestBody;
}

export interface BufferedResponse {
  kind: 'held';
  status: number;
  /** Names and values in turn, without those of one connection only. */
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
