/**
A service as its owner runs it: executes the requests that callers sent to this host or that other hosts forwarded.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as acknowledgement from './acknowledgement.js';
import * as admission from './admission.js';
import type * as errors from './errors.js';
import type * as group from './group.js';
import * as read from './read.js';
import * as retry from './retry.js';
import type * as routing from './routing.js';
import * as settlement from './settlement.js';
import * as statement from './statement.js';
import * as transaction from './transaction.js';
import * as write from './write.js';

type Execute = (request: types.Request, permit: admission.Permit) => Promise<errors.Outcome<types.Answer>>;

/** Used where the configuration names no class. Nothing is assumed to be safe to repeat. */
const classDefaults: Omit<types.Class, 'kind'> = {
	idempotent: false,
	acknowledgement: 'durable',
	freshness: 'strict',
	maximumAgeMs: 0,
	deadlineMs: 5000,
	queueLimit: 200,
};

/**
A strict read holds a connection for only a part of its time in service: before that, it waits for its read point.
This number of reads for each connection keeps connections in use meanwhile.
*/
const readsPerConnection = 2;

/** Executes requests of one group. */
export class Service {
	readonly group: group.Group;
	readonly reader: read.Reader;
	readonly transactions: transaction.Transactions;
	/**
	Writes and transactions, as many as there are connections to the primary: one more would only wait in the pool,
	where no tenant's share is kept. They are apart from reads, so that writes that wait for a new primary leave the
	replicas to reads.
	*/
	readonly writes: admission.Admission;
	/** Reads, in proportion to the connections to all servers. */
	readonly reads: admission.Admission;
	readonly retries = new retry.Budget();
	readonly #writer: write.Writer;
	#settings: types.Service;

	/** `makeQueue` makes the order in which requests wait; other than the default one for measurements. */
	constructor(servers: group.Group, settings: types.Service, policy: routing.Policy, makeQueue = (): admission.Queue => new admission.DeficitRoundRobin()) {
		this.group = servers;
		this.#settings = settings;
		this.writes = new admission.Admission(servers.clock, makeQueue(), () => servers.share);
		this.reads = new admission.Admission(servers.clock, makeQueue(), () => servers.share * servers.servers.size * readsPerConnection);
		this.reader = new read.Reader(servers, policy, this.retries);
		const settled = new settlement.Settlement(servers);
		this.transactions = new transaction.Transactions(servers, settled);
		this.#writer = new write.Writer(servers, this.retries, settled);
	}

	/** Takes a newer configuration of the same servers. */
	configure(settings: types.Service): void {
		this.#settings = settings;
	}

	/**
	Executes a request. A request inside a transaction is not queued, since it holds a connection already.

	Errors: `not-run` when it is not admitted, else as `Reader`, `Writer` and `Transactions` state.
	*/
	async execute(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const found = findClass(this.#settings, request);
		switch (request.transaction) {
			case 'begin': {
				// Before it waits, it gives up the connection that others may be waiting for.
				await this.transactions.end(request.session);
				return this.#admit(this.writes, request, found, async (admitted, permit) => this.transactions.begin(admitted, permit, found.idempotent));
			}

			case 'within': {
				return this.transactions.within(request);
			}

			case 'commit': {
				return this.transactions.commit(request, {
					isIdempotent: found.idempotent,
					policy: acknowledgement.select(found.acknowledgement, this.group.clock),
				});
			}

			case 'rollback': {
				await this.transactions.end(request.session);
				return Either.right({
					kind: 'ok', affectedRows: 0, insertId: 0, position: null, server: '',
				});
			}

			case 'none': {
				return request.kind === 'read'
					? this.#admit(this.reads, request, found, async (admitted, permit) => this.#read(admitted, found, permit))
					: this.#admit(this.writes, request, found, async (admitted, permit) => this.#write(admitted, found, permit));
			}
		}
	}

	/** Waits for admission, then executes the request with the time that is left to it. */
	async #admit(queue: admission.Admission, request: types.Request, found: types.Class, execute: Execute): Promise<errors.Outcome<types.Answer>> {
		const started = this.group.clock.now();
		const permit = await queue.enter(request, found.queueLimit);
		if (Either.isLeft(permit)) {
			return permit;
		}

		const waitedMs = this.group.clock.now() - started;
		return execute({...request, deadlineMs: Math.max(1, request.deadlineMs - waitedMs)}, permit.right);
	}

	async #read(request: types.Request, found: types.Class, permit: admission.Permit): Promise<errors.Outcome<types.Answer>> {
		try {
			return await this.reader.execute(request, found.freshness);
		} finally {
			permit.release();
		}
	}

	async #write(request: types.Request, found: types.Class, permit: admission.Permit): Promise<errors.Outcome<types.Answer>> {
		try {
			return await this.#executeWrite(request, found, permit);
		} finally {
			permit.release();
		}
	}

	async #executeWrite(request: types.Request, found: types.Class, permit: admission.Permit): Promise<errors.Outcome<types.Answer>> {
		const classified = statement.classify(request.sql);
		if (Either.isLeft(classified)) {
			return classified;
		}

		return this.#writer.execute(request, {
			permit,
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
