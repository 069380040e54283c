/**
Composition root of an entry host: creates its tasks and connects them. Promotions are ordered through an external
authority.
*/
import * as events from 'node:events';
import * as http from 'node:http';
import type * as types from '../generated/types.js';
import * as address from '../core/address.js';
import type * as clock from '../core/clock.js';
import type * as pool from '../core/pool.js';
import type * as random from '../core/random.js';
import type * as intakes from '../intake/intake.js';
import * as probes from '../intake/probe.js';
import type * as link from '../peer/link.js';
import * as announcer from './announcer.js';
import type * as authority from './authority.js';
import type * as backend from './backend.js';
import type * as caller from './caller.js';
import * as claims from './claims.js';
import * as activities from './customers/activity.js';
import * as freshnesses from './customers/freshness.js';
import * as limiters from './customers/limiter.js';
import * as holdings from './customers/connections.js';
import type * as counters from './customers/quota/counters.js';
import * as quotas from './customers/quota/quotas.js';
import * as sources from './customers/quota/source.js';
import * as revocation from './customers/revocation.js';
import type * as decisions from './decisions.js';
import * as deployments from './deployment.js';
import * as failover from './failover.js';
import * as fleet from './fleet.js';
import * as follower from './follower.js';
import * as forwarder from './forwarder.js';
import * as groups from './group.js';
import * as hosts from './hosts.js';
import type * as jobs from './job.js';
import * as local from './local.js';
import type * as objects from './objects.js';
import type * as peers from './peer.js';
import type * as notices from './notice.js';
import * as caches from './cache.js';
import * as recorders from './recorder.js';
import * as recoveries from './recovery/recovery.js';
import * as reporters from './reporter.js';
import * as responders from './responder.js';
import * as retentions from './retention.js';
import * as sessions from './session.js';
import * as shutdowns from './shutdown.js';
import * as stalls from './stall.js';
import * as synchronizer from './synchronizer.js';
import * as tasks from './task.js';

/** Listener for connections of callers. */
export type Listener = {listen(address: string): Promise<number>; close(): void};

/** Options of an entry host. */
export type Options = {
	readonly settings: types.EntrySettings;
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly decisions: decisions.Decisions;
	/** Renders all metrics as text. */
	readonly metrics: () => Promise<string>;
	readonly store: objects.Objects;
	readonly authority: authority.Authority;
	/** Links to other entry hosts. */
	readonly transport: link.Transport<types.EntryMessage>;
	/** Creates the backend server of a registration. */
	readonly connect: (registration: types.Registration) => backend.Server;
	/** Limits on connections that nobody controls; without them nothing is limited. */
	readonly intake?: intakes.Intake;
	/** Creates the listener for callers. */
	readonly listener: (accept: (accepted: caller.Caller) => void) => Listener;
};

/** Longest duration of a watch on a kind of objects whose changes may be late. */
const slowWatchMs = 20_000;
/** Pause after a change, so that the next watch returns several changes at once. */
const coalesceMs: Readonly<Record<objects.CachedKind, number>> = {
	configuration: 0, servers: 20, hosts: 500, claims: 0,
};
/**
Time for a host that starts to find an observer, before it watches the store itself. It watches the claims at once: a claimant
that doesn't know the host yet neither tells it nor waits for it.
*/
const firstWatchDelayMs: Readonly<Record<objects.CachedKind, number>> = {
	configuration: 1000, servers: 1000, hosts: 1000, claims: 0,
};

/**
Time for which servers still count the connections of a host that lost power. If all hosts restart after a power loss,
they have to share the few connections that are free.
*/
const staleConnectionMs = 3000;

/**
Fraction of `configurationMs` after which an observer that can't reach the store asks another region for the configuration.
It is above that of the longest watch, and below that at which the observer's own subscribers turn to another host.
*/
const distantAgeFraction = 2 / 3;

/** Maximum wait at the start for the store to list the other hosts. Without the list, the seeds are queried for them. */
const discoveryTimeoutMs = 1000;
const discoveryPollMs = 20;
/** Delay of links to other hosts after the start if every host has its own connections to the servers. */
const linkDelayMs = 2500;
/** Delay before the next attempt to bind the port for links. */
const listenRetryMs = 500;

/** One entry host. */
export class Entry {
	readonly #options: Options;
	readonly #stopped = new AbortController();
	readonly #deployment: deployments.Deployment;
	readonly #groups = new Map<string, groups.Group>();
	readonly #registrations = new Map<string, types.Registration>();
	readonly #sessions = new Set<sessions.Session>();
	readonly #responders = new Set<responders.Responder>();
	readonly #fleet: fleet.Fleet;
	readonly #context: jobs.Context;
	readonly #hosts: hosts.Hosts;
	readonly #reporter: reporters.Reporter;
	readonly #local: local.Local;
	readonly #claims: claims.Claims;
	readonly #recorder: recorders.Recorder;
	readonly #recoveries: recoveries.Recovery[] = [];
	readonly #tasks: tasks.Tasks;
	readonly #listener: Listener;
	readonly #sessionOptions: sessions.Options;
	readonly #freshness: freshnesses.Freshness;
	readonly #caches: notices.Caches;
	readonly #quotas: quotas.Quotas | undefined;
	#isDraining = false;
	/** Whether the port for links is open, so that links to other hosts may be opened as well. */
	#canOpenLinks = false;
	/** Whether the servers may still count connections of the previous process. */
	#isStarting = true;

	constructor(options: Options) {
		const {clock: time, decisions: log, settings: {host}} = options;
		this.#options = options;
		// Each task that waits listens to this signal. Node warns of a leak from the eleventh listener on.
		events.EventEmitter.setMaxListeners(0, this.#stopped.signal);
		this.#tasks = new tasks.Tasks(options);
		this.#deployment = new deployments.Deployment(time, log);
		this.#claims = new claims.Claims({
			host: host.name,
			store: options.store,
			clock: time,
			random: options.random,
			decisions: log,
			onClaim: (service, token) => {
				this.#groups.get(service)?.confirmations.recordClaim(token);
			},
			onRelease: (service, token) => {
				this.#groups.get(service)?.confirmations.recordRelease(token);
			},
			revision: () => this.#caches.claims.isRead ? this.#caches.claims.revision : undefined,
		});
		this.#recorder = new recorders.Recorder({
			store: options.store, clock: time, random: options.random, decisions: log, revision: () => this.#caches.servers.revision ?? 0,
		});
		this.#context = {clock: time, place: host.place, decisions: log};
		this.#fleet = new fleet.Fleet({
			self: {name: host.name, ...announcer.describe(options.settings)},
			clock: time,
			transport: options.transport,
			decisions: log,
			seeds: options.settings.peers.seeds.split(',').map(seed => seed.trim()).filter(seed => seed !== ''),
			connectionLimit: service => this.#deployment.content?.databases.find(({name}) => name === service)?.connectionLimit ?? 1,
			leaderPlace: service => this.#leaderPlace(service),
			serverPlaces: service => new Set([...this.#registrations.values()].filter(server => server.service === service).map(({place}) => place)),
			customers: () => this.#deployment.customers,
		});
		this.#hosts = new hosts.LinkedHosts({clock: time, colleagues: service => this.#canOpenLinks ? this.#fleet.colleagues(service) : []});
		this.#reporter = new reporters.Reporter({
			clock: time, decisions: log, hasSeenClaim: (service, token) => this.#claims.hasSeen(service, token), findGroup: service => this.#groups.get(service),
		});
		this.#local = new local.Local(this.#context, service => this.#groups.get(service));
		const activity = new activities.Activity(() => this.#deployment.customers);
		log.observeCustomers(activity);
		this.#freshness = new freshnesses.Freshness({
			clock: time,
			decisions: log,
			configurationMs: options.settings.consistency.configurationMs,
			ageMs: () => this.#caches.configuration.ageMs,
			hasCustomers: () => this.#deployment.customers !== undefined,
			hasLink: () => this.#hasLink,
			knowsHosts: () => this.#fleet.knowsHosts,
			connect: () => {
				for (const service of this.#groups.keys()) {
					this.#hosts.prepare(service);
				}
			},
		});
		this.#quotas = options.settings.quota && new quotas.Quotas({
			self: host.name,
			clock: time,
			decisions: log,
			bound: options.settings.quota,
			reach: (name, distance, confirm) => this.#reach(name, distance, confirm),
		});
		this.#sessionOptions = {
			context: this.#context,
			deployment: this.#deployment,
			executor: new forwarder.Forwarder(this.#context, this.#local, (service, customer, destination) => this.#fleet.route(service, customer, destination)),
			limiter: this.#quotas?.limiter ?? new limiters.Unlimited(),
			activity,
			isCurrent: () => this.#freshness.isCurrent,
		};
		this.#listener = options.listener(accepted => {
			this.#tasks.start('session', async () => this.#serveCaller(accepted));
		});
		this.#caches = {
			configuration: this.#createCache('configuration', new retentions.ConfigurationRetention(), (_name, item, source) => {
				if (item?.value) {
					this.#applyDeployment(item.value, source);
				}
			}),
			servers: this.#createCache('servers', new retentions.ServerRetention(), (name, item) => {
				this.#updateServer(name, item?.value);
			}),
			hosts: this.#createCache('hosts', new retentions.HostRetention(), (name, item) => {
				this.#fleet.update(name, item?.value);
			}),
			claims: this.#createCache('claims', new retentions.Discarding(), (name, item) => {
				this.#claims.update(name, item);
			}),
		};
		this.#caches.claims.listen(() => {
			this.#claims.recordRead();
		});
		this.#caches.hosts.listen(({from, items, gone}) => {
			// Once for a whole update: a list may have hundreds of hosts, and the quotas of hundreds of services follow from it.
			if (from === undefined || items.length > 0 || gone.length > 0) {
				this.#updateQuotas();
			}

			this.#updateQuotaHosts();
		});
	}

	/** Whether this host is ready for callers. */
	get isReady(): boolean {
		return !this.#isDraining && this.#deployment.content !== undefined && this.#caches.servers.revision !== undefined && this.#caches.hosts.revision !== undefined;
	}

	/** Whether a link to or from another host is open. */
	get #hasLink(): boolean {
		return this.#fleet.hasOpenLink || this.#responders.size > 0;
	}

	/** Use of this host's connections by customer, for metrics; empty without customers. */
	get usage(): ReadonlyMap<string, pool.Usage> {
		const {customers} = this.#deployment;
		const pools = [...this.#groups.values()].flatMap(({members}) => members.map(server => server.pool));
		return customers ? holdings.summarize(pools, customers) : new Map();
	}

	/** Starts the tasks and the listeners. */
	async start(): Promise<void> {
		const {settings: {listen}, decisions: log} = this.#options;
		const {signal} = this.#stopped;
		const stateSynchronizer = new synchronizer.Synchronizer({
			caches: this.#caches,
			clock: this.#options.clock,
			decisions: log,
			configurationMs: this.#options.settings.consistency.configurationMs,
			observer: excluded => this.#canOpenLinks ? this.#fleet.observer(excluded) ?? this.#fleet.seed(excluded) ?? this.#findDistantObserver(excluded) : undefined,
			hasSubscribers: () => [...this.#responders].some(({isSubscribed}) => isSubscribed),
			follow: followSignal => {
				this.#followStore(followSignal);
			},
		});
		this.#tasks.keep('synchronizer', signal, async () => stateSynchronizer.run(signal));
		const hostAnnouncer = new announcer.Announcer({
			name: this.#options.settings.host.name,
			announcement: announcer.describe(this.#options.settings),
			store: this.#options.store,
			hosts: this.#caches.hosts,
			clock: this.#options.clock,
			random: this.#options.random,
			decisions: log,
		});
		const monitor = new stalls.Monitor({clock: this.#options.clock, decisions: log});
		this.#tasks.keep('stall monitor', signal, async () => monitor.run(signal));
		this.#tasks.keep('freshness', signal, async () => this.#freshness.run(signal));
		const {intake} = this.#options;
		if (intake) {
			this.#tasks.keep('intake', signal, async () => intake.run(signal));
		}

		this.#tasks.keep('announcer', signal, async () => hostAnnouncer.run(signal));
		this.#tasks.keep('quotas', signal, async () => this.#quotas?.run(signal));
		await this.#serveHttp(listen.readiness, async () => [this.isReady ? 200 : 503, '']);
		await this.#serveHttp(listen.metrics, async () => [200, await this.#options.metrics()]);
		await this.#listener.listen(listen.caller);
		log.record('started', {place: this.#options.settings.host.place, caller: listen.caller});
		this.#tasks.start('startup', async () => this.#finishStartup());
		this.#tasks.keep('links', signal, async () => this.#openLinks());
	}

	/** Reports the host as not ready, waits for requests and transactions to end, and stops. */
	async drain(): Promise<void> {
		const {clock: time, settings: {shutdown}, decisions: log} = this.#options;
		this.#isDraining = true;
		log.record('draining', {sessions: this.#sessions.size, peers: this.#responders.size});
		const shutdownTask = new shutdowns.Shutdown({
			clock: time, decisions: log, graceMs: shutdown.graceS * 1000, sessions: this.#sessions, responders: this.#responders,
		});
		await shutdownTask.run();
		this.#stop();
	}

	#stop(): void {
		this.#options.decisions.record('stopped', {sessions: this.#sessions.size});
		this.#listener.close();
		this.#options.transport.close();
		this.#fleet.close();
		for (const responder of this.#responders) {
			responder.close();
		}

		this.#stopped.abort();
	}

	/** Raises the connection limit to `hardLimit` once the servers have dropped stale connections. */
	async #finishStartup(): Promise<void> {
		await this.#options.clock.sleep(staleConnectionMs, this.#stopped.signal);
		this.#isStarting = false;
		this.#updateQuotas();
	}

	/**
	Accepts links from other hosts and allows this host to open links. If every host has its own connections to the
	servers, this is delayed, since loading the modules for links takes processor time that new callers need, unless other
	hosts have to be asked for outstanding orders.
	*/
	async #openLinks(): Promise<void> {
		const {clock: time, transport, decisions: log, settings: {listen}} = this.#options;
		const {signal} = this.#stopped;
		const deadline = time.now() + discoveryTimeoutMs;
		while (!this.isReady && time.now() < deadline) {
			await time.sleep(discoveryPollMs, signal);
		}

		const delayedUntil = time.now() + (this.isReady && [...this.#groups.keys()].every(service => this.#fleet.isDirect(service)) ? linkDelayMs : 0);
		while (!signal.aborted && time.now() < delayedUntil && !this.#recoveries.some(({needsHosts}) => needsHosts)) {
			await time.sleep(discoveryPollMs, signal);
		}

		while (!signal.aborted && !this.#canOpenLinks) {
			try {
				await transport.listen(listen.peer, accepted => {
					this.#tasks.start('peer', async () => this.#servePeer(accepted));
				});
				this.#canOpenLinks = true;
			} catch (error) {
				// The previous process may still hold the port.
				log.record('listen-failed', {address: listen.peer, reason: String(error)});
				await time.sleep(listenRetryMs, signal);
			}
		}
	}

	async #serveCaller(accepted: caller.Caller): Promise<void> {
		const session = new sessions.Session(accepted, this.#sessionOptions);
		this.#sessions.add(session);
		try {
			await session.run();
		} finally {
			this.#sessions.delete(session);
		}
	}

	/** Executes the requests of another host that arrive over a link opened by that host. */
	async #servePeer(accepted: link.Link<types.EntryMessage>): Promise<void> {
		const responder = new responders.Responder(accepted, {
			executor: this.#local, context: this.#context, caches: this.#caches, reporter: this.#reporter, quotas: this.#quotas,
		});
		this.#responders.add(responder);
		if (this.#isDraining) {
			responder.drain();
		}

		try {
			await responder.run();
		} finally {
			this.#responders.delete(responder);
		}
	}

	#createCache<K extends objects.CachedKind>(kind: K, retention: retentions.Retention<K>, onChange: caches.Options<K>['onChange']): caches.Cache<K> {
		const {clock: time, decisions: log} = this.#options;
		return new caches.Cache<K>({
			kind, clock: time, decisions: log, retention, onChange,
		});
	}

	/**
	A host of another region to learn the configuration from. Removed keys must be known in time, also in a region from which
	the store can't be reached.
	*/
	#findDistantObserver(excluded: ReadonlySet<string>): peers.Peer | undefined {
		const isOld = this.#caches.configuration.ageMs > this.#options.settings.consistency.configurationMs * distantAgeFraction;
		return isOld && this.#deployment.customers !== undefined ? this.#fleet.distant(excluded) : undefined;
	}

	/** Keeps every cache current from the store until `signal` aborts. */
	#followStore(signal: AbortSignal): void {
		const {store, clock: time, random: source, decisions: log} = this.#options;
		for (const cache of Object.values(this.#caches)) {
			const cacheFollower = new follower.Follower<objects.CachedKind>({
				cache: cache as caches.Cache<objects.CachedKind>,
				store,
				clock: time,
				random: source,
				decisions: log,
				watchMs: this.#watchMs(cache.kind),
				firstWatchDelayMs: firstWatchDelayMs[cache.kind],
				coalesceMs: coalesceMs[cache.kind],
			});
			this.#tasks.keep(`follower of ${cache.kind}`, signal, async () => cacheFollower.run(signal));
		}
	}

	/**
	Longest duration of a watch, which also bounds the time to detect a dead connection. The configuration and the servers
	must be known in time, so their watches leave half of that time for detection and a second attempt.
	*/
	#watchMs(kind: objects.CachedKind): number {
		return kind === 'configuration' || kind === 'servers' ? this.#options.settings.consistency.configurationMs / 2 : slowWatchMs;
	}

	#applyDeployment(content: types.Deployment, source: string): void {
		this.#deployment.accept(content, source, this.#caches.configuration.ageMs);
		revocation.review(this.#sessions, this.#deployment.content?.version ?? 0, this.#options.decisions);
		this.#fleet.invalidate();
		for (const {name} of this.#deployment.content?.databases ?? []) {
			if (!this.#groups.has(name)) {
				this.#addGroup(name);
			}
		}

		this.#updateQuotas();
		this.#quotas?.updateCustomers(this.#deployment.customers?.customers ?? []);
	}

	#addGroup(name: string): void {
		const {clock: time, random: source, decisions: log, connect, authority: promotionAuthority, settings: {host}} = this.#options;
		const added = new groups.Group({
			name, clock: time, decisions: log, connect, isIsolated: () => this.#isIsolated(name), random: source,
		});
		this.#groups.set(name, added);
		added.resize(this.#fleet.quota(name), this.#isStarting);
		for (const registration of this.#registrations.values()) {
			if (registration.service === name) {
				added.register(registration);
			}
		}

		const {signal} = this.#stopped;
		const recovery = new recoveries.Recovery({
			group: added, claims: this.#claims, hosts: this.#hosts, clock: time, decisions: log,
		});
		this.#recoveries.push(recovery);
		const groupFailover = new failover.Failover({
			group: added, host: host.name, clock: time, random: source, authority: promotionAuthority, claims: this.#claims, hosts: this.#hosts, decisions: log,
		});
		this.#tasks.keep(`group ${name}`, signal, async () => added.run(signal));
		this.#tasks.keep(`in-sync set of ${name}`, signal, async () => this.#recorder.run(added, signal));
		this.#tasks.keep(`recovery of ${name}`, signal, async () => recovery.run(signal));
		this.#tasks.keep(`failover of ${name}`, signal, async () => groupFailover.run(signal));
	}

	/**
	Whether this host would not learn of a claim: its view of the store is old, and no link to or from another host is open.
	The age is that of the servers' list, which is confirmed every few seconds.
	*/
	#isIsolated(service: string): boolean {
		const maxAgeMs = this.#options.settings.consistency.configurationMs * synchronizer.maxAgeFraction;
		if (this.#caches.servers.ageMs <= maxAgeMs || this.#hasLink) {
			return false;
		}

		this.#hosts.prepare(service);
		return this.#fleet.colleagues(service).length > 0;
	}

	#updateServer(id: string, registration: types.Registration | undefined): void {
		this.#fleet.invalidate();
		const known = this.#registrations.get(id);
		if (registration) {
			this.#registrations.set(id, registration);
			this.#groups.get(registration.service)?.register(registration);
		} else if (known) {
			this.#registrations.delete(id);
			this.#groups.get(known.service)?.markMissing(id);
		}
	}

	/** Another host as a counter of customers' operations. */
	#reach(name: string, distance: counters.Distance, confirm: (host: string, view: number) => void): sources.Source | undefined {
		const peer = this.#canOpenLinks ? this.#fleet.find(name) : undefined;
		return peer && new sources.Remote(peer, distance, confirm);
	}

	/** Passes the list of the announced hosts to the quotas of customers, once a whole update of it is applied. */
	#updateQuotaHosts(): void {
		const items = this.#caches.hosts.state?.items ?? [];
		this.#quotas?.updateHosts(items.flatMap(({name, value}) => value ? [{name, ...value}] : []));
	}

	#leaderPlace(service: string): string | undefined {
		const leaders = [...this.#registrations.values()].filter(server => server.service === service && server.role === 'primary');
		return leaders.length === 1 ? leaders[0].place : undefined;
	}

	/** Recomputes this host's connection quota for each service. */
	#updateQuotas(): void {
		this.#fleet.invalidate();
		for (const [name, group] of this.#groups) {
			group.resize(this.#fleet.quota(name), this.#isStarting);
		}
	}

	async #serveHttp(listenAddress: string, handle: () => Promise<[number, string]>): Promise<void> {
		const {host, port} = address.parse(listenAddress);
		const server = http.createServer(probes.options, (_request, response) => {
			const respond = async (): Promise<void> => {
				const [status, body] = await handle();
				response.writeHead(status);
				response.end(body);
			};

			this.#tasks.start('http', respond);
		});
		probes.limit(server, this.#options.intake?.sizes.probes ?? Number.POSITIVE_INFINITY);
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, resolve);
		});
		this.#stopped.signal.addEventListener('abort', () => {
			server.close();
			server.closeAllConnections();
		});
	}
}
