/**
The platform's object store and authority, by its published interface, as a soak needs them: objects with revisions and
watches, promotions with fences, and the troubles that a store has.
*/
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as clock from '../core/clock.js';
import type * as random from '../core/random.js';

/** How the store treats calls: all is well, refused, not answered, answered late, or done without an answer. */
export type Weather = 'well' | 'refused' | 'silent' | 'slow' | 'answers-lost';

type Meta = {name: string; revision: number; created: number; finalizers: string[]; deleting: boolean};
type Stored = {meta: Meta; spec: unknown; status: unknown};
type Change = {readonly revision: number; readonly kind: string; readonly object: Stored; readonly isGone: boolean};
type Answer = {readonly status: number; readonly body: unknown};

/** Time in ms of an answer of a slow store, and between two looks of a watch. */
const slowMs = 400;
const watchPollMs = 10;

/** Takes orders of promotion: false if the server isn't running. */
export type Promote = (service: string, server: string) => boolean;

/** The platform. */
export class Platform {
	weather: Weather = 'well';
	/** Hosts of the system that the store turns away, by their own address of the store. */
	readonly turnedAway = new Set<string>();
	/** Addresses for links that hosts announce, and the relays in front of them. */
	readonly peers = new Map<string, string>();
	readonly #clock: clock.Clock;
	readonly #random: random.Source;
	readonly #promote: Promote;
	readonly #objects = new Map<string, Stored>();
	readonly #changes: Change[] = [];
	readonly #fences = new Map<string, number>();
	readonly #servers: http.Server[] = [];
	#revision = 1;
	#oldest = 0;

	constructor(time: clock.Clock, source: random.Source, promote: Promote) {
		this.#clock = time;
		this.#random = source;
		this.#promote = promote;
	}

	/** Listens for one host on a port of its own, and gives the address. */
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

	/** Writes an object as its owner does. */
	put(kind: string, name: string, spec: unknown): Stored {
		this.#revision++;
		const stored = {
			meta: {
				name, revision: this.#revision, created: 1, finalizers: [], deleting: false,
			}, spec, status: null,
		};
		this.#objects.set(`${kind}/${name}`, stored);
		this.#changes.push({
			revision: this.#revision, kind, object: stored, isGone: false,
		});
		return stored;
	}

	remove(kind: string, name: string): void {
		const stored = this.#objects.get(`${kind}/${name}`);
		if (stored) {
			this.#revision++;
			this.#objects.delete(`${kind}/${name}`);
			this.#changes.push({
				revision: this.#revision, kind, object: stored, isGone: true,
			});
		}
	}

	/** Forgets the history, so that watches from before must list again. */
	compact(): void {
		this.#oldest = this.#revision;
		this.#changes.length = 0;
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
			// The caller is gone before its call was complete.
			return;
		}

		const weather = this.turnedAway.has(name) ? 'refused' : this.weather;
		if (weather === 'refused') {
			response.writeHead(503);
			response.end();
			return;
		}

		if (weather === 'silent') {
			return;
		}

		await this.#clock.sleep(weather === 'slow' ? slowMs : 1);
		const answer = await this.#answer(request, text === '' ? undefined : JSON.parse(text));
		if (weather === 'answers-lost' && request.method !== 'GET' && this.#random.integer(0, 1) === 0) {
			response.destroy();
			return;
		}

		response.writeHead(answer.status, {'content-type': 'application/json'});
		response.end(JSON.stringify(answer.body));
	}

	async #answer(request: http.IncomingMessage, body: unknown): Promise<Answer> {
		const url = new URL(request.url ?? '/', 'http://store');
		const [, root, kind = '', name] = url.pathname.split('/');
		if (root === 'promotion') {
			return this.#order(body as {service: string; id: string}, Number(request.headers['x-fencing-token']));
		}

		if (request.method !== 'GET') {
			return this.#write(request.method === 'POST', kind, body as {meta: Meta; spec: unknown});
		}

		if (name !== undefined) {
			const found = this.#objects.get(`${kind}/${decodeURIComponent(name)}`);
			return found ? {status: 200, body: found} : {status: 404, body: {}};
		}

		const from = url.searchParams.get('watch');
		return from === null
			? {status: 200, body: {items: this.#list(kind), more: false, storeRevision: this.#revision}}
			: this.#watch(kind, Number(from), Number(url.searchParams.get('waitMs')));
	}

	#order({service, id}: {service: string; id: string}, token: number): Answer {
		if (token < (this.#fences.get(service) ?? 0)) {
			return {status: 409, body: {error: 'a higher fence was seen'}};
		}

		this.#fences.set(service, token);
		return this.#promote(service, id) ? {status: 200, body: {}} : {status: 409, body: {error: 'not running'}};
	}

	#write(isNew: boolean, kind: string, {meta, spec}: {meta: Meta; spec: unknown}): Answer {
		const present = this.#objects.get(`${kind}/${meta.name}`);
		const isLate = present && meta.revision !== undefined && meta.revision !== present.meta.revision;
		if (isNew ? present : isLate) {
			return {status: 409, body: present};
		}

		if (!isNew && !present) {
			return {status: 404, body: {}};
		}

		const {peer} = spec as {peer?: string};
		const written = peer === undefined ? spec : {...(spec as object), peer: this.peers.get(peer) ?? peer};
		return {status: isNew ? 201 : 200, body: this.put(kind, meta.name, written)};
	}

	#list(kind: string): Stored[] {
		return [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, stored]) => stored);
	}

	async #watch(kind: string, from: number, waitMs: number): Promise<Answer> {
		const end = this.#clock.now() + waitMs;
		for (;;) {
			if (from < this.#oldest) {
				return {status: 410, body: {}};
			}

			const events = this.#changes.filter(change => change.kind === kind && change.revision > from);
			if (events.length > 0 || this.#clock.now() >= end) {
				return {status: 200, body: {events: events.map(({object, isGone}) => ({object, tombstone: isGone})), storeRevision: this.#revision}};
			}

			await this.#clock.sleep(watchPollMs);
		}
	}
}
