/**
 * Metrics of a gateway process in the Prometheus text format.
 * docs/OPERATIONS.md lists them.
 */
import type {ServerBeliefs} from '@fireflytrack/upstream';
import type {FeedObservation} from '@fireflytrack/zone';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** Gauge values, read at each scrape. */
export interface GaugeReaders {
  requestsInFlight(): number;
  policyVersion(): number;
  policyNotices(): number;
  isPolicyUnreadable(): boolean;
  policyAgeSeconds(): number;
  servers(): number;
  serverBeliefs(): ServerBeliefs;
  serversReadmitted(): number;
  serversLimited(): number;
  turnedAway(): number;
  withdrawn(): number;
  requestSuspects(): {suspected: number; held: number};
  heldBack(): number;
  isZoneLeader(): boolean;
  storeCalls(): ReadonlyMap<string, number>;
  bodyMemoryBytes(): number;
}

const MS_PER_SECOND = 1000;
// Covers the latency objectives of the services, which are 1 to 5 seconds.
const LATENCY_BUCKETS_SECONDS = [
  0.01, 0.05, 0.1, 0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10,
];

// Covers the promises on configurations and on servers that leave.
const FEED_AGE_BUCKETS_SECONDS = [0.25, 0.5, 1, 1.5, 2, 2.5, 3, 4, 6, 10];

export class GatewayMetrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'fireflytrack_requests_total',
    help: 'Requests by outcome: "answered" or the code of the rejection.',
    labelNames: ['outcome'] as const,
    registers: [this.registry],
  });
  private readonly retries = new Counter({
    name: 'fireflytrack_repeats_total',
    help: 'Attempts beyond the first of a request.',
    registers: [this.registry],
  });
  private readonly durations = new Histogram({
    name: 'fireflytrack_request_duration_seconds',
    help: 'Time from the head of a request to the begin of its answer.',
    labelNames: ['outcome'] as const,
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.registry],
  });

  private readonly feedAges = new Histogram({
    name: 'fireflytrack_feed_age_seconds',
    help: 'Age of the last confirmation of a feed when the next one came.',
    labelNames: ['feed'] as const,
    buckets: FEED_AGE_BUCKETS_SECONDS,
    registers: [this.registry],
  });
  private readonly feedPages = new Counter({
    name: 'fireflytrack_feed_pages_total',
    help: 'Pages of a feed by source: "leader" or "store".',
    labelNames: ['feed', 'source'] as const,
    registers: [this.registry],
  });

  private constructor(readers: GaugeReaders) {
    const gauges: [string, string, () => number][] = [
      ['requests_in_flight', 'Open requests.', readers.requestsInFlight],
      ['policy_version', 'Policy in force.', readers.policyVersion],
      [
        'policy_notices',
        'Parts of the policy that were left out or read cautiously.',
        readers.policyNotices,
      ],
      [
        'policy_unreadable',
        "Whether the store's newest policy cannot be read.",
        () => Number(readers.isPolicyUnreadable()),
      ],
      [
        'policy_age_seconds',
        'Time since the policy was last confirmed.',
        readers.policyAgeSeconds,
      ],
      ['servers', 'Backend servers known.', readers.servers],
      [
        'servers_avoided',
        'Backend servers avoided.',
        () => {
          const {suspected, failing} = readers.serverBeliefs();
          return suspected + failing;
        },
      ],
      [
        'servers_limited',
        'Backend servers that named a limit of requests per second.',
        readers.serversLimited,
      ],
      [
        'requests_suspected',
        'Different requests under which backend servers went down.',
        () => readers.requestSuspects().suspected,
      ],
      [
        'requests_held',
        'Different requests that are held back.',
        () => readers.requestSuspects().held,
      ],
      [
        'leads_zone',
        'Whether this instance leads its zone.',
        () => Number(readers.isZoneLeader()),
      ],
      [
        'body_memory_bytes',
        'Memory taken by the bodies of open requests.',
        readers.bodyMemoryBytes,
      ],
    ];
    for (const [name, help, read] of gauges) {
      new Gauge({
        name: `fireflytrack_${name}`,
        help,
        registers: [this.registry],
        collect() {
          this.set(read());
        },
      });
    }
    this.registerServerMetrics(readers);
  }

  private registerServerMetrics(readers: GaugeReaders): void {
    const registers = [this.registry];
    new Gauge({
      name: 'fireflytrack_servers_by_belief',
      help: 'Backend servers by what this instance believes about them.',
      labelNames: ['belief'] as const,
      registers,
      collect() {
        const {suspected, failing, onTrial, trusted} = readers.serverBeliefs();
        this.set({belief: 'suspected'}, suspected);
        this.set({belief: 'failing'}, failing);
        this.set({belief: 'on-trial'}, onTrial);
        this.set({belief: 'trusted'}, trusted);
      },
    });
    new Counter({
      name: 'fireflytrack_store_calls_total',
      help: 'Calls to the store by caller.',
      labelNames: ['caller'] as const,
      registers,
      collect() {
        this.reset();
        for (const [caller, count] of readers.storeCalls()) {
          this.inc({caller}, count);
        }
      },
    });
    const counters: [string, string, () => number][] = [
      [
        'servers_readmitted_total',
        'Avoidances of backend servers that the floor ended early.',
        readers.serversReadmitted,
      ],
      [
        'limit_turned_away_total',
        'Choices of backend servers that were not made because of a limit.',
        readers.turnedAway,
      ],
      [
        'servers_withdrawn_total',
        'Choices refused because every server leaves or has asked for a pause.',
        readers.withdrawn,
      ],
      [
        'held_back_total',
        'Attempts not made because the request may crash its server.',
        readers.heldBack,
      ],
    ];
    for (const [name, help, read] of counters) {
      new Counter({
        name: `fireflytrack_${name}`,
        help,
        registers,
        collect() {
          this.reset();
          this.inc(read());
        },
      });
    }
  }

  static create(readers: GaugeReaders): GatewayMetrics {
    return new GatewayMetrics(readers);
  }

  /** Counts a finished request that took `tookMs` and `attempts` attempts. */
  recordRequest(outcome: string, tookMs: number, attempts: number): void {
    this.requests.inc({outcome});
    this.durations.observe({outcome}, tookMs / MS_PER_SECOND);
    if (attempts > 1) this.retries.inc(attempts - 1);
  }

  /** Counts a page of a feed. */
  recordFeedPage({feed, ageMs, isRelayed}: FeedObservation): void {
    this.feedPages.inc({feed, source: isRelayed ? 'leader' : 'store'});
    if (Number.isFinite(ageMs)) {
      this.feedAges.observe({feed}, ageMs / MS_PER_SECOND);
    }
  }

  get contentType(): string {
    return this.registry.contentType;
  }

  text(): Promise<string> {
    return this.registry.metrics();
  }
}
