/**
A service as its owner runs it: executes the requests that callers sent to this host or that other hosts forwarded.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as acknowledgement from './acknowledgement.js';
import type * as errors from './errors.js';
import type * as group from './group.js';
import * as read from './read.js';
import type * as routing from './routing.js';
import * as statement from './statement.js';
import * as transaction from './transaction.js';
import * as write from './write.js';

/** Used where the configuration names no class. Nothing is assumed to be safe to repeat. */
const classDefaults: Omit<types.Class, 'kind'> = {
	idempotent: false,
	acknowledgement: 'durable',
	freshness: 'strict',
	maximumAgeMs: 0,
	deadlineMs: 5000,
	queueLimit: 200,
};

/** Executes requests of one group. */
export class Service {
	readonly group: group.Group;
	readonly reader: read.Reader;
	readonly transactions: transaction.Transactions;
	readonly #writer: write.Writer;
	#settings: types.Service;

	constructor(servers: group.Group, settings: types.Service, policy: routing.Policy) {
		this.group = servers;
		this.#settings = settings;
		this.reader = new read.Reader(servers, policy);
		this.transactions = new transaction.Transactions(servers);
		this.#writer = new write.Writer(servers);
	}

	/** Takes a newer configuration of the same servers. */
	configure(settings: types.Service): void {
		this.#settings = settings;
	}

	/** Executes a request. Errors: as `Reader`, `Writer` and `Transactions` state. */
	async execute(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const found = findClass(this.#settings, request);
		switch (request.transaction) {
			case 'begin': {
				return this.transactions.begin(request);
			}

			case 'within': {
				return this.transactions.within(request);
			}

			case 'commit': {
				return this.transactions.commit(request, acknowledgement.select(found.acknowledgement, this.group.clock));
			}

			case 'rollback': {
				await this.transactions.end(request.session);
				return Either.right({
					kind: 'ok', affectedRows: 0, insertId: 0, position: null, server: '',
				});
			}

			case 'none': {
				return request.kind === 'read' ? this.reader.execute(request, found.freshness) : this.#write(request, found);
			}
		}
	}

	async #write(request: types.Request, found: types.Class): Promise<errors.Outcome<types.Answer>> {
		const classified = statement.classify(request.sql);
		if (Either.isLeft(classified)) {
			return classified;
		}

		return this.#writer.execute(request, {
			isIdempotent: found.idempotent,
			isRecordable: classified.right.isRecordable,
			policy: acknowledgement.select(found.acknowledgement, this.group.clock),
		});
	}
}

/**
The class of a request, or the defaults of its kind.

@example
```
const {deadlineMs} = service.findClass(settings, {class: 'balance', kind: 'read'});
```
*/
export function findClass(settings: types.Service, request: Pick<types.Request, 'class' | 'kind'>): types.Class {
	const found = Object.hasOwn(settings.class, request.class) ? settings.class[request.class] : undefined;
	return found ?? {...classDefaults, kind: request.kind};
}
