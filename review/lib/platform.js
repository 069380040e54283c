/**
A stand-in for the platform: the object store with its revisions and watches, and the promotion API with its fence.
*/
import * as http from 'node:http';
import * as util from 'node:util';
import * as clock from './clock.js';

const answerMs = 4;

/** The store and the promotion API on one address. */
export class Platform {
	/** How promotion calls are answered: `ok`, `down` (503, nothing is done), or `late` (no answer, done `lateMs` later). */
	promotions = 'ok';
	lateMs = 0;
	/** Whether the store answers 503. */
	isStoreDown = false;
	/** Called with each promotion call, before it is answered. */
	onPromotion = () => undefined;
	#record;
	#promote;
	#objects = new Map();
	#events = [];
	#revision = 100;
	#fences = new Map();
	#server;
	#waiting = new Set();

	/** `promote(service, id)` designates a server; it returns false if that server isn't running. */
	constructor(record, promote) {
		this.#record = record;
		this.#promote = promote;
	}

	async listen() {
		this.#server = http.createServer((request, response) => {
			this.#serve(request, response);
		});
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${this.#server.address().port}`;
	}

	/** Writes an object as the operator or a server does. */
	put(kind, name, spec) {
		const key = `${kind}/${name}`;
		const current = this.#objects.get(key);
		if (current && util.isDeepStrictEqual(current.spec, spec)) {
			return current;
		}

		this.#revision++;
		const object = {
			meta: {
				name, revision: this.#revision, created: current?.meta.created ?? this.#revision, finalizers: [], deleting: false,
			}, spec, status: null,
		};
		this.#objects.set(key, object);
		this.#append(kind, object, false);
		return object;
	}

	/** Removes an object as a server's end does. */
	remove(kind, name) {
		const key = `${kind}/${name}`;
		const object = this.#objects.get(key);
		if (object) {
			this.#revision++;
			this.#objects.delete(key);
			this.#append(kind, {...object, meta: {...object.meta, revision: this.#revision}}, true);
		}
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#append(kind, object, tombstone) {
		this.#events.push({kind, revision: this.#revision, event: {object, tombstone}});
		for (const wake of this.#waiting) {
			wake();
		}
	}

	async #serve(request, response) {
		let text = '';
		try {
			for await (const chunk of request) {
				text += String(chunk);
			}
		} catch {
			return;
		}

		await clock.sleep(answerMs);
		const answer = await this.#handle(request, text === '' ? undefined : JSON.parse(text));
		if (answer) {
			response.writeHead(answer.status, {'content-type': 'application/json'});
			response.end(JSON.stringify(answer.body ?? {}));
		}
	}

	async #handle(request, body) {
		const {pathname, searchParams} = new URL(request.url, 'http://platform');
		if (pathname === '/promotion') {
			return this.#handlePromotion(body, request.headers);
		}

		const [kind, encodedName] = pathname.split('/').slice(2);
		if (this.isStoreDown) {
			return {status: 503};
		}

		if (request.method !== 'GET') {
			return this.#write(request.method, kind, body);
		}

		if (encodedName !== undefined) {
			const object = this.#objects.get(`${kind}/${decodeURIComponent(encodedName)}`);
			return object ? {status: 200, body: object} : {status: 404};
		}

		if (searchParams.has('watch')) {
			return this.#watch(kind, Number(searchParams.get('watch')), Number(searchParams.get('waitMs')));
		}

		const items = [...this.#objects].toSorted(([one], [other]) => one < other ? -1 : 1).filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object);
		return {status: 200, body: {items, more: false, storeRevision: this.#revision}};
	}

	#write(method, kind, {meta, spec}) {
		const current = this.#objects.get(`${kind}/${meta.name}`);
		if (method === 'POST' && current) {
			return {status: 409, body: current};
		}

		if (method === 'PUT' && !current) {
			return {status: 404};
		}

		if (meta.revision !== undefined && current && meta.revision !== current.meta.revision) {
			return {status: 409, body: current};
		}

		const written = this.put(kind, meta.name, spec);
		this.#record.write(`store: ${method} ${kind}/${meta.name} revision ${written.meta.revision} ${JSON.stringify(spec)}`);
		return {status: method === 'POST' ? 201 : 200, body: written};
	}

	async #watch(kind, revision, waitMs) {
		const end = clock.now() + Math.min(waitMs, 30_000);
		for (;;) {
			if (this.isStoreDown) {
				return {status: 503};
			}

			const events = this.#events.filter(entry => entry.kind === kind && entry.revision > revision).map(({event}) => event);
			const leftMs = end - clock.now();
			if (events.length > 0 || leftMs <= 0) {
				return {status: 200, body: {events, storeRevision: this.#revision}};
			}

			await new Promise(resolve => {
				const wake = () => {
					this.#waiting.delete(wake);
					clearTimeout(timer);
					resolve();
				};

				const timer = setTimeout(wake, Math.min(leftMs, 200));
				this.#waiting.add(wake);
			});
		}
	}

	async #handlePromotion({service, id}, headers) {
		const token = Number(headers['x-fencing-token']);
		const call = `promotion of ${id} by ${headers['x-lease-holder']} with token ${token}`;
		const mode = this.promotions;
		this.onPromotion({service, id, token});
		if (mode === 'down') {
			this.#record.write(`platform: ${call}: 503`);
			return {status: 503};
		}

		if (mode === 'late') {
			this.#record.write(`platform: ${call}: no answer, to be carried out in ${this.lateMs} ms`);
			setTimeout(() => {
				this.#designate(service, id, token, `${call} (late)`);
			}, this.lateMs);
			return undefined;
		}

		return {status: this.#designate(service, id, token, call) ? 200 : 409};
	}

	/** Checks the fence at the time at which the call is carried out. */
	#designate(service, id, token, call) {
		const isFenced = token < (this.#fences.get(service) ?? 0);
		const isAccepted = !isFenced && this.#promote(service, id);
		if (!isFenced) {
			this.#fences.set(service, token);
		}

		const reason = isFenced ? 'a higher token was seen' : 'the server isn\'t running';
		this.#record.tell(`platform: ${call}: ${isAccepted ? 'accepted' : `refused, ${reason}`}`);
		return isAccepted;
	}
}
