/**
 * Mutual authentication of a new connection with the fleet secret.
 *
 * Each side sends a hello with a fresh nonce and then an HMAC over both hello
 * frames. The secret itself is never sent.
 */
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {FrameError} from './frame-codec.js';
import type {PeerConnection} from './peer-connection.js';
import {PROTOCOL_VERSION, helloSchema, proofSchema} from './peer-frames.js';
import type {Hello} from './peer-frames.js';
import type {PeerIdentity} from './peer-network.js';

export type HandshakeRole = 'dialer' | 'listener';

const NONCE_BYTES = 32;

/** Returns the authenticated identity of the peer; throws FrameError on failure. */
export async function performHandshake(
  connection: PeerConnection,
  self: PeerIdentity,
  role: HandshakeRole,
  fleetSecret: string,
): Promise<PeerIdentity> {
  const ownHello: Hello = {
    type: 'hello',
    version: PROTOCOL_VERSION,
    identity: {
      instanceId: self.instanceId,
      availabilityZone: self.availabilityZone,
      region: self.region,
    },
    nonce: randomBytes(NONCE_BYTES),
  };
  connection.send(ownHello);
  const peerHello = parseHello(await connection.receive());
  if (peerHello.identity.instanceId === self.instanceId) {
    throw new FrameError('the peer has the id of this instance');
  }
  const mac = computeProof(fleetSecret, role, ownHello, peerHello);
  connection.send({type: 'proof', mac});
  const peerProof = proofSchema.safeParse(await connection.receive());
  if (!peerProof.success) throw new FrameError('malformed proof frame');
  const peerRole = role === 'dialer' ? 'listener' : 'dialer';
  const expected = computeProof(fleetSecret, peerRole, peerHello, ownHello);
  if (!equalBytes(expected, peerProof.data.mac)) {
    throw new FrameError('the peer does not know the fleet secret');
  }
  return peerHello.identity;
}

function parseHello(frame: unknown): Hello {
  const version = (frame as {version?: unknown} | undefined)?.version;
  if (typeof version === 'number' && version !== PROTOCOL_VERSION) {
    throw new FrameError(`protocol version ${version} is not supported`);
  }
  const hello = helloSchema.safeParse(frame);
  if (!hello.success) throw new FrameError('malformed hello frame');
  return hello.data;
}

/**
 * The MAC covers the prover's role and the order of the hello frames, which
 * prevents reflecting a proof to the side that created it.
 */
function computeProof(
  secret: string,
  role: HandshakeRole,
  prover: Hello,
  verifier: Hello,
): Buffer {
  const mac = createHmac('sha256', secret);
  mac.update(`fireflytrack peer ${PROTOCOL_VERSION} ${role}\n`);
  for (const {identity, nonce} of [prover, verifier]) {
    const {instanceId, availabilityZone, region} = identity;
    mac.update(JSON.stringify([instanceId, availabilityZone, region]));
    mac.update(nonce);
  }
  return mac.digest();
}

function equalBytes(expected: Buffer, actual: Uint8Array): boolean {
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}
