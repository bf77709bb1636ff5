import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';

/** Upper bounds of the response time and job duration buckets, in seconds. */
const BUCKETS_SECONDS = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30,
];
/** Upper bounds of the forecast error buckets, in seconds. */
const FORECAST_ERROR_BUCKETS_SECONDS = [
  -1, -0.25, -0.1, -0.025, 0, 0.025, 0.1, 0.25, 1, 2.5,
];
/** Upper bounds of the buckets of slots. */
const SLOT_BUCKETS = [0, 1, 2, 4, 8, 16, 32];
const MS_PER_SECOND = 1000;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** Returns the current gauge values by name; called at each scrape. */
export type GaugeSource = () => Readonly<Record<string, number>>;

/**
 * Prometheus metrics of an instance.
 */
export class Metrics {
  private readonly registry = new Registry();
  private readonly requests: Counter<'kind' | 'verdict'>;
  private readonly responseTime: Histogram<'kind'>;
  private readonly peerMessages: Counter<'type'>;
  private readonly peerBytes: Counter<'type'>;

  private readonly proposals: Counter<'result'>;
  private readonly targetCalls: Counter<'call' | 'result'>;
  private readonly targetBytes: Counter<'call' | 'direction'>;
  private readonly targetConnections: Counter;
  private readonly jobs: Counter<'kind' | 'verdict'>;
  private readonly limits: Counter<'limit'>;
  private readonly processorTime: Gauge;
  private readonly jobDuration: Histogram<'kind' | 'verdict'>;
  private readonly forecastError: Histogram<'kind'>;
  private readonly refusedFreeSlots: Histogram<'kind'>;

  private constructor(hasProcessMetrics: boolean) {
    const registers = [this.registry];
    this.requests = new Counter({
      name: 'papayarun_requests_total',
      help: 'Requests of callers by kind and verdict.',
      labelNames: ['kind', 'verdict'],
      registers,
    });
    this.responseTime = new Histogram({
      name: 'papayarun_response_seconds',
      help: 'Time from a request to its answer, by kind.',
      labelNames: ['kind'],
      buckets: BUCKETS_SECONDS,
      registers,
    });
    this.peerMessages = new Counter({
      name: 'papayarun_peer_messages_total',
      help: 'Messages sent to other instances, by type.',
      labelNames: ['type'],
      registers,
    });
    this.peerBytes = new Counter({
      name: 'papayarun_peer_bytes_total',
      help: 'Bytes sent to other instances, by message type.',
      labelNames: ['type'],
      registers,
    });
    this.proposals = new Counter({
      name: 'papayarun_proposals_total',
      help: 'Commands that this instance proposed to the log, by result.',
      labelNames: ['result'],
      registers,
    });
    this.targetCalls = new Counter({
      name: 'papayarun_target_calls_total',
      help: 'Calls to targets by kind and result.',
      labelNames: ['call', 'result'],
      registers,
    });
    this.targetBytes = new Counter({
      name: 'papayarun_target_bytes_total',
      help: 'Bytes of the bodies of calls to targets, by kind and direction.',
      labelNames: ['call', 'direction'],
      registers,
    });
    this.targetConnections = new Counter({
      name: 'papayarun_target_connections_total',
      help: 'Connections opened to targets.',
      registers,
    });
    this.jobs = new Counter({
      name: 'papayarun_scheduled_jobs_total',
      help: 'Jobs at this scheduler by kind and verdict.',
      labelNames: ['kind', 'verdict'],
      registers,
    });
    this.jobDuration = new Histogram({
      name: 'papayarun_scheduled_job_seconds',
      help: 'Time of a job at this scheduler, by kind and verdict.',
      labelNames: ['kind', 'verdict'],
      buckets: BUCKETS_SECONDS,
      registers,
    });
    this.forecastError = new Histogram({
      name: 'papayarun_forecast_error_seconds',
      help: 'End of a completed job less its end expected at admission.',
      labelNames: ['kind'],
      buckets: FORECAST_ERROR_BUCKETS_SECONDS,
      registers,
    });
    this.refusedFreeSlots = new Histogram({
      name: 'papayarun_refused_free_slots',
      help: 'Free slots of the shard when it refused a job.',
      labelNames: ['kind'],
      buckets: SLOT_BUCKETS,
      registers,
    });
    this.limits = new Counter({
      name: 'papayarun_limits_reached_total',
      help: 'Requests refused and connections closed for a limit of unfinished requests.',
      labelNames: ['limit'],
      registers,
    });
    this.processorTime = new Gauge({
      name: 'papayarun_processor_seconds',
      help: 'Processor time that the process has used.',
      registers,
    });
    if (hasProcessMetrics) {
      collectDefaultMetrics({register: this.registry});
    }
  }

  /**
   * Creates the metrics.
   *
   * @param hasProcessMetrics - Whether the metrics of the Node.js process are
   *   added; sampling them wakes the process 100 times a second.
   * @returns The metrics.
   * @example
   * const metrics = Metrics.create();
   */
  static create(hasProcessMetrics = true): Metrics {
    return new Metrics(hasProcessMetrics);
  }

  /** Adds gauges `papayarun_<name>` whose values are read at each scrape. */
  addGauges(source: GaugeSource): void {
    const gauges = new Map<string, Gauge>();
    const getOrCreateGauge = (name: string): Gauge => {
      let gauge = gauges.get(name);
      if (!gauge) {
        gauge = new Gauge({
          name: `papayarun_${name}`,
          help: name.replaceAll('_', ' '),
          registers: [],
        });
        gauges.set(name, gauge);
        this.registry.registerMetric(gauge);
      }
      return gauge;
    };
    this.gaugeReaders.push(() => {
      for (const [name, value] of Object.entries(source())) {
        getOrCreateGauge(name).set(value);
      }
    });
  }

  /** Counts a finished request of a caller and records its response time. */
  recordRequest(kind: string, verdict: string, ms: number): void {
    this.requests.inc({kind, verdict});
    this.responseTime.observe({kind}, ms / MS_PER_SECOND);
  }

  /** Counts a job that ended at this scheduler and records its duration. */
  recordJob(kind: string, verdict: string, ms: number): void {
    this.jobs.inc({kind, verdict});
    this.jobDuration.observe({kind, verdict}, ms / MS_PER_SECOND);
  }

  /** Records by how much a completed job ended later than expected. */
  recordForecastError(kind: string, errorMs: number): void {
    this.forecastError.observe({kind}, errorMs / MS_PER_SECOND);
  }

  /** Records the slots that were free when a job was refused. */
  recordFreeSlots(kind: string, slots: number): void {
    this.refusedFreeSlots.observe({kind}, slots);
  }

  /** Counts a message sent to another instance and its bytes. */
  countMessage(type: string, bytes: number): void {
    this.peerMessages.inc({type});
    this.peerBytes.inc({type}, bytes);
  }

  /** Counts a command that was proposed to the log, by how that ended. */
  countProposal(result: string): void {
    this.proposals.inc({result});
  }

  /**
   * Counts a call to a target.
   *
   * @param call - Name of the call.
   * @param result - How it ended.
   * @param sentBytes - Bytes of the request body.
   * @param receivedBytes - Bytes of the response body.
   */
  recordTargetCall(
    call: string,
    result: string,
    sentBytes: number,
    receivedBytes: number,
  ): void {
    this.targetCalls.inc({call, result});
    this.targetBytes.inc({call, direction: 'sent'}, sentBytes);
    this.targetBytes.inc({call, direction: 'received'}, receivedBytes);
  }

  /** Counts a connection that was opened to a target. */
  countTargetConnection(): void {
    this.targetConnections.inc();
  }

  /** Counts a request refused or a connection closed for a limit. */
  countLimit(limit: string): void {
    this.limits.inc({limit});
  }

  /** Returns all metrics in the Prometheus text format. */
  async render(): Promise<{
    readonly contentType: string;
    readonly text: string;
  }> {
    for (const readGauges of this.gaugeReaders) {
      readGauges();
    }
    const {user, system} = process.cpuUsage();
    this.processorTime.set((user + system) / MICROSECONDS_PER_SECOND);
    return {
      contentType: this.registry.contentType,
      text: await this.registry.metrics(),
    };
  }

  private readonly gaugeReaders: Array<() => void> = [];
}
