/**
An entry host in front of groups whose promotions are ordered at an outside authority: wires the tasks together.
*/
import * as http from 'node:http';
import type * as types from '../generated/types.js';
import * as address from '../core/address.js';
import type * as clock from '../core/clock.js';
import type * as random from '../core/random.js';
import type * as link from '../peer/link.js';
import * as announcer from './announcer.js';
import type * as authority from './authority.js';
import type * as backend from './backend.js';
import type * as caller from './caller.js';
import * as claims from './claims.js';
import type * as decisions from './decisions.js';
import * as deployments from './deployment.js';
import * as failover from './failover.js';
import * as fleet from './fleet.js';
import * as follower from './follower.js';
import * as forwarder from './forwarder.js';
import * as groups from './group.js';
import type * as jobs from './job.js';
import * as local from './local.js';
import type * as objects from './objects.js';
import type * as notices from './notice.js';
import * as replicas from './replica.js';
import * as responders from './responder.js';
import * as sessions from './session.js';
import * as shutdowns from './shutdown.js';
import * as synchronizer from './synchronizer.js';

/** Accepts callers. */
export type Listener = {listen(text: string): Promise<number>; close(): void};

/** What an entry host is made of. */
export type Parts = {
	readonly settings: types.EntrySettings;
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly decisions: decisions.Decisions;
	/** All metrics as text. */
	readonly metrics: () => Promise<string>;
	readonly store: objects.Objects;
	readonly authority: authority.Authority;
	/** Links to other entry hosts. */
	readonly transport: link.Transport<types.EntryMessage>;
	/** Makes the server of a registration. */
	readonly connect: (registration: types.Registration) => backend.Server;
	/** Makes the listener for callers. */
	readonly listener: (accept: (accepted: caller.Caller) => void) => Listener;
};

/** How a kind of object is followed in the store: the longest wait of a watch, and the pause after a change. */
type Pace = {readonly watchMs: number; readonly pauseMs: number};

/**
A watch whose changes must be in force within seconds waits for a short time only, since its connection may have gone
silent. Where a late change costs little, changes that follow each other closely come with one call.
*/
const paces: Readonly<Record<objects.Kind, Pace>> = {
	configuration: {watchMs: 1500, pauseMs: 0},
	servers: {watchMs: 1500, pauseMs: 20},
	hosts: {watchMs: 20_000, pauseMs: 500},
	claims: {watchMs: 20_000, pauseMs: 0},
};
/**
Time in ms for which servers count connections whose other end lost power. When all hosts start again after that, the few
connections that are free must do for all of them.
*/
const lingerMs = 3000;

/** Longest wait in ms for the store to tell of the other hosts, and between two looks. Without it, seeds are asked. */
const fleetLimitMs = 1000;
const fleetPollMs = 20;
/** Time in ms after the start until links are opened where every host works directly. */
const linkDelayMs = 2500;
/** Time in ms until a port for links that could not be taken is tried again. */
const listenPauseMs = 500;

/** One entry host. */
export class Entry {
	readonly #parts: Parts;
	readonly #stopped = new AbortController();
	readonly #deployment: deployments.Deployment;
	readonly #groups = new Map<string, groups.Group>();
	readonly #registrations = new Map<string, types.Registration>();
	readonly #sessions = new Set<sessions.Session>();
	readonly #responders = new Set<responders.Responder>();
	readonly #fleet: fleet.Fleet;
	readonly #context: jobs.Context;
	readonly #local: local.Local;
	readonly #claims: claims.Claims;
	readonly #listener: Listener;
	readonly #sessionParts: sessions.Parts;
	readonly #replicas: notices.Replicas;
	#isDraining = false;
	/** Whether links to other hosts may be opened. */
	#hasLinks = false;
	/** Whether connections of the process before may still count at the servers. */
	#isStarting = true;

	constructor(parts: Parts) {
		const {clock: time, decisions: record, settings: {host}} = parts;
		this.#parts = parts;
		this.#deployment = new deployments.Deployment(time, record);
		this.#claims = new claims.Claims({
			host: host.name, store: parts.store, clock: time, random: parts.random, decisions: record,
		});
		this.#context = {clock: time, place: host.place, decisions: record};
		this.#fleet = new fleet.Fleet({
			self: {name: host.name, ...announcer.describe(parts.settings)},
			clock: time,
			transport: parts.transport,
			decisions: record,
			seeds: parts.settings.peers.seeds.split(',').map(seed => seed.trim()).filter(seed => seed !== ''),
			connectionLimit: service => this.#deployment.content?.databases.find(({name}) => name === service)?.connectionLimit ?? 1,
			serverPlaces: service => new Set([...this.#registrations.values()].filter(server => server.service === service).map(({place}) => place)),
		});
		this.#local = new local.Local(this.#context, service => this.#groups.get(service));
		this.#sessionParts = {
			context: this.#context,
			deployment: this.#deployment,
			executor: new forwarder.Forwarder(this.#context, this.#local, service => this.#fleet.route(service)),
		};
		this.#listener = parts.listener(accepted => {
			void this.#serve(accepted);
		});
		this.#replicas = {
			configuration: this.#replica('configuration', (_name, item) => {
				if (item?.value) {
					this.#takeDeployment(item.value);
				}
			}),
			servers: this.#replica('servers', (name, item) => {
				this.#takeServer(name, item?.value);
			}),
			hosts: this.#replica('hosts', (name, item) => {
				this.#fleet.take(name, item?.value);
				this.#share();
			}),
			claims: this.#replica('claims', (name, item) => {
				this.#claims.take(name, item);
			}),
		};
	}

	/** Whether callers should be sent to this host. */
	get isReady(): boolean {
		return !this.#isDraining && this.#deployment.content !== undefined && this.#replicas.servers.revision !== undefined && this.#replicas.hosts.revision !== undefined;
	}

	/** Listens and starts the tasks. */
	async start(): Promise<void> {
		const {settings: {listen}, decisions: record} = this.#parts;
		const {signal} = this.#stopped;
		void new synchronizer.Synchronizer({
			replicas: this.#replicas,
			clock: this.#parts.clock,
			decisions: record,
			observer: avoided => this.#hasLinks ? this.#fleet.observer(avoided) ?? this.#fleet.seed(avoided) : undefined,
			isObserved: () => [...this.#responders].some(({isSubscribed}) => isSubscribed),
			follow: own => {
				this.#follow(own);
			},
		}).run(signal);
		void new announcer.Announcer({
			name: this.#parts.settings.host.name,
			announcement: announcer.describe(this.#parts.settings),
			store: this.#parts.store,
			clock: this.#parts.clock,
			random: this.#parts.random,
		}).run(signal);
		await this.#serveHttp(listen.readiness, async () => [this.isReady ? 200 : 503, '']);
		await this.#serveHttp(listen.metrics, async () => [200, await this.#parts.metrics()]);
		await this.#listener.listen(listen.caller);
		record.record('started', {place: this.#parts.settings.host.place, caller: listen.caller});
		void this.#settle();
		void this.#openLinks();
	}

	/** Takes no new callers, lets requests and transactions end, and stops. */
	async drain(): Promise<void> {
		const {clock: time, settings: {shutdown}, decisions: record} = this.#parts;
		this.#isDraining = true;
		record.record('draining', {sessions: this.#sessions.size, peers: this.#responders.size});
		const ending = new shutdowns.Shutdown({
			clock: time, graceMs: shutdown.graceS * 1000, sessions: this.#sessions, responders: this.#responders,
		});
		await ending.run();
		this.#stop();
	}

	#stop(): void {
		this.#parts.decisions.record('stopped', {sessions: this.#sessions.size});
		this.#listener.close();
		this.#parts.transport.close();
		this.#fleet.close();
		for (const responder of this.#responders) {
			responder.close();
		}

		this.#stopped.abort();
	}

	/** Ends the time in which this host opens only its usual connections. */
	async #settle(): Promise<void> {
		await this.#parts.clock.sleep(lingerMs, this.#stopped.signal);
		this.#isStarting = false;
		this.#share();
	}

	/**
	Takes links from other hosts and opens some. Where every host works directly, callers come first: loading what links
	need takes processor time.
	*/
	async #openLinks(): Promise<void> {
		const {clock: time, transport, decisions: record, settings: {listen}} = this.#parts;
		const {signal} = this.#stopped;
		const end = time.now() + fleetLimitMs;
		while (!this.isReady && time.now() < end) {
			await time.sleep(fleetPollMs, signal);
		}

		if (this.isReady && [...this.#groups.keys()].every(service => this.#fleet.isDirect(service))) {
			await time.sleep(linkDelayMs, signal);
		}

		while (!signal.aborted && !this.#hasLinks) {
			try {
				await transport.listen(listen.peer, accepted => {
					void this.#respond(accepted);
				});
				this.#hasLinks = true;
			} catch (error) {
				// The port may still belong to the process before.
				record.record('listen-failed', {address: listen.peer, reason: String(error)});
				await time.sleep(listenPauseMs, signal);
			}
		}
	}

	async #serve(accepted: caller.Caller): Promise<void> {
		const session = new sessions.Session(accepted, this.#sessionParts);
		this.#sessions.add(session);
		try {
			await session.run();
		} finally {
			this.#sessions.delete(session);
		}
	}

	/** Works for another host over a link that it opened. */
	async #respond(accepted: link.Link<types.EntryMessage>): Promise<void> {
		const responder = new responders.Responder(accepted, {executor: this.#local, context: this.#context, replicas: this.#replicas});
		this.#responders.add(responder);
		if (this.#isDraining) {
			responder.leave();
		}

		try {
			await responder.run();
		} finally {
			this.#responders.delete(responder);
		}
	}

	#replica<K extends objects.Kind>(kind: K, take: replicas.Parts<K>['take']): replicas.Replica<K> {
		const {clock: time, decisions: record} = this.#parts;
		return new replicas.Replica<K>({
			kind, clock: time, decisions: record, take,
		});
	}

	/** Follows every kind in the store until `signal` aborts. */
	#follow(signal: AbortSignal): void {
		const {store, clock: time, random: source, decisions: record} = this.#parts;
		for (const replica of Object.values(this.#replicas)) {
			const followed = new follower.Follower<objects.Kind>({
				replica: replica as replicas.Replica<objects.Kind>, store, clock: time, random: source, decisions: record, ...paces[replica.kind],
			});
			void followed.run(signal);
		}
	}

	#takeDeployment(content: types.Deployment): void {
		this.#deployment.accept(content, 'store');
		for (const {name} of this.#deployment.content?.databases ?? []) {
			if (!this.#groups.has(name)) {
				this.#addGroup(name);
			}
		}

		this.#share();
	}

	#addGroup(name: string): void {
		const {clock: time, random: source, decisions: record, connect, authority: orders, settings: {host}} = this.#parts;
		const added = new groups.Group({
			name, clock: time, decisions: record, connect,
		});
		this.#groups.set(name, added);
		this.#share();
		for (const registration of this.#registrations.values()) {
			if (registration.service === name) {
				added.register(registration);
			}
		}

		const {signal} = this.#stopped;
		void added.run(signal);
		void new failover.Failover({
			group: added, host: host.name, clock: time, random: source, authority: orders, claims: this.#claims, decisions: record,
		}).run(signal);
	}

	#takeServer(id: string, registration: types.Registration | undefined): void {
		this.#fleet.update();
		const known = this.#registrations.get(id);
		if (registration) {
			this.#registrations.set(id, registration);
			this.#groups.get(registration.service)?.register(registration);
		} else if (known) {
			this.#registrations.delete(id);
			this.#groups.get(known.service)?.miss(id);
		}
	}

	/** Divides the servers' connections among the hosts that work in a service. */
	#share(): void {
		this.#fleet.update();
		for (const [name, group] of this.#groups) {
			const {usual, most} = this.#fleet.share(name);
			group.resize({usual, most: this.#isStarting ? usual : most});
		}
	}

	async #serveHttp(text: string, answer: () => Promise<[number, string]>): Promise<void> {
		const {host, port} = address.parse(text);
		const server = http.createServer((_request, response) => {
			const respond = async (): Promise<void> => {
				const [status, body] = await answer();
				response.writeHead(status);
				response.end(body);
			};

			void respond();
		});
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
