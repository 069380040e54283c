/**
Confirmation of commits to their callers.

An acknowledgement of a server reaches its caller only through a host, so hosts are the place where a failover fences every
server that may lead: the old leader, and one that an order of an earlier attempt makes lead while another successor is
chosen. From the claim on, hosts withhold what servers acknowledge. Once the successor is chosen, they confirm what it
acknowledges and nothing of any other server, until it leads, the attempt was given up, or a newer claim decides. A commit
that is withheld for too long is in doubt.
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
The only server whose commits are confirmed, from `term` on; those of earlier terms have the given fate. Without a server,
those of any server are confirmed. With term 0 the server leads, and the platform has refused all older orders since.
*/
export type Order = {readonly server: string; readonly term: number; readonly fate: Fate};

/**
What a claimant has told this host. Without `order`, commits of all servers are withheld. `token` is the fencing token of
the claim, `term` that of the next leader.
*/
type Suspension = {readonly token: number; readonly term: number; readonly since: number; readonly order: Order | undefined; readonly expiresAt: number};
/** The claim of a host that has not told this one yet what it does. */
type Claim = {readonly token: number; readonly seenAt: number};
type Verdict = 'confirmed' | 'withheld' | 'discarded';

/** Time after which a suspension without an order, or a claim without news, ends: other hosts may claim again, see `claims.ts`. */
const maxSuspensionMs = 4000;
/** Time for which an order may still be carried out unless a newer one was accepted since: the platform may be seconds late. */
const maxOrderMs = 12_000;
/** Interval at which a withheld commit is judged again without news: an isolated host may regain its links. */
const recheckMs = 100;

/** Confirms the commits of one service. */
export class Confirmations {
	readonly #options: Options;
	readonly #changed = new notifier.Notifier();
	/** By token, the newest last. An order stays until it has expired, since an older one may still be carried out. */
	#suspensions: readonly Suspension[] = [];
	#claim: Claim | undefined;
	/** The highest token of which a claimant has told this host whether commits have to be withheld. */
	#announcedToken = 0;
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
	leader acknowledges can't be confirmed.
	*/
	get isUnsettled(): boolean {
		const now = this.#options.clock.now();
		return this.#live(now).some(({order}) => order !== undefined && order.server !== '' && order.server !== this.#leader.server);
	}

	/** Withholds the commits of all servers. A token that is older than one of an announcement is ignored. */
	suspend(token: number, term: number): void {
		if (token < this.#announcedToken) {
			return;
		}

		this.#withheld = this.#suspensions.some(entry => entry.token === token) ? this.#withheld : 0;
		this.#set(token, term, undefined);
	}

	/** Confirms only what the server of an order acknowledges. The order is about to be sent, or the server leads already. */
	order(token: number, order: Order): void {
		if (token >= this.#announcedToken) {
			this.#set(token, order.term, order);
		}
	}

	/** Discards the commits of the terms before the suspended claim's next leader, whichever server that is. */
	discard(token: number): void {
		const suspension = this.#suspensions.find(entry => entry.token === token);
		if (suspension) {
			this.order(token, {server: '', term: suspension.term, fate: 'discarded'});
		}
	}

	/** Ends the suspension of a claim under which nothing was ordered, and announces that the claim needs none. */
	release(token: number): void {
		this.#suspensions = this.#suspensions.filter(entry => entry.token !== token);
		this.#recordAnnouncement(token);
	}

	/** Records the claim of another host, which was read from the store. Commits are withheld until that host says more. */
	recordClaim(token: number): void {
		if (token > this.#announcedToken && this.#leader.term > 0) {
			this.#claim = {token, seenAt: this.#options.clock.now()};
		}
	}

	/** Records that a leader was found. What the leaders of earlier terms acknowledge is no longer confirmed. */
	recordLeader(server: string, term: number): void {
		this.#leader = {server, term: Math.max(this.#leader.term, term), foundAt: this.#options.clock.now()};
		this.#claim = undefined;
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
		const isKept = suspensions.some(({order}) => order?.fate === 'kept' && term < order.term);
		if (verdicts.has('discarded') || (term < this.#leader.term && !isKept)) {
			return 'discarded';
		}

		const isClaimed = this.#claim !== undefined && receivedAt - this.#claim.seenAt < maxSuspensionMs;
		return verdicts.has('withheld') || isClaimed || this.#options.isIsolated() ? 'withheld' : 'confirmed';
	}

	#judgeSuspended({server, logEnd: {term}}: Acknowledgement, {order, since}: Suspension): Verdict {
		if (!order) {
			return 'withheld';
		}

		if (term < order.term) {
			return order.fate === 'kept' ? 'confirmed' : 'discarded';
		}

		if (server === order.server || order.server === '') {
			return 'confirmed';
		}

		// What another server acknowledges is lost once the ordered one leads.
		const {server: leader, foundAt} = this.#leader;
		return leader === order.server && foundAt >= since ? 'discarded' : 'withheld';
	}

	/** The suspensions that hold at clock time `at`. Once the server of an order leads, older orders are refused. */
	#live(at: number): readonly Suspension[] {
		const {server, foundAt} = this.#leader;
		const settled = this.#suspensions.findLast(({order, since}) => order?.server === server && (foundAt >= since || order.term === 0));
		return this.#suspensions.filter(({token, expiresAt}) => token >= (settled?.token ?? 0) && at < expiresAt);
	}

	#set(token: number, term: number, order: Order | undefined): void {
		const since = this.#options.clock.now();
		const others = this.#suspensions.filter(entry => entry.token !== token && since < entry.expiresAt);
		// A server that is allowed from the present term on leads already, so nothing is to be carried out.
		const isPending = order !== undefined && order.server !== '' && term > this.#leader.term;
		this.#suspensions = [...others, {
			token, term, since, order, expiresAt: since + (isPending ? maxOrderMs : maxSuspensionMs),
		}].toSorted((one, other) => one.token - other.token);
		this.#recordAnnouncement(token);
	}

	#recordAnnouncement(token: number): void {
		this.#announcedToken = Math.max(this.#announcedToken, token);
		if (this.#claim && this.#claim.token <= token) {
			this.#claim = undefined;
		}

		this.#changed.notify();
	}
}
