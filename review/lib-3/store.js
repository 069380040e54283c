/**
The platform's store and its promotion interface, as PROTOCOL.md describes them: objects with revisions, conditional
writes, lists, watches with history, and promotions with fencing tokens.
*/
import * as http from 'node:http';

const historyLimit = 5000;
const fenceHeader = 'x-fencing-token';

export class Store {
	/** Delay of an answer in ms. */
	delayMs = 2;
	/** Called for each call: returns 'well', 'silent' (no answer) or a status that is answered without doing the call. */
	treat = () => 'well';
	/** Carries out a promotion; returns whether the server is running. */
	promote = () => false;
	calls = 0;
	#objects = new Map();
	#history = [];
	#revision = 100;
	#forgotten = 100;
	#waiting = new Set();
	#fences = new Map();
	#servers = [];

	/** Listens on an address of its own for one host, and returns it. */
	async listen(host, name = host) {
		const server = http.createServer(async (request, response) => this.#serve(name, request, response));
		this.#servers.push(server);
		await new Promise(resolve => {
			server.listen(0, host, resolve);
		});
		return `${host}:${server.address().port}`;
	}

	get(kind, name) {
		return this.#objects.get(`${kind}/${name}`);
	}

	/** Writes an object for the operator, a server or a host. */
	put(kind, name, spec) {
		this.#revision++;
		const known = this.get(kind, name);
		const object = {
			meta: {
				name, revision: this.#revision, created: known?.meta.created ?? Date.now(), finalizers: [], deleting: false,
			}, spec, status: {},
		};
		this.#objects.set(`${kind}/${name}`, object);
		this.#record(kind, object, false);
		return object;
	}

	remove(kind, name) {
		const known = this.get(kind, name);
		if (known) {
			this.#revision++;
			this.#objects.delete(`${kind}/${name}`);
			this.#record(kind, {...known, meta: {...known.meta, revision: this.#revision}}, true);
		}
	}

	close() {
		for (const server of this.#servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	#record(kind, object, tombstone) {
		this.#history.push({kind, object, tombstone});
		if (this.#history.length > historyLimit) {
			this.#forgotten = this.#history.shift().object.meta.revision;
		}

		for (const wake of this.#waiting) {
			wake();
		}
	}

	async #serve(host, request, response) {
		let text = '';
		try {
			for await (const chunk of request) {
				text += chunk;
			}
		} catch {
			return;
		}

		this.calls++;
		const treatment = this.treat(host, request, text);
		if (treatment === 'silent') {
			return;
		}

		if (this.delayMs > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, this.delayMs);
			});
		}

		const {status, body} = treatment === 'well' ? await this.#handle(request, text) : {status: treatment, body: {}};
		if (!response.destroyed) {
			response.writeHead(status, {'content-type': 'application/json', 'store-era': '1'});
			response.end(JSON.stringify(body));
		}
	}

	async #handle(request, text) {
		const url = new URL(request.url, 'http://store');
		const [, root, kind = '', encoded] = url.pathname.split('/');
		const body = text === '' ? undefined : JSON.parse(text);
		if (root === 'promotion') {
			return this.#handlePromotion(body, Number(request.headers[fenceHeader]));
		}

		if (request.method === 'GET') {
			return encoded === undefined ? this.#read(kind, url.searchParams) : this.#readOne(kind, decodeURIComponent(encoded));
		}

		return this.#write(request.method, kind, body);
	}

	#handlePromotion({service, id}, fence) {
		if (fence < (this.#fences.get(service) ?? 0)) {
			return {status: 409, body: {}};
		}

		this.#fences.set(service, fence);
		return {status: this.promote(service, id, fence) ? 200 : 409, body: {}};
	}

	#readOne(kind, name) {
		const found = this.get(kind, name);
		return found ? {status: 200, body: found} : {status: 404, body: {}};
	}

	async #read(kind, parameters) {
		if (!parameters.has('watch')) {
			const items = [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object);
			return {status: 200, body: {items, more: false, storeRevision: this.#revision}};
		}

		const from = Number(parameters.get('watch'));
		const endAt = performance.now() + Number(parameters.get('waitMs') ?? 0);
		for (;;) {
			if (from < this.#forgotten) {
				return {status: 410, body: {}};
			}

			const found = this.#history.filter(entry => entry.kind === kind && entry.object.meta.revision > from);
			const remainingMs = endAt - performance.now();
			if (found.length > 0 || remainingMs <= 0) {
				return {status: 200, body: {events: found.map(({object, tombstone}) => ({object, tombstone})), storeRevision: this.#revision}};
			}

			await this.#awaitChange(remainingMs);
		}
	}

	async #awaitChange(ms) {
		await new Promise(resolve => {
			const timer = setTimeout(() => wake(), ms);
			const wake = () => {
				clearTimeout(timer);
				this.#waiting.delete(wake);
				resolve();
			};

			this.#waiting.add(wake);
		});
	}

	#write(method, kind, {meta, spec}) {
		const known = this.get(kind, meta.name);
		if (method === 'POST') {
			return known ? {status: 409, body: known} : {status: 201, body: this.put(kind, meta.name, spec)};
		}

		if (!known) {
			return {status: 404, body: {}};
		}

		if (meta.revision !== undefined && meta.revision !== known.meta.revision) {
			return {status: 409, body: known};
		}

		return {status: 200, body: JSON.stringify(known.spec) === JSON.stringify(spec) ? known : this.put(kind, meta.name, spec)};
	}
}
