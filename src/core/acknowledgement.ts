/**
Policies that decide when a committed write may be acknowledged to its caller.
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

	Errors: `outcome-unknown` if no decision is reached within `timeoutMs`, or a majority can't confirm the write.
	*/
	abstract confirm(group: observer.Group, primary: string, committed: position.Position, timeoutMs: number): Promise<errors.Outcome<void>>;
}

/** A policy that requires confirmation by a majority of the servers, including the primary. */
abstract class Majority extends Policy {
	readonly #clock: clock.Clock;

	constructor(time: clock.Clock) {
		super();
		this.#clock = time;
	}

	override async confirm(group: observer.Group, primary: string, committed: position.Position, timeoutMs: number): Promise<errors.Outcome<void>> {
		const replicas = [...group.servers.values()].filter(server => server.name !== primary);
		// The primary counts towards the majority, since it held its term when it committed the write.
		const needed = group.majority - 1;
		let agreed = 0;
		let refused = 0;
		const decided = new Promise<'agreed' | 'refused'>(resolve => {
			const query = async (server: observer.Server): Promise<void> => {
				const observation = await this.query(server, committed, timeoutMs);
				if (observation && this.confirms(observation, committed)) {
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
				void query(server);
			}

			if (needed === 0) {
				resolve('agreed');
			}
		});
		const decision = await this.#clock.limit(decided, timeoutMs);
		if (decision === 'agreed') {
			return Either.right(undefined);
		}

		const reason = decision === 'refused' ? 'too many replicas report a newer term, have lost the write, or did not respond' : `no majority confirmed the write within ${Math.round(timeoutMs)} ms`;
		return errors.fail('outcome-unknown', 'acknowledge', primary, reason);
	}

	protected abstract query(server: observer.Server, committed: position.Position, timeoutMs: number): Promise<observer.Observation | undefined>;

	protected abstract confirms(observation: observer.Observation, committed: position.Position): boolean;
}

/**
Requires that a majority holds the write and reports no term above the write's. Since a failover promotes the most
advanced server of a majority, the write survives every later failover.
*/
export class Durable extends Majority {
	protected override async query(server: observer.Server, committed: position.Position, timeoutMs: number): Promise<observer.Observation | undefined> {
		// A replica in a newer term can never confirm the write. The wait for it ends, so that the outcome can be determined
		// at the new primary at once.
		return server.awaitPosition(committed, timeoutMs, committed.term);
	}

	protected override confirms({status}: observer.Observation, committed: position.Position): boolean {
		return status.term <= committed.term && position.relate(status, committed) === 'contains';
	}
}

/** Requires only that a majority reports no term above the write's. The write can be lost with its primary. */
export class Fenced extends Majority {
	protected override async query(server: observer.Server, _committed: position.Position, timeoutMs: number): Promise<observer.Observation | undefined> {
		return server.observe(timeoutMs);
	}

	protected override confirms({status}: observer.Observation, committed: position.Position): boolean {
		return status.term <= committed.term;
	}
}

/**
Returns the policy for the acknowledgement setting of a class.

@example
```
const policy = acknowledgement.select('durable', new clock.System());
```
*/
export function select(name: types.Acknowledgement, time: clock.Clock): Policy {
	return name === 'durable' ? new Durable(time) : new Fenced(time);
}

/**
Whether an answer says where its commit is in the log. Without that, no policy can confirm the commit.

@example
```
const confirmed = acknowledgement.hasPosition(answer) ? await policy.confirm(observer, answer.server, answer.position, 500) : undefined;
```
*/
export function hasPosition(answer: types.Answer): answer is types.Completion & {readonly position: position.Position} {
	return answer.kind === 'ok' && answer.position !== null;
}
