/**
An entry host: wires the tasks together. The command line is a thin shell around it.
*/
import * as http from 'node:http';
import type * as net from 'node:net';
import * as Either from 'fp-ts/lib/Either.js';
import * as address from '../core/address.js';
import * as claim from '../core/claim.js';
import * as clock from '../core/clock.js';
import * as dispatch from '../core/dispatch.js';
import type * as errors from '../core/errors.js';
import * as peers from '../core/peers.js';
import * as random from '../core/random.js';
import type * as session from '../core/session.js';
import * as settings from '../core/settings.js';
import type * as types from '../generated/types.js';
import * as server from '../mysql/server.js';
import type * as store from '../platform/store.js';
import * as callers from './callers.js';
import * as changes from './changes.js';
import type * as log from './log.js';
import * as metrics from './metrics.js';
import * as owner from './owner.js';

/** Ports on which a host listens. */
export type Ports = {readonly caller: number; readonly http: number};

const storeRetryMs = 1000;
const serverVersion = '8.0.0-sycamorering';

/** Parts that a test or measurement replaces. */
export type Replacements = {readonly peers?: peers.Peers; readonly claim?: claim.Policy};

/** Executes every request here. */
class Local extends dispatch.Dispatcher {
	readonly #owner: owner.Owner;

	constructor(owned: owner.Owner) {
		super();
		this.#owner = owned;
	}

	override async execute(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		return this.#owner.execute(request);
	}

	override async endSession(service: string, name: string): Promise<void> {
		await this.#owner.find(service)?.transactions.end(name);
	}
}

/** One entry host. */
export class Host {
	readonly #settings: types.Settings;
	readonly #store: store.Store;
	readonly #logger: log.Logger;
	readonly #clock = new clock.System();
	readonly #metrics = new metrics.Metrics();
	readonly #stopped = new AbortController();
	readonly #owner: owner.Owner;
	readonly #callers: callers.Callers;
	readonly #listener: server.Server<session.Account>;
	readonly #http: http.Server;
	#configuration: {version: number; content: types.Configuration} | undefined;
	#isDraining = false;

	constructor(hostSettings: types.Settings, platform: store.Store, logger: log.Logger, replaced: Replacements = {}) {
		this.#settings = hostSettings;
		this.#store = platform;
		this.#logger = logger;
		this.#owner = new owner.Owner({
			clock: this.#clock,
			random: new random.System(),
			name: hostSettings.host.name,
			place: hostSettings.host.place,
			timing: hostSettings.timing,
			logger,
			peers: replaced.peers ?? new peers.Alone(),
			store: platform,
			claim: replaced.claim ?? new claim.Ballot(this.#clock),
			recorder: new changes.Log(logger, this.#metrics),
		});
		this.#callers = new callers.Callers({
			clock: this.#clock,
			random: new random.System(),
			dispatcher: new Local(this.#owner),
			metrics: this.#metrics,
			logger,
			configuration: () => this.#configuration?.content,
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

	/** Listens and starts the tasks; gives the ports. */
	async start(): Promise<Ports> {
		const {caller, http: web} = this.#settings.listen;
		const callerAddress = address.parse(caller);
		const webAddress = address.parse(web);
		void this.#followConfiguration();
		await new Promise<void>(resolve => {
			this.#http.listen(webAddress.port, webAddress.host, resolve);
		});
		const ports = {
			caller: await this.#listener.listen(callerAddress.host, callerAddress.port),
			http: (this.#http.address() as net.AddressInfo).port,
		};
		this.#logger.info('entry host started', ports);
		return ports;
	}

	/** Takes no new callers, lets requests and transactions end within the drain limit, then stops. */
	async drain(): Promise<void> {
		this.#isDraining = true;
		this.#logger.info('draining');
		this.#listener.close();
		this.#callers.drain();
		await this.#clock.limit(this.#listener.finish(), this.#settings.timing.drainLimitMs);
		await this.stop();
	}

	/** Stops at once. */
	async stop(): Promise<void> {
		this.#stopped.abort();
		this.#listener.close();
		this.#http.close();
		this.#http.closeAllConnections();
		await this.#owner.stop();
		this.#logger.info('entry host stopped');
	}

	async #followConfiguration(): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			const outcome = await this.#store.watch('configuration', this.#configuration?.version ?? 0, this.#stopped.signal);
			if (Either.isRight(outcome)) {
				await this.#take(outcome.right);
			} else if (!this.#stopped.signal.aborted) {
				this.#logger.warn('configuration could not be read', {failure: outcome.left});
				await this.#clock.sleep(storeRetryMs, this.#stopped.signal);
			}
		}
	}

	/** Takes a configuration if it is newer than the one in force and valid. */
	async #take({version, value}: store.Entry): Promise<void> {
		if (version <= (this.#configuration?.version ?? 0)) {
			return;
		}

		const outcome = settings.parseConfiguration(value, `configuration version ${version}`);
		if (Either.isLeft(outcome)) {
			this.#logger.error('configuration refused', {failure: outcome.left});
			return;
		}

		this.#configuration = {version, content: outcome.right};
		await this.#owner.configure(outcome.right, Object.keys(outcome.right.service));
		this.#logger.info('configuration in force', {version});
	}

	async #serveHttp(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const isReady = this.#configuration !== undefined && !this.#isDraining;
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
				response.writeHead(isReady ? 200 : 503);
				response.end(isReady ? 'ready\n' : 'not ready\n');
				break;
			}

			default: {
				response.writeHead(404);
				response.end();
			}
		}
	}
}
