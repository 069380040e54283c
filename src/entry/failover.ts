/**
Failover of one group whose promotions are carried out by an external authority.

An acknowledged commit is in the logs of the primary and of at least one replica. Once a fence keeps further commits from
being acknowledged, a server whose log includes those of all replicas has every acknowledged commit, see `fence.ts`.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import * as position from '../core/position.js';
import type * as random from '../core/random.js';
import type * as authority from './authority.js';
import * as candidates from './candidate.js';
import type * as claims from './claims.js';
import type * as decisions from './decisions.js';
import * as fences from './fence.js';
import type * as group from './group.js';
import type * as member from './member.js';
import * as orders from './orders.js';
import type * as statement from './statement.js';

export type Options = {
	readonly group: group.Group;
	readonly host: string;
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly authority: authority.Authority;
	readonly claims: claims.Claims;
	readonly decisions: decisions.Decisions;
};

/** Why the leader has to be replaced. */
export type Reason = 'silent' | 'leaderless' | 'stalled' | 'leaving';

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
/** Time for the target to catch up with the other replicas while the leader still replicates. */
const catchUpTimeoutMs = 1500;
const catchUpPollMs = 30;
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

/** Detects a failed or leaving leader of one group and has a replica promoted. */
export class Failover {
	readonly #options: Options;
	readonly #orders: orders.Orders;

	constructor(options: Options) {
		this.#options = options;
		this.#orders = new orders.Orders(options);
	}

	/** Runs until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		let checkedAt = this.#options.clock.now();
		while (!signal.aborted) {
			const reason = this.reason();
			if (reason) {
				await this.#failOver(reason, signal);
			} else if (this.#options.group.isActive && this.#options.clock.now() - checkedAt > resumeIntervalMs) {
				checkedAt = this.#options.clock.now();
				await this.#resumePaused();
			}

			await this.#options.clock.sleep(this.#options.group.isActive ? tickMs : idleTickMs, signal);
		}
	}

	/** Why the leader has to be replaced now; `undefined` if it doesn't, or if this host can't decide. */
	reason(): Reason | undefined {
		const {leader, leaderlessSince, members, lastAddedAt} = this.#options.group;
		const now = this.#options.clock.now();
		if (!this.#options.group.isActive || !this.#options.group.isInSyncLoaded || now - lastAddedAt < membershipSettleMs) {
			return undefined;
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
		return !leader.isReady && hasSuccessor ? 'leaving' : undefined;
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
		const outcome = await this.#attempt(reason, leader);
		record.record('failover-ended', {
			service: name,
			result: Either.isRight(outcome) ? 'promoted' : 'given up',
			server: Either.isRight(outcome) ? outcome.right.id : '',
			reason: Either.isLeft(outcome) ? errors.describe(outcome.left) : reason,
			durationMs: Math.round(time.now() - startedAt),
		});
		if (Either.isLeft(outcome)) {
			await time.sleep(this.#options.random.integer(minBackoffMs, maxBackoffMs), signal);
		}
	}

	async #attempt(reason: Reason, leader: member.Member | undefined): Promise<errors.Outcome<member.Member>> {
		const known = this.#options.group.members;
		const found = await this.#findCandidates(leader);
		if (Either.isLeft(found)) {
			return found;
		}

		if (this.#options.claims.isClaimedByOther(this.#options.group.name)) {
			return errors.fail('conflict', 'store', this.#options.group.name, 'another host has claimed the promotion');
		}

		const claimed = await this.#options.claims.claim(this.#options.group.name);
		if (Either.isLeft(claimed)) {
			return claimed;
		}

		if (this.#hasNewServer(known)) {
			return errors.fail('not-run', 'observe', this.#options.group.name, 'a server registered meanwhile, which may hold acknowledged commits');
		}

		const fence = await this.#fence(found.right, reason, leader);
		return Either.isLeft(fence) ? fence : this.#promoteWithin(fence.right, claimed.right);
	}

	/** Whether a server is in the group that was not in `known`. */
	#hasNewServer(known: readonly member.Member[]): boolean {
		return this.#options.group.members.some(server => !known.includes(server));
	}

	/**
	The servers other than the leader and their status, if together they hold every acknowledged commit. A commit is on the
	leader and at least one replica, so all servers but the leader must respond, and none of these may have lost its log since
	the commit, or be behind a replica that has been removed since.
	*/
	async #findCandidates(leader: member.Member | undefined): Promise<errors.Outcome<candidates.Candidate[]>> {
		const {group: {name, members, acknowledged, mayHaveLeader, missing}} = this.#options;
		const replicas = members.filter(server => server !== leader);
		const responding = await this.#orders.status(replicas);
		const synchronized = responding.filter(({member: server}) => server.isSynchronized);
		if (synchronized.length < replicas.length + missing.length - (!leader && mayHaveLeader ? 1 : 0)) {
			const lacking = [...replicas.filter(server => !synchronized.some(entry => entry.member === server)).map(({id}) => id), ...missing];
			return errors.fail('not-run', 'observe', name, `${lacking.join(', ')} may hold acknowledged commits but did not respond, or lost its log`);
		}

		const target = candidates.mostAdvanced(responding);
		return target && (!acknowledged || position.compare(target.status.position, acknowledged) >= 0)
			? Either.right(responding)
			: errors.fail('not-run', 'observe', name, `no responding server holds ${acknowledged ? position.format(acknowledged) : 'a log'}`);
	}

	/**
	Fences the leader and chooses the server that can be promoted without losing an acknowledged commit. A leader that
	responds has to step down first, so that the choice rests on logs that no acknowledged commit can extend any more.
	*/
	async #fence(found: readonly candidates.Candidate[], reason: Reason, leader: member.Member | undefined): Promise<errors.Outcome<fences.Fence>> {
		// The primary starts the next term, which ends a pause. Pausing with a higher term would outlast the promotion.
		const term = Math.max(...found.map(({status}) => status.term)) + 1;
		if (!leader || reason === 'silent') {
			return this.#pauseReplicas(found, reason, {leader, term});
		}

		const steppedDown = await this.#orders.stepDown(leader, term);
		if (Either.isLeft(steppedDown)) {
			return steppedDown;
		}

		return steppedDown.right.status.role === 'replica'
			? this.#chooseAfterStepDown(leader, term)
			: this.#pauseEveryReplica(found, reason, {leader, term});
	}

	/** Chooses among the replicas of a leader that has stepped down. */
	async #chooseAfterStepDown(leader: member.Member, term: number): Promise<errors.Outcome<fences.Fence>> {
		const found = await this.#findCandidates(leader);
		if (Either.isLeft(found)) {
			return found;
		}

		const target = candidates.mostAdvanced(found.right);
		return target
			? Either.right(new fences.SteppedDown(this.#fenceContext, {target, leader, term}))
			: errors.fail('not-run', 'observe', this.#options.group.name, 'no server responded');
	}

	/**
	Pauses the replicas of a leader that responds but hasn't stepped down. It can acknowledge commits through a server that
	has disappeared without leaving and returns, so there must be none.
	*/
	async #pauseEveryReplica(found: readonly candidates.Candidate[], reason: Reason, choice: Omit<fences.Choice, 'target'>): Promise<errors.Outcome<fences.Fence>> {
		const {group: {name, absent}} = this.#options;
		return absent.length === 0
			? this.#pauseReplicas(found, reason, choice)
			: errors.fail('not-run', 'observe', name, `the leader did not step down, and ${absent.join(', ')} may return and acknowledge commits`);
	}

	/** Pauses replication on the other candidates and chooses the one that can be promoted without losing an acknowledged commit. */
	async #pauseReplicas(found: readonly candidates.Candidate[], reason: Reason, choice: Omit<fences.Choice, 'target'>): Promise<errors.Outcome<fences.Fence>> {
		const servers = found.map(({member: server}) => server);
		const known = choice.leader ? [...servers, choice.leader] : servers;
		const target = await this.#chooseTarget(found, reason, choice.term);
		if (Either.isLeft(target)) {
			await this.#orders.resume(servers);
			return target;
		}

		const paused = servers.filter(server => server !== target.right.member);
		return Either.right(new fences.Paused(this.#fenceContext, {...choice, target: target.right}, known, paused));
	}

	async #chooseTarget(found: readonly candidates.Candidate[], reason: Reason, term: number): Promise<errors.Outcome<candidates.Candidate>> {
		const target = candidates.mostAdvanced(found);
		if (!target) {
			return errors.fail('not-run', 'observe', this.#options.group.name, 'no server responded');
		}

		const paused = await this.#orders.pause(found.filter(entry => entry !== target).map(({member: server}) => server), term);
		if (Either.isLeft(paused)) {
			return paused;
		}

		const required = candidates.mostAdvanced(paused.right)?.status.position ?? target.status.position;
		const caughtUp = await this.#catchUp(target, required, reason);
		if (caughtUp) {
			return Either.right(caughtUp);
		}

		// The target can't catch up, so a server that is ahead is promoted, and the target must stop acknowledging as well.
		const pausedTarget = await this.#orders.pause([target.member], term);
		const successor = Either.isRight(pausedTarget) ? candidates.mostAdvanced([...paused.right, ...pausedTarget.right]) : undefined;
		return successor ? Either.right(successor) : errors.fail('not-run', 'observe', this.#options.group.name, `${target.member.id} lacks commits and did not respond`);
	}

	get #fenceContext(): fences.Context {
		const {group: serviceGroup, clock: time, decisions: log} = this.#options;
		return {
			group: serviceGroup, clock: time, orders: this.#orders, decisions: log,
		};
	}

	/** Has the fence's target promoted while the fence is renewed. */
	async #promoteWithin(fence: fences.Fence, claim: claims.Claim): Promise<errors.Outcome<member.Member>> {
		const renewal = new AbortController();
		const renewed = fence.maintain(renewal.signal);
		const outcome = await this.#promote(fence, claim);
		renewal.abort();
		await renewed;
		await fence.lift(Either.isRight(outcome));
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

	/** The target once its log reaches `required`. Waits for it if the leader is leaving and still replicates. */
	async #catchUp(target: candidates.Candidate, required: statement.Position, reason: Reason): Promise<candidates.Candidate | undefined> {
		if (position.compare(target.status.position, required) >= 0) {
			return target;
		}

		const deadline = this.#options.clock.now() + (reason === 'leaving' ? catchUpTimeoutMs : 0);
		do {
			const [current] = await this.#orders.status([target.member]);
			if (current && position.compare(current.status.position, required) >= 0) {
				return current;
			}

			await this.#options.clock.sleep(catchUpPollMs);
		} while (this.#options.clock.now() < deadline);

		return undefined;
	}

	/**
	Requests the promotion until the authority responds, the target may no longer be promoted or another host has claimed the
	promotion, then waits for the server to become leader.
	*/
	async #promote(fence: fences.Fence, {service, token}: claims.Claim): Promise<errors.Outcome<member.Member>> {
		const {target} = fence;
		const deadline = this.#options.clock.now() + promoteTimeoutMs;
		let outcome: errors.Outcome<authority.Result> = errors.fail('store', 'store', service, 'no promotion request was sent');
		let checked: errors.Outcome<void> = this.#checkIncarnation(target);
		while (Either.isRight(checked)) {
			outcome = await this.#options.authority.promote({
				service, server: target.id, holder: this.#options.host, token,
			});
			this.#options.decisions.record('promotion-ordered', {
				service, server: target.id, token, answer: Either.isRight(outcome) ? outcome.right : errors.describe(outcome.left),
			});
			if (Either.isRight(outcome)) {
				break;
			}

			await this.#options.clock.sleep(promoteRetryMs);
			if (this.#options.clock.now() >= deadline || this.#options.claims.isClaimedByOther(service)) {
				break;
			}

			checked = await this.#checkTarget(fence);
		}

		if (Either.isLeft(checked)) {
			return checked;
		}

		if (Either.isLeft(outcome)) {
			return outcome;
		}

		return outcome.right === 'accepted' ? this.#awaitLeadership(target) : errors.fail('conflict', 'store', service, 'the authority refused the promotion');
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

		return fence.breach === '' ? this.#checkIncarnation(target) : errors.fail('not-run', 'observe', target.id, fence.breach);
	}

	#checkIncarnation(target: member.Member): errors.Outcome<void> {
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
