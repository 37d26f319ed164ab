/** The probe that the backend server protocol defines: `GET /health`. */
import {Agent, request} from 'undici';
import {z} from 'zod';
import type {BackendServer} from '@fireflytrack/configuration';
import type {Probe, ProbeResult} from './probe.js';

const PROBE_TIMEOUT_MS = 1000;
const MAX_RESPONSE_BYTES = 65_536;

const healthSchema = z.object({state: z.enum(['up', 'cold', 'draining'])});

export function createHttpProbe(): Probe {
  const dispatcher = new Agent({maxResponseSize: MAX_RESPONSE_BYTES});
  return async server => {
    try {
      return await requestHealth(server, dispatcher);
    } catch {
      return 'failed';
    }
  };
}

async function requestHealth(
  server: BackendServer,
  dispatcher: Agent,
): Promise<ProbeResult> {
  const host = server.host.includes(':') ? `[${server.host}]` : server.host;
  const response = await request(`http://${host}:${server.port}/health`, {
    dispatcher,
    signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    // Probes are rare, and an idle connection would count against the
    // connection limit of the server.
    reset: true,
  });
  const body: unknown = await response.body.json();
  if (response.statusCode !== 200) return 'failed';
  return healthSchema.parse(body).state;
}
