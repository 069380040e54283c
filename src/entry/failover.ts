/**
Failover of one group whose promotions are carried out by an external authority.

An acknowledged commit is in the logs of the primary and of at least one replica, and a replica whose replication is
paused acknowledges no commits. Once all other replicas are paused, a server whose log includes all of theirs has every
commit acknowledged so far, and no later commit can be acknowledged without that server.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import * as position from '../core/position.js';
import type * as random from '../core/random.js';
import type * as authority from './authority.js';
import type * as claims from './claims.js';
import type * as decisions from './decisions.js';
import type * as group from './group.js';
import type * as member from './member.js';
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

/** A server and its status. */
type Candidate = {readonly member: member.Member; readonly status: statement.ServerStatus};

/** The server to promote, the servers whose replication is paused for it, and the term of their pause. */
type Choice = {readonly target: member.Member; readonly paused: readonly member.Member[]; readonly term: number};

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
/** Timeout of one request to a server, and the number of attempts. */
const requestTimeoutMs = 500;
const maxAttempts = 3;
/** Time for the target to catch up with the other replicas while the leader still replicates. */
const catchUpTimeoutMs = 1500;
const catchUpPollMs = 30;
/**
Interval at which the pause is renewed until the new leader is observed. The promotion takes several hundred ms, in which
another server may register, restart without its pause, or be resumed by an order that was carried out late.
*/
const renewalIntervalMs = 100;
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

	constructor(options: Options) {
		this.#options = options;
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
		if (!this.#options.group.isActive || now - lastAddedAt < membershipSettleMs) {
			return undefined;
		}

		const responding = members.filter(server => server !== leader && now - server.lastResponseAt < maxResponseAgeMs);
		if (responding.length === 0) {
			return undefined;
		}

		if (!leader) {
			return leaderlessSince !== undefined && now - leaderlessSince > leaderlessTimeoutMs ? 'leaderless' : undefined;
		}

		if (leader.failingSince !== undefined && now - leader.failingSince > unresponsiveTimeoutMs) {
			return 'silent';
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
		const candidates = await this.#findCandidates(leader);
		if (Either.isLeft(candidates)) {
			return candidates;
		}

		if (this.#options.claims.isClaimedByOther(this.#options.group.name)) {
			return errors.fail('conflict', 'store', this.#options.group.name, 'another host has claimed the promotion');
		}

		const claimed = await this.#options.claims.claim(this.#options.group.name);
		if (Either.isLeft(claimed)) {
			return claimed;
		}

		const choice = this.#hasNewServer(known)
			? errors.fail('not-run', 'observe', this.#options.group.name, 'a server registered meanwhile, which may hold acknowledged commits')
			: await this.#chooseTarget(candidates.right, reason);
		if (Either.isLeft(choice)) {
			await this.#resume(candidates.right.map(({member: server}) => server));
			return choice;
		}

		const renewal = new AbortController();
		const renewed = this.#renewPause(choice.right, known, renewal.signal);
		const outcome = await this.#promote(choice.right.target, claimed.right);
		renewal.abort();
		const paused = await renewed;
		await (Either.isLeft(outcome) ? this.#resume([choice.right.target, ...paused]) : this.#resumeHeld(paused, choice.right.term));
		return outcome;
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
	async #findCandidates(leader: member.Member | undefined): Promise<errors.Outcome<Candidate[]>> {
		const {group: {name, members, acknowledged, mayHaveLeader}} = this.#options;
		const replicas = members.filter(server => server !== leader);
		const candidates = await this.#queryStatuses(replicas);
		const synchronized = candidates.filter(({member: server}) => server.isSynchronized);
		if (synchronized.length < replicas.length - (mayHaveLeader ? 1 : 0)) {
			const missing = replicas.filter(server => !synchronized.some(entry => entry.member === server));
			return errors.fail('not-run', 'observe', name, `${missing.map(({id}) => id).join(', ')} may hold acknowledged commits but did not respond, or lost its log`);
		}

		const target = mostAdvanced(candidates);
		return target && (!acknowledged || position.compare(target.status.position, acknowledged) >= 0)
			? Either.right(candidates)
			: errors.fail('not-run', 'observe', name, `no responding server holds ${acknowledged ? position.format(acknowledged) : 'a log'}`);
	}

	/** Pauses replication on the other candidates and chooses the one that can be promoted without losing an acknowledged commit. */
	async #chooseTarget(candidates: readonly Candidate[], reason: Reason): Promise<errors.Outcome<Choice>> {
		const {group: {name}} = this.#options;
		const target = mostAdvanced(candidates);
		if (!target) {
			return errors.fail('not-run', 'observe', name, 'no server responded');
		}

		// The primary starts the next term, which ends the pause. Pausing with a higher term would outlast the promotion.
		const term = Math.max(...candidates.map(({status}) => status.term)) + 1;
		const paused = await this.#pause(candidates.filter(entry => entry.member !== target.member), term);
		if (Either.isLeft(paused)) {
			return paused;
		}

		const choose = (chosen: member.Member): errors.Outcome<Choice> =>
			Either.right({target: chosen, paused: candidates.map(entry => entry.member).filter(server => server !== chosen), term});
		const required = mostAdvanced(paused.right)?.status.position ?? target.status.position;
		if (await this.#catchUp(target, required, reason)) {
			return choose(target.member);
		}

		// The target can't catch up, so a server that is ahead is promoted, and the target must stop acknowledging as well.
		const pausedTarget = await this.#pause([target], term);
		const successor = Either.isRight(pausedTarget) ? mostAdvanced([...paused.right, ...pausedTarget.right]) : undefined;
		return successor ? choose(successor.member) : errors.fail('not-run', 'observe', name, `${target.member.id} lacks commits and did not respond`);
	}

	/**
	Renews the pause until `signal` aborts, also on servers that are not in `known`: a server that replicates meanwhile would
	acknowledge commits that the target may lack. Returns the servers that were paused.
	*/
	async #renewPause({target, paused, term}: Choice, known: readonly member.Member[], signal: AbortSignal): Promise<readonly member.Member[]> {
		const {group: serviceGroup, clock: time} = this.#options;
		const held = new Set(paused);
		while (!signal.aborted) {
			for (const server of serviceGroup.members) {
				if (server !== target && !known.includes(server)) {
					held.add(server);
				}
			}

			await Promise.all([...held].map(async server => this.#renew(server, term, signal)));
			await time.sleep(renewalIntervalMs, signal);
		}

		return [...held];
	}

	/** Pauses a server again unless it is still paused or already in the term of the new leader. */
	async #renew(server: member.Member, term: number, signal: AbortSignal): Promise<void> {
		const [current] = await this.#queryStatuses([server]);
		if (!signal.aborted && current && current.status.term < term && current.status.heldTerm < term) {
			this.#options.decisions.record('pause-renewed', {service: this.#options.group.name, server: server.id, term});
			await this.#send(server, {kind: 'pause', term});
		}
	}

	/** Resumes replication on servers paused for a promotion that did not happen. */
	async #resume(servers: readonly member.Member[]): Promise<void> {
		await Promise.all(servers.map(async server => this.#send(server, {kind: 'resume'})));
	}

	/** Resumes replication on servers that a pause reached only after the promotion, which did not end it then. */
	async #resumeHeld(servers: readonly member.Member[], term: number): Promise<void> {
		const candidates = await this.#queryStatuses(servers);
		await this.#resume(candidates.filter(({status}) => status.heldTerm === term && status.term < term).map(({member: server}) => server));
	}

	/** Resumes replication on replicas that are behind because another host paused them and did not finish the promotion. */
	async #resumePaused(): Promise<void> {
		const {group: {name, members, leader}, clock: time, claims: promotionClaims} = this.#options;
		const patienceMs = promotionClaims.wasClaimed(name) ? resumeIntervalMs : unclaimedResumeMs;
		const behind = members.filter(server => server !== leader && server.behindSince !== undefined && time.now() - server.behindSince > patienceMs);
		if (!leader || behind.length === 0 || promotionClaims.isClaimedByOther(name)) {
			return;
		}

		const candidates = await this.#queryStatuses(behind);
		await this.#resume(candidates.filter(({status}) => status.heldTerm > status.term).map(({member: server}) => server));
	}

	/** Whether the target's log reaches `required`. Waits for it if the leader is leaving and still replicates. */
	async #catchUp(target: Candidate, required: statement.Position, reason: Reason): Promise<boolean> {
		if (position.compare(target.status.position, required) >= 0) {
			return true;
		}

		const deadline = this.#options.clock.now() + (reason === 'leaving' ? catchUpTimeoutMs : 0);
		do {
			const [current] = await this.#queryStatuses([target.member]);
			if (current && position.compare(current.status.position, required) >= 0) {
				return true;
			}

			await this.#options.clock.sleep(catchUpPollMs);
		} while (this.#options.clock.now() < deadline);

		return false;
	}

	async #queryStatuses(servers: readonly member.Member[]): Promise<Candidate[]> {
		const outcomes = await Promise.all(servers.map(async server => this.#send(server, {kind: 'status'})));
		return outcomes.flatMap(outcome => Either.isRight(outcome) ? [outcome.right] : []);
	}

	/** Pauses replication on the servers and returns their status. */
	async #pause(servers: readonly Candidate[], term: number): Promise<errors.Outcome<Candidate[]>> {
		const outcomes = await Promise.all(servers.map(async ({member: server}) => this.#send(server, {kind: 'pause', term})));
		const failed = outcomes.find(outcome => Either.isLeft(outcome));
		return failed && Either.isLeft(failed)
			? failed
			: Either.right(outcomes.flatMap(outcome => Either.isRight(outcome) ? [outcome.right] : []));
	}

	async #send(server: member.Member, command: statement.Command): Promise<errors.Outcome<Candidate>> {
		let outcome: errors.Outcome<Candidate> = errors.fail('not-run', 'send', server.id, 'no request was sent');
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			const sentAt = this.#options.clock.now();
			const acquired = await server.pool.acquire(requestTimeoutMs);
			if (Either.isLeft(acquired)) {
				outcome = acquired;
				continue;
			}

			const reply = await acquired.right.requestStatus(command, requestTimeoutMs);
			await server.pool.release(acquired.right, 'clean');
			this.#options.decisions.record('server-ordered', {
				service: this.#options.group.name,
				server: server.id,
				order: command.kind,
				term: 'term' in command ? command.term : 0,
				answer: Either.isRight(reply) ? `${reply.right.role} ${reply.right.term} ${position.format(reply.right.position)} ${reply.right.heldTerm}` : errors.describe(reply.left),
			});
			if (Either.isRight(reply)) {
				server.recordResponse();
				this.#options.group.verifyLog(server, reply.right.position);
				return Either.right({member: server, status: reply.right});
			}

			if (reply.left.kind === 'outcome-unknown') {
				server.recordFailure(sentAt);
			}

			outcome = reply;
		}

		return outcome;
	}

	/** Requests the promotion until the authority responds or another host has claimed it, then waits for the server to become leader. */
	async #promote(target: member.Member, {service, token}: claims.Claim): Promise<errors.Outcome<member.Member>> {
		const deadline = this.#options.clock.now() + promoteTimeoutMs;
		let outcome: errors.Outcome<authority.Result> = errors.fail('store', 'store', service, 'no promotion request was sent');
		do {
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
		} while (this.#options.clock.now() < deadline && !this.#options.claims.isClaimedByOther(service));

		if (Either.isLeft(outcome)) {
			return outcome;
		}

		return outcome.right === 'accepted' ? this.#awaitLeadership(target) : errors.fail('conflict', 'store', service, 'the authority refused the promotion');
	}

	async #awaitLeadership(target: member.Member): Promise<errors.Outcome<member.Member>> {
		const {group: serviceGroup, clock: time} = this.#options;
		const deadline = time.now() + leadershipTimeoutMs;
		while (time.now() < deadline) {
			if (serviceGroup.leader === target) {
				return Either.right(target);
			}

			serviceGroup.probe(target);
			await time.sleep(leadershipPollMs);
		}

		return errors.fail('not-run', 'observe', target.id, 'the server did not become leader in time');
	}
}

/** The server with the most advanced log; among equals, one that isn't leaving. */
function mostAdvanced(candidates: readonly Candidate[]): Candidate | undefined {
	return candidates.toSorted((one, other) =>
		position.compare(other.status.position, one.status.position) || Number(other.member.isReady) - Number(one.member.isReady))[0];
}
