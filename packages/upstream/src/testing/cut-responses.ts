/** Forms of a response, to be cut off after each of their bytes. */

export interface ResponseForm {
  method: string;
  status: number;
  /** The bytes of the response, up to and including the empty line. */
  head: string;
  body: string;
  /** The body has no length, so that an orderly end completes it. */
  endsWithConnection: boolean;
}

const BODY = 'answer';
const REASONS = new Map([
  [200, 'OK'],
  [204, 'No Content'],
  [304, 'Not Modified'],
]);

/** Builds the forms of a response whose own headers are `ownHeaders`. */
export function responseForms(
  ownHeaders: string,
): Record<string, ResponseForm> {
  const form = (
    framing: string,
    change: {
      method?: string;
      status?: number;
      version?: string;
      interim?: string;
      body?: string;
      endsWithConnection?: boolean;
      framingFirst?: boolean;
    } = {},
  ): ResponseForm => {
    const {method = 'GET', status = 200, version = '1.1'} = change;
    const {interim = '', body = BODY, endsWithConnection = false} = change;
    const headers = change.framingFirst
      ? framing + ownHeaders
      : ownHeaders + framing;
    const statusLine = `HTTP/${version} ${status} ${REASONS.get(status)}\r\n`;
    const head = `${interim}${statusLine}${headers}\r\n`;
    return {method, status, head, body, endsWithConnection};
  };
  const length = `Content-Length: ${BODY.length}\r\n`;
  const chunked = 'Transfer-Encoding: chunked\r\n';
  const close = 'Connection: close\r\n';
  const chunks = `6\r\n${BODY}\r\n0\r\n\r\n`;
  const early = 'HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n';
  const endsWithConnection = true;
  return {
    'a length': form(length),
    'a length, first header': form(length, {framingFirst: true}),
    'a length and "close"': form(close + length),
    'a length of 0 and "close"': form(close + 'Content-Length: 0\r\n', {
      body: '',
    }),
    chunks: form(chunked, {body: chunks}),
    'chunks and "close"': form(close + chunked, {body: chunks}),
    'no length': form('', {endsWithConnection}),
    'no length and "close"': form(close, {endsWithConnection}),
    'HTTP/1.0 and a length': form(length, {version: '1.0'}),
    'HTTP/1.0 and no length': form('', {version: '1.0', endsWithConnection}),
    'a length after an interim response': form(length, {interim: early}),
    'no length after an interim response': form('', {
      interim: early,
      endsWithConnection,
    }),
    '"close" after two interim responses': form(close, {
      interim: `HTTP/1.1 102 Processing\r\n\r\n${early}`,
      endsWithConnection,
    }),
    'HEAD and a length': form(length, {method: 'HEAD', body: ''}),
    'HEAD and no length': form('', {method: 'HEAD', body: ''}),
    'HEAD, a length and "close"': form(close + length, {
      method: 'HEAD',
      body: '',
    }),
    'status 204': form('', {status: 204, body: ''}),
    'status 204 and "close"': form(close, {status: 204, body: ''}),
    'status 304 and a length': form(length, {status: 304, body: ''}),
    'status 304 and "close"': form(close, {status: 304, body: ''}),
  };
}
