/**
A stand-in for the platform: the object store with revisions and watches, and the calls for promotions with fencing
tokens. It listens on loopback addresses and behaves as PROTOCOL.md says; a script may silence it for some hosts.
*/
import * as http from 'node:http';

const historyMs = 20_000;

export class Platform {
	/** Called with the service and the id of a server to promote; returns false if it isn't running. */
	promote = () => true;
	/** Time in ms after which the next call for a promotion is carried out, without an answer; `undefined` to answer it at once. */
	lateMs;
	/** The highest token seen, by service. */
	tokens = new Map();
	revision = 1;
	objects = new Map();
	events = [];
	waiting = new Set();
	servers = [];
	/** The calls for a promotion. */
	calls = [];

	/** Listens for one host; `isCut` tells whether its calls get no answer. */
	async listen(isCut = () => false) {
		const server = http.createServer((request, response) => {
			let text = '';
			request.on('data', chunk => {
				text += chunk;
			});
			request.on('end', () => {
				if (!isCut()) {
					this.#handle(request, response, text === '' ? undefined : JSON.parse(text), isCut);
				}
			});
		});
		this.servers.push(server);
		await new Promise(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${server.address().port}`;
	}

	put(kind, name, spec) {
		this.revision++;
		const object = {
			meta: {
				name, revision: this.revision, created: 1, finalizers: [], deleting: false,
			}, spec, status: null,
		};
		this.objects.set(`${kind}/${name}`, object);
		this.#emit(kind, object, false);
		return object;
	}

	remove(kind, name) {
		const object = this.objects.get(`${kind}/${name}`);
		if (object) {
			this.revision++;
			this.objects.delete(`${kind}/${name}`);
			this.#emit(kind, object, true);
		}
	}

	close() {
		for (const server of this.servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	#emit(kind, object, tombstone) {
		this.events.push({
			kind, at: Date.now(), revision: this.revision, object, tombstone,
		});
		while (this.events[0].at < Date.now() - historyMs) {
			this.events.shift();
		}

		for (const wake of this.waiting) {
			wake();
		}
	}

	#handle(request, response, body, isCut) {
		const respond = (status, content) => {
			if (!isCut() && !response.destroyed) {
				response.writeHead(status, {'content-type': 'application/json', 'store-era': '1'});
				response.end(JSON.stringify(content));
			}
		};

		const url = new URL(request.url, 'http://store');
		const [, root, kind, encoded] = url.pathname.split('/');
		const name = encoded === undefined ? undefined : decodeURIComponent(encoded);
		if (root === 'promotion') {
			this.#handleOrder(request, body, respond);
		} else if (request.method === 'POST') {
			const current = this.objects.get(`${kind}/${body.meta.name}`);
			respond(...(current ? [409, current] : [201, this.put(kind, body.meta.name, body.spec)]));
		} else if (request.method === 'PUT') {
			const current = this.objects.get(`${kind}/${name}`);
			const isConflict = current && body.meta.revision !== undefined && body.meta.revision !== current.meta.revision;
			const isSame = current && JSON.stringify(current.spec) === JSON.stringify(body.spec);
			if (!current || isConflict) {
				respond(current ? 409 : 404, current ?? {});
			} else {
				respond(200, isSame ? current : this.put(kind, name, body.spec));
			}
		} else if (name !== undefined) {
			const found = this.objects.get(`${kind}/${name}`);
			respond(found ? 200 : 404, found ?? {});
		} else if (url.searchParams.has('watch')) {
			this.#watch(kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('waitMs')), respond);
		} else {
			const items = [...this.objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object);
			respond(200, {items, more: false, storeRevision: this.revision});
		}
	}

	#handleOrder({headers}, body, respond) {
		const call = {
			at: Date.now(), service: body.service, id: body.id, token: Number(headers['x-fencing-token']), holder: headers['x-lease-holder'], lateMs: this.lateMs,
		};
		this.calls.push(call);
		if (this.lateMs === undefined) {
			respond(...this.#order(call));
			return;
		}

		this.lateMs = undefined;
		setTimeout(() => {
			this.#order(call);
		}, call.lateMs);
	}

	/** Carries out a call for a promotion. Its token is checked now. */
	#order(call) {
		const {service, id, token} = call;
		const isOld = token < (this.tokens.get(service) ?? 0);
		if (!isOld) {
			this.tokens.set(service, token);
		}

		call.isAccepted = !isOld && this.promote(service, id);
		return call.isAccepted ? [200, {}] : [409, {error: isOld ? 'a higher token was seen' : 'not running'}];
	}

	#watch(kind, revision, waitMs, respond) {
		const oldest = this.events[0]?.revision ?? this.revision + 1;
		if (revision < oldest - 1) {
			respond(410, {});
			return;
		}

		const finish = isExpired => {
			const events = this.events.filter(event => event.kind === kind && event.revision > revision).map(({object, tombstone}) => ({object, tombstone}));
			if (events.length > 0 || isExpired) {
				this.waiting.delete(wake);
				clearTimeout(timer);
				respond(200, {events, storeRevision: this.revision});
			}
		};

		const wake = () => finish(false);
		const timer = setTimeout(() => finish(true), waitMs);
		this.waiting.add(wake);
		finish(false);
	}
}
