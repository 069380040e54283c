/**
A connection without a socket, for tests.
*/
import type * as budget from '../budget.js';
import * as inbound from '../inbound.js';
import type * as watch from '../watch.js';

export class Connection extends inbound.Connection {
	override readonly side = 'caller';
	override activity: watch.Activity = {kind: 'idle', mark: 0};
	override idleSince: number | undefined = 0;
	/** Limits for which the connection was closed. */
	readonly causes: inbound.Cause[] = [];
	resumed = 0;
	account: budget.Account | undefined;

	override shed(cause: inbound.Cause): void {
		this.causes.push(cause);
		this.account?.close();
	}

	override resume(): void {
		this.resumed++;
	}
}
