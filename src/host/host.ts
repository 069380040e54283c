/**
An entry host: wires the tasks together. The command line is a thin shell around it.
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
import * as share from '../core/share.js';
import * as messages from '../generated/messages.js';
import type * as types from '../generated/types.js';
import * as server from '../mysql/server.js';
import * as links from '../peer/links.js';
import * as owners from '../peer/owners.js';
import * as socket from '../peer/socket.js';
import type * as store from '../store/store.js';
import * as answers from './answers.js';
import * as callers from './callers.js';
import * as changes from './changes.js';
import * as configuration from './configuration.js';
import * as dispatcher from './dispatcher.js';
import * as gauges from './gauges.js';
import * as hosts from './hosts.js';
import type * as log from './log.js';
import * as metrics from './metrics.js';
import * as owner from './owner.js';
import type * as replica from './replica.js';

/** Ports on which a host listens. */
export type Ports = {readonly caller: number; readonly http: number; readonly peer: number};

/** Time in ms between two looks at times that pass, such as the settle time of a share. */
const alignIntervalMs = 200;
/** Time in ms between two attempts to open links that should be open. */
const linkIntervalMs = 500;
const drainPollMs = 20;
const serverVersion = '8.0.0-sycamorering';

/** Parts that a test or measurement replaces. */
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
	readonly #answers: answers.Answers;
	readonly #links: links.Links;
	readonly #peers: owners.Owners;
	readonly #configuration: configuration.Configuration;
	readonly #hosts: hosts.Hosts;
	readonly #callers: callers.Callers;
	readonly #listener: server.Server<session.Account>;
	readonly #http: http.Server;
	#changed = new AbortController();
	#address = '';
	#isDraining = false;

	constructor(hostSettings: types.Settings, platform: store.Store, logger: log.Logger, replaced: Replacements = {}) {
		const {host: {name, place}, timing} = hostSettings;
		const changed = (): void => {
			this.#changed.abort();
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
			peers: () => replaced.peers ?? this.#peers,
			store: platform,
			claim: replaced.claim ?? new claim.Ballot(this.#clock),
			recorder: new changes.Log(logger, this.#metrics),
			released: service => {
				void this.#announceRelease(service);
			},
		});
		gauges.register(this.#metrics, this.#owner);
		this.#answers = new answers.Answers({
			host: name,
			place,
			logger,
			members: this.#members,
			table: this.#table,
			owner: this.#owner,
			links: () => this.#links,
			replicas: () => ({configuration: this.#configuration, hosts: this.#hosts}),
			changed,
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
			handler: this.#answers,
			timeoutMs: timing.linkTimeoutMs,
		});
		this.#peers = new owners.Owners(this.#links, this.#clock, service => this.#otherOwners(service));
		const source = new random.System();
		const parts: replica.Parts = {
			store: platform, clock: this.#clock, random: source, logger, links: this.#links, seeds: () => this.#seeds, timing, changed,
		};
		this.#configuration = new configuration.Configuration(parts);
		this.#hosts = new hosts.Hosts(parts, this.#members);
		this.#callers = new callers.Callers({
			clock: this.#clock,
			random: source,
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

	/** The services that this host owns. */
	get owner(): owner.Owner {
		return this.#owner;
	}

	/** The other owners of the groups that this host owns. */
	get peers(): peers.Peers {
		return this.#peers;
	}

	/** Listens and starts the tasks; gives the ports. */
	async start(): Promise<Ports> {
		const {caller, http: web, peer} = this.#settings.listen;
		const callerAddress = address.parse(caller);
		const webAddress = address.parse(web);
		this.#address = await this.#links.listen(peer);
		this.#members.listen(this.#address);
		this.#answers.listen(this.#address);
		void this.#hosts.run(this.#stopped.signal);
		void this.#configuration.run(this.#stopped.signal);
		void this.#keepAligned();
		void this.#keepLinks();
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
	Tells the peers, takes no new callers, hands ownership over, lets requests and transactions end within the drain
	limit, then stops.
	*/
	async drain(): Promise<void> {
		this.#isDraining = true;
		this.#logger.info('draining');
		const concerned = [...this.#members.neighbours(), ...this.#owner.names.flatMap(name => this.#otherOwners(name))];
		this.#members.leave();
		this.#align();
		this.#listener.close();
		this.#callers.drain();
		for (const member of concerned) {
			// A new link begins with a greeting, which says that this host is leaving.
			void this.#links.reach(member);
		}

		const end = this.#clock.now() + this.#settings.timing.drainLimitMs;
		await this.#clock.limit(this.#listener.finish(), this.#settings.timing.drainLimitMs);
		while (this.#owner.remaining > 0 && this.#clock.now() < end) {
			await this.#clock.sleep(drainPollMs);
		}

		await this.#links.finish();
		await this.stop();
	}

	/** Stops at once. */
	async stop(): Promise<void> {
		this.#stopped.abort();
		this.#changed.abort();
		this.#listener.stop();
		this.#http.close();
		this.#http.closeAllConnections();
		this.#links.stop();
		await this.#owner.stop();
		this.#logger.info('entry host stopped');
	}

	/** Addresses of the peers in the settings, without this host. */
	get #seeds(): string[] {
		return this.#settings.peers.seeds.split(',').map(seed => seed.trim()).filter(seed => seed !== '' && seed !== this.#address && seed !== this.#settings.listen.peer);
	}

	/** The task that brings ownership into line with members and configuration, at each change and as time passes. */
	async #keepAligned(): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			this.#changed = new AbortController();
			this.#align();
			await this.#clock.sleep(alignIntervalMs, this.#changed.signal);
		}
	}

	#align(): void {
		this.#table.update(this.#members.candidates());
		const {content} = this.#configuration;
		if (content) {
			const {isAlone, listAgeMs, linked, leavingServers} = this.#members;
			this.#owner.align(content, {
				table: this.#table,
				isAlone,
				mayOpen: share.mayOpen({
					listAgeMs, staleMs: this.#settings.timing.memberStaleMs, links: linked.length, isAlone,
				}),
				leavingServers,
			});
		}

		this.#links.greet();
	}

	/** The task that keeps links to the neighbours open, and to the seeds while there is no recent list. */
	async #keepLinks(): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			for (const member of [...this.#members.neighbours(), ...this.#members.doubted()]) {
				void this.#links.reach(member);
			}

			if (this.#members.isListStale || this.#hosts.version === 0) {
				for (const seed of this.#seeds) {
					void this.#links.reach({address: seed});
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
			const peer = await this.#links.reach(member);
			peer?.tell({kind: 'release-notice', group: service});
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
				standing: this.#owner.standing(name),
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
