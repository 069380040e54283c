/**
Failover of one group whose promotions are carried out by an external authority: detection, claim and order. How the leader
is fenced and its successor chosen is in `succession.ts`.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import * as position from '../core/position.js';
import type * as random from '../core/random.js';
import * as attempts from './attempt.js';
import type * as authority from './authority.js';
import type * as claims from './claims.js';
import type * as decisions from './decisions.js';
import * as fences from './fence.js';
import type * as group from './group.js';
import type * as hosts from './hosts.js';
import type * as member from './member.js';
import * as orders from './orders.js';
import type * as statement from './statement.js';
import * as successions from './succession.js';

export type Options = {
	readonly group: group.Group;
	readonly host: string;
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly authority: authority.Authority;
	readonly claims: claims.Claims;
	readonly hosts: hosts.Hosts;
	readonly decisions: decisions.Decisions;
};

/**
How the other hosts see the leader: how many it responds to, whether another leader would help, and the latest position that
they know to be confirmed.
*/
type Views = {
	readonly responding: number;
	readonly mayReplace: boolean;
	readonly leader: member.Member | undefined;
	readonly confirmed: statement.Position | null;
};

/** How a promotion ended, and whether an order of it may have been carried out, or still be. */
type Promotion = {readonly outcome: errors.Outcome<member.Member>; readonly mayTakeEffect: boolean};

/** Why a failover is needed, or an order for the present leader that ends those of earlier attempts. */
type Reason = successions.Reason | 'unsettled';

const tickMs = 100;
const idleTickMs = 500;
/** Time without any response from the leader, on open and on new connections, after which it counts as failed. */
const unresponsiveTimeoutMs = 550;
/** Time without a known leader before a failover: longer than this host takes to poll all servers. */
const leaderlessTimeoutMs = 700;
/** Time for which a commit may stay without a response while the leader still responds to other requests. */
const stallTimeoutMs = 700;
/** Another server must have responded within this time; otherwise this host may itself be partitioned from the group. */
const maxResponseAgeMs = 1000;
/** Longest random delay before a claim, so that hosts don't all claim at once. */
const maxJitterMs = 120;
/** Hosts to which the leader must not respond before it is replaced though it responds to others, and their least share. */
const minLackingHosts = 2;
const minLackingRatio = 0.25;
/** Time for which a leader seems silent or stalled before links to the other hosts are opened, to ask them for their view. */
const prepareAfterMs = 150;
/** Time without a new server after which the member list counts as complete: servers of a starting system register one by one. */
const membershipSettleMs = 2500;
/** Bounds of the random delay after an abandoned failover. */
const minBackoffMs = 200;
const maxBackoffMs = 600;
/** Time for which a replica is behind before this host checks whether its replication is paused, and the interval of these checks. */
const resumeIntervalMs = 3000;
/** The same time without a known claim: longer than all timeouts of a failover, whose claim a restored store may have lost. */
const unclaimedResumeMs = 25_000;
/** Time for the authority to respond, and the delay between retries of the same request. */
const promoteTimeoutMs = 8000;
const promoteRetryMs = 150;
/** Time from the accepted request until the new leader is observed; a promotion takes less. */
const leadershipTimeoutMs = 4000;
const leadershipPollMs = 40;
/** Time in which an order that the authority accepted before a newer one takes effect. */
const settlementMs = 1500;
/** Factor of the backoff after such an order failed: the service has a leader, and each attempt is a billed write of the store. */
const settlementBackoffFactor = 4;

/** Detects a failed or leaving leader of one group and has a replica promoted. */
export class Failover {
	readonly #options: Options;
	readonly #orders: orders.Orders;
	readonly #succession: successions.Succession;
	/** The last token under which an order was sent that may still be carried out, so it must not serve another order. */
	#spentToken = 0;
	readonly #trace: attempts.Trace;

	constructor(options: Options) {
		const trace = new attempts.Trace({service: options.group.name, clock: options.clock});
		this.#trace = trace;
		this.#options = {...options, hosts: new attempts.TracedHosts(options.hosts, trace)};
		this.#orders = new orders.Orders({...options, trace});
		this.#succession = new successions.Succession({...this.#options, orders: this.#orders, trace});
	}

	/** Whether this host holds a claim that it no longer needs, and no order in the service may still be carried out. */
	get #mayReleaseClaim(): boolean {
		const {group: {name, confirmations}, claims: promotionClaims} = this.#options;
		return promotionClaims.isReleasable(name) && confirmations.allOutstanding?.length === 0;
	}

	/** Runs until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		let checkedAt = this.#options.clock.now();
		while (!signal.aborted) {
			const reason = this.reason();
			this.#prepareInquiry();
			if (reason) {
				await this.#failOver(reason, signal);
			} else if (this.#mayReleaseClaim) {
				await this.#options.claims.release(this.#options.group.name);
			} else if (this.#options.group.isActive && this.#options.clock.now() - checkedAt > resumeIntervalMs) {
				checkedAt = this.#options.clock.now();
				await this.#resumePaused();
			}

			await this.#options.clock.sleep(this.#options.group.isActive ? tickMs : idleTickMs, signal);
		}
	}

	/** Why the leader has to be replaced now; `undefined` if it doesn't, or if this host can't decide. */
	reason(): Reason | undefined {
		const {leader, leaderlessSince, members, lastAddedAt, confirmations, isActive, isInSyncLoaded} = this.#options.group;
		const now = this.#options.clock.now();
		if (!isActive) {
			return undefined;
		}

		if (!isInSyncLoaded || now - lastAddedAt < membershipSettleMs) {
			// An order for the present leader needs no list of the servers, and a host that starts withholds commits until it is sent.
			return confirmations.isRecovering && leader?.isReady && leader.failingSince === undefined && confirmations.isUnsettled ? 'unsettled' : undefined;
		}

		const responding = members.filter(server => server !== leader && now - server.lastResponseAt < maxResponseAgeMs);
		if (responding.length === 0) {
			return undefined;
		}

		if (!leader) {
			return leaderlessSince !== undefined && now - leaderlessSince > leaderlessTimeoutMs ? 'leaderless' : undefined;
		}

		if (leader.failingSince !== undefined) {
			// The other reasons ask the leader to step down, so they wait until it responds again or counts as failed.
			return now - leader.failingSince > unresponsiveTimeoutMs ? 'silent' : undefined;
		}

		if (leader.stalledSince !== undefined && now - leader.stalledSince > stallTimeoutMs) {
			return 'stalled';
		}

		const hasSuccessor = members.some(server => server !== leader && server.isReady);
		if (!leader.isReady && hasSuccessor) {
			return 'leaving';
		}

		return confirmations.isUnsettled ? 'unsettled' : undefined;
	}

	/** Opens links to the other hosts when a failover seems likely. */
	#prepareInquiry(): void {
		const {group: {name, leader, leaderlessSince, isActive}, clock: time, hosts: others} = this.#options;
		const since = leader ? leader.failingSince ?? leader.stalledSince : leaderlessSince;
		if (isActive && since !== undefined && time.now() - since > prepareAfterMs) {
			others.prepare(name);
		}
	}

	/** Makes one failover attempt after a random delay, unless the reason no longer holds or another host has claimed it. */
	async #failOver(reason: Reason, signal: AbortSignal): Promise<void> {
		const {group: {name, leader}, clock: time, decisions: record} = this.#options;
		await time.sleep(this.#options.random.integer(0, maxJitterMs), signal);
		if (this.reason() !== reason || this.#options.claims.isClaimedByOther(name)) {
			return;
		}

		const startedAt = time.now();
		record.record('failover-started', {
			service: name, reason, leader: leader?.id ?? '', silentMs: Math.round(leader?.failingSince === undefined ? 0 : startedAt - leader.failingSince),
		});
		const outcome = await this.#traceAttempt(reason, leader);
		record.record('failover-ended', {
			service: name,
			result: Either.isRight(outcome) ? 'promoted' : 'given up',
			server: Either.isRight(outcome) ? outcome.right.id : '',
			reason: Either.isLeft(outcome) ? errors.describe(outcome.left) : reason,
			durationMs: Math.round(time.now() - startedAt),
		});
		if (Either.isLeft(outcome)) {
			const factor = reason === 'unsettled' ? settlementBackoffFactor : 1;
			await time.sleep(factor * this.#options.random.integer(minBackoffMs, maxBackoffMs), signal);
		}
	}

	/** Makes an attempt and records all that it found on one line, also if an unexpected error ends it. */
	async #traceAttempt(reason: Reason, leader: member.Member | undefined): Promise<errors.Outcome<member.Member>> {
		let result: attempts.Result = 'failed';
		let failure = '';
		this.#trace.begin(reason, leader);
		try {
			const outcome = await (reason === 'unsettled' ? this.#settle(leader) : this.#attempt(reason, leader));
			result = Either.isRight(outcome) ? 'promoted' : 'given up';
			failure = Either.isLeft(outcome) ? errors.describe(outcome.left) : '';
			return outcome;
		} finally {
			this.#options.decisions.record('failover-decided', this.#trace.end(result, failure, this.#options.group.leader));
		}
	}

	async #attempt(reason: successions.Reason, leader: member.Member | undefined): Promise<errors.Outcome<member.Member>> {
		const {group: {name, members: known}, claims: promotionClaims} = this.#options;
		const isUnseen = reason === 'silent' || reason === 'leaderless';
		const [found, views] = await Promise.all([
			reason === 'leaving' && leader ? this.#succession.findReplicas(leader) : this.#succession.findCandidates(leader),
			isUnseen ? this.#inquire(leader) : undefined,
		]);
		if (views && !views.mayReplace) {
			return errors.fail('not-run', 'observe', name, `the leader responds to ${views.responding} other hosts`);
		}

		this.#trace.replaces(leader ?? views?.leader);
		this.#trace.reached('found');
		if (Either.isLeft(found)) {
			return found;
		}

		const other = found.right.find(({member: server, status: {role}}) => role === 'primary' && server !== leader);
		if (other) {
			this.#options.group.probe(other.member);
			return errors.fail('not-run', 'observe', name, `${other.member.id} leads term ${other.status.term}`);
		}

		if (promotionClaims.isClaimedByOther(name)) {
			return errors.fail('conflict', 'store', name, 'another host has claimed the promotion');
		}

		const claimedAt = this.#options.clock.mark();
		const claimed = await promotionClaims.claim(name);
		if (Either.isLeft(claimed)) {
			return claimed;
		}

		this.#trace.claimed(claimed.right.token, claimed.right.how);
		if (claimed.right.token === this.#spentToken) {
			return errors.fail('conflict', 'store', name, 'an order of the kept claim may still be carried out');
		}

		if (this.#hasNewServer(known)) {
			this.#succession.release(claimed.right);
			return errors.fail('not-run', 'observe', name, 'a server registered meanwhile, which may hold acknowledged commits');
		}

		const fence = await this.#succession.prepare({
			reason, leader: leader ?? views?.leader, found: found.right, isSeenByOthers: (views?.responding ?? 0) > 0, confirmed: views?.confirmed ?? null, claim: claimed.right, claimedAt,
		});
		return Either.isLeft(fence) ? fence : this.#promoteWithin(fence.right, claimed.right);
	}

	/**
	Orders the promotion of the present leader, which changes nothing but has the authority refuse all older orders. Then the
	hosts may confirm what the leader acknowledges. An older order may be carried out first, and this one would then make the
	leader lead again, so the hosts withhold what other servers acknowledge until it is known that nothing has changed.
	*/
	async #settle(leader: member.Member | undefined): Promise<errors.Outcome<member.Member>> {
		const {group: {name, confirmations}, claims: promotionClaims, authority: orderer, host, clock: time} = this.#options;
		if (!leader) {
			return errors.fail('not-run', 'observe', name, 'no server leads');
		}

		const [current] = await this.#orders.status([leader]);
		if (current?.status.role !== 'primary') {
			this.#options.group.probe(leader);
			return errors.fail('not-run', 'observe', leader.id, 'the server does not respond or no longer leads');
		}

		const claimedAt = time.mark();
		const claimed = await promotionClaims.claim(name);
		if (Either.isLeft(claimed)) {
			return claimed;
		}

		const claim = claimed.right;
		if (claim.token === this.#spentToken) {
			return errors.fail('conflict', 'store', name, 'an order of the kept claim may still be carried out');
		}

		this.#trace.claimed(claim.token, claim.how);
		await this.#succession.suspend(claim, confirmations.leaderTerm + 1);
		const [before] = await this.#orders.status([leader]);
		if (before?.status.role !== 'primary') {
			this.#succession.release(claim);
			return errors.fail('not-run', 'observe', leader.id, 'the server does not respond or no longer leads');
		}

		if (!fences.isOrderAllowed(claimedAt, time) || promotionClaims.isClaimedByOther(name)) {
			this.#succession.release(claim);
			return errors.fail('not-run', 'observe', name, 'too much time has passed since the claim');
		}

		// Hosts that have not heard of the older orders would confirm the leader's commits once they hear of this one.
		for (const {token, rule} of confirmations.outstanding) {
			void this.#succession.announce({service: name, token}, rule);
		}

		const outcome = await orderer.promote({
			service: name, server: leader.id, holder: host, token: claim.token,
		});
		this.#trace.ordered(Either.isRight(outcome) ? outcome.right : errors.describe(outcome.left));
		const pending = {
			kind: 'ordered', server: leader.id, term: before.status.term + 1, fate: 'kept',
		} as const;
		if (Either.isLeft(outcome) && outcome.left.kind !== 'not-run') {
			this.#spentToken = claim.token;
			void this.#succession.announce(claim, pending);
			return outcome;
		}

		if (Either.isLeft(outcome) || outcome.right === 'refused') {
			this.#succession.release(claim);
			return Either.isLeft(outcome) ? outcome : errors.fail('conflict', 'store', name, 'the authority refused the order');
		}

		await time.sleep(settlementMs);
		const [after] = await this.#orders.status([leader]);
		if (after?.status.role !== 'primary' || after.status.term !== before.status.term) {
			void this.#succession.announce(claim, pending);
			return errors.fail('not-run', 'observe', leader.id, 'an older order was carried out meanwhile');
		}

		void this.#succession.announce(claim, {kind: 'settled', server: leader.id});
		return Either.right(leader);
	}

	/**
	Asks the other hosts whether the leader responds to them. It may be replaced if it responds to none, or if enough hosts
	lack it that another leader would help: two or more, and a quarter of those that know.
	*/
	async #inquire(leader: member.Member | undefined): Promise<Views> {
		const {group: {name, members}, hosts: others, decisions} = this.#options;
		const {reports} = await others.ask({
			service: name, order: 'report', server: leader?.id ?? '', term: 0, token: 0,
		});
		const responding = reports.filter(({view}) => view === 'responding');
		const lacking = 1 + reports.filter(({view, leader: other}) => view === 'silent' || (!leader && other === '')).length;
		const isShared = lacking >= minLackingHosts && lacking >= (lacking + responding.length) * minLackingRatio;
		const mayReplace = responding.length === 0 || isShared;
		decisions.record('leader-inquired', {
			service: name, leader: leader?.id ?? '', answers: reports.length, responding: responding.length, lacking, mayReplace,
		});
		return {
			responding: responding.length,
			mayReplace,
			leader: leader ?? members.find(({id}) => responding.some(report => report.leader === id)),
			confirmed: position.latestOf(reports.map(({acknowledged}) => acknowledged)),
		};
	}

	/** Whether a server is in the group that was not in `known`. */
	#hasNewServer(known: readonly member.Member[]): boolean {
		return this.#options.group.members.some(server => !known.includes(server));
	}

	/** Has the fence's target promoted while the fence is renewed. */
	async #promoteWithin(fence: fences.Fence, claim: claims.Claim): Promise<errors.Outcome<member.Member>> {
		this.#trace.fenced(fence.kind);
		this.#trace.chose(fence.target.id, fence.required);
		const renewal = new AbortController();
		const renewed = fence.maintain(renewal.signal);
		const {outcome, mayTakeEffect} = await this.#promote(fence, claim);
		renewal.abort();
		await renewed;
		await fence.lift(Either.isRight(outcome));
		if (!mayTakeEffect) {
			this.#succession.release(claim);
		} else if (Either.isLeft(outcome)) {
			this.#spentToken = claim.token;
		} else {
			void this.#succession.announce(claim, {kind: 'settled', server: fence.target.id});
		}

		return outcome;
	}

	/** Resumes replication on replicas that are behind because another host paused them and did not finish the promotion. */
	async #resumePaused(): Promise<void> {
		const {group: {name, members, leader}, clock: time, claims: promotionClaims} = this.#options;
		const patienceMs = promotionClaims.wasClaimed(name) ? resumeIntervalMs : unclaimedResumeMs;
		const behind = members.filter(server => server !== leader && server.behindSince !== undefined && time.now() - server.behindSince > patienceMs);
		if (!leader || behind.length === 0 || promotionClaims.isClaimedByOther(name)) {
			return;
		}

		const found = await this.#orders.status(behind);
		await this.#orders.resume(found.filter(({status}) => status.heldTerm > status.term).map(({member: server}) => server));
	}

	/**
	Requests the promotion until the authority responds, the target may no longer be promoted or another host has claimed the
	promotion, then waits for the server to become leader.
	*/
	async #promote(fence: fences.Fence, {service, token}: claims.Claim): Promise<Promotion> {
		const {target} = fence;
		const deadline = this.#options.clock.now() + promoteTimeoutMs;
		let outcome: errors.Outcome<authority.Result> = errors.fail('store', 'store', service, 'no promotion request was sent');
		let checked: errors.Outcome<void> = this.#checkFence(fence);
		let mayTakeEffect = false;
		while (Either.isRight(checked)) {
			outcome = await this.#options.authority.promote({
				service, server: target.id, holder: this.#options.host, token,
			});
			const answer = Either.isRight(outcome) ? outcome.right : errors.describe(outcome.left);
			this.#trace.ordered(answer);
			this.#options.decisions.record('promotion-ordered', {
				service, server: target.id, token, answer,
			});
			mayTakeEffect ||= Either.isLeft(outcome) ? outcome.left.kind !== 'not-run' : outcome.right === 'accepted';
			if (Either.isRight(outcome)) {
				break;
			}

			this.#spentToken = mayTakeEffect ? token : this.#spentToken;
			await this.#options.clock.sleep(promoteRetryMs);
			if (this.#options.clock.now() >= deadline || this.#options.claims.isClaimedByOther(service)) {
				break;
			}

			checked = await this.#checkTarget(fence);
		}

		if (Either.isLeft(checked)) {
			return {outcome: checked, mayTakeEffect};
		}

		if (Either.isLeft(outcome)) {
			return {outcome, mayTakeEffect};
		}

		return {
			outcome: outcome.right === 'accepted' ? await this.#awaitLeadership(target) : errors.fail('conflict', 'store', service, 'the authority refused the promotion'),
			mayTakeEffect,
		};
	}

	/**
	Whether the target may still be promoted: an order names only its id, and until the order is repeated the server may have
	started again without its log, or the fence may have been breached.
	*/
	async #checkTarget(fence: fences.Fence): Promise<errors.Outcome<void>> {
		const {target, required} = fence;
		const [current] = await this.#orders.status([target]);
		if (!current) {
			return errors.fail('not-run', 'observe', target.id, 'the server to promote no longer responds');
		}

		if (position.compare(current.status.position, required) < 0) {
			return errors.fail('not-run', 'observe', target.id, `the server to promote has lost its log, it ended at ${position.format(required)}`);
		}

		return this.#checkFence(fence);
	}

	/** Whether the fence still holds around the incarnation of the target that was chosen. */
	#checkFence({target, breach, isCurrent}: fences.Fence): errors.Outcome<void> {
		if (breach !== '' || !isCurrent) {
			return errors.fail('not-run', 'observe', target.id, breach === '' ? 'too much time has passed since the claim' : breach);
		}

		return this.#options.group.members.includes(target)
			? Either.right(undefined)
			: errors.fail('not-run', 'observe', target.id, 'the server to promote has started again or left');
	}

	async #awaitLeadership(target: member.Member): Promise<errors.Outcome<member.Member>> {
		const {group: serviceGroup, clock: time} = this.#options;
		const deadline = time.now() + leadershipTimeoutMs;
		while (time.now() < deadline && serviceGroup.members.includes(target)) {
			if (serviceGroup.leader === target) {
				return Either.right(target);
			}

			serviceGroup.probe(target);
			await time.sleep(leadershipPollMs);
		}

		return errors.fail('not-run', 'observe', target.id, 'the server did not become leader in time');
	}
}
