/**
The services that this host owns: their groups, observers and pools. Executes requests for them.
*/
import type * as clock from '../core/clock.js';
import * as address from '../core/address.js';
import type * as claim from '../core/claim.js';
import * as errors from '../core/errors.js';
import * as group from '../core/group.js';
import type * as peers from '../core/peers.js';
import * as promotion from '../core/promotion.js';
import type * as random from '../core/random.js';
import * as routing from '../core/routing.js';
import * as service from '../core/service.js';
import type * as types from '../generated/types.js';
import * as client from '../mysql/client.js';
import type * as store from '../platform/store.js';
import type * as log from './log.js';

/** Time in ms that a replica is expected to take for an answer. */
const expectedServiceMs = 5;
/** Owners of a group, and one part held back for a host that becomes owner before another has let go. */
const shareDivisor = 4;

/** What owning services needs. */
export type Parts = {
	readonly clock: clock.Clock;
	readonly random: random.Source;
	/** Name of this host. */
	readonly name: string;
	readonly place: string;
	readonly timing: types.Timing;
	readonly logger: log.Logger;
	readonly peers: peers.Peers;
	readonly store: store.Store;
	readonly claim: claim.Policy;
	readonly recorder: promotion.Recorder;
};

type Owned = {readonly service: service.Service; readonly promotion: promotion.Promotion; readonly servers: string; readonly stop: AbortController; task: Promise<void>};

/** Owned services by name. */
export class Owner {
	readonly #parts: Parts;
	readonly #owned = new Map<string, Owned>();

	constructor(parts: Parts) {
		this.#parts = parts;
	}

	/** Names of the owned services. */
	get names(): readonly string[] {
		return [...this.#owned.keys()];
	}

	/** An owned service. */
	find(name: string): service.Service | undefined {
		return this.#owned.get(name)?.service;
	}

	/** The promotion task of an owned service; answers the other owners' questions and takes their notices. */
	promotion(name: string): promotion.Promotion | undefined {
		return this.#owned.get(name)?.promotion;
	}

	/** Owns exactly the services in `names`, with the settings of the configuration. */
	async configure(configuration: types.Configuration, names: readonly string[]): Promise<void> {
		for (const name of this.#owned.keys()) {
			const settings = configuration.service[name];
			if (!names.includes(name) || !settings || fingerprint(settings) !== this.#owned.get(name)?.servers) {
				await this.#release(name);
			}
		}

		for (const name of names) {
			const settings = configuration.service[name];
			if (settings) {
				this.#take(name, settings);
			}
		}
	}

	/** Stops owning anything. */
	async stop(): Promise<void> {
		await Promise.all([...this.#owned.keys()].map(async name => this.#release(name)));
	}

	/** Executes a request of an owned service. */
	async execute(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const owned = this.find(request.service);
		return owned
			? owned.execute(request)
			: errors.fail('not-run', 'route', request.service, 'this entry host does not own the service');
	}

	#take(name: string, settings: types.Service): void {
		const present = this.#owned.get(name);
		if (present) {
			present.service.configure(settings);
			present.service.group.markLeaving(leavingServers(settings));
			return;
		}

		const stop = new AbortController();
		const taken = new service.Service(this.#makeGroup(name, settings), settings, new routing.Fresh(expectedServiceMs));
		taken.group.markLeaving(leavingServers(settings));
		const task = this.#makePromotion(taken.group);
		this.#owned.set(name, {
			service: taken,
			promotion: task,
			servers: fingerprint(settings),
			stop,
			task: this.#run(taken.group, task, stop.signal),
		});
		this.#parts.logger.info('took ownership of service', {service: name});
	}

	#makeGroup(name: string, settings: types.Service): group.Group {
		const servers = Object.entries(settings.server).map(([server, {address: text, place}]) => new client.Server({
			name: server, place, ...address.parse(text), user: settings.user, password: settings.password,
		}));
		// One connection of the share is for control.
		const share = Math.max(1, Math.floor(settings.connections / shareDivisor) - 1);
		return new group.Group({
			name, place: this.#parts.place, share, timing: this.#parts.timing,
		}, servers, this.#parts.clock);
	}

	#makePromotion(owned: group.Group): promotion.Promotion {
		const {name, timing, random: source, claim: policy, peers: others, store: platform, recorder} = this.#parts;
		return new promotion.Promotion({
			group: owned, host: name, timing, random: source, policy, peers: others, store: platform, recorder,
		});
	}

	async #run(owned: group.Group, task: promotion.Promotion, signal: AbortSignal): Promise<void> {
		await Promise.all([owned.run(signal), task.run(signal)]);
	}

	async #release(name: string): Promise<void> {
		const owned = this.#owned.get(name);
		if (owned) {
			this.#owned.delete(name);
			owned.stop.abort();
			await owned.task;
			this.#parts.logger.info('released service', {service: name});
		}
	}
}

/** What the connections of a service depend on. */
function fingerprint({server, user, password, connections}: types.Service): string {
	const addresses = Object.entries(server).map(([name, {address: text, place}]) => [name, text, place]);
	return JSON.stringify([addresses, user, password, connections]);
}

function leavingServers(settings: types.Service): string[] {
	return Object.entries(settings.server).filter(([, {leaving}]) => leaving).map(([name]) => name);
}
