/**
Fences the leader of one group and chooses its successor: the part of a failover between the claim and the order.

An acknowledged commit is in the logs of the leader and of at least one replica, which may be one that no host knows of yet.
So neither the fence nor the choice rests on the list of servers:

- A leader that responds to any host steps down. Its answer carries the end of its log, which bounds every commit that it
  acknowledged. A server that has this position is complete; if no replica has, the old leader itself leads again.
- A leader that responds to no host is fenced at the hosts, which withhold what it acknowledges from then on, and at the
  known replicas, which are paused. The successor needs the positions that the hosts have confirmed.
- An order of an earlier attempt may be carried out at any time, so any server may turn out to lead. From the fence on, hosts
  confirm nothing of servers other than the one that the attempt allows: the leader until it steps down, then the successor.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import * as position from '../core/position.js';
import type * as attempts from './attempt.js';
import * as candidates from './candidate.js';
import type * as claims from './claims.js';
import * as completeness from './completeness.js';
import type * as confirmation from './confirmation.js';
import type * as decisions from './decisions.js';
import * as fences from './fence.js';
import type * as group from './group.js';
import * as hosts from './hosts.js';
import type * as member from './member.js';
import type * as orders from './orders.js';
import type * as statement from './statement.js';

/** Why the leader has to be replaced. */
export type Reason = 'silent' | 'leaderless' | 'stalled' | 'leaving';

export type Options = {
	readonly group: group.Group;
	readonly clock: clock.Clock;
	readonly decisions: decisions.Decisions;
	readonly hosts: hosts.Hosts;
	readonly orders: orders.Orders;
	readonly trace: attempts.Trace;
};

/** One attempt to replace a leader, under a claim. */
export type Attempt = {
	readonly reason: Reason;
	readonly leader: member.Member | undefined;
	/** The replicas that responded before the claim. */
	readonly found: readonly candidates.Candidate[];
	/** Whether the leader responds to another host, as these reported before the claim. */
	readonly isSeenByOthers: boolean;
	/** The latest position that another host reported as confirmed before the claim. */
	readonly confirmed: statement.Position | null;
	readonly claim: claims.Claim;
	/** Time before the claim: no host has heard of it earlier. */
	readonly claimedAt: clock.Mark;
};

/** An attempt with the next leader's term. */
type Dated = Attempt & {readonly term: number};

/** Time for the target to catch up with the other replicas while the leader still replicates. */
const catchUpTimeoutMs = 1500;
const catchUpPollMs = 30;
/** Time for a replica to receive what is on its way from a leader that has stepped down, and if it received nothing before. */
const drainTimeoutMs = 150;
const stalledDrainTimeoutMs = 50;
const drainPollMs = 15;
/** A leader that has acknowledged a commit to another host within this time is not stalled. */
const stallEvidenceMs = 400;
/** Time from the claim until hosts that did not answer have seen it in the store. */
const claimPropagationMs = 150;

/** Fences leaders and chooses successors. */
export class Succession {
	readonly #options: Options;

	constructor(options: Options) {
		this.#options = options;
	}

	/**
	The servers other than the leader and their status, if together they hold every acknowledged commit, as `completeness.ts`
	decides.
	*/
	async findCandidates(leader: member.Member | undefined): Promise<errors.Outcome<candidates.Candidate[]>> {
		const {group: {name, members, acknowledged, mayHaveLeader, missing, departures, isMembershipKnown}, orders: sent} = this.#options;
		const replicas = members.filter(server => server !== leader);
		const responding = await sent.status(replicas);
		const servers = replicas.map(server => ({
			id: server.id, address: server.registration.address, isCompared: server.isSynchronized, answer: responding.find(entry => entry.member === server)?.status,
		}));
		const leaderView = mayHaveLeader ? 'unknown' : 'removed';
		const gaps = completeness.findGaps({
			leader: leader ? 'known' : leaderView, servers, missing, departures, isMembershipKnown,
		});
		if (gaps.length > 0) {
			return errors.fail('not-run', 'observe', name, completeness.describe(gaps));
		}

		const target = candidates.mostAdvanced(responding);
		return target && has(target, acknowledged)
			? Either.right(responding)
			: errors.fail('not-run', 'observe', name, `no responding server holds ${acknowledged ? position.format(acknowledged) : 'a log'}`);
	}

	/**
	The replicas that respond and their status, for a leader that responds: the end of its log in its answer to the order to
	step down bounds every acknowledged commit, so none of the replicas has to be known as complete before.
	*/
	async findReplicas(leader: member.Member): Promise<errors.Outcome<candidates.Candidate[]>> {
		const {group: {name, members}, orders: sent} = this.#options;
		const responding = await sent.status(members.filter(server => server !== leader));
		return responding.length > 0 ? Either.right(responding) : errors.fail('not-run', 'observe', name, 'no replica responded');
	}

	/** Fences the leader and chooses the server that can be promoted without losing an acknowledged commit. */
	async prepare(attempt: Attempt): Promise<errors.Outcome<fences.Fence>> {
		const dated = {...attempt, term: this.#nextTerm(attempt)};
		this.#options.trace.dated(dated.term);
		this.#options.trace.confirmed(this.#options.group.acknowledged);
		const {leader, reason} = attempt;
		const {group: {name, leader: current}} = this.#options;
		if (current && current !== leader) {
			return this.#giveUp(attempt, errors.fail('not-run', 'observe', name, `${current.id} leads since the attempt began`));
		}

		if (!leader) {
			return this.#fenceAtHosts(dated);
		}

		switch (reason) {
			case 'leaving': {
				return this.#replaceLeaving(dated, leader);
			}

			case 'stalled': {
				return this.#replaceStalled(dated, leader);
			}

			case 'silent':
			case 'leaderless': {
				return this.#replaceSilent(dated, leader);
			}
		}
	}

	/** Tells all hosts, this one included, that nothing was ordered under a claim. */
	release({service, token}: claims.Claim): void {
		this.#options.group.confirmations.release(token);
		void this.#options.hosts.ask({
			service, order: 'keep', server: '', term: 0, token,
		});
	}

	/** Tells all hosts, this one included, which server's commits they may confirm. Resolves when they have answered, or late. */
	async announce({service, token}: Pick<claims.Claim, 'service' | 'token'>, rule: Extract<confirmation.Rule, {server: string}>): Promise<void> {
		this.#options.group.confirmations.apply(token, rule);
		await this.#options.hosts.ask({service, token, ...hosts.encodeRule(rule)});
	}

	/** Suspends the confirmation of all servers' commits at all hosts. */
	async suspend({service, token}: claims.Claim, term: number): Promise<hosts.Answers> {
		this.#options.group.confirmations.apply(token, {kind: 'nobody', term});
		return this.#options.hosts.ask({
			service, order: 'suspend', server: '', term, token,
		});
	}

	/**
	The term of the next leader. A new leader's replicas show the term before until they receive from it, and orders to a leader
	have no effect in its own term, so what this host and the others know of leaders counts as well. The primary starts the next
	term, which ends a pause. Pausing with a higher term would outlast the promotion.
	*/
	#nextTerm({found, leader, confirmed}: Attempt): number {
		const {group: {acknowledged, confirmations}} = this.#options;
		const terms = found.map(({status}) => status.term);
		return Math.max(...terms, confirmations.leaderTerm, leader?.position?.term ?? 0, acknowledged?.term ?? 0, confirmed?.term ?? 0) + 1;
	}

	/** Replaces a leader that serves on until it steps down. */
	async #replaceLeaving(attempt: Dated, leader: member.Member): Promise<errors.Outcome<fences.Fence>> {
		const {group: {name}} = this.#options;
		await this.announce(attempt.claim, {kind: 'leader', server: leader.id});
		if (await this.#isReplaced(leader)) {
			return this.#giveUp(attempt, errors.fail('not-run', 'observe', name, `${leader.id} no longer leads`));
		}

		// Without a replica that receives, the leader would step down only to lead again.
		const target = candidates.mostAdvanced(attempt.found);
		if (!target || (leader.position && !await this.#catchUp(target, leader.position, attempt.reason))) {
			return this.#giveUp(attempt, errors.fail('not-run', 'observe', name, 'no replica receives what the leader has'));
		}

		const stepped = await this.#stepDown(attempt, leader);
		if (Either.isLeft(stepped)) {
			return this.#giveUp(attempt, stepped);
		}

		if (stepped.right.status.role === 'replica') {
			return this.#chooseComplete(attempt, stepped.right);
		}

		const found = await this.findCandidates(leader);
		return Either.isLeft(found) ? this.#giveUp(attempt, found) : this.#fenceAtHosts({...attempt, found: found.right});
	}

	/**
	Replaces a leader whose commits wait. Only its pending commits are missing in the replicas, unless one has come back, so
	it must be shown that nobody has received an acknowledgement since.
	*/
	async #replaceStalled(attempt: Dated, leader: member.Member): Promise<errors.Outcome<fences.Fence>> {
		const {group: {name, confirmations}, clock: time} = this.#options;
		const startedAt = time.now();
		const {reports} = await this.suspend(attempt.claim, attempt.term);
		const isRecent = (agoMs: number | null): boolean => agoMs !== null && agoMs < stallEvidenceMs;
		if (isRecent(startedAt - confirmations.acknowledgedAt) || reports.some(({acknowledgedAgoMs}) => isRecent(acknowledgedAgoMs))) {
			return this.#giveUp(attempt, errors.fail('not-run', 'observe', name, 'the leader acknowledges commits again'));
		}

		if (await this.#isReplaced(leader)) {
			return this.#giveUp(attempt, errors.fail('not-run', 'observe', name, `${leader.id} no longer leads`));
		}

		const stepped = await this.#stepDown(attempt, leader);
		if (Either.isLeft(stepped)) {
			// The order may have been carried out, so the suspension is left to end by itself.
			return stepped;
		}

		if (stepped.right.status.role === 'replica') {
			return this.#chooseAfterStall(attempt, stepped.right, reports);
		}

		return this.#options.group.absent.length === 0
			? this.#pauseReplicas(attempt, reports)
			: this.#giveUp(attempt, errors.fail('not-run', 'observe', name, `the leader did not step down, and ${this.#options.group.absent.join(', ')} may return and acknowledge commits`));
	}

	/** Replaces a leader that this host can't reach: a host that can tells it to step down. */
	async #replaceSilent(attempt: Dated, leader: member.Member): Promise<errors.Outcome<fences.Fence>> {
		if (!attempt.isSeenByOthers) {
			return this.#fenceAtHosts(attempt);
		}

		await this.announce(attempt.claim, {kind: 'leader', server: leader.id});
		const status = await this.#delegateStepDown(attempt, leader);
		return status?.role === 'replica'
			? this.#chooseComplete(attempt, {member: leader, status})
			: this.#giveUp(attempt, errors.fail('not-run', 'observe', this.#options.group.name, 'the leader responds to other hosts, but none could make it step down'));
	}

	/** Fences a leader that no order reaches, or that leads on: at the hosts, and by pauses at the known replicas. */
	async #fenceAtHosts(attempt: Dated): Promise<errors.Outcome<fences.Fence>> {
		const {reports, isComplete} = await this.suspend(attempt.claim, attempt.term);
		if (!isComplete) {
			await this.#options.clock.sleep(claimPropagationMs);
		}

		return this.#pauseReplicas(attempt, reports);
	}

	/**
	Whether a server that this host takes for the leader says that it isn't. One that was replaced before would confirm a
	step-down that didn't take place, and its log doesn't bound what the present leader acknowledged.
	*/
	async #isReplaced(leader: member.Member): Promise<boolean> {
		const [current] = await this.#options.orders.urgentStatus([leader]);
		return current?.status.role === 'replica';
	}

	/** Tells the leader to step down, through another host if this one gets no connection. */
	async #stepDown(attempt: Dated, leader: member.Member): Promise<errors.Outcome<candidates.Candidate>> {
		const outcome = await this.#options.orders.stepDown(leader, attempt.term);
		if (Either.isRight(outcome)) {
			const {role, term} = outcome.right.status;
			// A leader of the attempt's term ignores the order.
			return role === 'primary' && term >= attempt.term ? this.#options.orders.stepDown(leader, term + 1) : outcome;
		}

		const status = await this.#delegateStepDown(attempt, leader);
		return status ? Either.right({member: leader, status}) : outcome;
	}

	/** Has the other hosts tell the leader to step down. Returns its answer after that, `undefined` if none got one. */
	async #delegateStepDown(attempt: Dated, leader: member.Member): Promise<types.ServerStatus | undefined> {
		const {claim: {service, token}, term} = attempt;
		const {reports} = await this.#options.hosts.ask({
			service, order: 'step-down', server: leader.id, term, token,
		}, ({status}) => status?.role === 'replica');
		const answers = reports.flatMap(({status}) => status ? [status] : []);
		const answer = answers.find(({role}) => role === 'replica') ?? answers[0];
		// A leader of the attempt's term ignores the order.
		return answer?.role === 'primary' && answer.term >= attempt.term ? this.#delegateStepDown({...attempt, term: answer.term + 1}, leader) : answer;
	}

	/** Chooses a server that has the whole log of a leader that has stepped down: a replica, or else the old leader. */
	async #chooseComplete(attempt: Dated, stepped: candidates.Candidate): Promise<errors.Outcome<fences.Fence>> {
		const complete = await this.#awaitComplete(stepped, drainTimeoutMs);
		return Either.isLeft(complete) ? this.#giveUp(attempt, complete) : this.#steppedDown(attempt, complete.right ?? stepped, 'kept');
	}

	/**
	Chooses after the step-down of a stalled leader. Without a complete replica, one that lacks pending commits only can lead,
	which helps if the leader was cut from its replicas. If a host has received an acknowledgement since, the old leader leads.
	*/
	async #chooseAfterStall(attempt: Dated, stepped: candidates.Candidate, before: readonly types.LeaderReport[]): Promise<errors.Outcome<fences.Fence>> {
		const complete = await this.#awaitComplete(stepped, stalledDrainTimeoutMs);
		if (Either.isLeft(complete)) {
			return this.#giveUp(attempt, complete);
		}

		const found = complete.right ? undefined : await this.#findUnacknowledged(attempt, before);
		return this.#steppedDown(attempt, complete.right ?? found ?? stepped, found ? 'discarded' : 'kept');
	}

	/** A replica that has every commit of which a host knows, if none has received an acknowledgement since the suspension. */
	async #findUnacknowledged({leader, claim: {service, token}, term, found}: Dated, before: readonly types.LeaderReport[]): Promise<candidates.Candidate | undefined> {
		const {group: serviceGroup, hosts: others, orders: sent} = this.#options;
		const {reports} = await others.ask({
			service, order: 'report', server: '', term, token,
		});
		const isUnacknowledged = serviceGroup.confirmations.withheld === 0 && reports.length >= before.length && reports.every(({withheld}) => withheld === 0);
		const current = await sent.urgentStatus(serviceGroup.members.filter(server => server !== leader));
		const isComplete = found.every(({member: server}) => current.some(entry => entry.member === server));
		const target = candidates.mostAdvanced(current);
		return isUnacknowledged && isComplete && target?.member.isSynchronized && has(target, this.#confirmed([...before, ...reports])) ? target : undefined;
	}

	/** Waits for a replica to have the whole log of a leader that has stepped down. Errors: `not-run` if another server leads. */
	async #awaitComplete({member: leader, status}: candidates.Candidate, timeoutMs: number): Promise<errors.Outcome<candidates.Candidate | undefined>> {
		const {group: serviceGroup, clock: time, orders: sent} = this.#options;
		const deadline = time.now() + timeoutMs;
		this.#options.trace.requires(status.position);
		for (;;) {
			const replicas = await sent.urgentStatus(serviceGroup.members.filter(server => server !== leader));
			const other = replicas.find(({status: {role}}) => role === 'primary');
			if (other) {
				return errors.fail('not-run', 'observe', serviceGroup.name, `${other.member.id} leads term ${other.status.term}`);
			}

			const complete = replicas.filter(replica => has(replica, status.position));
			if (complete.length > 0 || time.now() >= deadline) {
				return Either.right(candidates.mostAdvanced(complete));
			}

			await time.sleep(drainPollMs);
		}
	}

	#steppedDown({leader, term, claim, claimedAt}: Dated, target: candidates.Candidate, fate: confirmation.Fate): errors.Outcome<fences.Fence> {
		void this.announce(claim, {
			kind: 'ordered', server: target.member.id, term, fate,
		});
		if (leader) {
			this.#options.group.recordStepDown(leader);
		}

		return Either.right(new fences.SteppedDown(this.#fenceContext, {
			target, leader, term, claimedAt,
		}));
	}

	/** Pauses replication on the other candidates and chooses the one that can be promoted without losing an acknowledged commit. */
	async #pauseReplicas(attempt: Dated, reports: readonly types.LeaderReport[]): Promise<errors.Outcome<fences.Fence>> {
		const {found, leader, term, claim, claimedAt} = attempt;
		const servers = found.map(({member: server}) => server);
		const target = await this.#chooseAmongPaused(attempt);
		const confirmed = this.#confirmed(reports);
		this.#options.trace.confirmed(confirmed);
		if (Either.isLeft(target) || !has(target.right, confirmed)) {
			await this.#options.orders.resume(servers);
			return this.#giveUp(attempt, Either.isLeft(target) ? target : errors.fail('not-run', 'observe', target.right.member.id, `another host has confirmed ${confirmed ? position.format(confirmed) : ''}`));
		}

		void this.announce(claim, {
			kind: 'ordered', server: target.right.member.id, term, fate: 'discarded',
		});
		const known = leader ? [...servers, leader] : servers;
		const paused = servers.filter(server => server !== target.right.member);
		return Either.right(new fences.Paused(this.#fenceContext, {
			target: target.right, leader, term, claimedAt,
		}, known, paused));
	}

	async #chooseAmongPaused({found, reason, term}: Dated): Promise<errors.Outcome<candidates.Candidate>> {
		const {group: {name}, orders: sent} = this.#options;
		const target = candidates.mostAdvanced(found);
		if (!target) {
			return errors.fail('not-run', 'observe', name, 'no server responded');
		}

		const [paused, [current]] = await Promise.all([
			sent.pause(found.filter(entry => entry !== target).map(({member: server}) => server), term),
			sent.status([target.member]),
		]);
		if (Either.isLeft(paused)) {
			return paused;
		}

		const leading = [...paused.right, ...(current ? [current] : [])].find(({status}) => status.role === 'primary' || status.term >= term);
		if (!current || leading) {
			return errors.fail('not-run', 'observe', name, leading ? `${leading.member.id} leads or follows in term ${leading.status.term}` : `${target.member.id} did not respond`);
		}

		const required = candidates.mostAdvanced(paused.right)?.status.position ?? current.status.position;
		this.#options.trace.requires(required);
		const caughtUp = await this.#catchUp(current, required, reason);
		if (caughtUp) {
			return Either.right(caughtUp);
		}

		// The target can't catch up, so a server that is ahead is promoted, and the target must stop acknowledging as well.
		const pausedTarget = await sent.pause([target.member], term);
		const successor = Either.isRight(pausedTarget) ? candidates.mostAdvanced([...paused.right, ...pausedTarget.right]) : undefined;
		return successor ? Either.right(successor) : errors.fail('not-run', 'observe', name, `${target.member.id} lacks commits and did not respond`);
	}

	/** The target once its log reaches `required`. Waits for it if the leader is leaving and still replicates. */
	async #catchUp(target: candidates.Candidate, required: statement.Position, reason: Reason): Promise<candidates.Candidate | undefined> {
		if (has(target, required)) {
			return target;
		}

		const {clock: time, orders: sent} = this.#options;
		const deadline = time.now() + (reason === 'leaving' ? catchUpTimeoutMs : 0);
		do {
			const [current] = await sent.status([target.member]);
			if (current && has(current, required)) {
				return current;
			}

			await time.sleep(catchUpPollMs);
		} while (time.now() < deadline);

		return undefined;
	}

	/** The latest position that this host or one of the reports knows to be confirmed. */
	#confirmed(reports: readonly types.LeaderReport[]): statement.Position | null {
		return position.latestOf([this.#options.group.acknowledged, ...reports.map(({acknowledged}) => acknowledged)]);
	}

	/** Ends an attempt in which nothing was ordered, so the leader leads on. */
	#giveUp<T>(attempt: Attempt, failure: errors.Outcome<T>): errors.Outcome<T> {
		this.release(attempt.claim);
		return failure;
	}

	get #fenceContext(): fences.Context {
		return this.#options;
	}
}

/** Whether a server's log reaches a position. */
function has({status}: candidates.Candidate, required: statement.Position | null): boolean {
	return !required || position.compare(status.position, required) >= 0;
}
