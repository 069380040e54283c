/**
Client of the platform's object store. The store's revisions and its era, which rises each time the store is restored from
a copy, become revisions that increase across restorations.
*/
import * as Either from 'fp-ts/lib/Either.js';
import * as errors from '../core/errors.js';
import * as validators from '../generated/stored.js';
import type * as types from '../generated/types.js';
import * as objects from '../entry/objects.js';
import * as revisions from '../entry/revision.js';
import * as validation from '../entry/validation.js';
import * as decode from './decode.js';
import type * as http from './http.js';

/** Names of the kinds in the store. */
const storedNames: Readonly<Record<objects.Kind, string>> = {
	configuration: 'config', servers: 'servers', hosts: 'sycamorering-hosts', claims: 'sycamorering-claims', 'in-sync': 'sycamorering-in-sync',
};

/** Timeout of one call, many times the response time of a healthy store. */
const timeoutMs = 1000;
const statusOk = 200;
const statusCreated = 201;
const statusNotFound = 404;
const statusConflict = 409;
const statusGone = 410;

const eraHeader = 'store-era';
/**
Era of a store that was never restored. Its revisions are used as they are, so hosts of builds that don't know the header
understand them. A response without the header counts as one of this era.
*/
const firstEra = 1;

/** A response, and the generation that the store was in when it sent it. */
type DatedResponse = {readonly status: number; readonly body: unknown; readonly generation: number};

/** The object store over HTTP. */
export class Objects extends objects.Objects {
	readonly #client: http.Client;
	/** Highest generation of the store seen so far. */
	#generation = 0;
	/** Aborts when the store answers in a newer generation. */
	#restored = new AbortController();

	constructor(client: http.Client) {
		super();
		this.#client = client;
	}

	override async list<K extends objects.Kind>(kind: K): Promise<errors.Outcome<objects.Listing<K>>> {
		const items: Array<objects.Item<K>> = [];
		const unreadable: string[] = [];
		let after = '';
		// The revision of the first page. Later pages may be newer, and a watch from it only repeats changes that they contain.
		let revision: number | undefined;
		for (;;) {
			const outcome = await this.#call({method: 'GET', path: `${pathOf(kind)}${after === '' ? '' : `?after=${encodeURIComponent(after)}`}`, timeoutMs});
			if (Either.isLeft(outcome)) {
				return outcome;
			}

			const {status, body, generation} = outcome.right;
			if (status !== statusOk || !validators.validateStoredPage(body)) {
				return unexpectedResponse(kind, status);
			}

			revision ??= revisions.combine({generation, counter: body.storeRevision});
			if (revisions.split(revision).generation !== generation) {
				return errors.fail('store', 'store', kind, 'the store was restored between two pages of the list');
			}

			const page = readEach(validators.validateStoredObject, body.items);
			items.push(...page.values.map(item => toItem(kind, item, generation)));
			unreadable.push(...page.faults);
			if (!body.more || body.items.length === 0) {
				return Either.right({items, revision, unreadable});
			}

			const last = page.values.at(-1)?.meta.name;
			if (last === undefined || last === after) {
				return errors.fail('store', 'store', kind, `no name to continue the list from: ${page.faults[0] ?? 'a page was repeated'}`);
			}

			after = last;
		}
	}

	override async watch<K extends objects.Kind>(kind: K, revision: number, waitMs: number, signal: AbortSignal): Promise<errors.Outcome<objects.Changes<K>>> {
		const {generation, counter} = revisions.split(revision);
		const lost = Either.right({
			changes: [], revision, isLost: true, unreadable: [],
		});
		if (generation < this.#generation) {
			return lost;
		}

		const outcome = await this.#call({
			method: 'GET', path: `${pathOf(kind)}?watch=${counter}&waitMs=${waitMs}`, timeoutMs: timeoutMs + waitMs, signals: [this.#restored.signal, signal],
		});
		// The counter has another meaning since, whether this response or one to another call showed the restoration.
		if (generation < this.#generation) {
			return lost;
		}

		if (Either.isLeft(outcome)) {
			return outcome;
		}

		const {status, body, generation: responseGeneration} = outcome.right;
		if (status === statusGone) {
			return lost;
		}

		if (status !== statusOk || responseGeneration !== generation || !validators.validateStoredEvents(body)) {
			return unexpectedResponse(kind, status);
		}

		const events = readEach(validators.validateStoredEvent, body.events);
		return Either.right({
			changes: events.values.map(({object, tombstone}) => ({name: object.meta.name, item: tombstone ? undefined : toItem(kind, object, generation)})),
			revision: revisions.combine({generation, counter: body.storeRevision}),
			isLost: false,
			unreadable: events.faults,
		});
	}

	override async read<K extends objects.Kind>(kind: K, name: string): Promise<errors.Outcome<objects.Item<K> | undefined>> {
		const outcome = await this.#call({method: 'GET', path: pathOf(kind, name), timeoutMs});
		return Either.isRight(outcome) && outcome.right.status === statusNotFound ? Either.right(undefined) : parseItem(kind, outcome);
	}

	override async create<K extends objects.Kind>(kind: K, name: string, value: objects.Values[K]): Promise<errors.Outcome<objects.Item<K>>> {
		const body = {meta: {name}, spec: value};
		const outcome = await this.#call({
			method: 'POST', path: pathOf(kind), body, timeoutMs,
		});
		return Either.isRight(outcome) && outcome.right.generation < this.#generation
			? errors.fail('store', 'store', kind, `the store was restored since it stored ${name}`)
			: parseItem(kind, outcome);
	}

	override async replace<K extends objects.Kind>(kind: K, name: string, value: objects.Values[K], revision: number): Promise<errors.Outcome<objects.Item<K>>> {
		const {generation, counter} = revisions.split(revision);
		const restored = errors.fail('conflict', 'store', kind, `the store was restored since ${name} had the revision`);
		if (generation < this.#generation) {
			return restored;
		}

		const body = {meta: {name, revision: counter}, spec: value};
		const outcome = await this.#call({
			method: 'PUT', path: pathOf(kind, name), body, timeoutMs,
		});
		// Another object may have had the counter in the store's new generation, so the condition says nothing.
		return generation < this.#generation ? restored : parseItem(kind, outcome);
	}

	/** Makes a call, and ends watches of an older generation if the response shows that the store was restored. */
	async #call(call: http.Call): Promise<errors.Outcome<DatedResponse>> {
		const outcome = await this.#client.call(call);
		if (Either.isLeft(outcome)) {
			return outcome;
		}

		const {status, body, headers} = outcome.right;
		const generation = Math.max(0, Number(headers[eraHeader] ?? firstEra) - firstEra);
		if (!Number.isInteger(generation) || generation > revisions.maxGeneration) {
			return errors.fail('store', 'store', call.path, `invalid header ${eraHeader}: ${String(headers[eraHeader])}`);
		}

		if (generation > this.#generation) {
			this.#generation = generation;
			this.#restored.abort();
			this.#restored = new AbortController();
		}

		return Either.right({status, body, generation});
	}
}

function pathOf(kind: objects.Kind, name?: string): string {
	return `/objects/${storedNames[kind]}${name === undefined ? '' : `/${encodeURIComponent(name)}`}`;
}

/** Reads each value by itself. `faults` describes those that are left out. */
function readEach<T>(validate: validation.Validator<T>, values: readonly unknown[]): {values: T[]; faults: string[]} {
	const checked = values.map(value => validation.check(validate, value));
	return {
		values: checked.flatMap(({value}) => value === undefined ? [] : [value]),
		faults: checked.flatMap(({fault}) => fault === '' ? [] : [fault]),
	};
}

function toItem<K extends objects.Kind>(kind: K, {meta, spec}: types.StoredObject, generation: number): objects.Item<K> {
	return {name: meta.name, revision: revisions.combine({generation, counter: meta.revision}), ...decode.decoders[kind](meta.name, spec)};
}

/** Parses the response to a call for one object. */
function parseItem<K extends objects.Kind>(kind: K, outcome: errors.Outcome<DatedResponse>): errors.Outcome<objects.Item<K>> {
	if (Either.isLeft(outcome)) {
		return outcome;
	}

	const {status, body, generation} = outcome.right;
	if (status === statusConflict || status === statusNotFound) {
		return errors.fail('conflict', 'store', kind, `HTTP status ${status}`);
	}

	return (status === statusOk || status === statusCreated) && validators.validateStoredObject(body)
		? Either.right(toItem(kind, body, generation))
		: unexpectedResponse(kind, status);
}

function unexpectedResponse(kind: objects.Kind, status: number): errors.Outcome<never> {
	return errors.fail('store', 'store', kind, `HTTP status ${status} or an unexpected body`);
}
