/**
Executes requests on this host if it owns their service, otherwise forwards them to an owner over a link.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as dispatch from '../core/dispatch.js';
import * as errors from '../core/errors.js';
import type * as ownership from '../core/ownership.js';
import * as service from '../core/service.js';
import * as statement from '../core/statement.js';
import type * as types from '../generated/types.js';
import type * as connection from '../peer/connection.js';
import type * as links from '../peer/links.js';
import type * as owner from './owner.js';

/** Dependencies of `Dispatcher`. */
export type Options = {
	readonly clock: clock.Clock;
	readonly host: string;
	readonly place: string;
	readonly owner: owner.Owner;
	readonly links: links.Links;
	/** The owners of a service in order of rank. */
	readonly owners: (service: string) => readonly ownership.Member[];
	readonly settings: (service: string) => types.Service | undefined;
};

/** Where a session's transaction is executed: on this host or by the owner at the other end of a link. */
type Location = connection.Connection | 'here';

/** Time in ms that is added to the request deadline for the owner's response to arrive. */
const responseMarginMs = 100;
/** Pause in ms between rounds of attempts, when no owner accepted the request. */
const retryPauseMs = 50;

/** Dispatches requests and records which owner executes the transaction of each session. */
export class Dispatcher extends dispatch.Dispatcher {
	readonly #options: Options;
	readonly #locations = new Map<string, Location>();

	constructor(options: Options) {
		super();
		this.#options = options;
	}

	override async execute(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		return request.transaction === 'none' || request.transaction === 'begin'
			? this.#dispatch(request)
			: this.#executeInTransaction(request);
	}

	override async endSession(_service: string, session: string): Promise<void> {
		const location = this.#forgetLocation(session);
		if (location === 'here') {
			await this.#options.owner.endSession(session);
		} else {
			location?.notify({kind: 'session-end', session});
		}
	}

	/** Removes the location of a session's transaction. */
	#forgetLocation(session: string): Location | undefined {
		const location = this.#locations.get(session);
		this.#locations.delete(session);
		if (location !== 'here') {
			location?.forwardedSessions.delete(session);
		}

		return location;
	}

	/** Executes a statement of an open transaction, which only the owner that executes the transaction can do. */
	async #executeInTransaction(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const location = this.#locations.get(request.session);
		if (!location) {
			return errors.fail('not-run', 'route', request.service, 'the transaction has ended and was rolled back');
		}

		const outcome = await this.#executeAt(location, request);
		const isEnd = request.transaction === 'commit' || request.transaction === 'rollback';
		if (isEnd && Either.isRight(outcome)) {
			this.#forgetLocation(request.session);
		} else if (isEnd || (Either.isLeft(outcome) && outcome.left.kind !== 'database')) {
			await this.endSession(request.service, request.session);
		}

		// Without its commit the transaction is rolled back, so any other statement with an unknown outcome counts as not run.
		return request.transaction === 'commit' ? outcome : Either.mapLeft(asNotRun)(outcome);
	}

	/** Sends a request to the owners in order until one executes it, and repeats the round until the deadline. */
	async #dispatch(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const deadline = this.#options.clock.now() + request.deadlineMs;
		let outcome: errors.Outcome<types.Answer> = errors.fail('not-run', 'route', request.service, 'no owner of the service accepted the request');
		let hasUnknownAttempt = false;
		do {
			for (const member of this.#orderOwners(request.service)) {
				const deadlineMs = deadline - this.#options.clock.now();
				if (deadlineMs <= 0) {
					return outcome;
				}

				const latest = await this.#attempt(member, {...request, deadlineMs});
				outcome = hasUnknownAttempt ? Either.mapLeft(keepUnknown)(latest) : latest;
				if (Either.isRight(latest) || !this.#mayRetry(request, latest.left)) {
					return outcome;
				}

				hasUnknownAttempt ||= latest.left.kind === 'outcome-unknown';
			}

			await this.#options.clock.sleep(retryPauseMs);
		} while (this.#options.clock.now() < deadline);

		return outcome;
	}

	async #attempt(member: ownership.Member, request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const started = this.#options.clock.now();
		const location = member.name === this.#options.host ? 'here' : await this.#options.links.connect(member);
		if (!location) {
			return errors.fail('not-run', 'forward', member.name, 'no link to the owner could be opened');
		}

		const deadlineMs = request.deadlineMs - (this.#options.clock.now() - started);
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
				location.forwardedSessions.add(request.session);
			}
		} else if (location !== 'here') {
			// The owner may have begun a transaction whose response was lost.
			location.notify({kind: 'session-end', session: request.session});
		}

		return Either.mapLeft(asNotRun)(outcome);
	}

	async #executeAt(location: Location, request: types.Request): Promise<errors.Outcome<types.Answer>> {
		if (location === 'here') {
			return this.#options.owner.execute(request);
		}

		const outcome = await location.request({kind: 'forward', request}, request.deadlineMs + responseMarginMs);
		return Either.flatMap((reply: connection.Reply): errors.Outcome<types.Answer> => reply.kind === 'answered'
			? Either.right(reply.answer)
			: errors.fail('outcome-unknown', 'forward', location.host, `unexpected response ${reply.kind}`))(outcome);
	}

	/** Owners in the order of attempts: this host if it owns the service, owners in its place, remaining owners; each by rank. */
	#orderOwners(name: string): ownership.Member[] {
		const {host, place, owner: localOwner, owners} = this.#options;
		const distance = (member: ownership.Member): number => member.name === host ? 0 : (member.place === place ? 1 : 2);
		const local: ownership.Member[] = localOwner.names.includes(name)
			? [{
				name: host, place, address: '', isLeaving: false,
			}]
			: [];
		const others = owners(name).filter(member => member.name !== host);
		return [...local, ...others].toSorted((left, right) => distance(left) - distance(right));
	}

	#mayRetry(request: types.Request, failure: errors.Failure): boolean {
		if (failure.kind === 'not-run') {
			// An owner with a full queue refuses requests to protect the servers, and another owner would send to the same
			// servers. A request that was cancelled through its record stays cancelled.
			return failure.step !== 'admit' && failure.step !== 'settle';
		}

		return failure.kind === 'outcome-unknown' && (request.transaction === 'begin' || request.kind === 'read' || this.#isRepeatableWrite(request));
	}

	/** Whether a write may be sent again after its response was lost: its class is idempotent, or its record prevents a second run. */
	#isRepeatableWrite(request: types.Request): boolean {
		const settings = this.#options.settings(request.service);
		if (settings && service.findClass(settings, request).idempotent) {
			return true;
		}

		const classified = statement.classify(request.sql);
		return request.requestId !== '' && Either.isRight(classified) && classified.right.isRecordable;
	}
}

/**
Keeps the outcome unknown when a repeated attempt fails after one whose response was lost. The earlier attempt may still
be running, and its locks may have caused this failure. Only the record of the request decides the outcome of both.
*/
function keepUnknown(failure: errors.Failure): errors.Failure {
	return failure.kind === 'not-run' && failure.step === 'settle' ? failure : {...failure, kind: 'outcome-unknown', code: 0};
}

function asNotRun(failure: errors.Failure): errors.Failure {
	return failure.kind === 'outcome-unknown' ? {...failure, kind: 'not-run'} : failure;
}
