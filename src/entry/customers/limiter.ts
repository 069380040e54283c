/**
Limits on the operations of a customer over all hosts. An operation is a statement outside a transaction, or a
transaction.
*/
import type * as directories from './directory.js';
import type * as accounts from './quota/account.js';

/**
Whether an operation may run. `limited`: the customer is over its quota; `unknown`: this host can't find out, so another
host may admit it. A token stands for the operation where there are quotas.
*/
export type Admission =
	| {readonly kind: 'admitted'; readonly token?: accounts.Token}
	| {readonly kind: 'limited' | 'unknown'; readonly retryAfterMs: number};

/** Decides which operations of customers may run. */
export abstract class Limiter {
	/** Counts an operation against the customer's quota if it may run. */
	abstract admit(customer: directories.Customer): Promise<Admission>;

	/** Gives back what an admitted operation used, if the operation did not run. */
	abstract release(customer: directories.Customer, admission: Admission): void;
}

/** Admits every operation, where a deployment has no quotas. */
export class Unlimited extends Limiter {
	override async admit(): Promise<Admission> {
		return {kind: 'admitted'};
	}

	override release(): void {
		// Nothing was counted.
	}
}
