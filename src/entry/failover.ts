/**
Failover of one group whose promotions are ordered at an outside authority.

An acknowledged commit is in the log of the primary and of at least one replica. A replica that is stopped from receiving
can't acknowledge any more. So a server that holds everything that all stopped replicas hold has every commit that was
acknowledged before they stopped, and later ones can be acknowledged only through itself.
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

/** What the task of a group needs. */
export type Parts = {
	readonly group: group.Group;
	readonly host: string;
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly authority: authority.Authority;
	readonly claims: claims.Claims;
	readonly decisions: decisions.Decisions;
};

/** Why another server should lead. */
export type Reason = 'silent' | 'leaderless' | 'stalled' | 'leaving' | 'gone';

/** A server and how it stands. */
type Standing = {readonly member: member.Member; readonly standing: statement.Standing};

/** Time in ms between two looks. */
const tickMs = 100;
/** The same while the group rests. */
const restTickMs = 500;
/** Time in ms without any answer from the leader, over old and new connections, after which it is taken as failed. */
const silentMs = 550;
/** Time in ms without a leader after which one is needed: longer than this host takes to ask all servers. */
const leaderlessMs = 700;
/** Time in ms for which commits may stay unanswered while the leader answers otherwise. */
const stalledMs = 700;
/** Another server must have answered within this time in ms, else this host may be the one that is cut off. */
const witnessMs = 1000;
/** Longest random pause in ms before a claim, so that hosts don't all claim at once. */
const jitterMs = 120;
/** Time in ms for a question or an order to a server, and how often it is repeated. */
const askTimeoutMs = 500;
const askAttempts = 3;
/** Time in ms for a target to receive what others hold, when the primary still sends. */
const catchUpMs = 1500;
const catchUpPauseMs = 30;
/** Time in ms without a new server after which the list is taken as complete: a starting system lists servers one by one. */
const settleMs = 2500;
/** Bounds in ms of the random pause after a change that was given up. */
const leastBackoffMs = 200;
const mostBackoffMs = 600;
/** Time in ms for which a replica stays behind before it is asked whether it was stopped, and between two looks. */
const repairMs = 3000;
/** Time in ms for the authority to answer, repeated with the same order, and the pause between. */
const promoteLimitMs = 8000;
const promotePauseMs = 150;
/** Time in ms from an accepted order until the new leader is seen, beyond what a promotion takes. */
const appearLimitMs = 4000;
const appearPauseMs = 40;

/** Looks after one group. */
export class Failover {
	readonly #parts: Parts;

	constructor(parts: Parts) {
		this.#parts = parts;
	}

	/** The task. Ends when `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		let repairedAt = this.#parts.clock.now();
		while (!signal.aborted) {
			const reason = this.reason();
			if (reason) {
				await this.#change(reason, signal);
			} else if (this.#parts.group.isInUse && this.#parts.clock.now() - repairedAt > repairMs) {
				repairedAt = this.#parts.clock.now();
				await this.#repair();
			}

			await this.#parts.clock.sleep(this.#parts.group.isInUse ? tickMs : restTickMs, signal);
		}
	}

	/** Why another server should lead now; `undefined` if all is well or this host can't tell. */
	reason(): Reason | undefined {
		const {leader, leaderlessSince, members, grownAt} = this.#parts.group;
		const now = this.#parts.clock.now();
		if (!this.#parts.group.isInUse || now - grownAt < settleMs) {
			return undefined;
		}

		const witnesses = members.filter(server => server !== leader && now - server.heardAt < witnessMs);
		if (witnesses.length === 0) {
			return undefined;
		}

		if (!leader) {
			return leaderlessSince !== undefined && now - leaderlessSince > leaderlessMs ? 'leaderless' : undefined;
		}

		if (leader.failingSince !== undefined && now - leader.failingSince > silentMs) {
			return 'silent';
		}

		if (leader.stalledSince !== undefined && now - leader.stalledSince > stalledMs) {
			return 'stalled';
		}

		const hasSuccessor = members.some(server => server !== leader && server.isReady);
		return !leader.isReady && hasSuccessor ? 'leaving' : undefined;
	}

	/** Looks whether a change is possible, claims it, and carries it out. */
	async #change(reason: Reason, signal: AbortSignal): Promise<void> {
		const {group: {name, leader}, clock: time, decisions: record} = this.#parts;
		await time.sleep(this.#parts.random.integer(0, jitterMs), signal);
		if (this.reason() !== reason || this.#parts.claims.isLeftToOther(name)) {
			return;
		}

		const startedAt = time.now();
		record.record('failover-started', {
			service: name, reason, leader: leader?.id ?? '', silentMs: Math.round(leader?.failingSince === undefined ? 0 : startedAt - leader.failingSince),
		});
		const outcome = await this.#carryOut(reason, leader);
		record.record('failover-ended', {
			service: name,
			result: Either.isRight(outcome) ? 'promoted' : 'given up',
			server: Either.isRight(outcome) ? outcome.right.id : '',
			reason: Either.isLeft(outcome) ? errors.describe(outcome.left) : reason,
			durationMs: Math.round(time.now() - startedAt),
		});
		if (Either.isLeft(outcome)) {
			await time.sleep(this.#parts.random.integer(leastBackoffMs, mostBackoffMs), signal);
		}
	}

	async #carryOut(reason: Reason, leader: member.Member | undefined): Promise<errors.Outcome<member.Member>> {
		const found = await this.#witnesses(leader);
		if (Either.isLeft(found)) {
			return found;
		}

		if (this.#parts.claims.isLeftToOther(this.#parts.group.name)) {
			return errors.fail('conflict', 'store', this.#parts.group.name, 'another host has claimed the promotion');
		}

		const claimed = await this.#parts.claims.claim(this.#parts.group.name);
		if (Either.isLeft(claimed)) {
			return claimed;
		}

		const chosen = await this.#choose(found.right, reason);
		const outcome = Either.isLeft(chosen) ? chosen : await this.#promote(chosen.right, claimed.right);
		if (Either.isLeft(outcome)) {
			await this.#resume(found.right);
		}

		return outcome;
	}

	/**
	The servers beside the leader and how they stand, if no acknowledged commit can be missing among them. A commit is on
	two servers at least, so all but one of all servers must answer, with logs that go back to before the commit.
	*/
	async #witnesses(leader: member.Member | undefined): Promise<errors.Outcome<Standing[]>> {
		const {group: {name, members, acknowledged}} = this.#parts;
		const replicas = members.filter(server => server !== leader);
		const found = await this.#standings(replicas);
		const complete = found.filter(({member: server}) => server.isSynchronized);
		if (complete.length < replicas.length - (leader ? 0 : 1)) {
			const missing = replicas.filter(server => !complete.some(entry => entry.member === server));
			return errors.fail('not-run', 'observe', name, `${missing.map(({id}) => id).join(', ')} may have held commits and does not answer, or lost its log`);
		}

		const target = best(found);
		return target && (!acknowledged || position.compare(target.standing.position, acknowledged) >= 0)
			? Either.right(found)
			: errors.fail('not-run', 'observe', name, `no server that answers holds ${acknowledged ? position.format(acknowledged) : 'a log'}`);
	}

	/** The server that can lead without losing an acknowledged commit, once no other one can acknowledge any. */
	async #choose(found: readonly Standing[], reason: Reason): Promise<errors.Outcome<member.Member>> {
		const {group: {name}} = this.#parts;
		const target = best(found);
		if (!target) {
			return errors.fail('not-run', 'observe', name, 'no server answers');
		}

		// A higher term than the next one would keep a server stopped after the promotion.
		const term = Math.max(...found.map(({standing}) => standing.term)) + 1;
		const paused = await this.#pause(found.filter(entry => entry.member !== target.member), term);
		if (Either.isLeft(paused)) {
			return paused;
		}

		const needed = best(paused.right)?.standing.position ?? target.standing.position;
		if (await this.#reaches(target, needed, reason)) {
			return Either.right(target.member);
		}

		// The target won't receive the rest, so the server that has it leads, and the target must not acknowledge either.
		const stopped = await this.#pause([target], term);
		const ahead = Either.isRight(stopped) ? best([...paused.right, ...stopped.right]) : undefined;
		return ahead ? Either.right(ahead.member) : errors.fail('not-run', 'observe', name, `${target.member.id} lacks commits and does not answer`);
	}

	/** Lets servers receive again that were stopped for a promotion which did not happen. */
	async #resume(servers: readonly Standing[]): Promise<void> {
		await Promise.all(servers.map(async ({member: server}) => this.#order(server, {kind: 'resume'})));
	}

	/**
	Lets a replica receive again that fell behind because it was stopped for a promotion which another host did not finish.
	*/
	async #repair(): Promise<void> {
		const {group: {name, members, leader}, clock: time, claims: held} = this.#parts;
		const behind = members.filter(server => server !== leader && server.behindSince !== undefined && time.now() - server.behindSince > repairMs);
		if (!leader || behind.length === 0 || !held.isKnown(name) || held.isLeftToOther(name)) {
			return;
		}

		const found = await this.#standings(behind);
		await this.#resume(found.filter(({standing}) => standing.heldTerm > standing.term));
	}

	/** Whether the target holds a position, waiting for it while a primary may still send. */
	async #reaches(target: Standing, needed: statement.Position, reason: Reason): Promise<boolean> {
		if (position.compare(target.standing.position, needed) >= 0) {
			return true;
		}

		const end = this.#parts.clock.now() + (reason === 'leaving' ? catchUpMs : 0);
		do {
			const [present] = await this.#standings([target.member]);
			if (present && position.compare(present.standing.position, needed) >= 0) {
				return true;
			}

			await this.#parts.clock.sleep(catchUpPauseMs);
		} while (this.#parts.clock.now() < end);

		return false;
	}

	async #standings(servers: readonly member.Member[]): Promise<Standing[]> {
		const outcomes = await Promise.all(servers.map(async server => this.#order(server, {kind: 'status'})));
		return outcomes.flatMap(outcome => Either.isRight(outcome) ? [outcome.right] : []);
	}

	/** Stops servers from receiving; gives what each holds. */
	async #pause(servers: readonly Standing[], term: number): Promise<errors.Outcome<Standing[]>> {
		const outcomes = await Promise.all(servers.map(async ({member: server}) => this.#order(server, {kind: 'pause', term})));
		const failed = outcomes.find(outcome => Either.isLeft(outcome));
		return failed && Either.isLeft(failed)
			? failed
			: Either.right(outcomes.flatMap(outcome => Either.isRight(outcome) ? [outcome.right] : []));
	}

	async #order(server: member.Member, command: statement.Command): Promise<errors.Outcome<Standing>> {
		let outcome: errors.Outcome<Standing> = errors.fail('not-run', 'send', server.id, 'not asked');
		for (let attempt = 0; attempt < askAttempts; attempt++) {
			const sentAt = this.#parts.clock.now();
			const acquired = await server.pool.acquire(askTimeoutMs);
			if (Either.isLeft(acquired)) {
				outcome = acquired;
				continue;
			}

			const asked = await acquired.right.ask(command, askTimeoutMs);
			await server.pool.release(acquired.right, 'clean');
			this.#parts.decisions.record('server-ordered', {
				service: this.#parts.group.name,
				server: server.id,
				order: command.kind,
				term: 'term' in command ? command.term : 0,
				answer: Either.isRight(asked) ? `${asked.right.role} ${asked.right.term} ${position.format(asked.right.position)} ${asked.right.heldTerm}` : errors.describe(asked.left),
			});
			if (Either.isRight(asked)) {
				server.answered();
				return Either.right({member: server, standing: asked.right});
			}

			if (asked.left.kind === 'outcome-unknown') {
				server.failed(sentAt);
			}

			outcome = asked;
		}

		return outcome;
	}

	/** Orders the promotion until it is answered, then waits for the server to lead. */
	async #promote(target: member.Member, {service, token}: claims.Held): Promise<errors.Outcome<member.Member>> {
		const end = this.#parts.clock.now() + promoteLimitMs;
		let outcome: errors.Outcome<authority.Verdict> = errors.fail('store', 'store', service, 'not ordered');
		do {
			outcome = await this.#parts.authority.promote({
				service, server: target.id, holder: this.#parts.host, token,
			});
			this.#parts.decisions.record('promotion-ordered', {
				service, server: target.id, token, answer: Either.isRight(outcome) ? outcome.right : errors.describe(outcome.left),
			});
			if (Either.isRight(outcome)) {
				break;
			}

			await this.#parts.clock.sleep(promotePauseMs);
		} while (this.#parts.clock.now() < end);

		if (Either.isLeft(outcome)) {
			return outcome;
		}

		return outcome.right === 'accepted' ? this.#awaitLead(target) : errors.fail('conflict', 'store', service, 'the order was refused');
	}

	async #awaitLead(target: member.Member): Promise<errors.Outcome<member.Member>> {
		const {group: servers, clock: time} = this.#parts;
		const end = time.now() + appearLimitMs;
		while (time.now() < end) {
			if (servers.leader === target) {
				return Either.right(target);
			}

			servers.probe(target);
			await time.sleep(appearPauseMs);
		}

		return errors.fail('not-run', 'observe', target.id, 'it did not begin to lead');
	}
}

/** The most advanced server; of equal ones, one that isn't leaving. */
function best(found: readonly Standing[]): Standing | undefined {
	return found.toSorted((one, other) =>
		position.compare(other.standing.position, one.standing.position) || Number(other.member.isReady) - Number(one.member.isReady))[0];
}
