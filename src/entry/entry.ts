/**
An entry host in front of groups whose promotions are ordered at an outside authority: wires the tasks together.
*/
import * as http from 'node:http';
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as address from '../core/address.js';
import type * as clock from '../core/clock.js';
import type * as random from '../core/random.js';
import type * as authority from './authority.js';
import type * as backend from './backend.js';
import type * as caller from './caller.js';
import * as claims from './claims.js';
import type * as decisions from './decisions.js';
import * as deployments from './deployment.js';
import * as failover from './failover.js';
import * as follower from './follower.js';
import * as groups from './group.js';
import type * as objects from './objects.js';
import * as read from './read.js';
import * as sessions from './session.js';
import * as transaction from './transaction.js';
import * as write from './write.js';

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
	/** Makes the server of a registration. */
	readonly connect: (registration: types.Registration) => backend.Server;
	/** Makes the listener for callers. */
	readonly listener: (accept: (accepted: caller.Caller) => void) => Listener;
};

/** Longest wait in ms of a watch whose changes must be in force within seconds: its connection may have gone silent. */
const watchMs = 2000;
/** The same where a late change costs little. */
const slowWatchMs = 20_000;
/**
Parts of a server's connection limit that hosts divide among themselves: what they keep, and what they may open for a
moment. Callers are spread unevenly, so the latter is more than the whole; the server refuses what is too much.
*/
const usualShare = 0.8;
const mostShare = 2;
/**
Time in ms for which servers count connections whose other end lost power. When all hosts start again after that, the few
connections that are free must do for all of them.
*/
const lingerMs = 3000;
/** Hosts to reckon with while the others are not known yet. */
const leastHosts = 4;
/** Part of the grace time that open transactions have, and time in ms kept for ending the process. */
const transactionShare = 0.5;
const exitReserveMs = 500;
/** Time in ms over which idle sessions are closed, and between two looks. The platform needs 2 s to see a host as not ready. */
const closeSpreadMs = 2000;
const drainPollMs = 50;

/** Bounds in ms of the random pause before a host announces itself again to a store that did not answer. */
const leastAnnouncePauseMs = 200;
const mostAnnouncePauseMs = 1000;

/** One entry host. */
export class Entry {
	readonly #parts: Parts;
	readonly #stopped = new AbortController();
	readonly #deployment: deployments.Deployment;
	readonly #groups = new Map<string, groups.Group>();
	readonly #registrations = new Map<string, types.Registration>();
	readonly #hosts = new Set<string>();
	readonly #sessions = new Set<sessions.Session>();
	readonly #claims: claims.Claims;
	readonly #listener: Listener;
	readonly #sessionParts: sessions.Parts;
	readonly #servers: follower.Follower<'servers'>;
	#isDraining = false;
	/** Whether connections of the process before may still count at the servers. */
	#isStarting = true;

	constructor(parts: Parts) {
		const {clock: time, decisions: record, settings: {host}} = parts;
		this.#parts = parts;
		this.#deployment = new deployments.Deployment(time, record);
		this.#claims = new claims.Claims({
			host: host.name, store: parts.store, clock: time, random: parts.random, decisions: record,
		});
		const context = {clock: time, place: host.place, decisions: record};
		const reader = new read.Reader(context);
		this.#sessionParts = {
			context,
			deployment: this.#deployment,
			group: service => this.#groups.get(service),
			reader,
			writer: new write.Writer(context),
			opener: new transaction.Opener(context, reader),
		};
		this.#listener = parts.listener(accepted => {
			void this.#serve(accepted);
		});
		this.#servers = this.#follower('servers', watchMs, (name, item) => {
			this.#takeServer(name, item?.value);
		});
	}

	/** Whether callers should be sent to this host. */
	get isReady(): boolean {
		return !this.#isDraining && this.#deployment.content !== undefined && this.#servers.isStarted;
	}

	/** Listens and starts the tasks. */
	async start(): Promise<void> {
		const {settings: {listen}, decisions: record} = this.#parts;
		const {signal} = this.#stopped;
		void this.#servers.run(signal);
		void this.#follower('configuration', watchMs, (_name, item) => {
			if (item?.value) {
				this.#takeDeployment(item.value);
			}
		}).run(signal);
		void this.#follower('hosts', slowWatchMs, (name, item) => {
			this.#takeHost(name, item !== undefined);
		}).run(signal);
		void this.#follower('claims', slowWatchMs, (name, item) => {
			this.#claims.take(name, item);
		}).run(signal);
		void this.#announce();
		await this.#serveHttp(listen.readiness, async () => [this.isReady ? 200 : 503, '']);
		await this.#serveHttp(listen.metrics, async () => [200, await this.#parts.metrics()]);
		await this.#listener.listen(listen.caller);
		record.record('started', {place: this.#parts.settings.host.place, caller: listen.caller});
		void this.#settle();
	}

	/** Takes no new callers, lets requests and transactions end, and stops. */
	async drain(): Promise<void> {
		const {clock: time, settings: {shutdown}, decisions: record} = this.#parts;
		const startedAt = time.now();
		const graceMs = shutdown.graceS * 1000;
		const end = startedAt + graceMs - exitReserveMs;
		const abortAt = startedAt + (graceMs * transactionShare);
		this.#isDraining = true;
		record.record('draining', {sessions: this.#sessions.size});
		let closed = 0;
		const total = this.#sessions.size;
		for (let now = startedAt; this.#sessions.size > 0 && now < end; now = time.now()) {
			const due = Math.ceil(total * Math.min(1, (now - startedAt) / closeSpreadMs)) - closed;
			const idle = [...this.#sessions].filter(session => session.isIdle).slice(0, Math.max(0, due));
			closed += idle.length;
			const leaving = now - startedAt > closeSpreadMs ? [...this.#sessions] : idle;
			for (const session of leaving) {
				session.leave();
			}

			if (now >= abortAt) {
				await Promise.all([...this.#sessions].map(async session => session.abort()));
			}

			await time.sleep(drainPollMs);
		}

		this.#stop();
	}

	#stop(): void {
		this.#parts.decisions.record('stopped', {sessions: this.#sessions.size});
		this.#listener.close();
		this.#stopped.abort();
	}

	/** Ends the time in which this host opens only its usual connections. */
	async #settle(): Promise<void> {
		await this.#parts.clock.sleep(lingerMs, this.#stopped.signal);
		this.#isStarting = false;
		this.#share();
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

	#follower<K extends objects.Kind>(kind: K, waitMs: number, take: follower.Parts<K>['take']): follower.Follower<K> {
		const {store, clock: time, random: source, decisions: record} = this.#parts;
		return new follower.Follower<K>({
			kind, store, clock: time, random: source, decisions: record, watchMs: waitMs, take,
		});
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
		const known = this.#registrations.get(id);
		if (registration) {
			this.#registrations.set(id, registration);
			this.#groups.get(registration.service)?.register(registration);
		} else if (known) {
			this.#registrations.delete(id);
			this.#groups.get(known.service)?.miss(id);
		}
	}

	#takeHost(name: string, isThere: boolean): void {
		if (isThere) {
			this.#hosts.add(name);
		} else {
			this.#hosts.delete(name);
		}

		this.#share();
	}

	/** Divides the servers' connections among the hosts. */
	#share(): void {
		const hosts = Math.max(leastHosts, this.#hosts.size);
		for (const {name, connectionLimit} of this.#deployment.content?.databases ?? []) {
			const usual = Math.max(1, Math.floor(connectionLimit * usualShare / hosts));
			const most = Math.max(2, Math.ceil(connectionLimit * mostShare / hosts));
			this.#groups.get(name)?.resize({usual, most: this.#isStarting ? usual : most});
		}
	}

	/** Writes this host's object, so that the others reckon with it. */
	async #announce(): Promise<void> {
		const {store, settings: {host}, clock: time, random: source} = this.#parts;
		const value = {place: host.place};
		while (!this.#stopped.signal.aborted) {
			const outcome = await store.create('hosts', host.name, value);
			if (Either.isRight(outcome) || outcome.left.kind === 'conflict') {
				return;
			}

			await time.sleep(source.integer(leastAnnouncePauseMs, mostAnnouncePauseMs), this.#stopped.signal);
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
