/**
Ends the sessions that the configuration in force no longer admits.
*/
import type * as decisions from '../decisions.js';

/** A session, as far as its authorization is concerned. */
export type Session = {
	/**
	Ends the session if the configuration in force doesn't admit it. Returns the name of its customer, or an empty name if it
	has none, if the session ends by this call.
	*/
	review(): string | undefined;
};

/** Number of customers that the line about ended sessions names. */
const maxNamed = 8;

/**
Ends the sessions that the configuration in force no longer admits, and records their number.

@example
```
revocation.review(sessions, 7, decisions);
```
*/
export function review(sessions: Iterable<Session>, version: number, record: decisions.Decisions): void {
	const counts = new Map<string, number>();
	for (const session of sessions) {
		const customer = session.review();
		if (customer !== undefined) {
			counts.set(customer, (counts.get(customer) ?? 0) + 1);
		}
	}

	if (counts.size > 0) {
		const ordered = [...counts].toSorted(([, one], [, other]) => other - one);
		record.record('sessions-revoked', {
			version,
			sessions: ordered.reduce((sum, [, count]) => sum + count, 0),
			customers: ordered.slice(0, maxNamed).map(([name, count]) => `${count} ${name === '' ? '(public route)' : name}`).join(', '),
			otherCustomers: Math.max(0, ordered.length - maxNamed),
		});
	}
}
