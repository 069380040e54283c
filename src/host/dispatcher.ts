/**
Executes requests here if this host owns their service, else at an owner over a link.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as dispatch from '../core/dispatch.js';
import * as errors from '../core/errors.js';
import type * as ownership from '../core/ownership.js';
import * as service from '../core/service.js';
import * as statement from '../core/statement.js';
import type * as types from '../generated/types.js';
import type * as conversation from '../peer/conversation.js';
import type * as links from '../peer/links.js';
import type * as owner from './owner.js';

/** What dispatching needs. */
export type Parts = {
	readonly clock: clock.Clock;
	readonly host: string;
	readonly place: string;
	readonly owner: owner.Owner;
	readonly links: links.Links;
	/** The owners of a service, by rank. */
	readonly owners: (service: string) => readonly ownership.Member[];
	readonly settings: (service: string) => types.Service | undefined;
};

/** Where the transaction of a session is: at this host or over a link. */
type Location = conversation.Conversation | 'here';

/** Time in ms that an owner's answer may take beyond the request's own deadline. */
const answerMarginMs = 100;
/** Pause in ms before the owners are tried again, when none took the request. */
const retryPauseMs = 50;

/** Dispatches requests and remembers which owner has the transaction of each session. */
export class Dispatcher extends dispatch.Dispatcher {
	readonly #parts: Parts;
	readonly #locations = new Map<string, Location>();

	constructor(parts: Parts) {
		super();
		this.#parts = parts;
	}

	/** Open transactions of this host's callers. */
	get transactions(): number {
		return this.#locations.size;
	}

	override async execute(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		return request.transaction === 'none' || request.transaction === 'begin'
			? this.#place(request)
			: this.#continue(request);
	}

	override async endSession(_service: string, session: string): Promise<void> {
		const location = this.#leave(session);
		if (location === 'here') {
			await this.#parts.owner.endSession(session);
		} else {
			location?.tell({kind: 'session-end', session});
		}
	}

	/** Forgets where a session's transaction is. */
	#leave(session: string): Location | undefined {
		const location = this.#locations.get(session);
		this.#locations.delete(session);
		if (location !== 'here') {
			location?.forwarded.delete(session);
		}

		return location;
	}

	/** A statement of an open transaction: it can only go where the transaction is. */
	async #continue(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const location = this.#locations.get(request.session);
		if (!location) {
			return errors.fail('not-run', 'route', request.service, 'the transaction has ended and was rolled back');
		}

		const outcome = await this.#executeAt(location, request);
		const isEnd = request.transaction === 'commit' || request.transaction === 'rollback';
		if (isEnd && Either.isRight(outcome)) {
			this.#leave(request.session);
		} else if (isEnd || (Either.isLeft(outcome) && outcome.left.kind !== 'database')) {
			await this.endSession(request.service, request.session);
		}

		// Without its commit the transaction is rolled back, whatever became of this statement.
		return request.transaction === 'commit' ? outcome : Either.mapLeft(asNotRun)(outcome);
	}

	/** A request that any owner may take: tries them in order, and again while time is left. */
	async #place(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const deadline = this.#parts.clock.now() + request.deadlineMs;
		let outcome: errors.Outcome<types.Answer> = errors.fail('not-run', 'route', request.service, 'no owner of the service took the request');
		let isUnknown = false;
		do {
			for (const member of this.#order(request.service)) {
				const deadlineMs = deadline - this.#parts.clock.now();
				if (deadlineMs <= 0) {
					return outcome;
				}

				const latest = await this.#attempt(member, {...request, deadlineMs});
				outcome = isUnknown ? Either.mapLeft(afterUnknown)(latest) : latest;
				if (Either.isRight(latest) || !this.#mayRepeat(request, latest.left)) {
					return outcome;
				}

				isUnknown ||= latest.left.kind === 'outcome-unknown';
			}

			await this.#parts.clock.sleep(retryPauseMs);
		} while (this.#parts.clock.now() < deadline);

		return outcome;
	}

	async #attempt(member: ownership.Member, request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const started = this.#parts.clock.now();
		const location = member.name === this.#parts.host ? 'here' : await this.#parts.links.reach(member);
		if (!location) {
			return errors.fail('not-run', 'forward', member.name, 'no link to the owner could be opened');
		}

		const deadlineMs = request.deadlineMs - (this.#parts.clock.now() - started);
		if (deadlineMs <= 0) {
			return errors.fail('not-run', 'forward', member.name, 'the deadline passed before a link to the owner was open');
		}

		const outcome = await this.#executeAt(location, {...request, deadlineMs});
		if (request.transaction !== 'begin') {
			return request.kind === 'read' ? Either.mapLeft(asNotRun)(outcome) : outcome;
		}

		if (Either.isRight(outcome)) {
			this.#locations.set(request.session, location);
			if (location !== 'here') {
				location.forwarded.add(request.session);
			}
		} else if (location !== 'here') {
			// The owner may have begun one whose answer was lost.
			location.tell({kind: 'session-end', session: request.session});
		}

		return Either.mapLeft(asNotRun)(outcome);
	}

	async #executeAt(location: Location, request: types.Request): Promise<errors.Outcome<types.Answer>> {
		if (location === 'here') {
			return this.#parts.owner.execute(request);
		}

		const outcome = await location.ask({kind: 'forward', request}, request.deadlineMs + answerMarginMs);
		return Either.flatMap((reply: conversation.Reply): errors.Outcome<types.Answer> => reply.kind === 'answered'
			? Either.right(reply.answer)
			: errors.fail('outcome-unknown', 'forward', location.host, `unexpected answer ${reply.kind}`))(outcome);
	}

	/** Owners to try: this host if it has the service open, then its place, then by rank. */
	#order(name: string): ownership.Member[] {
		const {host, place, owner: owned, owners} = this.#parts;
		const distance = (member: ownership.Member): number => member.name === host ? 0 : (member.place === place ? 1 : 2);
		const here: ownership.Member[] = owned.names.includes(name)
			? [{
				name: host, place, address: '', isLeaving: false,
			}]
			: [];
		const others = owners(name).filter(member => member.name !== host);
		return [...here, ...others].toSorted((left, right) => distance(left) - distance(right));
	}

	#mayRepeat(request: types.Request, failure: errors.Failure): boolean {
		if (failure.kind === 'not-run') {
			// An owner whose queue is full refuses to protect the servers; another owner would send to the same ones.
			// A request that was cancelled by its record stays cancelled.
			return failure.step !== 'admit' && failure.step !== 'settle';
		}

		return failure.kind === 'outcome-unknown' && (request.transaction === 'begin' || request.kind === 'read' || this.#isRepeatable(request));
	}

	/** Whether a write may be sent again after its answer was lost: it may run twice, or its record prevents that. */
	#isRepeatable(request: types.Request): boolean {
		const settings = this.#parts.settings(request.service);
		if (settings && service.findClass(settings, request).idempotent) {
			return true;
		}

		const classified = statement.classify(request.sql);
		return request.requestId !== '' && Either.isRight(classified) && classified.right.isRecordable;
	}
}

/**
A failure of a repetition says nothing of the attempt whose answer was lost, which may still run: the repetition may
have failed on its locks. Only the record of the request settles both.
*/
function afterUnknown(failure: errors.Failure): errors.Failure {
	return failure.kind === 'not-run' && failure.step === 'settle' ? failure : {...failure, kind: 'outcome-unknown', code: 0};
}

function asNotRun(failure: errors.Failure): errors.Failure {
	return failure.kind === 'outcome-unknown' ? {...failure, kind: 'not-run'} : failure;
}
