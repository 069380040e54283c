/**
Client of the platform's object store.
*/
import * as Either from 'fp-ts/lib/Either.js';
import * as errors from '../core/errors.js';
import * as validators from '../generated/stored.js';
import type * as types from '../generated/types.js';
import * as objects from '../entry/objects.js';
import * as decode from './decode.js';
import type * as http from './http.js';

/** Names of the kinds in the store. */
const storedNames: Readonly<Record<objects.Kind, string>> = {
	configuration: 'config', servers: 'servers', hosts: 'sycamorering-hosts', claims: 'sycamorering-claims',
};

/** Timeout of one call, many times the response time of a healthy store. */
const timeoutMs = 1000;
const statusOk = 200;
const statusCreated = 201;
const statusNotFound = 404;
const statusConflict = 409;
const statusGone = 410;

/** The object store over HTTP. */
export class Objects extends objects.Objects {
	readonly #client: http.Client;

	constructor(client: http.Client) {
		super();
		this.#client = client;
	}

	override async list<K extends objects.Kind>(kind: K): Promise<errors.Outcome<objects.Listing<K>>> {
		const items: Array<objects.Item<K>> = [];
		let after = '';
		// The revision of the first page. Later pages may be newer, and a watch from it only repeats changes that they contain.
		let revision: number | undefined;
		for (;;) {
			const outcome = await this.#call({method: 'GET', path: `${pathOf(kind)}${after}`, timeoutMs});
			if (Either.isLeft(outcome)) {
				return outcome;
			}

			const {status, body} = outcome.right;
			if (status !== statusOk || !validators.validateStoredPage(body)) {
				return unexpectedResponse(kind, status);
			}

			items.push(...body.items.map(item => toItem(kind, item)));
			revision ??= body.storeRevision;
			const last = body.items.at(-1)?.meta.name;
			if (!body.more || last === undefined) {
				return Either.right({items, revision});
			}

			after = `?after=${encodeURIComponent(last)}`;
		}
	}

	override async watch<K extends objects.Kind>(kind: K, revision: number, waitMs: number): Promise<errors.Outcome<objects.Changes<K>>> {
		const outcome = await this.#call({method: 'GET', path: `${pathOf(kind)}?watch=${revision}&waitMs=${waitMs}`, timeoutMs: timeoutMs + waitMs});
		if (Either.isLeft(outcome)) {
			return outcome;
		}

		const {status, body} = outcome.right;
		if (status === statusGone) {
			return Either.right({changes: [], revision, isLost: true});
		}

		return status === statusOk && validators.validateStoredEvents(body)
			? Either.right({
				changes: body.events.map(({object, tombstone}) => ({name: object.meta.name, item: tombstone ? undefined : toItem(kind, object)})),
				revision: body.storeRevision,
				isLost: false,
			})
			: unexpectedResponse(kind, status);
	}

	override async read<K extends objects.Kind>(kind: K, name: string): Promise<errors.Outcome<objects.Item<K> | undefined>> {
		const outcome = await this.#call({method: 'GET', path: pathOf(kind, name), timeoutMs});
		return Either.isRight(outcome) && outcome.right.status === statusNotFound ? Either.right(undefined) : parseItem(kind, outcome);
	}

	override async create<K extends objects.Kind>(kind: K, name: string, value: objects.Values[K]): Promise<errors.Outcome<objects.Item<K>>> {
		const body = {meta: {name}, spec: value};
		return parseItem(kind, await this.#call({
			method: 'POST', path: pathOf(kind), body, timeoutMs,
		}));
	}

	override async replace<K extends objects.Kind>(kind: K, name: string, value: objects.Values[K], revision: number): Promise<errors.Outcome<objects.Item<K>>> {
		const body = {meta: {name, revision}, spec: value};
		return parseItem(kind, await this.#call({
			method: 'PUT', path: pathOf(kind, name), body, timeoutMs,
		}));
	}

	async #call(call: http.Call): Promise<errors.Outcome<http.Response>> {
		return this.#client.call(call);
	}
}

function pathOf(kind: objects.Kind, name?: string): string {
	return `/objects/${storedNames[kind]}${name === undefined ? '' : `/${encodeURIComponent(name)}`}`;
}

function toItem<K extends objects.Kind>(kind: K, {meta, spec}: types.StoredObject): objects.Item<K> {
	return {name: meta.name, revision: meta.revision, ...decode.decoders[kind](meta.name, spec)};
}

/** Parses the response to a call for one object. */
function parseItem<K extends objects.Kind>(kind: K, outcome: errors.Outcome<http.Response>): errors.Outcome<objects.Item<K>> {
	if (Either.isLeft(outcome)) {
		return outcome;
	}

	const {status, body} = outcome.right;
	if (status === statusConflict || status === statusNotFound) {
		return errors.fail('conflict', 'store', kind, `HTTP status ${status}`);
	}

	return (status === statusOk || status === statusCreated) && validators.validateStoredObject(body)
		? Either.right(toItem(kind, body))
		: unexpectedResponse(kind, status);
}

function unexpectedResponse(kind: objects.Kind, status: number): errors.Outcome<never> {
	return errors.fail('store', 'store', kind, `HTTP status ${status} or an unexpected body`);
}
