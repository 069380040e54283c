/**
A connection without a socket, for tests.
*/
import type * as budget from '../budget.js';
import * as guests from '../guest.js';
import type * as watch from '../watch.js';

export class Guest extends guests.Guest {
	override readonly side = 'caller';
	override activity: watch.Activity = {kind: 'idle', mark: 0};
	override idleSince: number | undefined = 0;
	/** Limits for which the connection was closed. */
	readonly causes: guests.Cause[] = [];
	resumed = 0;
	account: budget.Account | undefined;

	override shed(cause: guests.Cause): void {
		this.causes.push(cause);
		this.account?.close();
	}

	override resume(): void {
		this.resumed++;
	}
}
