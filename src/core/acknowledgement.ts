/**
What must hold before a committed write is acknowledged to its caller.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as clock from './clock.js';
import * as errors from './errors.js';
import type * as observer from './observer.js';
import * as position from './position.js';

/** Decides whether a committed write may be acknowledged. */
export abstract class Policy {
	/**
	Waits until the write at `committed` may be acknowledged.

	Errors: `outcome-unknown` when that can't be established within `timeoutMs`.
	*/
	abstract confirm(group: observer.Group, primary: string, committed: position.Position, timeoutMs: number): Promise<errors.Outcome<void>>;
}

/** A policy that asks the replicas. */
abstract class Majority extends Policy {
	readonly #clock: clock.Clock;

	constructor(time: clock.Clock) {
		super();
		this.#clock = time;
	}

	override async confirm(group: observer.Group, primary: string, committed: position.Position, timeoutMs: number): Promise<errors.Outcome<void>> {
		const replicas = [...group.servers.values()].filter(server => server.name !== primary);
		// The primary is one of the majority: it held its term when it committed.
		const needed = group.majority - 1;
		let agreed = 0;
		let refused = 0;
		const decided = new Promise<'agreed' | 'refused'>(resolve => {
			const ask = async (server: observer.Server): Promise<void> => {
				const observation = await this.ask(server, committed, timeoutMs);
				if (observation && this.agrees(observation, committed)) {
					agreed++;
				} else {
					refused++;
				}

				if (agreed >= needed) {
					resolve('agreed');
				} else if (refused > replicas.length - needed) {
					resolve('refused');
				}
			};

			for (const server of replicas) {
				void ask(server);
			}

			if (needed === 0) {
				resolve('agreed');
			}
		});
		const decision = await this.#clock.limit(decided, timeoutMs);
		if (decision === 'agreed') {
			return Either.right(undefined);
		}

		const reason = decision === 'refused' ? 'the replicas report a newer term, or did not answer' : `no majority confirmed the write within ${Math.round(timeoutMs)} ms`;
		return errors.fail('outcome-unknown', 'acknowledge', primary, reason);
	}

	protected abstract ask(server: observer.Server, committed: position.Position, timeoutMs: number): Promise<observer.Observation | undefined>;

	protected abstract agrees(observation: observer.Observation, committed: position.Position): boolean;
}

/**
A majority reports a term not above the write's and holds the write. Since a promotion takes the most advanced server
of a majority, the write survives every later failover.
*/
export class Durable extends Majority {
	protected override async ask(server: observer.Server, committed: position.Position, timeoutMs: number): Promise<observer.Observation | undefined> {
		// A replica of a newer term will never agree, and its caller can settle the write at the new primary at once.
		return server.reach(committed, timeoutMs, committed.term);
	}

	protected override agrees({status}: observer.Observation, committed: position.Position): boolean {
		return status.term <= committed.term && position.relate(status, committed) === 'contains';
	}
}

/** A majority reports a term not above the write's. The write can be lost with its primary. */
export class Fenced extends Majority {
	protected override async ask(server: observer.Server, _committed: position.Position, timeoutMs: number): Promise<observer.Observation | undefined> {
		return server.observe(timeoutMs);
	}

	protected override agrees({status}: observer.Observation, committed: position.Position): boolean {
		return status.term <= committed.term;
	}
}

/** No check. A replaced primary may acknowledge; only for measurements beside the other two. */
export class Immediate extends Policy {
	override async confirm(): Promise<errors.Outcome<void>> {
		return Either.right(undefined);
	}
}

/**
The policy of a class.

@example
```
const policy = acknowledgement.select('durable', new clock.System());
```
*/
export function select(name: types.Acknowledgement, time: clock.Clock): Policy {
	return name === 'durable' ? new Durable(time) : new Fenced(time);
}
