/**
The interface for executing sessions' statements on this host's own connections or at another host.
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

	/** The refusal of a statement in a failed transaction. */
	refusal(): statement.Reply {
		return statement.refuse(this.isLost ? 'aborted' : 'malformed', 'the transaction has failed and must be rolled back', 'failed');
	}

	/** Whether the transaction can no longer commit. */
	abstract get isFailed(): boolean;

	/** Whether the transaction was rolled back because its server connection was lost. */
	abstract get isLost(): boolean;

	/** Whether a COMMIT would change the service's log: the transaction has written and not failed. */
	abstract get hasChanges(): boolean;

	/** Executes a statement on the transaction's connection. */
	abstract run(work: leases.Work, timeoutMs: number): Promise<statement.Reply>;

	/** Commits with the caller's request id and text. */
	abstract commit(id: string, text: string, timeoutMs: number): Promise<statement.Reply>;

	/** Rolls back and releases the connection. */
	abstract rollback(): Promise<void>;

	/** Rolls back without a request of the caller. The reply to the caller's next statement reports the abort. */
	abstract abort(reason: string): Promise<void>;
}

/** Executes statements and opens transactions for sessions. */
export abstract class Executor {
	/** Prepares connections or links for a service when a session of a customer opens; without customers, `customer` is `undefined`. */
	abstract prepare(service: string, customer?: string): void;

	/** Executes a statement outside a transaction. */
	abstract run(job: jobs.Job, work: leases.Work): Promise<statement.Reply>;

	/** Opens a transaction, or returns the refusal. */
	abstract begin(job: jobs.Job, mode: types.AccessMode): Promise<Transaction | statement.Reply>;
}
