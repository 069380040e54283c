/**
Records decisions as structured log lines on standard output and as metrics.

Logging never blocks: lines are dropped while too much output is buffered, and lines about requests are rate-limited.
Omitted lines are counted, and the count is a metric and a field of every line.
*/
import * as fs from 'node:fs';
import process from 'node:process';
import * as winston from 'winston';
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as metrics from '../host/metrics.js';
import * as decisions from './decisions.js';

/** Limit on lines about requests in `windowMs`; further lines are only counted. */
const maxLinesPerSecond = 40;
const windowMs = 1000;
/** Buffered output above which lines are dropped. */
const maxBufferedBytes = 262_144;

/** Limit on ended requests that are kept until metrics are attached. */
const maxEarlyRequests = 10_000;

type EndedRequest = {readonly database: string; readonly result: 'answered' | types.Refusal; readonly latencyMs: number};

/** Writes decisions to standard output and counts them. */
export class Journal extends decisions.Decisions {
	readonly #logger: winston.Logger;
	readonly #clock: clock.Clock;
	#metrics: metrics.Metrics | undefined;
	#earlyRequests: EndedRequest[] = [];
	readonly #output = fs.createWriteStream('', {fd: process.stdout.fd, autoClose: false});
	readonly #counts = new Map<string, number>();
	#windowStart = Number.NEGATIVE_INFINITY;
	#windowLines = 0;
	#omitted = 0;

	constructor(level: types.Level, host: string, time: clock.Clock) {
		super();
		this.#clock = time;
		this.#logger = winston.createLogger({
			level,
			defaultMeta: {host},
			format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
			transports: [new winston.transports.Stream({stream: this.#output})],
		});
	}

	/** Reports metrics to `target` from now on, including requests that ended earlier. */
	attach(target: metrics.Metrics): void {
		this.#metrics = target;
		for (const {database, result, latencyMs} of this.#earlyRequests) {
			this.ended(database, result, latencyMs);
		}

		this.#earlyRequests = [];
		target.addGauge('decisions', 'Decisions since the start, by name', ['name'], () =>
			[...this.#counts].map(([name, value]) => ({labels: {name}, value})));
		target.addGauge('log_lines_omitted', 'Log lines omitted since the start', [], () => [{labels: {}, value: this.#omitted}]);
	}

	override record(name: string, fields: decisions.Fields): void {
		this.#count(name);
		this.#write(name, fields);
	}

	override request(name: string, id: string, fields: decisions.Fields): void {
		this.#count(name);
		const now = this.#clock.now();
		if (now - this.#windowStart >= windowMs) {
			this.#windowStart = now;
			this.#windowLines = 0;
		}

		this.#windowLines++;
		if (this.#windowLines > maxLinesPerSecond) {
			this.#omitted++;
		} else {
			this.#write(name, {request: id, ...fields});
		}
	}

	override ended(database: string, result: 'answered' | types.Refusal, latencyMs: number): void {
		if (this.#metrics) {
			this.#metrics.recordRequest({tenant: database, class: 'all'}, result, latencyMs);
		} else if (this.#earlyRequests.length < maxEarlyRequests) {
			this.#earlyRequests.push({database, result, latencyMs});
		}
	}

	#count(name: string): void {
		this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
	}

	#write(name: string, fields: decisions.Fields): void {
		if (this.#output.writableLength > maxBufferedBytes) {
			this.#omitted++;
		} else {
			this.#logger.info(name, {...fields, uptimeMs: Math.round(this.#clock.now()), omitted: this.#omitted});
		}
	}
}
