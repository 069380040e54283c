/**
Records decisions as structured log lines on standard output and as metrics.

Logging never blocks: lines are dropped while too much output is buffered, and lines about requests are rate-limited.
Omitted lines are counted, and the count is a metric and a field of every line. Lines about failovers have a reserve of the
buffer of their own, which other lines can't fill.
*/
import * as fs from 'node:fs';
import process from 'node:process';
import type * as stream from 'node:stream';
import * as winston from 'winston';
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as metrics from '../host/metrics.js';
import type * as activities from './customers/activity.js';
import type * as limiters from './customers/limiter.js';
import * as usages from './customers/usage.js';
import * as decisions from './decisions.js';

/** Limit on lines about requests in `windowMs`; further lines are only counted. */
const maxLinesPerSecond = 40;
const windowMs = 1000;
/** Lines about requests in `windowMs` that are written beyond that limit, because no line had their reason and service. */
const maxDistinctLines = 64;
/** Reasons and services whose omitted lines are counted apart in `windowMs`, and how many of them the summary names. */
const maxCountedReasons = 256;
const maxNamedReasons = 8;
/** Longest reason that is counted apart. */
const maxReasonLength = 80;
/** Buffered output above which lines are dropped. */
const maxBufferedBytes = 262_144;
/** The same for the steps of failovers, up to ten a second and server. */
const maxBufferedStepBytes = 524_288;
/** The same for the line that holds a whole failover: room for 250 of these lines while nothing is read. */
const maxBufferedAttemptBytes = 1_048_576;
/** The line that holds a whole failover, see `attempt.ts`. */
const attemptName = 'failover-decided';
const stepNames = /^(?:failover|promotion|leader|confirmations|fence|in-sync)-|^(?:server-ordered|pause-renewed)$/v;

/** Limit on ended requests that are kept until metrics are attached. */
const maxEarlyRequests = 10_000;

/** Combinations of service, server and result that are counted apart; further ones count as server `other`. */
const maxServerCounts = 2048;
const otherServer = 'other';

type EndedRequest = {readonly database: string; readonly result: 'answered' | types.Refusal; readonly latencyMs: number};

/** Writes decisions to standard output and counts them. */
export class Journal extends decisions.Decisions {
	readonly #logger: winston.Logger;
	readonly #clock: clock.Clock;
	#metrics: metrics.Metrics | undefined;
	#activity: activities.Activity | undefined;
	#earlyRequests: EndedRequest[] = [];
	readonly #output: stream.Writable;
	readonly #counts = new Map<string, number>();
	/** Failover attempts by reason and result. */
	readonly #attempts = new Map<string, {readonly labels: {readonly reason: string; readonly result: string}; value: number}>();
	readonly #usage = new usages.Usage();
	/** Attempts at backend servers by service, server and result. */
	readonly #serverCounts = new Map<string, {readonly labels: {readonly service: string; readonly server: string; readonly result: decisions.Attempt}; value: number}>();
	#windowStart = Number.NEGATIVE_INFINITY;
	#windowLines = 0;
	#distinctLines = 0;
	/** Lines of the window that were omitted, by name, service and reason; 0 where one was written. */
	readonly #omittedReasons = new Map<string, number>();
	#omitted = 0;

	constructor(level: types.Level, host: string, time: clock.Clock, output: stream.Writable = fs.createWriteStream('', {fd: process.stdout.fd, autoClose: false})) {
		super();
		this.#clock = time;
		this.#output = output;
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
		target.addGauge('failover_attempts', 'Failover attempts of this host since the start, by reason and result', ['reason', 'result'], () => [...this.#attempts.values()]);
		target.addGauge('customer_operations', 'Operations that were admitted since the start, by customer', ['customer'], () => this.#activity?.operations ?? []);
		target.addGauge('customer_refusals', 'Refused operations and sessions since the start, by customer and cause', ['customer', 'cause'], () => this.#activity?.refusals ?? []);
		target.addGauge('customer_sessions', 'Open sessions, by customer', ['customer'], () => this.#activity?.sessions ?? []);
		target.addGauge('quota_operations', 'Operations of customers since the start, by whether they were within the quota; the largest customers by name', ['customer', 'result'], () =>
			this.#usage.list().map(({customer, result, count}) => ({labels: {customer, result}, value: count})));
		target.addGauge('server_attempts', 'Statements sent to backend servers since the start', ['service', 'server', 'result'], () => [...this.#serverCounts.values()]);
		target.addGauge('log_lines_omitted', 'Log lines omitted since the start', [], () => [{labels: {}, value: this.#omitted}]);
	}

	override admission(customer: string, result: limiters.Admission['kind']): void {
		this.#usage.count(customer, result);
	}

	override attempted(service: string, server: string, result: decisions.Attempt): void {
		const known = this.#serverCounts.get(`${service} ${server} ${result}`);
		if (known) {
			known.value++;
		} else if (server === otherServer || this.#serverCounts.size < maxServerCounts) {
			this.#serverCounts.set(`${service} ${server} ${result}`, {labels: {service, server, result}, value: 1});
		} else {
			this.attempted(otherServer, otherServer, result);
		}
	}

	override record(name: string, fields: decisions.Fields): void {
		this.#count(name);
		if (name === attemptName) {
			this.#countAttempt(String(fields.reason), String(fields.result));
		}

		this.#startWindow();
		this.#write(name, fields);
	}

	override request(name: string, id: string, fields: decisions.Fields): void {
		this.#count(name);
		this.#startWindow();
		const key = describeReason(name, fields);
		const omitted = this.#omittedReasons.get(key);
		const isDistinct = omitted === undefined && this.#distinctLines < maxDistinctLines;
		if (this.#windowLines < maxLinesPerSecond || isDistinct) {
			this.#distinctLines += this.#windowLines < maxLinesPerSecond ? 0 : 1;
			this.#windowLines++;
			this.#countOmitted(key, omitted ?? 0);
			this.#write(name, {request: id, ...fields});
		} else {
			this.#omitted++;
			this.#countOmitted(key, (omitted ?? 0) + 1);
		}
	}

	override ended(database: string, result: 'answered' | types.Refusal, latencyMs: number): void {
		if (this.#metrics) {
			this.#metrics.recordRequest({tenant: database, class: 'all'}, result, latencyMs);
		} else if (this.#earlyRequests.length < maxEarlyRequests) {
			this.#earlyRequests.push({database, result, latencyMs});
		}
	}

	override observeCustomers(activity: activities.Activity): void {
		this.#activity = activity;
	}

	#count(name: string): void {
		this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
	}

	#countAttempt(reason: string, result: string): void {
		const key = `${reason} ${result}`;
		const value = (this.#attempts.get(key)?.value ?? 0) + 1;
		this.#attempts.set(key, {labels: {reason, result}, value});
	}

	/** Counts an omitted line; those of further reasons are in the total only. */
	#countOmitted(key: string, count: number): void {
		if (this.#omittedReasons.has(key) || this.#omittedReasons.size < maxCountedReasons) {
			this.#omittedReasons.set(key, count);
		}
	}

	/** Starts the next window of lines about requests once the last one is over, and writes what that one omitted. */
	#startWindow(): void {
		const now = this.#clock.now();
		if (now - this.#windowStart < windowMs) {
			return;
		}

		const omitted = [...this.#omittedReasons].filter(([, count]) => count > 0).toSorted(([, one], [, other]) => other - one);
		this.#windowStart = now;
		this.#windowLines = 0;
		this.#distinctLines = 0;
		this.#omittedReasons.clear();
		if (omitted.length > 0) {
			this.#write('requests-omitted', {
				lines: omitted.reduce((sum, [, count]) => sum + count, 0),
				reasons: omitted.slice(0, maxNamedReasons).map(([key, count]) => `${count} ${key}`).join('; '),
				otherReasons: Math.max(0, omitted.length - maxNamedReasons),
			});
		}
	}

	#write(name: string, fields: decisions.Fields): void {
		if (this.#output.writableLength > bufferLimit(name)) {
			this.#omitted++;
		} else {
			this.#logger.info(name, {...fields, uptimeMs: Math.round(this.#clock.now()), omitted: this.#omitted});
		}
	}
}

/** Buffered output above which a line is dropped. */
function bufferLimit(name: string): number {
	if (name === attemptName) {
		return maxBufferedAttemptBytes;
	}

	return stepNames.test(name) ? maxBufferedStepBytes : maxBufferedBytes;
}

/** What lines about requests have in common; numbers in the reason are left out, since they differ from line to line. */
function describeReason(name: string, {service = '', reason = ''}: decisions.Fields): string {
	return `${name} ${service} ${String(reason).slice(0, maxReasonLength).replaceAll(/\b\d+\b/gv, 'N')}`;
}
