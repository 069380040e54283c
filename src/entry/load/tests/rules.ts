/**
Rules that are compared in the model: the one in use before `balancer.Balancer`, one that follows reports of the servers'
load, and one that knows everything.
*/
import type * as random from '../../../core/random.js';
import * as decisions from '../../decisions.js';
import * as balancer from '../balancer.js';
import type * as tracks from '../track.js';
import * as model from './model.js';

const remotePenaltyMs = 40;

/** The rule before: a moving average of the latency of all replies times the requests in progress; silent servers are avoided for 1 s. */
export class Previous extends model.Rule {
	readonly #latencyMs = new Map<model.Server, number>();
	readonly #inFlight = new Map<model.Server, number>();

	override order(servers: readonly model.Server[], place: string): readonly model.Server[] {
		const cost = (server: model.Server): number => ((this.#latencyMs.get(server) ?? 20) * (1 + (this.#inFlight.get(server) ?? 0)))
			+ (server.registration.place === place ? 0 : remotePenaltyMs);
		return servers.toSorted((one, other) => cost(one) - cost(other));
	}

	override started(server: model.Server): void {
		this.#inFlight.set(server, (this.#inFlight.get(server) ?? 0) + 1);
	}

	override ended(server: model.Server, _outcome: tracks.Outcome, latencyMs: number): void {
		this.#inFlight.set(server, (this.#inFlight.get(server) ?? 0) - 1);
		const averageMs = this.#latencyMs.get(server) ?? 20;
		this.#latencyMs.set(server, averageMs + (0.1 * (latencyMs - averageMs)));
	}
}

/** Reports of the servers' load, 0 to 1.5 s old, decide: the least loaded server goes first. */
export class Reported extends model.Rule {
	readonly #time: model.Time;
	readonly #random: random.Source;
	readonly #views = new Map<model.Server, {at: number; load: number}>();

	constructor(time: model.Time, source: random.Source) {
		super();
		this.#time = time;
		this.#random = source;
	}

	override order(servers: readonly model.Server[], place: string): readonly model.Server[] {
		const cost = new Map(servers.map(server => [server, (20 * (1 + (this.#load(server) / server.registration.slots))) + (server.registration.place === place ? 0 : remotePenaltyMs)]));
		return servers.toSorted((one, other) => cost.get(one)! - cost.get(other)!);
	}

	override started(): void {
		// Only the reports count.
	}

	override ended(): void {
		// Only the reports count.
	}

	#load(server: model.Server): number {
		const now = this.#time.now();
		const view = this.#views.get(server);
		if (view && now - view.at < 1500) {
			return view.load;
		}

		this.#views.set(server, {at: view ? now : now - this.#random.integer(0, 1500), load: server.running + server.queue.length});
		return this.#views.get(server)!.load;
	}
}

/** Knows the queue and the fault of every server at the moment of the choice. */
export class Omniscient extends model.Rule {
	readonly #time: model.Time;
	readonly #random: random.Source;
	readonly #fault: model.Case['fault'];

	constructor(time: model.Time, source: random.Source, fault: model.Case['fault']) {
		super();
		this.#time = time;
		this.#random = source;
		this.#fault = fault;
	}

	override order(servers: readonly model.Server[], place: string): readonly model.Server[] {
		const calculate = (server: model.Server): number => {
			const {slowness = 1, busyRatio = 0, failedRatio = 0} = this.#fault(server, this.#time.now());
			const waiting = Math.max(0, server.running + server.queue.length + 1 - server.registration.slots) / server.registration.slots;
			return (17 * slowness * (1 + waiting)) + (server.registration.place === place ? 0 : remotePenaltyMs) + ((busyRatio + failedRatio) * 1000) + this.#random.integer(0, 3);
		};

		const costs = new Map(servers.map(server => [server, calculate(server)]));
		const cost = (server: model.Server): number => costs.get(server)!;
		return servers.toSorted((one, other) => cost(one) - cost(other));
	}

	override started(): void {
		// Everything is known.
	}

	override ended(): void {
		// Everything is known.
	}
}

/** The rule of the product. */
export class Balanced extends model.Rule {
	readonly #balancer: balancer.Balancer<model.Server>;

	constructor(time: model.Time, source: random.Source) {
		super();
		this.#balancer = new balancer.Balancer({
			service: 's', clock: time, random: source, decisions: new decisions.Silent(),
		});
	}

	override order(servers: readonly model.Server[], place: string): readonly model.Server[] {
		return this.#balancer.order(servers, {place, leader: undefined, purpose: 'read'});
	}

	override started(server: model.Server): void {
		this.#balancer.started(server);
	}

	override ended(server: model.Server, outcome: tracks.Outcome): void {
		this.#balancer.ended(server, outcome);
	}
}
