/**
Confirmation of commits to their callers.

An acknowledgement of a leader reaches its caller only through a host, so hosts fence a leader that no order reaches: while
a failover is in progress, they withhold the commits that it acknowledges, until the failover shows whether the next leader
has them. A commit that is withheld for too long is in doubt.
*/
import type * as clock from '../core/clock.js';
import * as notifier from '../core/notifier.js';
import type * as statement from './statement.js';

export type Options = {
	readonly clock: clock.Clock;
	/** Whether this host can neither see the claims in the store nor be reached by another host. */
	readonly isIsolated: () => boolean;
};

/** How a suspension ended: the next leader has what was withheld, or may lack it. */
export type Result = 'kept' | 'discarded';

/** Commits of terms below `term` are withheld. `token` is the fencing token of the claim. */
type Suspension = {readonly term: number; readonly token: number; readonly since: number; result: Result | undefined};
/** The claim of a host that has not told this one yet what it does. */
type Claim = {readonly token: number; readonly seenAt: number};
type Verdict = 'confirmed' | 'withheld' | 'discarded';

/** Time after which a suspension or a claim without news ends: other hosts may claim again, see `claims.ts`. */
const maxSuspensionMs = 4000;
/** Interval at which a withheld commit is judged again without news: an isolated host may regain its links. */
const recheckMs = 100;

/** Confirms the commits of one service. */
export class Confirmations {
	readonly #options: Options;
	readonly #changed = new notifier.Notifier();
	#suspension: Suspension | undefined;
	#claim: Claim | undefined;
	/** The highest token of which a claimant has told this host whether commits have to be withheld. */
	#announcedToken = 0;
	#leaderTerm = 0;
	#acknowledgedAt = Number.NEGATIVE_INFINITY;
	#withheld = 0;

	constructor(options: Options) {
		this.#options = options;
	}

	/** Clock time at which the leader last acknowledged a commit to this host. */
	get acknowledgedAt(): number {
		return this.#acknowledgedAt;
	}

	/** Number of commits withheld since the last suspension. */
	get withheld(): number {
		return this.#withheld;
	}

	/** Highest term of a leader that this host has found, 0 before the first. */
	get leaderTerm(): number {
		return this.#leaderTerm;
	}

	/** Withholds the commits of all terms below `term`. An older token than that of the last suspension is ignored. */
	suspend(term: number, token: number): void {
		if (token < (this.#suspension?.token ?? 0)) {
			return;
		}

		this.#withheld = this.#suspension?.token === token ? this.#withheld : 0;
		this.#suspension = {
			term, token, since: this.#options.clock.now(), result: undefined,
		};
		this.#recordAnnouncement(token);
	}

	/** Ends the suspension of a claim, and announces that the claim needs none. */
	end(token: number, result: Result): void {
		if (this.#suspension?.token === token) {
			this.#suspension.result = result;
		}

		this.#recordAnnouncement(token);
		this.#changed.notify();
	}

	/** Records the claim of another host, which was read from the store. Commits are withheld until that host says more. */
	recordClaim(token: number): void {
		if (token > this.#announcedToken && this.#leaderTerm > 0) {
			this.#claim = {token, seenAt: this.#options.clock.now()};
		}
	}

	/** Records that a leader was found. What the leaders of earlier terms acknowledge is no longer confirmed. */
	recordLeader(term: number): void {
		this.#leaderTerm = Math.max(this.#leaderTerm, term);
		this.#claim = undefined;
		this.#changed.notify();
	}

	/**
	Whether the caller may be told that a commit was made whose reply carried `logEnd`. Waits for up to `timeoutMs` while
	the commit has to be withheld; false if its outcome is then unknown. Without any time left the reply was read late, after
	a stop of this process, in which a failover may have begun whose announcement is unread.

	@example
	```
	const isConfirmed = await group.confirmations.confirm(reply.position, 500);
	```
	*/
	async confirm(logEnd: statement.Position, timeoutMs: number): Promise<boolean> {
		const {clock: time} = this.#options;
		const receivedAt = time.now();
		this.#acknowledgedAt = receivedAt;
		let verdict = timeoutMs > 0 ? this.#judge(logEnd, receivedAt) : 'discarded';
		if (verdict === 'withheld') {
			this.#withheld++;
		}

		for (let remainingMs = timeoutMs; verdict === 'withheld' && remainingMs > 0; remainingMs = receivedAt + timeoutMs - time.now()) {
			await time.limit(this.#changed.next(), Math.min(remainingMs, recheckMs));
			verdict = this.#judge(logEnd, receivedAt);
		}

		return verdict === 'confirmed';
	}

	#judge({term}: statement.Position, receivedAt: number): Verdict {
		const isRecent = this.#suspension !== undefined && receivedAt - this.#suspension.since < maxSuspensionMs;
		const suspension = this.#suspension && isRecent && term < this.#suspension.term ? this.#suspension : undefined;
		if (suspension && suspension.result !== 'kept') {
			return this.#judgeSuspended(suspension);
		}

		if (!suspension && term < this.#leaderTerm) {
			return 'discarded';
		}

		const isClaimed = this.#claim !== undefined && receivedAt - this.#claim.seenAt < maxSuspensionMs;
		return isClaimed || this.#options.isIsolated() ? 'withheld' : 'confirmed';
	}

	#judgeSuspended({term, result}: Suspension): Verdict {
		return result === 'discarded' || this.#leaderTerm >= term ? 'discarded' : 'withheld';
	}

	#recordAnnouncement(token: number): void {
		this.#announcedToken = Math.max(this.#announcedToken, token);
		if (this.#claim && this.#claim.token <= token) {
			this.#claim = undefined;
		}
	}
}
