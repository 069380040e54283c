/**
A stand-in for the platform's object store and promotion authority, as far as the soak test needs their published
interfaces: objects with revisions and watches, promotions with fencing tokens, and failures of the store.
*/
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as clock from '../core/clock.js';
import type * as random from '../core/random.js';

/**
How the store treats requests: served, refused, left without a response, served late, or (for half of the writes) applied
without a response.
*/
export type State = 'well' | 'refused' | 'silent' | 'slow' | 'answers-lost';

type Meta = {name: string; revision: number; created: number; finalizers: string[]; deleting: boolean};
type Stored = {meta: Meta; spec: unknown; status: unknown};
type Event = {readonly revision: number; readonly kind: string; readonly object: Stored; readonly isDeleted: boolean};
type Response = {readonly status: number; readonly body: unknown};

const slowResponseMs = 400;
const watchPollIntervalMs = 10;

/** Starts a promotion; returns false if the server isn't running. */
export type Promote = (service: string, server: string) => boolean;

export class Platform {
	state: State = 'well';
	/** Names of entry hosts whose requests the store refuses; each host has a store address of its own, which identifies it. */
	readonly refusedHosts = new Set<string>();
	/** Relay addresses by the peer addresses that hosts announce; announcements are rewritten to the relay. */
	readonly peerRelays = new Map<string, string>();
	readonly #clock: clock.Clock;
	readonly #random: random.Source;
	readonly #promote: Promote;
	readonly #objects = new Map<string, Stored>();
	readonly #events: Event[] = [];
	readonly #fencingTokens = new Map<string, number>();
	readonly #servers: http.Server[] = [];
	#revision = 1;
	#compactedRevision = 0;

	constructor(time: clock.Clock, source: random.Source, promote: Promote) {
		this.#clock = time;
		this.#random = source;
		this.#promote = promote;
	}

	/** Listens for one host on a port of its own, and returns the address. */
	async listen(name: string): Promise<string> {
		const server = http.createServer((request, response) => {
			void this.#serve(name, request, response);
		});
		this.#servers.push(server);
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
	}

	/** Writes an object without a check of its revision. */
	put(kind: string, name: string, spec: unknown): Stored {
		this.#revision++;
		const stored = {
			meta: {
				name, revision: this.#revision, created: 1, finalizers: [], deleting: false,
			}, spec, status: null,
		};
		this.#objects.set(`${kind}/${name}`, stored);
		this.#events.push({
			revision: this.#revision, kind, object: stored, isDeleted: false,
		});
		return stored;
	}

	remove(kind: string, name: string): void {
		const stored = this.#objects.get(`${kind}/${name}`);
		if (stored) {
			this.#revision++;
			this.#objects.delete(`${kind}/${name}`);
			this.#events.push({
				revision: this.#revision, kind, object: stored, isDeleted: true,
			});
		}
	}

	/** Drops the event history, so that watches from earlier revisions fail with 410 and must list again. */
	compact(): void {
		this.#compactedRevision = this.#revision;
		this.#events.length = 0;
	}

	close(): void {
		for (const server of this.#servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	async #serve(name: string, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		let text = '';
		try {
			for await (const chunk of request) {
				text += String(chunk);
			}
		} catch {
			// The client disconnected before its request was complete.
			return;
		}

		const state = this.refusedHosts.has(name) ? 'refused' : this.state;
		if (state === 'refused') {
			response.writeHead(503);
			response.end();
			return;
		}

		if (state === 'silent') {
			return;
		}

		await this.#clock.sleep(state === 'slow' ? slowResponseMs : 1);
		const result = await this.#handle(request, text === '' ? undefined : JSON.parse(text));
		if (state === 'answers-lost' && request.method !== 'GET' && this.#random.integer(0, 1) === 0) {
			response.destroy();
			return;
		}

		response.writeHead(result.status, {'content-type': 'application/json'});
		response.end(JSON.stringify(result.body));
	}

	async #handle(request: http.IncomingMessage, body: unknown): Promise<Response> {
		const url = new URL(request.url ?? '/', 'http://store');
		const [, root, kind = '', name] = url.pathname.split('/');
		if (root === 'promotion') {
			return this.#handlePromotion(body as {service: string; id: string}, Number(request.headers['x-fencing-token']));
		}

		if (request.method !== 'GET') {
			return this.#write(request.method === 'POST', kind, body as {meta: Meta; spec: unknown});
		}

		if (name !== undefined) {
			const found = this.#objects.get(`${kind}/${decodeURIComponent(name)}`);
			return found ? {status: 200, body: found} : {status: 404, body: {}};
		}

		const revision = url.searchParams.get('watch');
		return revision === null
			? {status: 200, body: {items: this.#list(kind), more: false, storeRevision: this.#revision}}
			: this.#watch(kind, Number(revision), Number(url.searchParams.get('waitMs')));
	}

	#handlePromotion({service, id}: {service: string; id: string}, token: number): Response {
		if (token < (this.#fencingTokens.get(service) ?? 0)) {
			return {status: 409, body: {error: 'a higher fence was seen'}};
		}

		this.#fencingTokens.set(service, token);
		return this.#promote(service, id) ? {status: 200, body: {}} : {status: 409, body: {error: 'not running'}};
	}

	#write(isNew: boolean, kind: string, {meta, spec}: {meta: Meta; spec: unknown}): Response {
		const current = this.#objects.get(`${kind}/${meta.name}`);
		const isConflict = current && meta.revision !== undefined && meta.revision !== current.meta.revision;
		if (isNew ? current : isConflict) {
			return {status: 409, body: current};
		}

		if (!isNew && !current) {
			return {status: 404, body: {}};
		}

		const {peer} = spec as {peer?: string};
		const written = peer === undefined ? spec : {...(spec as object), peer: this.peerRelays.get(peer) ?? peer};
		return {status: isNew ? 201 : 200, body: this.put(kind, meta.name, written)};
	}

	#list(kind: string): Stored[] {
		return [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, stored]) => stored);
	}

	async #watch(kind: string, revision: number, waitMs: number): Promise<Response> {
		const end = this.#clock.now() + waitMs;
		for (;;) {
			if (revision < this.#compactedRevision) {
				return {status: 410, body: {}};
			}

			const events = this.#events.filter(change => change.kind === kind && change.revision > revision);
			if (events.length > 0 || this.#clock.now() >= end) {
				return {status: 200, body: {events: events.map(({object, isDeleted}) => ({object, tombstone: isDeleted})), storeRevision: this.#revision}};
			}

			await this.#clock.sleep(watchPollIntervalMs);
		}
	}
}
