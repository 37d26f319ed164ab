/**
 * Mutual authentication of a new connection by the fleet secret.
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

export type Role = 'dialer' | 'listener';

const NONCE_BYTES = 32;

/** Returns the identity that the peer proved; throws FrameError otherwise. */
export async function performHandshake(
  connection: PeerConnection,
  self: PeerIdentity,
  role: Role,
  fleetSecret: string,
): Promise<PeerIdentity> {
  const own: Hello = {
    type: 'hello',
    version: PROTOCOL_VERSION,
    identity: {
      instanceId: self.instanceId,
      availabilityZone: self.availabilityZone,
      region: self.region,
    },
    nonce: randomBytes(NONCE_BYTES),
  };
  connection.send(own);
  const hello = readHello(await connection.receive());
  if (hello.identity.instanceId === self.instanceId) {
    throw new FrameError('the peer has the id of this instance');
  }
  const mac = proofOf(fleetSecret, role, own, hello);
  connection.send({type: 'proof', mac});
  const proof = proofSchema.safeParse(await connection.receive());
  if (!proof.success) throw new FrameError('malformed proof frame');
  const peerRole = role === 'dialer' ? 'listener' : 'dialer';
  const expected = proofOf(fleetSecret, peerRole, hello, own);
  if (!equalBytes(expected, proof.data.mac)) {
    throw new FrameError('the peer does not know the fleet secret');
  }
  return hello.identity;
}

function readHello(frame: unknown): Hello {
  const version = (frame as {version?: unknown} | undefined)?.version;
  if (typeof version === 'number' && version !== PROTOCOL_VERSION) {
    throw new FrameError(`protocol version ${version} is not supported`);
  }
  const hello = helloSchema.safeParse(frame);
  if (!hello.success) throw new FrameError('malformed hello frame');
  return hello.data;
}

/**
 * The role and the order of the hello frames are part of the proof, so that
 * a proof cannot be sent back to the side that made it.
 */
function proofOf(
  secret: string,
  role: Role,
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
