/**
A discrete-event model of hosts that choose servers by a rule, for comparisons of rules. Servers have slots and a queue;
requests and replies take time on the way, so each host's view is late.
*/
import * as random from '../../../core/random.js';
import type * as tracks from '../track.js';

/** State of a server at a time: how long its work takes compared to usual, and the share of requests refused or failed at once. */
export type Fault = {readonly slowness?: number; readonly busyRatio?: number; readonly failedRatio?: number};

export class Server {
	isAvoided = false;
	readonly registration: {readonly place: string; readonly slots: number};
	readonly id: string;
	running = 0;
	readonly queue: Array<() => void> = [];
	started = 0;
	slotMs = 0;

	constructor(id: string, place: string, slots = 4) {
		this.id = id;
		this.registration = {place, slots};
	}
}

export type Time = {now(): number};

/** A host's rule: the order of the servers, and what it learns from a request. */
export abstract class Rule {
	abstract order(servers: readonly Server[], place: string): readonly Server[];
	abstract started(server: Server): void;
	abstract ended(server: Server, outcome: tracks.Outcome, latencyMs: number): void;
}

export type Case = {
	readonly hosts: number;
	readonly requestsPerS: number;
	readonly durationMs: number;
	/** Share of the demand of a place that swings within 15 s, out of phase. */
	readonly swing: number;
	readonly fault: (server: Server, now: number) => Fault;
	/** Interval of the times at which requests arrive, so that many hosts choose at the same moment; 0 to spread them. */
	readonly burstMs: number;
	readonly build: (time: Time, source: random.Source) => Rule;
};

export type Result = {
	/** Busiest server of a service to its mean, by slot time, over the whole run. */
	busiestToMean: number;
	/** Mean over the seconds and services of the busiest to the mean of one second, which also shows oscillation. */
	busiestToMeanPerS: number;
	/** Mean change from one second to the next in a server's share of its service's requests. */
	oscillation: number;
	/** Requests of servers that were refused as busy, by all requests of callers. */
	rejectedRatio: number;
	/** Requests of callers that ended with an error. */
	failedRatio: number;
	meanMs: number;
	p99Ms: number;
	/** Share of the requests of hosts in a place with a server of the service that left the place. */
	remoteRatio: number;
	/** Requests to each server by second. */
	history: Array<Map<string, number>>;
};

const places = ['a', 'b', 'c', 'd', 'e', 'f'];
const services = ['s0', 's1', 's2', 's3', 's4', 's5'];
const queueLimit = 32;
const swingMs = 15_000;
/** One-way time between a host and a server in its place, in another one of its region, and in another region. */
const oneWayMs = (one: string, other: string): number => one === other ? 0.5 : (region(one) === region(other) ? 3.5 : 8);
/** Work times of fleet-lookup and handover-log, and the share of the former. */
const workMs = (source: random.Source): number => (source.integer(1, 100) <= 18 ? 26 : 15) * source.integer(50, 150) / 100;

function region(place: string): number {
	return Math.floor(places.indexOf(place) / 2);
}

/** Runs a case: each service has a server in one place of each region, and hosts in all places send it their requests. */
export function run({hosts, requestsPerS, durationMs, swing, burstMs, fault, build}: Case, seed: number): Result {
	const source = new random.Seeded(seed);
	const agenda: Array<{readonly at: number; readonly act: () => void}> = [];
	const later = (delayMs: number, act: () => void): void => {
		const at = now + delayMs;
		let low = 0;
		for (let high = agenda.length; low < high;) {
			const middle = Math.floor((low + high) / 2);
			if (agenda[middle].at > at) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		agenda.splice(low, 0, {at, act});
	};

	let now = 0;
	const time = {now: () => now};
	const groups = services.map((service, index) => [0, 1, 2].map(number => new Server(`${service}-${number}`, places[(number * 2) + (index % 2)])));
	const nodes = Array.from({length: hosts}, (_, index) => {
		const place = places[index % places.length];
		return {place, rules: groups.map(() => build(time, source))};
	});
	const latencies: number[] = [];
	const history: Array<Map<string, number>> = [];
	const perS: Array<Map<Server, number>> = [];
	const counts = {
		requests: 0, busy: 0, failed: 0, local: 0, remote: 0,
	};

	const work = (server: Server, slowness: number, done: () => void): void => {
		const takenMs = workMs(source) * slowness;
		server.running++;
		server.slotMs += takenMs;
		perS[Math.floor(now / 1000)] ??= new Map<Server, number>();
		const second = perS[Math.floor(now / 1000)];
		second.set(server, (second.get(server) ?? 0) + takenMs);
		later(takenMs, () => {
			server.running--;
			done();
			server.queue.shift()?.();
		});
	};

	const send = (rule: Rule, place: string, untried: readonly Server[], startedAt: number): void => {
		const [server, ...others] = untried;
		if (!server) {
			counts.failed++;
			return;
		}

		const sentAt = now;
		const wayMs = oneWayMs(place, server.registration.place);
		rule.started(server);
		server.started++;
		history[Math.floor(now / 1000)] ??= new Map<string, number>();
		const second = history[Math.floor(now / 1000)];
		second.set(server.id, (second.get(server.id) ?? 0) + 1);
		const reply = (kind: 'read' | 'busy' | 'failed'): void => {
			later(wayMs, () => {
				rule.ended(server, kind === 'read' ? {kind, latencyMs: now - sentAt} : {kind}, now - sentAt);
				if (kind === 'busy') {
					counts.busy++;
					send(rule, place, others, startedAt);
				} else if (kind === 'failed') {
					counts.failed++;
				} else {
					latencies.push(now - startedAt);
				}
			});
		};

		later(wayMs, () => {
			const {slowness = 1, busyRatio = 0, failedRatio = 0} = fault(server, now);
			const draw = source.integer(0, 999) / 1000;
			const serve = (): void => {
				work(server, slowness, () => {
					reply('read');
				});
			};

			if (draw < busyRatio || server.queue.length >= queueLimit) {
				reply('busy');
			} else if (draw < busyRatio + failedRatio) {
				reply('failed');
			} else if (server.running < server.registration.slots) {
				serve();
			} else {
				server.queue.push(serve);
			}
		});
	};

	const arrive = (): void => {
		const node = nodes[source.integer(0, nodes.length - 1)];
		const phase = places.indexOf(node.place) / places.length;
		const demand = 1 + (swing * Math.sin(2 * Math.PI * ((now / swingMs) + phase)));
		if (source.integer(0, 9999) / 10_000 < demand / (1 + swing)) {
			const service = source.integer(0, services.length - 1);
			const servers = groups[service];
			const rule = node.rules[service];
			const ordered = rule.order(servers, node.place);
			counts.requests++;
			if (servers.some(({registration}) => registration.place === node.place)) {
				counts[ordered[0].registration.place === node.place ? 'local' : 'remote']++;
			}

			send(rule, node.place, ordered, now);
		}
	};

	const nextArrival = (previous: number): void => {
		const at = previous - (Math.log(source.integer(1, 1_000_000) / 1_000_000) * 1000 / (requestsPerS * (1 + swing)));
		later((burstMs > 0 ? Math.ceil(at / burstMs) * burstMs : at) - now, () => {
			arrive();
			nextArrival(at);
		});
	};

	nextArrival(0);
	for (let next = agenda.pop(); next && next.at < durationMs; next = agenda.pop()) {
		now = next.at;
		next.act();
	}

	return summarize(groups, {
		latencies, history, perS, counts,
	});
}

type Measured = {
	readonly latencies: number[];
	readonly history: Array<Map<string, number>>;
	readonly perS: Array<Map<Server, number>>;
	readonly counts: {readonly requests: number; readonly busy: number; readonly failed: number; readonly local: number; readonly remote: number};
};

function summarize(groups: Server[][], {latencies, history, perS, counts}: Measured): Result {
	const ratio = (values: readonly number[]): number => Math.max(...values) / Math.max(1, mean(values));
	const shares = history.map(second => new Map(groups.flatMap(group => group.map(({id}): [string, number] => {
		const sum = group.reduce((total, other) => total + (second.get(other.id) ?? 0), 0);
		return [id, (second.get(id) ?? 0) / Math.max(1, sum)];
	}))));
	const changes = shares.slice(1).flatMap((share, index) => [...share].map(([id, value]) => Math.abs(value - (shares[index].get(id) ?? 0))));
	latencies.sort((one, other) => one - other);
	return {
		busiestToMean: mean(groups.map(group => ratio(group.map(({slotMs}) => slotMs)))),
		busiestToMeanPerS: mean(perS.flatMap(second => groups.map(group => ratio(group.map(server => second.get(server) ?? 0))))),
		oscillation: mean(changes),
		rejectedRatio: counts.busy / counts.requests,
		failedRatio: counts.failed / counts.requests,
		meanMs: mean(latencies),
		p99Ms: latencies[Math.floor(latencies.length * 0.99)] ?? 0,
		remoteRatio: counts.remote / Math.max(1, counts.local + counts.remote),
		history,
	};
}

function mean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
