/**
An entry host: creates its components, connects them and runs their tasks. The command line only parses arguments and
starts the host.
*/
import * as http from 'node:http';
import type * as net from 'node:net';
import * as address from '../core/address.js';
import * as claim from '../core/claim.js';
import * as clock from '../core/clock.js';
import * as membership from '../core/membership.js';
import * as ownership from '../core/ownership.js';
import type * as peers from '../core/peers.js';
import * as random from '../core/random.js';
import type * as session from '../core/session.js';
import * as quota from '../core/quota.js';
import * as messages from '../generated/messages.js';
import type * as types from '../generated/types.js';
import * as server from '../mysql/server.js';
import * as links from '../peer/links.js';
import * as owners from '../peer/owners.js';
import * as socket from '../peer/socket.js';
import type * as store from '../store/store.js';
import * as responder from './responder.js';
import * as callers from './callers.js';
import * as changes from './changes.js';
import * as configuration from './configuration.js';
import * as dispatcher from './dispatcher.js';
import * as gauges from './gauges.js';
import * as hosts from './hosts.js';
import type * as log from './log.js';
import * as metrics from './metrics.js';
import * as owner from './owner.js';
import type * as cache from './cache.js';

/** Ports on which a host listens. */
export type Ports = {readonly caller: number; readonly http: number; readonly peer: number};

/** Interval in ms of the check for elapsed times, such as the settle time before ownership. */
const reconcileIntervalMs = 200;
/** Interval in ms between attempts to open missing links. */
const linkIntervalMs = 500;
const drainPollMs = 20;
const serverVersion = '8.0.0-sycamorering';

/** Components that a test or benchmark replaces. */
export type Replacements = {readonly peers?: peers.Peers; readonly claim?: claim.Policy};

/** One entry host. */
export class Host {
	readonly #settings: types.Settings;
	readonly #logger: log.Logger;
	readonly #clock = new clock.System();
	readonly #metrics = new metrics.Metrics();
	readonly #stopped = new AbortController();
	readonly #members: membership.Members;
	readonly #table = new ownership.Table();
	readonly #owner: owner.Owner;
	readonly #responder: responder.Responder;
	readonly #links: links.Links;
	readonly #peers: owners.Owners;
	readonly #configuration: configuration.Configuration;
	readonly #hosts: hosts.Hosts;
	readonly #callers: callers.Callers;
	readonly #listener: server.Server<session.Account>;
	readonly #http: http.Server;
	#wake = new AbortController();
	#address = '';
	#isDraining = false;

	constructor(hostSettings: types.Settings, platformStore: store.Store, logger: log.Logger, replacements: Replacements = {}) {
		const {host: {name, place}, timing} = hostSettings;
		const notifyChange = (): void => {
			this.#wake.abort();
		};

		this.#settings = hostSettings;
		this.#logger = logger;
		this.#members = new membership.Members({
			self: {name, place}, hasSeeds: this.#seeds.length > 0, staleMs: timing.memberStaleMs,
		}, this.#clock);
		this.#owner = new owner.Owner({
			clock: this.#clock,
			random: new random.System(),
			host: name,
			place,
			timing,
			logger,
			peers: () => replacements.peers ?? this.#peers,
			store: platformStore,
			claim: replacements.claim ?? new claim.Ballot(this.#clock),
			recorder: new changes.Recorder(logger, this.#metrics),
			onReleased: service => {
				void this.#announceRelease(service);
			},
		});
		gauges.register(this.#metrics, this.#owner);
		this.#responder = new responder.Responder({
			host: name,
			place,
			logger,
			members: this.#members,
			table: this.#table,
			owner: this.#owner,
			links: () => this.#links,
			caches: () => ({configuration: this.#configuration, hosts: this.#hosts}),
			onChange: notifyChange,
		});
		this.#links = new links.Links({
			host: name,
			clock: this.#clock,
			transport: new socket.Transport({
				clock: this.#clock,
				timeoutMs: timing.linkTimeoutMs,
				isMessage: messages.validateMessage,
				warn(message, fields) {
					logger.warn(message, fields);
				},
			}),
			handler: this.#responder,
			timeoutMs: timing.linkTimeoutMs,
		});
		this.#peers = new owners.Owners(this.#links, this.#clock, service => this.#otherOwners(service));
		const randomSource = new random.System();
		const cacheOptions: cache.Options = {
			store: platformStore, clock: this.#clock, random: randomSource, logger, links: this.#links, seeds: () => this.#seeds, timing, onChange: notifyChange,
		};
		this.#configuration = new configuration.Configuration(cacheOptions);
		this.#hosts = new hosts.Hosts(cacheOptions, this.#members);
		this.#callers = new callers.Callers({
			clock: this.#clock,
			random: randomSource,
			dispatcher: new dispatcher.Dispatcher({
				clock: this.#clock,
				host: name,
				place,
				owner: this.#owner,
				links: this.#links,
				owners: service => this.#table.owners(service),
				settings: service => this.#configuration.content?.service[service],
			}),
			metrics: this.#metrics,
			logger,
			configuration: () => this.#configuration.content,
		});
		this.#listener = new server.Server(this.#callers, serverVersion);
		this.#http = http.createServer((request, response) => {
			void this.#serveHttp(request, response);
		});
	}

	/** Ownership of services on this host. */
	get owner(): owner.Owner {
		return this.#owner;
	}

	/** The other owners of the groups that this host owns. */
	get peers(): peers.Peers {
		return this.#peers;
	}

	/** Listens, starts the tasks and returns the bound ports. */
	async start(): Promise<Ports> {
		const {caller, http: web, peer} = this.#settings.listen;
		const callerAddress = address.parse(caller);
		const webAddress = address.parse(web);
		this.#address = await this.#links.listen(peer);
		this.#members.setAddress(this.#address);
		this.#responder.setAddress(this.#address);
		void this.#hosts.run(this.#stopped.signal);
		void this.#configuration.run(this.#stopped.signal);
		void this.#reconcileRepeatedly();
		void this.#maintainLinks();
		await new Promise<void>(resolve => {
			this.#http.listen(webAddress.port, webAddress.host, resolve);
		});
		const ports = {
			caller: await this.#listener.listen(callerAddress.host, callerAddress.port),
			http: (this.#http.address() as net.AddressInfo).port,
			peer: address.parse(this.#address).port,
		};
		this.#logger.info('entry host started', ports);
		return ports;
	}

	/**
	Announces the shutdown to peers, rejects new callers, transfers ownership, waits for requests and transactions up to
	the drain limit, then stops.
	*/
	async drain(): Promise<void> {
		this.#isDraining = true;
		this.#logger.info('draining');
		const affected = [...this.#members.neighbours(), ...this.#owner.names.flatMap(name => this.#otherOwners(name))];
		this.#members.markLeaving();
		this.#reconcile();
		this.#listener.close();
		await this.#callers.drain();
		for (const member of affected) {
			// The hello message that opens a new link carries the `leaving` flag.
			void this.#links.connect(member);
		}

		const end = this.#clock.now() + this.#settings.timing.drainLimitMs;
		await this.#clock.limit(this.#listener.awaitClosed(), this.#settings.timing.drainLimitMs);
		while (this.#owner.drainingCount > 0 && this.#clock.now() < end) {
			await this.#clock.sleep(drainPollMs);
		}

		await this.#links.finish();
		await this.stop();
	}

	/** Stops without waiting for requests or transactions. */
	async stop(): Promise<void> {
		this.#stopped.abort();
		this.#wake.abort();
		this.#listener.stop();
		this.#http.close();
		this.#http.closeAllConnections();
		this.#links.stop();
		await this.#owner.stop();
		this.#logger.info('entry host stopped');
	}

	/** Addresses of the peers in the settings, except this host. */
	get #seeds(): string[] {
		return this.#settings.peers.seeds.split(',').map(seed => seed.trim()).filter(seed => seed !== '' && seed !== this.#address && seed !== this.#settings.listen.peer);
	}

	/** Reconciles ownership with members and configuration, on each change and at a fixed interval. */
	async #reconcileRepeatedly(): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			this.#wake = new AbortController();
			this.#reconcile();
			await this.#clock.sleep(reconcileIntervalMs, this.#wake.signal);
		}
	}

	#reconcile(): void {
		this.#table.update(this.#members.candidates());
		const {content} = this.#configuration;
		if (content) {
			const {isAlone, listAgeMs, linked, leavingServers} = this.#members;
			this.#owner.reconcile(content, {
				table: this.#table,
				isAlone,
				mayOpen: quota.mayOpen({
					listAgeMs, staleMs: this.#settings.timing.memberStaleMs, links: linked.length, isAlone,
				}),
				leavingServers,
			});
		}

		this.#links.sendHello();
	}

	/** Keeps links to the neighbours open, and links to the seeds while the host list is missing or stale. */
	async #maintainLinks(): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			for (const member of [...this.#members.neighbours(), ...this.#members.unverified()]) {
				void this.#links.connect(member);
			}

			if (this.#members.isListStale || this.#hosts.version === 0) {
				for (const seed of this.#seeds) {
					void this.#links.connect({address: seed});
				}
			}

			await this.#clock.sleep(linkIntervalMs, this.#stopped.signal);
		}
	}

	#otherOwners(service: string): ownership.Member[] {
		return this.#table.owners(service).filter(({name}) => name !== this.#settings.host.name);
	}

	async #announceRelease(service: string): Promise<void> {
		await Promise.all(this.#otherOwners(service).map(async member => {
			const peer = await this.#links.connect(member);
			peer?.notify({kind: 'release-notice', group: service});
		}));
	}

	#status(): unknown {
		const {linked} = this.#members;
		return {
			...this.#settings.host,
			address: this.#address,
			isReady: this.#isReady,
			isDraining: this.#isDraining,
			configurationVersion: this.#configuration.version,
			hostsVersion: this.#hosts.version,
			listAgeMs: Number.isFinite(this.#members.listAgeMs) ? Math.round(this.#members.listAgeMs) : null,
			members: this.#members.members().map(member => ({...member, isLinked: linked.includes(member.name)})),
			unreachable: this.#members.unreachable,
			services: Object.fromEntries(Object.keys(this.#configuration.content?.service ?? {}).map(name => [name, {
				owners: this.#table.owners(name).map(member => member.name),
				standing: this.#owner.ownership(name),
				servers: this.#owner.status(name),
			}])),
		};
	}

	get #isReady(): boolean {
		return this.#configuration.content !== undefined && !this.#isDraining;
	}

	async #serveHttp(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		switch (request.url ?? '') {
			case '/metrics': {
				response.end(await this.#metrics.text());
				break;
			}

			case '/live': {
				response.end('live\n');
				break;
			}

			case '/ready': {
				response.writeHead(this.#isReady ? 200 : 503);
				response.end(this.#isReady ? 'ready\n' : 'not ready\n');
				break;
			}

			case '/status': {
				response.writeHead(200, {'content-type': 'application/json'});
				response.end(JSON.stringify(this.#status()));
				break;
			}

			default: {
				response.writeHead(404);
				response.end();
			}
		}
	}
}
