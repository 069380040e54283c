/**
The services that this host owns, with their groups, observers and connection pools. Executes requests of these services.
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
import * as quota from '../core/quota.js';
import type * as types from '../generated/types.js';
import * as client from '../mysql/client.js';
import type * as store from '../store/store.js';
import type * as log from './log.js';

/** Expected response time of a replica in ms. */
const expectedServiceMs = 5;
/** Time in ms for which the host next in rank keeps standby ownership after the last request for the service. */
const standbyMs = 10_000;
const releasePollMs = 20;

/** Dependencies of `Owner`. */
export type Options = {
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly host: string;
	readonly place: string;
	readonly timing: types.Timing;
	readonly logger: log.Logger;
	/** The other owners; evaluated when a service is acquired. */
	readonly peers: () => peers.Peers;
	readonly store: store.Store;
	readonly claim: claim.Policy;
	readonly recorder: promotion.Recorder;
	/** Called after all connections of a released service are closed. */
	readonly onReleased: (service: string) => void;
};

/** This host's view of the members, on which ownership depends. */
export type View = {
	readonly table: ownership.Table;
	/** Whether this host knows of no other host. */
	readonly isAlone: boolean;
	/** Whether new connections to backend servers are permitted. */
	readonly mayOpen: boolean;
	/** Addresses of backend servers that the host list marks as leaving. */
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

/** State of a server as its owner observes it; times in ms. */
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

/** Acquires and releases services, and executes requests of the owned ones. */
export class Owner {
	readonly #options: Options;
	readonly #owned = new Map<string, Owned>();
	/** Released services whose last requests and transactions are still running. */
	readonly #released = new Set<Owned>();
	readonly #quotas = new Map<string, quota.Quota>();
	readonly #standbyUntil = new Map<string, number>();

	constructor(options: Options) {
		this.#options = options;
	}

	/** Names of the owned services. */
	get names(): readonly string[] {
		return [...this.#owned.keys()];
	}

	/** Number of running requests and transactions of released services. */
	get drainingCount(): number {
		return [...this.#released].reduce((sum, {service: released, active}) => sum + active + released.transactions.size, 0);
	}

	/** An owned service. */
	find(name: string): service.Service | undefined {
		return this.#owned.get(name)?.service;
	}

	/** The promotion task of an owned service, which handles the queries and notices of the other owners. */
	promotion(name: string): promotion.Promotion | undefined {
		return this.#owned.get(name)?.promotion;
	}

	/** This host's ownership of a service. */
	ownership(name: string): quota.Ownership {
		return this.#quotas.get(name)?.ownership ?? 'none';
	}

	/** Observed state of the servers of an owned service; empty if the service is not owned. */
	status(name: string): ServerStatus[] {
		const owned = this.find(name)?.group;
		return [...owned?.observer.servers.values() ?? []].map(({name: server, place, latest, lastResponseAt}) => ({
			name: server,
			place,
			role: latest?.status.role ?? 'unknown',
			term: latest?.status.term ?? 0,
			position: latest?.status.last ?? null,
			silentMs: Math.round(this.#options.clock.now() - lastResponseAt),
			isLeaving: owned?.isLeaving(server) ?? false,
			connections: owned?.openConnections(server) ?? 0,
			busy: owned?.load(server) ?? 0,
		}));
	}

	/** Acquires and releases services to match the view and the configuration. */
	reconcile(configuration: types.Configuration, view: View): void {
		for (const [name, owned] of this.#owned) {
			const settings = configuration.service[name];
			if (!settings || fingerprint(settings) !== owned.fingerprint) {
				this.#release(owned);
			}
		}

		for (const [name, settings] of Object.entries(configuration.service)) {
			this.#reconcileService(name, settings, view);
		}
	}

	/**
	Makes this host an additional owner of a service for a limited time. Called when a host with another view of the
	members forwards a request of a service for which this host is next in rank.
	*/
	acquireStandby(name: string): void {
		this.#standbyUntil.set(name, this.#options.clock.now() + standbyMs);
	}

	/** Records that a former owner has closed its connections. */
	markReleased(host: string, name: string): void {
		this.#quotas.get(name)?.markReleased(host);
	}

	/** Releases every service without waiting for requests or transactions. */
	async stop(): Promise<void> {
		const all = [...this.#owned.values(), ...this.#released];
		this.#owned.clear();
		await Promise.all(all.map(async owned => close(owned)));
	}

	/**
	Executes a request of an owned service, or of a transaction that began while this host owned the service.

	Errors: `not-run` at step `route` if this host does not own the service; otherwise the errors of `Service.execute`.
	*/
	async execute(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const isInTransaction = request.transaction !== 'none' && request.transaction !== 'begin';
		const owned = (isInTransaction ? this.#findTransaction(request.session) : undefined) ?? this.#owned.get(request.service);
		if (!owned) {
			return errors.fail('not-run', 'route', this.#options.host, `this entry host does not own service ${request.service}`);
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

	#reconcileService(name: string, settings: types.Service, view: View): void {
		const {clock: time, host, timing} = this.#options;
		const serviceQuota = this.#quotas.get(name) ?? new quota.Quota(time, host, timing.ownerSettleMs);
		this.#quotas.set(name, serviceQuota);
		const owners = view.table.owners(name).map(owner => owner.name);
		const isStandby = (this.#standbyUntil.get(name) ?? 0) > time.now();
		serviceQuota.update(isStandby ? [...owners, host] : owners, view.isAlone);
		const owned = this.#owned.get(name);
		if (owned && serviceQuota.ownership === 'none') {
			this.#release(owned);
		} else if (owned) {
			this.#reconfigure(owned.service, settings, view);
		} else if (serviceQuota.ownership === 'owner' && view.mayOpen) {
			this.#acquire(name, settings, view);
		}
	}

	#acquire(name: string, settings: types.Service, view: View): void {
		const stop = new AbortController();
		const acquired = new service.Service(this.#createGroup(name, settings), settings, new routing.Fresh(expectedServiceMs));
		acquired.group.markLeaving(leavingServers(settings, view));
		const promotionTask = this.#createPromotion(acquired.group);
		this.#owned.set(name, {
			name,
			service: acquired,
			promotion: promotionTask,
			fingerprint: fingerprint(settings),
			stop,
			active: 0,
			task: run(acquired.group, promotionTask, stop.signal),
		});
		this.#options.logger.info('acquired ownership of service', {service: name});
	}

	#reconfigure(owned: service.Service, settings: types.Service, view: View): void {
		owned.configure(settings);
		owned.group.markLeaving(leavingServers(settings, view));
		if (view.mayOpen) {
			owned.group.resize(requestQuota(settings));
		} else {
			owned.group.cap();
		}
	}

	#createGroup(name: string, settings: types.Service): group.Group {
		const servers = Object.entries(settings.server).map(([server, {address: text, place}]) => new client.Server({
			name: server, place, ...address.parse(text), user: settings.user, password: settings.password,
		}));
		return new group.Group({
			name, place: this.#options.place, quota: requestQuota(settings), timing: this.#options.timing,
		}, servers, this.#options.clock);
	}

	#createPromotion(owned: group.Group): promotion.Promotion {
		const {host, timing, random: randomSource, claim: policy, peers: otherOwners, store: platformStore, recorder} = this.#options;
		return new promotion.Promotion({
			group: owned, host, timing, random: randomSource, policy, peers: otherOwners(), store: platformStore, recorder,
		});
	}

	#release(owned: Owned): void {
		this.#owned.delete(owned.name);
		this.#released.add(owned);
		void this.#drain(owned);
	}

	/**
	Closes idle connections immediately, and the others when their requests and transactions end or the drain limit passes.
	*/
	async #drain(owned: Owned): Promise<void> {
		const {clock: time, timing, logger, onReleased} = this.#options;
		const end = time.now() + timing.drainLimitMs;
		owned.service.group.resize(1);
		while (owned.active + owned.service.transactions.size > 0 && time.now() < end && !owned.stop.signal.aborted) {
			await time.sleep(releasePollMs, owned.stop.signal);
		}

		await close(owned);
		this.#released.delete(owned);
		logger.info('released ownership of service', {service: owned.name});
		onReleased(owned.name);
	}
}

async function close({service: closed, stop, task}: Owned): Promise<void> {
	stop.abort();
	for (const server of closed.group.observer.servers.values()) {
		// Wakes the server's task, which would otherwise detect the abort only at its next probe.
		void server.observe(1);
	}

	await task;
}

/** Request connections to each server: the owner's quota minus the control connection. */
function requestQuota({connections}: types.Service): number {
	return Math.max(1, quota.perOwner(connections) - 1);
}

/** Identifies the settings on which the connections of a service depend; a change requires new connections. */
function fingerprint({server, user, password, connections}: types.Service): string {
	const addresses = Object.entries(server).map(([name, {address: text, place}]) => [name, text, place]);
	return JSON.stringify([addresses, user, password, connections]);
}

function leavingServers(settings: types.Service, view: View): string[] {
	return Object.entries(settings.server)
		.filter(([, server]) => server.leaving || view.leavingServers.has(server.address))
		.map(([name]) => name);
}

async function run(owned: group.Group, promotionTask: promotion.Promotion, signal: AbortSignal): Promise<void> {
	await Promise.all([owned.run(signal), promotionTask.run(signal)]);
}
