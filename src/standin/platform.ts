/**
A stand-in for the platform's object API: versioned objects over HTTP with conditional updates and watches. Faults:
outage, delay, and answers that are lost after the change took effect.
*/
import * as http from 'node:http';
import type * as net from 'node:net';
import * as zlib from 'node:zlib';
import * as consumers from 'node:stream/consumers';
import * as clock from '../core/clock.js';
import * as notifier from '../core/notifier.js';
import type * as types from '../generated/types.js';

/** Faults that the stand-in shows; times in ms. */
export type Faults = {isDown: boolean; delayMs: number; isLosingAnswers: boolean};

/** Calls that the stand-in took. A watch counts as one read. */
export type Counts = {reads: number; writes: number};

const valueLimit = 1_000_000;

/** A platform in one process. */
export class Platform {
	readonly faults: Faults = {isDown: false, delayMs: 0, isLosingAnswers: false};
	readonly counts: Counts = {reads: 0, writes: 0};
	readonly #objects = new Map<string, types.Entry>();
	readonly #changed = new notifier.Notifier();
	readonly #clock = new clock.System();
	readonly #server = http.createServer((request, response) => {
		void this.#guard(request, response);
	});

	/** Listens and gives the base URL. */
	async start(host: string, port: number): Promise<string> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, host, resolve);
		});
		return `http://${host}:${(this.#server.address() as net.AddressInfo).port}/`;
	}

	/** Stops listening and drops every call. */
	stop(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Sets an object without a condition, as the platform itself does with the host list. */
	put(key: string, value: string): types.Entry {
		const entry = {key, version: this.#get(key).version + 1, value};
		this.#objects.set(key, entry);
		this.#changed.notify();
		return entry;
	}

	#get(key: string): types.Entry {
		return this.#objects.get(key) ?? {key, version: 0, value: ''};
	}

	/** A caller may hang up while its request is read; that ends this call only. */
	async #guard(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		try {
			await this.#serve(request, response);
		} catch {
			response.destroy();
		}
	}

	async #serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const {pathname, searchParams} = new URL(request.url ?? '/', 'http://platform');
		if (pathname === '/faults') {
			Object.assign(this.faults, JSON.parse(await consumers.text(request)));
			answer(response, 200, this.faults);
			return;
		}

		await this.#clock.sleep(this.faults.delayMs);
		if (this.faults.isDown) {
			response.destroy();
			return;
		}

		const key = decodeURIComponent(pathname.replace(/^\/objects\//v, ''));
		await (request.method === 'PUT' ? this.#update(key, Number(searchParams.get('expected')), request, response) : this.#read(key, searchParams, request, response));
	}

	async #update(key: string, expected: number, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		this.counts.writes++;
		const value = await consumers.text(request);
		if (value.length > valueLimit) {
			answer(response, 413, {});
			return;
		}

		if (this.#get(key).version !== expected) {
			answer(response, 409, this.#get(key));
			return;
		}

		const entry = this.put(key, value);
		if (this.faults.isLosingAnswers) {
			response.destroy();
		} else {
			answer(response, 200, entry);
		}
	}

	async #read(key: string, query: URLSearchParams, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		this.counts.reads++;
		const end = this.#clock.now() + Number(query.get('wait') ?? 0);
		const after = Number(query.get('after') ?? -1);
		// A watch whose caller is gone ends at once; its timer would hold a stopped process for up to a minute.
		const closed = new Promise<void>(resolve => {
			response.once('close', resolve);
		});
		while (this.#get(key).version <= after && this.#clock.now() < end && !response.destroyed) {
			await this.#clock.limit(Promise.race([this.#changed.next(), closed]), end - this.#clock.now());
		}

		if (this.faults.isDown) {
			response.destroy();
		} else {
			answer(response, 200, this.#get(key), request);
		}
	}
}

/** Compresses for a client that accepts it, as HTTP servers do; a configuration shrinks to a fourteenth. */
function answer(response: http.ServerResponse, status: number, content: unknown, request?: http.IncomingMessage): void {
	const body = JSON.stringify(content);
	const isCompressed = String(request?.headers['accept-encoding']).includes('gzip');
	response.writeHead(status, {'content-type': 'application/json', ...(isCompressed && {'content-encoding': 'gzip'})});
	response.end(isCompressed ? zlib.gzipSync(body) : body);
}
