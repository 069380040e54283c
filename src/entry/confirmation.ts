/**
Confirmation of commits to their callers.

An acknowledgement of a server reaches its caller only through a host, so hosts are the place where a failover fences every
server that may lead: the old leader, and one that an order of an earlier attempt makes lead while another successor is
chosen. From the claim on, hosts withhold what servers acknowledge. Once the successor is chosen, they confirm what it
acknowledges and nothing of any other server. That holds until the authority has answered the order and the successor leads,
or the attempt was given up: a newer claim doesn't end an order that may still be carried out. A commit that is withheld for
too long is in doubt.

A host confirms a commit only while it can show that no order that could still be carried out takes the lead from the server
that acknowledged it. A process that has just started can't: it withholds all commits until its recovery ends, see
`recovery/recovery.ts`.
*/
import type * as clock from '../core/clock.js';
import * as notifier from '../core/notifier.js';
import type * as statement from './statement.js';

export type Options = {
	readonly clock: clock.Clock;
	/** Whether this host can neither see the claims in the store nor be reached by another host. */
	readonly isIsolated: () => boolean;
};

/** A commit as a server acknowledged it: the server, and the end of its log that the reply carried. */
export type Acknowledgement = {readonly server: string; readonly logEnd: statement.Position};

/** What becomes of the commits of earlier terms: the successor has them, or may lack them. */
export type Fate = 'kept' | 'discarded';

/**
Whose commits may be confirmed under a claim:

- `nobody`: the successor is not chosen yet.
- `leader`: only those of the present leader, until it steps down.
- `ordered`: only those of the server that the claim's order is for, from `term` on. Those of earlier terms have the given fate.
- `settled`: only those of the server, which leads, and the authority refuses all older orders.
- `successor`: those of any server from `term` on; said by hosts that don't name the server.
*/
export type Rule =
	| {readonly kind: 'nobody'; readonly term: number}
	| {readonly kind: 'leader' | 'settled'; readonly server: string}
	| {readonly kind: 'ordered'; readonly server: string; readonly term: number; readonly fate: Fate}
	| {readonly kind: 'successor'; readonly term: number};

/** An order that may still be carried out, with its fencing token. */
export type Outstanding = {readonly token: number; readonly rule: Extract<Rule, {kind: 'ordered'}>};

/** The last rule of a claim. `token` is its fencing token. */
type Suspension = {readonly token: number; readonly since: number; readonly rule: Rule};
/** The claim of a host that has not told this one yet what it does. */
type Claim = {readonly token: number; readonly seenAt: number};
type Verdict = 'confirmed' | 'withheld' | 'discarded';

/** Time after which a rule without an order ends, and a claim without news has to be settled: other hosts may claim again, see `claims.ts`. */
const maxSuspensionMs = 4000;
/** Time for which an order may still be carried out unless a newer one was accepted since: the authority may be seconds late. */
const maxOrderMs = 12_000;
/** Interval at which a withheld commit is judged again without news: an isolated host may regain its links. */
const recheckMs = 100;

/** Why a commit is in doubt, for the log. */
const failoverReason = 'a failover is in progress, and the next primary may lack the write';
const recoveryReason = 'this host has just started, and an earlier order may promote a server that lacks the write';

/** Confirms the commits of one service. */
export class Confirmations {
	readonly #options: Options;
	readonly #changed = new notifier.Notifier();
	/** The rules of several claims hold at once, since an order of an older one may still be carried out. */
	#suspensions: readonly Suspension[] = [];
	/** The claims without news. Their orders may be outstanding together. */
	#claims: readonly Claim[] = [];
	/** The highest token for which the authority is known to refuse all older ones. */
	#settledToken = 0;
	/** The highest token of which a claimant has told this host whether commits have to be withheld. */
	#announcedToken = 0;
	/** Whether earlier orders may be outstanding that this process doesn't know, and whether only a newer order ends them. */
	#recovery: 'ended' | 'begun' | 'needs order' = 'ended';
	#leader = {server: '', term: 0, foundAt: Number.NEGATIVE_INFINITY};
	#acknowledgedAt = Number.NEGATIVE_INFINITY;
	#withheld = 0;

	constructor(options: Options) {
		this.#options = options;
	}

	/** Clock time at which a leader last acknowledged a commit to this host. */
	get acknowledgedAt(): number {
		return this.#acknowledgedAt;
	}

	/** Number of commits withheld since the last suspension. */
	get withheld(): number {
		return this.#withheld;
	}

	/** Highest term of a leader that this host has found. */
	get leaderTerm(): number {
		return this.#leader.term;
	}

	/**
	Whether an order may still be carried out that would take the lead from the leader that this host knows, so that what the
	leader acknowledges can't be confirmed. The claimant of a claim without news may have sent one.
	*/
	get isUnsettled(): boolean {
		const now = this.#options.clock.now();
		const hasOrder = this.#live(now).some(({rule}) => rule.kind === 'ordered' && rule.server !== this.#leader.server);
		return hasOrder || this.#recovery === 'needs order' || (this.#isClaimed(now) && !this.#isClaimed(now + maxOrderMs - maxSuspensionMs));
	}

	/** The orders that may still be carried out, as far as this host knows. */
	get outstanding(): readonly Outstanding[] {
		return this.#live(this.#options.clock.now()).flatMap(({token, rule}) => rule.kind === 'ordered' ? [{token, rule}] : []);
	}

	/**
	The orders that may still be carried out, if this host knows all of them; `undefined` while one may be sent under a claim
	that it knows.
	*/
	get allOutstanding(): readonly Outstanding[] | undefined {
		const now = this.#options.clock.now();
		const mayOrder = this.#live(now).some(({rule}) => rule.kind !== 'ordered' && rule.kind !== 'settled');
		return mayOrder || this.isRecovering || this.#isClaimed(now) || this.#options.isIsolated() ? undefined : this.outstanding;
	}

	/** Why commits are withheld now, for the log. */
	get reason(): string {
		return this.isRecovering ? recoveryReason : failoverReason;
	}

	/** Whether this process doesn't know yet which of the orders that were sent before its start are outstanding. */
	get isRecovering(): boolean {
		return this.#recovery !== 'ended';
	}

	/** The highest token for which this host knows that the authority refuses all older ones; 0 if it knows none. */
	get settledToken(): number {
		return this.#settledToken;
	}

	/** Withholds all commits, since orders may be outstanding that this process doesn't know. */
	beginRecovery(): void {
		this.#recovery = 'begun';
	}

	/** Records that the earlier orders can't be learned, so that one for the present leader has to end them. */
	requireOrder(): void {
		this.#recovery = this.#recovery === 'begun' ? 'needs order' : this.#recovery;
	}

	/** Ends the recovery: of the orders under claims up to `token`, only the given ones may still be carried out. */
	endRecovery(token: number, outstanding: readonly Outstanding[] = []): void {
		for (const {token: ordered, rule} of outstanding.toSorted((one, other) => one.token - other.token)) {
			this.apply(ordered, rule);
		}

		this.#claims = this.#claims.filter(claim => claim.token > token);
		this.#recovery = 'ended';
		this.#changed.notify();
	}

	/** Applies a rule under a claim. Of an older token than the last one announced, only an order that is not settled counts. */
	apply(token: number, rule: Rule): void {
		const since = this.#options.clock.now();
		if (token < this.#announcedToken) {
			const isNews = rule.kind === 'ordered' && token > this.#settledToken && !this.#suspensions.some(entry => entry.token === token);
			this.#suspensions = isNews ? [...this.#suspensions, {token, since, rule}] : this.#suspensions;
			return;
		}

		this.#withheld = rule.kind === 'nobody' && !this.#suspensions.some(entry => entry.token === token) ? 0 : this.#withheld;
		this.#settledToken = rule.kind === 'settled' ? token : this.#settledToken;
		const others = rule.kind === 'settled' ? [] : this.#orders.filter(entry => entry.token !== token && since < expiry(entry));
		this.#suspensions = [...others, {token, since, rule}];
		this.#recordAnnouncement(token);
	}

	/** Discards the commits of the terms before the suspended claim's next leader, whichever server that is. */
	discard(token: number): void {
		const rule = this.#suspensions.find(entry => entry.token === token)?.rule;
		if (rule?.kind === 'nobody') {
			this.apply(token, {kind: 'successor', term: rule.term});
		}
	}

	/** Ends the rule of a claim under which nothing was ordered, and announces that the claim needs none. */
	release(token: number): void {
		this.#suspensions = this.#suspensions.filter(entry => entry.token !== token);
		this.#recordAnnouncement(token);
	}

	/**
	Records the claim of another process, which was read from the store. Commits are withheld until that process says more or
	releases the claim. A leader of a later term doesn't end that, since it may lead by an order under an earlier claim.
	*/
	recordClaim(token: number): void {
		if (token > this.#announcedToken) {
			this.#suspensions = this.#orders;
			this.#claims = [...this.#claims, {token, seenAt: this.#options.clock.now()}];
		}
	}

	/** Records that the store has the last claim as released, so that no order under it or an earlier one can be carried out. */
	recordRelease(token: number): void {
		this.#claims = this.#claims.filter(claim => claim.token > token);
		this.#changed.notify();
	}

	/** Records that a leader was found. What the leaders of earlier terms acknowledge is no longer confirmed. */
	recordLeader(server: string, term: number): void {
		this.#leader = {server, term: Math.max(this.#leader.term, term), foundAt: this.#options.clock.now()};
		this.#changed.notify();
	}

	/**
	Whether the caller may be told that a commit was made. Waits for up to `timeoutMs` while the commit has to be withheld;
	false if its outcome is then unknown. Without any time left the reply was read late, after a stop of this process, in
	which a failover may have begun whose announcement is unread.

	@example
	```
	const isConfirmed = await group.confirmations.confirm({server: member.id, logEnd: reply.position}, 500);
	```
	*/
	async confirm(acknowledgement: Acknowledgement, timeoutMs: number): Promise<boolean> {
		const {clock: time} = this.#options;
		const receivedAt = time.now();
		this.#acknowledgedAt = receivedAt;
		let verdict = timeoutMs > 0 ? this.#judge(acknowledgement, receivedAt) : 'discarded';
		if (verdict === 'withheld') {
			this.#withheld++;
		}

		for (let remainingMs = timeoutMs; verdict === 'withheld' && remainingMs > 0; remainingMs = receivedAt + timeoutMs - time.now()) {
			await time.limit(this.#changed.next(), Math.min(remainingMs, recheckMs));
			verdict = this.#judge(acknowledgement, receivedAt);
		}

		return verdict === 'confirmed';
	}

	#judge(acknowledgement: Acknowledgement, receivedAt: number): Verdict {
		const suspensions = this.#live(receivedAt);
		const verdicts = new Set(suspensions.map(entry => this.#judgeSuspended(acknowledgement, entry)));
		const {term} = acknowledgement.logEnd;
		// What the leader acknowledged before it stepped down is in its successor's log.
		const isKept = suspensions.some(({rule}) => rule.kind === 'ordered' && rule.fate === 'kept' && rule.server === this.#leader.server && term === rule.term - 1);
		if (verdicts.has('discarded') || (term < this.#leader.term && !isKept)) {
			return 'discarded';
		}

		return verdicts.has('withheld') || this.isRecovering || this.#isClaimed(receivedAt) || this.#options.isIsolated() ? 'withheld' : 'confirmed';
	}

	#judgeSuspended({server, logEnd: {term}}: Acknowledgement, {rule, since}: Suspension): Verdict {
		switch (rule.kind) {
			case 'nobody': {
				return 'withheld';
			}

			case 'leader':
			case 'settled': {
				return server === rule.server ? 'confirmed' : 'withheld';
			}

			case 'successor': {
				return term < rule.term ? 'discarded' : 'confirmed';
			}

			case 'ordered': {
				if (term < rule.term) {
					return rule.fate === 'kept' ? 'confirmed' : 'discarded';
				}

				// What another server acknowledges is lost once the ordered one leads.
				const isReplaced = this.#leader.server === rule.server && this.#leader.foundAt >= since;
				const refused = isReplaced ? 'discarded' : 'withheld';
				return server === rule.server ? 'confirmed' : refused;
			}
		}
	}

	/** Whether a claim is without news at clock time `at`. An order may have been sent under it. */
	#isClaimed(at: number): boolean {
		return this.#claims.some(({seenAt}) => at - seenAt < maxOrderMs);
	}

	/** The rules that outlast a newer claim. */
	get #orders(): readonly Suspension[] {
		return this.#suspensions.filter(({rule}) => rule.kind === 'ordered');
	}

	/**
	The rules that hold at clock time `at`. A server that leads an ordered term leads by one of the orders for it, so those that
	are older than the first of these are refused.
	*/
	#live(at: number): readonly Suspension[] {
		const {server, term, foundAt} = this.#leader;
		const live = this.#suspensions.filter(entry => at < expiry(entry));
		const tokens = live.flatMap(({token, since, rule}) => rule.kind === 'ordered' && rule.server === server && term >= rule.term && foundAt >= since ? [token] : []);
		const first = Math.min(...tokens);
		return live.filter(({token, rule}) => rule.kind !== 'ordered' || tokens.length === 0 || token >= first);
	}

	#recordAnnouncement(token: number): void {
		this.#announcedToken = Math.max(this.#announcedToken, token);
		// An announcement under a newer claim says nothing of an order under an older one.
		const now = this.#options.clock.now();
		this.#claims = this.#claims.filter(claim => claim.token !== token && claim.token > this.#settledToken && now - claim.seenAt < maxOrderMs);
		this.#changed.notify();
	}
}

function expiry({since, rule}: Suspension): number {
	return since + (rule.kind === 'ordered' ? maxOrderMs : maxSuspensionMs);
}
