/**
The services that this host owns: their groups, observers and pools. Executes requests for them.
*/
import type * as clock from '../core/clock.js';
import * as address from '../core/address.js';
import type * as claim from '../core/claim.js';
import * as errors from '../core/errors.js';
import * as group from '../core/group.js';
import type * as ownership from '../core/ownership.js';
import type * as peers from '../core/peers.js';
import * as promotion from '../core/promotion.js';
import type * as random from '../core/random.js';
import * as routing from '../core/routing.js';
import * as service from '../core/service.js';
import * as share from '../core/share.js';
import type * as types from '../generated/types.js';
import * as client from '../mysql/client.js';
import type * as store from '../store/store.js';
import type * as log from './log.js';

/** Time in ms that a replica is expected to take for an answer. */
const expectedServiceMs = 5;
/** Time in ms for which a host that is next in rank owns a group after the last request for it. */
const standbyMs = 10_000;
const releasePollMs = 20;

/** What owning services needs. */
export type Parts = {
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly host: string;
	readonly place: string;
	readonly timing: types.Timing;
	readonly logger: log.Logger;
	/** The other owners; read when a service is taken. */
	readonly peers: () => peers.Peers;
	readonly store: store.Store;
	readonly claim: claim.Policy;
	readonly recorder: promotion.Recorder;
	/** Called when every connection of a service that is no longer owned is closed. */
	readonly released: (service: string) => void;
};

/** What ownership depends on. */
export type View = {
	readonly table: ownership.Table;
	readonly isAlone: boolean;
	readonly mayOpen: boolean;
	/** Addresses of backend servers that the host list calls leaving. */
	readonly leavingServers: ReadonlySet<string>;
};

type Owned = {
	readonly name: string;
	readonly service: service.Service;
	readonly promotion: promotion.Promotion;
	readonly fingerprint: string;
	readonly stop: AbortController;
	/** Requests being executed. */
	active: number;
	task: Promise<void>;
};

/** State of a server as its owner sees it; times in ms. */
export type ServerStatus = {
	readonly name: string;
	readonly place: string;
	readonly role: types.Role | 'unknown';
	readonly term: number;
	readonly position: types.Position | null;
	readonly silentMs: number;
	readonly isLeaving: boolean;
	readonly connections: number;
	readonly busy: number;
};

/** Owned services by name. */
export class Owner {
	readonly #parts: Parts;
	readonly #owned = new Map<string, Owned>();
	/** Services that are no longer owned and whose last transactions and requests still run. */
	readonly #released = new Set<Owned>();
	readonly #shares = new Map<string, share.Share>();
	readonly #standbyUntil = new Map<string, number>();

	constructor(parts: Parts) {
		this.#parts = parts;
	}

	/** Names of the owned services. */
	get names(): readonly string[] {
		return [...this.#owned.keys()];
	}

	/** Requests and transactions of services that were released. */
	get remaining(): number {
		return [...this.#released].reduce((sum, {service: released, active}) => sum + active + released.transactions.size, 0);
	}

	/** An owned service. */
	find(name: string): service.Service | undefined {
		return this.#owned.get(name)?.service;
	}

	/** The promotion task of an owned service; answers the other owners' questions and takes their notices. */
	promotion(name: string): promotion.Promotion | undefined {
		return this.#owned.get(name)?.promotion;
	}

	/** This host's standing towards a service. */
	standing(name: string): share.Standing {
		return this.#shares.get(name)?.standing ?? 'none';
	}

	/** What is known of the servers of an owned service. */
	status(name: string): ServerStatus[] {
		const owned = this.find(name)?.group;
		return [...owned?.observed.servers.values() ?? []].map(({name: server, place, latest, lastAnswerAt}) => ({
			name: server,
			place,
			role: latest?.status.role ?? 'unknown',
			term: latest?.status.term ?? 0,
			position: latest?.status.last ?? null,
			silentMs: Math.round(this.#parts.clock.now() - lastAnswerAt),
			isLeaving: owned?.isLeaving(server) ?? false,
			connections: owned?.open(server) ?? 0,
			busy: owned?.load(server) ?? 0,
		}));
	}

	/** Takes and releases services so that this host owns what the view and the configuration say. */
	align(configuration: types.Configuration, view: View): void {
		for (const [name, owned] of this.#owned) {
			const settings = configuration.service[name];
			if (!settings || fingerprint(settings) !== owned.fingerprint) {
				this.#release(owned);
			}
		}

		for (const [name, settings] of Object.entries(configuration.service)) {
			this.#alignService(name, settings, view);
		}
	}

	/** A host with another view asked for a service of which this host is next in rank: owns it for a while. */
	standBy(name: string): void {
		this.#standbyUntil.set(name, this.#parts.clock.now() + standbyMs);
	}

	/** A former owner has closed its connections. */
	noticeRelease(host: string, name: string): void {
		this.#shares.get(name)?.release(host);
	}

	/** Stops owning anything, at once. */
	async stop(): Promise<void> {
		const all = [...this.#owned.values(), ...this.#released];
		this.#owned.clear();
		await Promise.all(all.map(async owned => close(owned)));
	}

	/**
	Executes a request of an owned service, or of a transaction that began while it was owned.

	Errors: `not-run` at step `route` if this host does not own the service; else as the service's.
	*/
	async execute(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const isInside = request.transaction !== 'none' && request.transaction !== 'begin';
		const owned = (isInside ? this.#findTransaction(request.session) : undefined) ?? this.#owned.get(request.service);
		if (!owned) {
			return errors.fail('not-run', 'route', this.#parts.host, `this entry host does not own service ${request.service}`);
		}

		owned.active++;
		try {
			return await owned.service.execute(request);
		} finally {
			owned.active--;
		}
	}

	/** Rolls back the transaction of a session, if it has one. */
	async endSession(session: string): Promise<void> {
		await this.#findTransaction(session)?.service.transactions.end(session);
	}

	#findTransaction(session: string): Owned | undefined {
		return [...this.#owned.values(), ...this.#released].find(({service: candidate}) => candidate.transactions.has(session));
	}

	#alignService(name: string, settings: types.Service, view: View): void {
		const {clock: time, host, timing} = this.#parts;
		const held = this.#shares.get(name) ?? new share.Share(time, host, timing.ownerSettleMs);
		this.#shares.set(name, held);
		const owners = view.table.owners(name).map(owner => owner.name);
		const isStandby = (this.#standbyUntil.get(name) ?? 0) > time.now();
		held.update(isStandby ? [...owners, host] : owners, view.isAlone);
		const owned = this.#owned.get(name);
		if (owned && held.standing === 'none') {
			this.#release(owned);
		} else if (owned) {
			this.#adjust(owned.service, settings, view);
		} else if (held.standing === 'owner' && view.mayOpen) {
			this.#take(name, settings, view);
		}
	}

	#take(name: string, settings: types.Service, view: View): void {
		const stop = new AbortController();
		const taken = new service.Service(this.#makeGroup(name, settings), settings, new routing.Fresh(expectedServiceMs));
		taken.group.markLeaving(leavingServers(settings, view));
		const task = this.#makePromotion(taken.group);
		this.#owned.set(name, {
			name,
			service: taken,
			promotion: task,
			fingerprint: fingerprint(settings),
			stop,
			active: 0,
			task: run(taken.group, task, stop.signal),
		});
		this.#parts.logger.info('took ownership of service', {service: name});
	}

	#adjust(owned: service.Service, settings: types.Service, view: View): void {
		owned.configure(settings);
		owned.group.markLeaving(leavingServers(settings, view));
		if (view.mayOpen) {
			owned.group.resize(requestShare(settings));
		} else {
			owned.group.hold();
		}
	}

	#makeGroup(name: string, settings: types.Service): group.Group {
		const servers = Object.entries(settings.server).map(([server, {address: text, place}]) => new client.Server({
			name: server, place, ...address.parse(text), user: settings.user, password: settings.password,
		}));
		return new group.Group({
			name, place: this.#parts.place, share: requestShare(settings), timing: this.#parts.timing,
		}, servers, this.#parts.clock);
	}

	#makePromotion(owned: group.Group): promotion.Promotion {
		const {host, timing, random: source, claim: policy, peers: others, store: platform, recorder} = this.#parts;
		return new promotion.Promotion({
			group: owned, host, timing, random: source, policy, peers: others(), store: platform, recorder,
		});
	}

	#release(owned: Owned): void {
		this.#owned.delete(owned.name);
		this.#released.add(owned);
		void this.#finish(owned);
	}

	/** Closes idle connections at once, and the others when the requests and transactions on them have ended. */
	async #finish(owned: Owned): Promise<void> {
		const {clock: time, timing, logger, released} = this.#parts;
		const end = time.now() + timing.drainLimitMs;
		owned.service.group.resize(1);
		while (owned.active + owned.service.transactions.size > 0 && time.now() < end && !owned.stop.signal.aborted) {
			await time.sleep(releasePollMs, owned.stop.signal);
		}

		await close(owned);
		this.#released.delete(owned);
		logger.info('released service', {service: owned.name});
		released(owned.name);
	}
}

async function close({service: closed, stop, task}: Owned): Promise<void> {
	stop.abort();
	for (const server of closed.group.observed.servers.values()) {
		// Wakes the server's task, which otherwise sees the end only at its next probe.
		void server.observe(1);
	}

	await task;
}

/** Connections for requests to each server: the share without its control connection. */
function requestShare({connections}: types.Service): number {
	return Math.max(1, share.count(connections) - 1);
}

/** What the connections of a service depend on. */
function fingerprint({server, user, password, connections}: types.Service): string {
	const addresses = Object.entries(server).map(([name, {address: text, place}]) => [name, text, place]);
	return JSON.stringify([addresses, user, password, connections]);
}

function leavingServers(settings: types.Service, view: View): string[] {
	return Object.entries(settings.server)
		.filter(([, server]) => server.leaving || view.leavingServers.has(server.address))
		.map(([name]) => name);
}

async function run(owned: group.Group, task: promotion.Promotion, signal: AbortSignal): Promise<void> {
	await Promise.all([owned.run(signal), task.run(signal)]);
}
