/**
Fences of a failover: from the choice of the next leader until it leads, nothing may acknowledge a commit that it lacks.

A leader that responds to any host is told to step down. Without a leader no commit is acknowledged, whichever servers
return, restart or register meanwhile. A leader that doesn't respond can't be told, so replication is paused on each known
server through which it could acknowledge a commit; what it acknowledges through others is withheld by the hosts, see
`confirmation.ts`.
*/
import * as Either from 'fp-ts/lib/Either.js';
import * as clock from '../core/clock.js';
import * as position from '../core/position.js';
import type * as candidate from './candidate.js';
import type * as decisions from './decisions.js';
import type * as group from './group.js';
import type * as member from './member.js';
import type * as orders from './orders.js';
import type * as statement from './statement.js';

export type Context = {
	readonly group: group.Group;
	readonly clock: clock.Clock;
	readonly orders: orders.Orders;
	readonly decisions: decisions.Decisions;
};

/** The next leader with its status at the choice, the leader to replace, the next leader's term, and the time of the claim. */
export type Choice = {
	readonly target: candidate.Candidate;
	readonly leader: member.Member | undefined;
	readonly term: number;
	readonly claimedAt: clock.Mark;
};

/**
Interval at which a fence is renewed until the new leader is observed. The promotion takes several hundred ms, in which the
old leader may return, and another server may register, restart without its pause, or be resumed by a late order.
*/
const renewalIntervalMs = 100;
/**
Time from the claim after which no order is sent any more. A rule without an order ends at the hosts after 4 s, and other
hosts may claim then. An old leader that stepped down leads again if it restarts while this host is stopped and doesn't
watch it.
*/
const maxOrderAgeMs = 2500;
/** Time for the target to receive a commit that another server has received. */
const replicationSkewMs = 100;

/** Whether an order may still be sent under a claim that was made after `claimedAt`. */
export function isOrderAllowed(claimedAt: clock.Mark, time: clock.Clock): boolean {
	return clock.between(claimedAt, time.mark()) < maxOrderAgeMs;
}

/** A fence around one choice. */
export abstract class Fence {
	/** How commits of the old leader are kept from being confirmed, for the log. */
	abstract readonly kind: 'stepped down' | 'replicas paused';
	protected readonly context: Context;
	protected readonly choice: Choice;
	#breach = '';

	constructor(context: Context, choice: Choice) {
		this.context = context;
		this.choice = choice;
	}

	get target(): member.Member {
		return this.choice.target.member;
	}

	/** Position that the target's log held when it was chosen. */
	get required(): statement.Position {
		return this.choice.target.status.position;
	}

	/** Why the fence no longer holds, for the log; empty while it does. */
	get breach(): string {
		return this.#breach;
	}

	/** Whether nothing can be confirmed that the target lacks until a promotion that is ordered now has taken effect. */
	get isCurrent(): boolean {
		return isOrderAllowed(this.choice.claimedAt, this.context.clock);
	}

	/** Renews the fence until `signal` aborts. */
	abstract maintain(signal: AbortSignal): Promise<void>;

	/** Ends the fence after the promotion, or after it was given up. */
	abstract lift(isPromoted: boolean): Promise<void>;

	protected recordBreach(server: member.Member, reason: string): void {
		if (this.#breach === '') {
			this.#breach = `${server.id} ${reason}`;
			this.context.decisions.record('fence-breached', {
				service: this.context.group.name, server: server.id, target: this.target.id, reason,
			});
		}
	}

	/**
	Watches the servers other than the target and the `excluded` ones for one that leads, each by a task of its own. Nobody
	waits for their end, since a silent server lets a query take seconds.
	*/
	protected watchLeaders(signal: AbortSignal, excluded: ReadonlySet<member.Member> = new Set()): void {
		for (const server of this.context.group.members) {
			if (server !== this.target && !excluded.has(server)) {
				void this.#watch(server, signal);
			}
		}
	}

	/**
	Tells the old leader to step down whenever it claims to lead: it may have been silent, or have restarted. Another server
	leads by an order of an earlier attempt that was carried out late, or by a newer one.
	*/
	async #watch(server: member.Member, signal: AbortSignal): Promise<void> {
		const {group: serviceGroup, clock: time, orders: sent, decisions: log} = this.context;
		const {leader, term} = this.choice;
		while (serviceGroup.members.includes(server) && !signal.aborted) {
			const [current] = await sent.status([server]);
			if (!signal.aborted && current?.status.role === 'primary') {
				if (server === leader && current.status.term < term) {
					log.record('leader-returned', {service: serviceGroup.name, server: server.id, term: current.status.term});
					await sent.stepDown(server, term);
				} else {
					this.recordBreach(server, `leads term ${current.status.term}`);
				}
			}

			await time.sleep(renewalIntervalMs, signal);
		}
	}
}

/** The old leader has confirmed that it stepped down. */
export class SteppedDown extends Fence {
	override readonly kind = 'stepped down';

	override async maintain(signal: AbortSignal): Promise<void> {
		this.watchLeaders(signal);
	}

	override async lift(): Promise<void> {
		// No server was paused. If the promotion was given up, the next failover finds no leader.
	}
}

/** Replication is paused on all servers but the target. */
export class Paused extends Fence {
	override readonly kind = 'replicas paused';
	readonly #known: readonly member.Member[];
	readonly #held: Set<member.Member>;

	/** `known` are the old leader and the servers that responded to the query, `paused` those of them that are paused. */
	constructor(context: Context, choice: Choice, known: readonly member.Member[], paused: readonly member.Member[]) {
		super(context, choice);
		this.#known = known;
		this.#held = new Set(paused);
	}

	override async maintain(signal: AbortSignal): Promise<void> {
		this.watchLeaders(signal, this.#held);
		await this.#renewPauses(signal);
	}

	override async lift(isPromoted: boolean): Promise<void> {
		const {orders: sent} = this.context;
		if (!isPromoted) {
			await sent.resume([this.target, ...this.#held]);
			return;
		}

		// A pause that reached a server after the promotion was not ended by it.
		const {term} = this.choice;
		const candidates = await sent.status([...this.#held]);
		await sent.resume(candidates.filter(({status}) => status.heldTerm === term && status.term < term).map(({member: server}) => server));
	}

	/** Also pauses servers that register meanwhile, or that did not respond before. */
	async #renewPauses(signal: AbortSignal): Promise<void> {
		const {group: serviceGroup, clock: time} = this.context;
		while (!signal.aborted) {
			for (const server of serviceGroup.members) {
				if (server !== this.target && !this.#known.includes(server)) {
					this.#held.add(server);
				}
			}

			await Promise.all([...this.#held].map(async server => this.#renew(server, signal)));
			await time.sleep(renewalIntervalMs, signal);
		}
	}

	/** Pauses a server again unless it is still paused or already in the term of the new leader. */
	async #renew(server: member.Member, signal: AbortSignal): Promise<void> {
		const {group: {name}, orders: sent, decisions: log} = this.context;
		const {term} = this.choice;
		const [current] = await sent.status([server]);
		if (!signal.aborted && current?.status.role === 'primary') {
			this.recordBreach(server, `leads term ${current.status.term}`);
		}

		if (signal.aborted || !current || current.status.term >= term || current.status.heldTerm >= term) {
			return;
		}

		log.record('pause-renewed', {service: name, server: server.id, term});
		const [paused] = Either.getOrElse((): candidate.Candidate[] => [])(await sent.pause([server], term));
		if (paused && !signal.aborted) {
			await this.#checkPosition(paused);
		}
	}

	/** A server that was not paused may have acknowledged commits; the target must have received them too. */
	async #checkPosition({member: server, status}: candidate.Candidate): Promise<void> {
		if (position.compare(status.position, this.required) <= 0) {
			return;
		}

		await this.context.clock.sleep(replicationSkewMs);
		const [target] = await this.context.orders.status([this.target]);
		if (!target || position.compare(target.status.position, status.position) < 0) {
			this.recordBreach(server, `received ${position.format(status.position)}, which the target lacks`);
		}
	}
}
