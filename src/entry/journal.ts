/**
Decisions as structured log lines on standard output and as metrics.

Lines never block: a line that standard output can't take soon is dropped, and requests are limited to a number of lines a
second. What was left out is counted and reported.
*/
import * as fs from 'node:fs';
import process from 'node:process';
import * as winston from 'winston';
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as metrics from '../host/metrics.js';
import * as decisions from './decisions.js';

/** Lines about requests that are written in a second; the rest is counted. */
const linesPerSecond = 40;
const secondMs = 1000;
/** Bytes that may wait for standard output. */
const mostWaiting = 262_144;

/** Requests that are remembered until metrics are attached. */
const mostEarly = 10_000;

type Ended = {readonly database: string; readonly result: 'answered' | types.Refusal; readonly latencyMs: number};

/** Writes decisions. */
export class Journal extends decisions.Decisions {
	readonly #logger: winston.Logger;
	readonly #clock: clock.Clock;
	#metrics: metrics.Metrics | undefined;
	#early: Ended[] = [];
	readonly #output = fs.createWriteStream('', {fd: process.stdout.fd, autoClose: false});
	readonly #counts = new Map<string, number>();
	#secondStart = Number.NEGATIVE_INFINITY;
	#lines = 0;
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

	/** Counts in `target` from now on, and what ended until now. */
	attach(target: metrics.Metrics): void {
		this.#metrics = target;
		for (const {database, result, latencyMs} of this.#early) {
			this.ended(database, result, latencyMs);
		}

		this.#early = [];
		target.observe('decisions', 'Decisions since the start, by name', ['name'], () =>
			[...this.#counts].map(([name, value]) => ({labels: {name}, value})));
		target.observe('log_lines_omitted', 'Log lines that were left out since the start', [], () => [{labels: {}, value: this.#omitted}]);
	}

	override record(name: string, fields: decisions.Fields): void {
		this.#count(name);
		this.#write(name, fields);
	}

	override request(name: string, id: string, fields: decisions.Fields): void {
		this.#count(name);
		const now = this.#clock.now();
		if (now - this.#secondStart >= secondMs) {
			this.#secondStart = now;
			this.#lines = 0;
		}

		this.#lines++;
		if (this.#lines > linesPerSecond) {
			this.#omitted++;
		} else {
			this.#write(name, {request: id, ...fields});
		}
	}

	override ended(database: string, result: 'answered' | types.Refusal, latencyMs: number): void {
		if (this.#metrics) {
			this.#metrics.record({tenant: database, class: 'all'}, result, latencyMs);
		} else if (this.#early.length < mostEarly) {
			this.#early.push({database, result, latencyMs});
		}
	}

	#count(name: string): void {
		this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
	}

	#write(name: string, fields: decisions.Fields): void {
		if (this.#output.writableLength > mostWaiting) {
			this.#omitted++;
		} else {
			this.#logger.info(name, {...fields, uptimeMs: Math.round(this.#clock.now()), omitted: this.#omitted});
		}
	}
}
