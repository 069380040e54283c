/**
The record of what an entry host decides and comes to believe, for logs and metrics.
*/

import type * as types from '../generated/types.js';

/** What a decision rested on and how it ended. */
export type Fields = Readonly<Record<string, string | number | boolean>>;

/** Takes decisions. `name` is one of a fixed set of words joined by hyphens. */
export abstract class Decisions {
	/** A change of what the host believes, or a step of its own: rare, and always written. */
	abstract record(name: string, fields: Fields): void;

	/** A decision that touches one request. Under load some are only counted. */
	abstract request(name: string, id: string, fields: Fields): void;

	/** How a request ended; counted, never written. */
	abstract ended(database: string, result: 'answered' | types.Refusal, latencyMs: number): void;
}

/** Drops everything; for tests. */
export class Silent extends Decisions {
	override record(): void {
		// Tests look at outcomes.
	}

	override request(): void {
		// Tests look at outcomes.
	}

	override ended(): void {
		// Tests look at outcomes.
	}
}
