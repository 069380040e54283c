/**
A stand-in for the platform's object store and promotion authority, as far as the soak test needs their published
interfaces: objects with revisions and watches, promotions with fencing tokens, and failures of the store.
*/
import * as util from 'node:util';
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as clock from '../core/clock.js';
import type * as random from '../core/random.js';
import * as history from './history.js';

/**
How the store treats requests: served, refused, left without a response, served late, or (for half of the writes) applied
without a response.
*/
export type State = 'well' | 'refused' | 'silent' | 'slow' | 'answers-lost';

type Response = {readonly status: number; readonly body: unknown};

const slowResponseMs = 400;
const claimsKind = 'sycamorering-claims';
const watchPollIntervalMs = 10;
const firstEra = 1;
/** Bounds of the delay between the return of an older copy of the store and the repeated writes of the operator and the servers. */
const minRewriteDelayMs = 20;
const maxRewriteDelayMs = 400;

/**
How the authority for promotions treats orders: carried out, refused, or left without a response and carried out some
time later if the fencing token is still the highest one then.
*/
export type Promotions = 'well' | 'refused' | 'unanswered';

/** Starts a promotion; returns false if the server isn't running. `order` describes who ordered it. */
export type Promote = (service: string, server: string, order: string) => boolean;

export class Platform {
	state: State = 'well';
	promotions: Promotions = 'well';
	/** Time after which an order without a response is carried out. */
	orderDelayMs = 0;
	/** Called with the name of the host after each claim of a promotion. */
	onClaim: ((host: string) => void) | undefined;
	/** Names of entry hosts whose requests the store refuses; each host has a store address of its own, which identifies it. */
	readonly refusedHosts = new Set<string>();
	/** Relay addresses by the peer addresses that hosts announce; announcements are rewritten to the relay. */
	readonly peerRelays = new Map<string, string>();
	readonly #clock: clock.Clock;
	readonly #random: random.Source;
	readonly #promote: Promote;
	readonly #history: history.History;
	/** The last writes of the operator and the servers; without a value, the object was removed. They are repeated if the store loses them. */
	readonly #outsideWrites = new Map<string, {readonly kind: string; readonly name: string; readonly spec: unknown}>();
	readonly #fencingTokens = new Map<string, number>();
	readonly #servers: http.Server[] = [];
	#era = firstEra;
	/** Number of times that waiting watches were cut. */
	#cuts = 0;

	constructor(time: clock.Clock, source: random.Source, promote: Promote) {
		this.#clock = time;
		this.#random = source;
		this.#promote = promote;
		this.#history = new history.History(time);
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

	/** Writes an object for the operator or a server. */
	put(kind: string, name: string, spec: unknown): void {
		this.#outsideWrites.set(`${kind}/${name}`, {kind, name, spec});
		this.#history.put(kind, name, spec);
	}

	/** Removes an object for the operator or a server. */
	remove(kind: string, name: string): void {
		this.#outsideWrites.set(`${kind}/${name}`, {kind, name, spec: undefined});
		this.#history.remove(kind, name);
	}

	/** Whether the store has an object. */
	has(kind: string, name: string): boolean {
		return this.#history.read(kind, name) !== undefined;
	}

	/** Drops the event history, so that watches from earlier revisions fail with 410 and must list again. */
	compact(): void {
		this.#history.compact();
	}

	/** Closes the connections of waiting watches without a response. */
	cutWatches(): void {
		this.#cuts++;
	}

	/**
	Returns the store to its state at the clock time `at`, in a new era. What hosts wrote since is gone; the operator and
	the servers repeat their writes a moment later.
	*/
	async restore(at: number): Promise<void> {
		this.#history.restore(at);
		this.#era++;
		this.cutWatches();
		await this.#clock.sleep(this.#random.integer(minRewriteDelayMs, maxRewriteDelayMs));
		for (const {kind, name, spec} of this.#outsideWrites.values()) {
			if (spec === undefined) {
				this.#history.remove(kind, name);
			} else if (!util.isDeepStrictEqual(this.#history.read(kind, name)?.spec, spec)) {
				this.#history.put(kind, name, spec);
			}
		}
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
			response.writeHead(503, this.#headers(request));
			response.end();
			return;
		}

		if (state === 'silent') {
			return;
		}

		await this.#clock.sleep(state === 'slow' ? slowResponseMs : 1);
		const result = await this.#handle(name, request, text === '' ? undefined : JSON.parse(text));
		const isLost = state === 'answers-lost' && request.method !== 'GET' && this.#random.integer(0, 1) === 0;
		if (!result || isLost) {
			response.destroy();
			return;
		}

		response.writeHead(result.status, {...this.#headers(request), 'content-type': 'application/json'});
		response.end(JSON.stringify(result.body));
	}

	/** The authority for promotions is no part of the store, so its responses carry no era. */
	#headers({url: path = ''}: http.IncomingMessage): http.OutgoingHttpHeaders {
		return path.startsWith('/objects/') ? {'store-era': this.#era} : {};
	}

	/** Returns `undefined` for a watch that was cut. */
	async #handle(host: string, request: http.IncomingMessage, body: unknown): Promise<Response | undefined> {
		const url = new URL(request.url ?? '/', 'http://store');
		const [, root, kind = '', name] = url.pathname.split('/');
		if (root === 'promotion') {
			return this.#handlePromotion(body as {service: string; id: string}, Number(request.headers['x-fencing-token']), host);
		}

		if (request.method !== 'GET') {
			const object = body as {meta: history.Meta; spec: unknown};
			const written = this.#write(request.method === 'POST', kind, object);
			// The release of a claim has an empty holder.
			if (written.status < 300 && kind === claimsKind && (object.spec as {holder?: string}).holder !== '') {
				this.onClaim?.(host);
			}

			return written;
		}

		if (name !== undefined) {
			const found = this.#history.read(kind, decodeURIComponent(name));
			return found ? {status: 200, body: found} : {status: 404, body: {}};
		}

		const revision = url.searchParams.get('watch');
		return revision === null
			? {status: 200, body: {items: this.#history.list(kind), more: false, storeRevision: this.#history.revision}}
			: this.#watch(kind, Number(revision), Number(url.searchParams.get('waitMs')));
	}

	/** Returns `undefined` for an order that gets no response. */
	async #handlePromotion({service, id}: {service: string; id: string}, token: number, host: string): Promise<Response | undefined> {
		if (this.promotions === 'refused') {
			return {status: 503, body: {}};
		}

		const isUnanswered = this.promotions === 'unanswered';
		const calledAt = this.#clock.now();
		await this.#clock.sleep(isUnanswered ? this.orderDelayMs : 0);
		const lateness = isUnanswered ? ` ${Math.round(this.#clock.now() - calledAt)} ms before` : '';
		const response = this.#order(service, id, token, `order of ${host}${lateness} with token ${token}`);
		return isUnanswered ? undefined : response;
	}

	#order(service: string, id: string, token: number, order: string): Response {
		if (token < (this.#fencingTokens.get(service) ?? 0)) {
			return {status: 409, body: {error: 'a higher fence was seen'}};
		}

		this.#fencingTokens.set(service, token);
		return this.#promote(service, id, order) ? {status: 200, body: {}} : {status: 409, body: {error: 'not running'}};
	}

	#write(isNew: boolean, kind: string, {meta, spec}: {meta: history.Meta; spec: unknown}): Response {
		const current = this.#history.read(kind, meta.name);
		const isConflict = current && meta.revision !== undefined && meta.revision !== current.meta.revision;
		if (isNew ? current : isConflict) {
			return {status: 409, body: current};
		}

		if (!isNew && !current) {
			return {status: 404, body: {}};
		}

		const {peer} = spec as {peer?: string};
		const written = peer === undefined ? spec : {...(spec as object), peer: this.peerRelays.get(peer) ?? peer};
		return {status: isNew ? 201 : 200, body: this.#history.put(kind, meta.name, written)};
	}

	async #watch(kind: string, revision: number, waitMs: number): Promise<Response | undefined> {
		const end = this.#clock.now() + waitMs;
		const cuts = this.#cuts;
		while (cuts === this.#cuts) {
			const changes = this.#history.changes(kind, revision);
			if (!changes) {
				return {status: 410, body: {}};
			}

			if (changes.length > 0 || this.#clock.now() >= end) {
				return {status: 200, body: {events: changes.map(({object, isDeleted}) => ({object, tombstone: isDeleted})), storeRevision: this.#history.revision}};
			}

			await this.#clock.sleep(watchPollIntervalMs);
		}

		return undefined;
	}
}
