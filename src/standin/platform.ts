/**
A stand-in for the platform's object API: versioned objects over HTTP, with conditional updates and watches. It can
simulate outages, delays, and responses that are lost after an update took effect.
*/
import * as http from 'node:http';
import type * as net from 'node:net';
import * as zlib from 'node:zlib';
import * as consumers from 'node:stream/consumers';
import * as clock from '../core/clock.js';
import * as notifier from '../core/notifier.js';
import type * as types from '../generated/types.js';

/** Injected faults. A request to `/faults` with a JSON body changes them by name. */
export type Faults = {isDown: boolean; delayMs: number; isLosingAnswers: boolean};

/** Number of handled requests. A watch counts as one read. */
export type Counts = {reads: number; writes: number};

const maxValueLength = 1_000_000;

/** An in-memory platform with an HTTP server. */
export class Platform {
	readonly faults: Faults = {isDown: false, delayMs: 0, isLosingAnswers: false};
	readonly counts: Counts = {reads: 0, writes: 0};
	readonly #objects = new Map<string, types.VersionedObject>();
	readonly #changed = new notifier.Notifier();
	readonly #clock = new clock.System();
	readonly #server = http.createServer((request, response) => {
		void this.#handle(request, response);
	});

	/** Starts listening and returns the base URL. */
	async start(host: string, port: number): Promise<string> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, host, resolve);
		});
		return `http://${host}:${(this.#server.address() as net.AddressInfo).port}/`;
	}

	/** Stops listening and closes all connections. */
	stop(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Sets an object without a version check, as the platform does with the host list. */
	put(key: string, value: string): types.VersionedObject {
		const entry = {key, version: this.#get(key).version + 1, value};
		this.#objects.set(key, entry);
		this.#changed.notify();
		return entry;
	}

	#get(key: string): types.VersionedObject {
		return this.#objects.get(key) ?? {key, version: 0, value: ''};
	}

	/** Handles a request. If its client disconnects while the body is read, only this request fails. */
	async #handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		try {
			await this.#dispatch(request, response);
		} catch {
			response.destroy();
		}
	}

	async #dispatch(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const {pathname, searchParams} = new URL(request.url ?? '/', 'http://platform');
		if (pathname === '/faults') {
			Object.assign(this.faults, JSON.parse(await consumers.text(request)));
			respond(response, 200, this.faults);
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

	async #update(key: string, expectedVersion: number, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		this.counts.writes++;
		const value = await consumers.text(request);
		if (value.length > maxValueLength) {
			respond(response, 413, {});
			return;
		}

		if (this.#get(key).version !== expectedVersion) {
			respond(response, 409, this.#get(key));
			return;
		}

		const entry = this.put(key, value);
		if (this.faults.isLosingAnswers) {
			response.destroy();
		} else {
			respond(response, 200, entry);
		}
	}

	async #read(key: string, query: URLSearchParams, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		this.counts.reads++;
		const deadline = this.#clock.now() + Number(query.get('wait') ?? 0);
		const afterVersion = Number(query.get('after') ?? -1);
		// Ends a watch when its client disconnects: the timer would otherwise keep a stopped process alive for up to a minute.
		const closed = new Promise<void>(resolve => {
			response.once('close', resolve);
		});
		while (this.#get(key).version <= afterVersion && this.#clock.now() < deadline && !response.destroyed) {
			await this.#clock.limit(Promise.race([this.#changed.next(), closed]), deadline - this.#clock.now());
		}

		if (this.faults.isDown) {
			response.destroy();
		} else {
			respond(response, 200, this.#get(key), request);
		}
	}
}

/** Sends JSON, compressed if `request` accepts gzip, which shrinks a configuration to a fourteenth of its size. */
function respond(response: http.ServerResponse, status: number, content: unknown, request?: http.IncomingMessage): void {
	const body = JSON.stringify(content);
	const isCompressed = String(request?.headers['accept-encoding']).includes('gzip');
	response.writeHead(status, {'content-type': 'application/json', ...(isCompressed && {'content-encoding': 'gzip'})});
	response.end(isCompressed ? zlib.gzipSync(body) : body);
}
