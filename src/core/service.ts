/**
Executes the requests of a service on the host that owns its group: those of callers connected to this host and those
that other hosts forward.
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

/** Settings of a request whose class is not configured. No request is assumed to be safe to repeat. */
const classDefaults: Omit<types.Class, 'kind'> = {
	idempotent: false,
	acknowledgement: 'durable',
	freshness: 'strict',
	maximumAgeMs: 0,
	deadlineMs: 5000,
	queueLimit: 200,
};

/**
Reads in service for each connection. A strict read first waits for its read index without a connection, so that more
reads than connections are needed to keep the connections in use.
*/
const readsPerConnection = 2;

/** Executes the requests of one group. */
export class Service {
	readonly group: group.Group;
	readonly reader: read.Reader;
	readonly transactions: transaction.Transactions;
	/**
	Admission of writes and transactions, limited to the number of connections to the primary: any more would wait in
	the pool, which is not fair between tenants. Reads are admitted separately, so that writes waiting for a new primary
	don't keep reads from the replicas.
	*/
	readonly writes: admission.Admission;
	/** Admission of reads, in proportion to the connections to all servers. */
	readonly reads: admission.Admission;
	readonly retries = new retry.Budget();
	readonly #writer: write.Writer;
	#settings: types.Service;

	/** `makeQueue` creates the queues of waiting requests; only benchmarks replace the default. */
	constructor(backendGroup: group.Group, settings: types.Service, policy: routing.Policy, makeQueue = (): admission.Queue => new admission.DeficitRoundRobin()) {
		this.group = backendGroup;
		this.#settings = settings;
		this.writes = new admission.Admission(backendGroup.clock, makeQueue(), () => backendGroup.quota);
		this.reads = new admission.Admission(backendGroup.clock, makeQueue(), () => backendGroup.quota * backendGroup.servers.size * readsPerConnection);
		this.reader = new read.Reader(backendGroup, policy, this.retries);
		const resolver = new settlement.Settlement(backendGroup);
		this.transactions = new transaction.Transactions(backendGroup, resolver);
		this.#writer = new write.Writer(backendGroup, this.retries, resolver);
	}

	/** Applies a newer configuration with the same servers. */
	configure(settings: types.Service): void {
		this.#settings = settings;
	}

	/**
	Executes a request. A request inside a transaction is not queued, since its transaction already holds a connection.

	Errors: `not-run` if the request is not admitted, and those of `Reader`, `Writer` and `Transactions`.
	*/
	async execute(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const requestClass = findClass(this.#settings, request);
		switch (request.transaction) {
			case 'begin': {
				// Ends the previous transaction before the wait, so that other requests can use its connection.
				await this.transactions.end(request.session);
				return this.#admit(this.writes, request, requestClass, async (admitted, permit) => this.transactions.begin(admitted, permit, requestClass.idempotent));
			}

			case 'within': {
				return this.transactions.within(request);
			}

			case 'commit': {
				return this.transactions.commit(request, {
					isIdempotent: requestClass.idempotent,
					policy: acknowledgement.select(requestClass.acknowledgement, this.group.clock),
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
					? this.#admit(this.reads, request, requestClass, async (admitted, permit) => this.#read(admitted, requestClass, permit))
					: this.#admit(this.writes, request, requestClass, async (admitted, permit) => this.#write(admitted, requestClass, permit));
			}
		}
	}

	/** Waits for admission, then executes the request with the time that remains until its deadline. */
	async #admit(queue: admission.Admission, request: types.Request, requestClass: types.Class, execute: Execute): Promise<errors.Outcome<types.Answer>> {
		const startedAt = this.group.clock.now();
		const permit = await queue.enter(request, requestClass.queueLimit);
		if (Either.isLeft(permit)) {
			return permit;
		}

		const waitedMs = this.group.clock.now() - startedAt;
		return execute({...request, deadlineMs: Math.max(1, request.deadlineMs - waitedMs)}, permit.right);
	}

	async #read(request: types.Request, requestClass: types.Class, permit: admission.Permit): Promise<errors.Outcome<types.Answer>> {
		try {
			return await this.reader.execute(request, requestClass.freshness);
		} finally {
			permit.release();
		}
	}

	async #write(request: types.Request, requestClass: types.Class, permit: admission.Permit): Promise<errors.Outcome<types.Answer>> {
		try {
			return await this.#executeWrite(request, requestClass, permit);
		} finally {
			permit.release();
		}
	}

	async #executeWrite(request: types.Request, requestClass: types.Class, permit: admission.Permit): Promise<errors.Outcome<types.Answer>> {
		const classified = statement.classify(request.sql);
		if (Either.isLeft(classified)) {
			return classified;
		}

		return this.#writer.execute(request, {
			permit,
			isIdempotent: requestClass.idempotent,
			isRecordable: classified.right.isRecordable,
			policy: acknowledgement.select(requestClass.acknowledgement, this.group.clock),
		});
	}
}

/**
The settings of a request's class, or the defaults for its kind if the class is not configured.

@example
```
const {deadlineMs} = service.findClass(settings, {class: 'balance', kind: 'read'});
```
*/
export function findClass(settings: types.Service, request: Pick<types.Request, 'class' | 'kind'>): types.Class {
	const found = Object.hasOwn(settings.class, request.class) ? settings.class[request.class] : undefined;
	return found ?? {...classDefaults, kind: request.kind};
}
