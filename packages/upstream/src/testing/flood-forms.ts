/** Forms of responses without end, as faulty servers send them. */

export interface FloodForm {
  name: string;
  /** Sent once; `id` is the id of the request. */
  start(id: string): string;
  /** Sent again and again. */
  piece: string;
}

const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const HEADER_LINE = 'Name: value\r\n';

function head(id: string, framing = ''): string {
  return `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nSignature: good\r\n${framing}\r\n`;
}

export const FLOOD_FORMS: readonly FloodForm[] = [
  {name: 'no response', start: () => '', piece: 'garbage '},
  {name: 'reason phrase', start: () => 'HTTP/1.1 200 ', piece: 'a'},
  {name: 'header value', start: () => 'HTTP/1.1 200 OK\r\nName: ', piece: 'a'},
  {
    name: 'series of headers',
    start: () => 'HTTP/1.1 200 OK\r\n',
    piece: HEADER_LINE,
  },
  {
    name: 'series of the shortest headers',
    start: () => 'HTTP/1.1 200 OK\r\n',
    piece: 'a:\r\n',
  },
  {
    name: 'series of headers of a failure',
    start: () => 'HTTP/1.1 500 Failed\r\n',
    piece: HEADER_LINE,
  },
  {
    name: 'series of informational responses',
    start: () => '',
    piece: 'HTTP/1.1 102 Processing\r\n\r\n',
  },
  {
    name: 'chunk size',
    start: id => head(id, CHUNKED),
    piece: '0',
  },
  {
    name: 'chunk extension',
    start: id => `${head(id, CHUNKED)}4;name=`,
    piece: 'a',
  },
  {
    name: 'series of trailers',
    start: id => `${head(id, CHUNKED)}0\r\n`,
    piece: HEADER_LINE,
  },
  {
    name: 'body in chunks of one byte',
    start: id => head(id, CHUNKED),
    piece: '1\r\na\r\n',
  },
  {name: 'body without a length', start: id => head(id), piece: 'a'},
  {
    name: 'body of a rejection',
    start: id => `HTTP/1.1 503 Full\r\nRequest-Id: ${id}\r\nNot-Run: 1\r\n\r\n`,
    piece: 'a',
  },
  {
    name: 'bytes after a complete response',
    start: id => `${head(id, 'Content-Length: 1\r\n')}a`,
    piece: 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
  },
];
