/**
Where the work of sessions is done: on this host's own connections, or by another host that has some.
*/
import type * as types from '../generated/types.js';
import type * as jobs from './job.js';
import type * as leases from './lease.js';
import * as statement from './statement.js';

/** An open transaction of one session. */
export abstract class Transaction {
	readonly job: jobs.Job;

	constructor(job: jobs.Job) {
		this.job = job;
	}

	get state(): types.TransactionState {
		return this.isFailed ? 'failed' : 'open';
	}

	/** The refusal of a statement in a transaction that has failed. */
	refusal(): statement.Reply {
		return statement.refuse(this.isLost ? 'aborted' : 'malformed', 'the transaction has failed; roll it back', 'failed');
	}

	/** Whether it can't commit any more. */
	abstract get isFailed(): boolean;

	/** Whether its server connection is gone, so that it has been rolled back. */
	abstract get isLost(): boolean;

	/** Runs a statement on the transaction's connection. */
	abstract run(work: leases.Work, timeoutMs: number): Promise<statement.Reply>;

	/** Commits, under the id and the text that the caller gave. */
	abstract commit(id: string, text: string, timeoutMs: number): Promise<statement.Reply>;

	/** Rolls back and gives the connection back. */
	abstract rollback(): Promise<void>;

	/** Rolls back before the caller asked for it. The caller is told with its next statement. */
	abstract expire(reason: string): Promise<void>;
}

/** Does the work of sessions. */
export abstract class Executor {
	/** Prepares for work in a service, since a session that needs it has begun. */
	abstract expect(service: string): void;

	/** Runs a statement outside a transaction. */
	abstract run(job: jobs.Job, work: leases.Work): Promise<statement.Reply>;

	/** Opens a transaction, or gives the refusal. */
	abstract begin(job: jobs.Job, mode: types.AccessMode): Promise<Transaction | statement.Reply>;
}
