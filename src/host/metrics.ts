/**
Counters and latency histograms for each tenant and class, readable over HTTP in the Prometheus text format.
*/
import * as hdr from 'hdr-histogram-js';
import * as prometheus from 'prom-client';
import type * as types from '../generated/types.js';

const percentiles = [50, 90, 99, 99.9];
/** The last bucket is the 15 s limit of a whole change of primary. */
const changeBucketsSeconds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 15];
const maxLatencyUs = 60_000_000;

/** Result of a request: answered, or the kind of its failure. */
export type Result = 'answered' | types.FailureKind | types.Refusal;

/** One value and its labels. */
export type Sample<Label extends string> = {readonly labels: Record<Label, string>; readonly value: number};

/** Metrics of one host. */
export class Metrics {
	readonly #registry = new prometheus.Registry();
	readonly #requests: prometheus.Counter;
	readonly #latency: prometheus.Gauge;
	readonly #changes: prometheus.Histogram;
	readonly #histograms = new Map<string, {tenant: string; class: string; histogram: hdr.Histogram}>();

	constructor() {
		this.#requests = new prometheus.Counter({
			name: 'sycamorering_requests_total',
			help: 'Requests by tenant, class and result',
			labelNames: ['tenant', 'class', 'result'],
			registers: [this.#registry],
		});
		this.#changes = new prometheus.Histogram({
			name: 'sycamorering_primary_change_seconds',
			help: 'Duration of each phase of the primary changes that this host completed',
			labelNames: ['cause', 'part'],
			buckets: changeBucketsSeconds,
			registers: [this.#registry],
		});
		this.#latency = new prometheus.Gauge({
			name: 'sycamorering_request_seconds',
			help: 'Quantiles of the request latency by tenant and class',
			labelNames: ['tenant', 'class', 'quantile'],
			registers: [this.#registry],
			collect: () => {
				this.#exportLatencies();
			},
		});
	}

	/** Records one phase of a change of primary. */
	recordChange(cause: string, phase: string, durationMs: number): void {
		this.#changes.observe({cause, part: phase}, durationMs / 1000);
	}

	/** Records the result and latency of a request. */
	recordRequest(request: {readonly tenant: string; readonly class: string}, result: Result, latencyMs: number): void {
		this.#requests.inc({tenant: request.tenant, class: request.class, result});
		this.#histogram(request.tenant, request.class).recordValue(Math.min(maxLatencyUs, Math.round(latencyMs * 1000)));
	}

	/** Adds a gauge whose samples are collected each time the metrics are read. */
	addGauge<Label extends string>(name: string, help: string, labels: readonly Label[], read: () => ReadonlyArray<Sample<Label>>): void {
		const registers = [this.#registry];
		// The constructor adds the gauge to the registry.
		// eslint-disable-next-line no-new
		new prometheus.Gauge({
			name: `sycamorering_${name}`, help, labelNames: labels, registers, collect() {
				this.reset();
				for (const sample of read()) {
					this.set(sample.labels, sample.value);
				}
			},
		});
	}

	/** All metrics in the Prometheus text format. */
	async text(): Promise<string> {
		return this.#registry.metrics();
	}

	#histogram(tenant: string, name: string): hdr.Histogram {
		const key = `${tenant}/${name}`;
		const found = this.#histograms.get(key);
		if (found) {
			return found.histogram;
		}

		const histogram = hdr.build({highestTrackableValue: maxLatencyUs, numberOfSignificantValueDigits: 2});
		this.#histograms.set(key, {tenant, class: name, histogram});
		return histogram;
	}

	#exportLatencies(): void {
		for (const entry of this.#histograms.values()) {
			for (const percentile of percentiles) {
				const seconds = entry.histogram.getValueAtPercentile(percentile) / 1_000_000;
				this.#latency.set({tenant: entry.tenant, class: entry.class, quantile: String(percentile / 100)}, seconds);
			}
		}
	}
}
