/**
Decisions and state changes of an entry host, recorded for logs and metrics.
*/

import type * as types from '../generated/types.js';
import type * as activities from './customers/activity.js';
import type * as limiters from './customers/limiter.js';

/** The inputs and the outcome of a decision. */
export type Fields = Readonly<Record<string, string | number | boolean>>;

/** How an attempt at a backend server ended; `undecided` if that shows nothing about the server, such as a cancelled attempt. */
export type Attempt = 'answered' | 'busy' | 'failed' | 'silent' | 'undecided';

/** Records decisions. Names are a fixed set of identifiers in kebab case. */
export abstract class Decisions {
	/** Reports the counts by customer as metrics. Does nothing where there are no metrics. */
	observeCustomers(_activity: activities.Activity): void {
		// Only the journal has metrics.
	}

	/** Records whether an operation of a customer was within its quota: counted, never logged. */
	admission(_customer: string, _result: limiters.Admission['kind']): void {
		// Only an implementation that exports metrics counts them.
	}

	/** Records how an attempt at a backend server ended: counted, never logged. */
	attempted(_service: string, _server: string, _result: Attempt): void {
		// Counted only where metrics are served.
	}

	/** Records a state change or an action of the host: infrequent, and always logged. */
	abstract record(name: string, fields: Fields): void;

	/** Records a decision about one request. Implementations may count some without logging them, to limit the log rate. */
	abstract request(name: string, id: string, fields: Fields): void;

	/** Records how a request ended: counted, never logged. */
	abstract ended(database: string, result: 'answered' | types.Refusal, latencyMs: number): void;
}

/** Discards everything; for tests. */
export class Silent extends Decisions {
	override record(): void {
		// Tests check outcomes instead.
	}

	override request(): void {
		// Tests check outcomes instead.
	}

	override ended(): void {
		// Tests check outcomes instead.
	}
}
