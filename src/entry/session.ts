/**
The session of one caller: a task that executes the caller's requests one after the other.
*/
import type * as types from '../generated/types.js';
import * as position from '../core/position.js';
import * as keeping from '../intake/keeping.js';
import type * as caller from './caller.js';
import * as executor from './executor.js';
import * as jobs from './job.js';
import type * as leases from './lease.js';
import * as admissions from './session/admission.js';
import * as commits from './session/commits.js';
import * as states from './state.js';
import * as statement from './statement.js';

/** Options shared by all sessions. */
export type Options = admissions.Options & {readonly executor: executor.Executor};

/** What ended a session: its caller or a refusal, or this host, after a reply or while no request was in progress. */
export type Ending = 'caller' | 'reply' | 'idle';

/**
Longest time from the start of a reply to the close that follows it. After a longer one, such as a stop of the process,
the caller may have sent its next request, so the session closes after the reply to that one.
*/
const maxCloseDelayMs = 5;

/** Why a write is refused whose commit the session couldn't remember. */
const memoryReason = 'this host has no memory for the position of the commit';

/** One session. */
export class Session {
	readonly #caller: caller.Caller;
	readonly #options: Options;
	readonly #state = new states.State();
	#database = '';
	readonly #admission: admissions.Admission;
	#transaction: executor.Transaction | undefined;
	readonly #commits = new commits.Commits();
	/** Service of the last operation; empty before the first. */
	#service = '';
	#isDraining = false;
	/** Whether the session ends with the request in progress. */
	#isClosing = false;
	/** Whether the opening message has arrived and isn't answered. */
	#isOpening = false;
	/** Time of the last reply, of the acceptance, or of the connection. */
	#idleSince: number;
	#ending: Ending | undefined;

	constructor(accepted: caller.Caller, options: Options) {
		this.#caller = accepted;
		this.#options = options;
		this.#admission = new admissions.Admission(options, this);
		this.#idleSince = options.context.clock.now();
	}

	/** What ended the session; `undefined` while it is open. */
	get ending(): Ending | undefined {
		return this.#ending;
	}

	/** Time in ms since the last reply, since the session was accepted, or since the connection; 0 unless it is idle. */
	get idleMs(): number {
		return this.isIdle ? this.#options.context.clock.now() - this.#idleSince : 0;
	}

	get isInTransaction(): boolean {
		return this.#transaction !== undefined;
	}

	/** Whether no request or transaction is in progress. */
	get isIdle(): boolean {
		return !this.#isOpening && !this.isInTransaction && !this.#caller.hasPendingRequest;
	}

	/** Serves the caller until the connection ends. */
	async run(): Promise<void> {
		const opening = await this.#caller.open();
		if (!opening || !await this.#open(opening)) {
			this.#ending = 'caller';
			return;
		}

		for (let request = await this.#next(); request; request = await this.#next()) {
			const startedAt = this.#options.context.clock.now();
			const reply = await this.#execute(request);
			this.#idleSince = this.#options.context.clock.now();
			this.#options.context.decisions.ended(this.#database, reply.refusal ?? 'answered', this.#idleSince - startedAt);
			this.#caller.reply(reply);
			if (this.#isClosing || (this.#isDraining && this.isIdle && this.idleMs <= maxCloseDelayMs)) {
				this.#ending = 'reply';
				break;
			}
		}

		this.#ending ??= 'caller';
		this.#caller.close();
		this.#admission.end();
		await this.#transaction?.rollback();
	}

	/**
	Closes the session after its next reply that leaves no transaction open. A caller rarely has a request on its way just
	after a reply, whereas one that is closed between two requests often has.
	*/
	drain(): void {
		this.#isDraining = true;
	}

	/** Closes the session now, or after the reply to the request in progress. */
	close(): void {
		this.#isClosing = true;
		if (!this.#isOpening && !this.#caller.hasPendingRequest) {
			this.#ending ??= 'idle';
			this.#caller.close();
		}
	}

	/**
	Ends the session if the configuration in force doesn't admit it: now, or after the reply to the request in progress. An
	open transaction is rolled back. Returns the name of its customer, or an empty name if it has none, if the session ends by
	this call.
	*/
	review(): string | undefined {
		return this.#admission.review();
	}

	/** Aborts the open transaction. The reply to the caller's next statement reports the abort. */
	async abort(): Promise<void> {
		await this.#transaction?.abort('the host is shutting down');
	}

	async #open(opening: caller.Opening): Promise<boolean> {
		this.#database = opening.database;
		this.#isOpening = true;
		const opened = await this.#admission.open(opening);
		const isAdmitted = !('refusal' in opened);
		if (isAdmitted) {
			this.#options.executor.prepare(opened.service, this.#admission.customerName(opened));
			this.#caller.accept();
		} else {
			this.#caller.reject(opened.refusal, opened.message);
		}

		this.#isOpening = false;
		this.#idleSince = this.#options.context.clock.now();
		return isAdmitted;
	}

	/** Waits for the next request and aborts an open transaction that stays idle for too long. */
	async #next(): Promise<statement.Request | undefined> {
		const next = this.#caller.next();
		const {clock} = this.#options.context;
		if (this.#transaction && !this.#transaction.isFailed) {
			const arrived = await clock.limit(waitForArrival(next), this.#options.deployment.idleTransactionMs);
			if (!arrived) {
				await this.#transaction.abort('its caller was idle for too long');
			}
		}

		return next;
	}

	async #execute(request: statement.Request): Promise<statement.Reply> {
		const received = request.statement;
		this.review();
		if (this.#admission.isRevoked) {
			return this.#admission.refuseRevoked();
		}

		if (this.#transaction?.isFailed && received.kind !== 'commit' && received.kind !== 'rollback') {
			return this.#transaction.refusal();
		}

		switch (received.kind) {
			case 'set': {
				return this.#confirmKept(this.#state.setValue(received.name, received.value, size => this.#mayKeep(size)));
			}

			case 'prepare': {
				return this.#confirmKept(this.#state.prepare(received.name, {mode: received.mode, shape: received.shape}, size => this.#mayKeep(size)));
			}

			case 'deallocate': {
				this.#state.deallocate(received.name);
				this.#caller.keep(this.#state.size.bytes + this.#commits.bytes);
				return this.#success();
			}

			case 'begin': {
				return this.#begin(request, received.mode);
			}

			case 'commit':
			case 'rollback': {
				return this.#end(request, received);
			}

			case 'direct': {
				return this.#run(request, {
					id: request.id, mode: received.mode, text: received.text, prepared: undefined, parameters: '',
				});
			}

			case 'execute': {
				const prepared = this.#state.prepared.get(received.name);
				return prepared
					? this.#run(request, {
						id: request.id, mode: prepared.mode, text: undefined, prepared, parameters: received.parameters,
					})
					: this.#refuse('not-prepared', received.name);
			}

			case 'unknown': {
				return this.#refuse('malformed', 'unknown statement');
			}
		}
	}

	async #begin({id}: statement.Request, mode: types.AccessMode): Promise<statement.Reply> {
		if (this.#transaction) {
			return this.#refuse('malformed', 'a transaction is already open');
		}

		const job = this.#createJob(id);
		if (!job) {
			return this.#refuse('no-database', this.#database);
		}

		const refusal = await this.#admission.limit(job);
		if (refusal) {
			return refusal;
		}

		const opened = await this.#options.executor.begin(job, mode);
		if (!(opened instanceof executor.Transaction)) {
			this.#admission.countRefused(job, opened);
			return opened;
		}

		this.#transaction = opened;
		return statement.success('open');
	}

	async #end({id}: statement.Request, {kind, text}: types.End): Promise<statement.Reply> {
		const transaction = this.#transaction;
		if (!transaction) {
			return this.#refuse('malformed', 'no transaction is open');
		}

		this.#transaction = undefined;
		if (kind === 'rollback') {
			void transaction.rollback();
			return statement.success('none');
		}

		const {job, hasChanges} = transaction;
		const reply = await transaction.commit(id, text, job.route.statementTimeoutMs);
		return hasChanges ? this.#recordCommit(id, reply, job.route) : reply;
	}

	async #run({id}: statement.Request, work: leases.Work): Promise<statement.Reply> {
		if (this.#transaction) {
			return this.#runInTransaction(this.#transaction, work);
		}

		const job = this.#createJob(id);
		if (!job) {
			return this.#refuse('no-database', this.#database);
		}

		if (work.mode === 'write' && !this.#mayCommit(job.route.service)) {
			return jobs.refuse(this.#options.context, job, memoryReason);
		}

		const refusal = await this.#admission.limit(job);
		if (refusal) {
			return refusal;
		}

		const reply = await this.#options.executor.run({...job, state: this.#state.copy()}, work);
		this.#admission.countRefused(job, reply);
		return work.mode === 'write' ? this.#recordCommit(id, reply, job.route) : reply;
	}

	async #runInTransaction(transaction: executor.Transaction, work: leases.Work): Promise<statement.Reply> {
		const {service, statementTimeoutMs} = transaction.job.route;
		if (work.mode === 'write' && !transaction.isFailed && !this.#mayCommit(service)) {
			await transaction.abort(memoryReason);
			return transaction.refusal();
		}

		return transaction.run(work, statementTimeoutMs);
	}

	/**
	Records the log position of a commit, which later reads of the session have to include, and returns the reply to its
	caller. A success without a position, which hosts of earlier builds pass on, is a promise that can't be kept.
	*/
	#recordCommit(id: string, reply: statement.Reply, {service, name}: types.Route): statement.Reply {
		if (reply.refusal !== null) {
			return reply;
		}

		if (!reply.position) {
			const reason = 'the reply carries no position';
			this.#options.context.decisions.request('commit-lost', id, {service, route: name, reason});
			return statement.refuse('in-doubt', reason, 'none');
		}

		this.#commits.record(service, reply.position);
		return reply;
	}

	/** Creates a job under the current configuration; `undefined` if it has no route for the session's database. */
	#createJob(id: string): jobs.Job | undefined {
		const route = this.#options.deployment.route(this.#database);
		if (!route) {
			return undefined;
		}

		const arrivedAt = this.#options.context.clock.mark();
		const sessionPosition = this.#commits.positionAt(route.service);
		this.#recordService(id, route, sessionPosition);
		return {
			id,
			route,
			customer: this.#admission.customerName(route),
			isRevoked: () => this.#admission.isRevoked,
			state: this.#state,
			sessionPosition,
			arrivedAt,
			deadline: arrivedAt.monotonicMs + route.statementTimeoutMs,
			spentMs: 0,
		};
	}

	/** Records that a version of the configuration has moved the session to another service, with the position that its reads require there. */
	#recordService(id: string, {name, service}: types.Route, floor: statement.Position | null): void {
		if (this.#service !== '' && this.#service !== service) {
			this.#options.context.decisions.request('session-rerouted', id, {
				service, route: name, from: this.#service, floor: floor ? position.format(floor) : 'none',
			});
		}

		this.#service = service;
	}

	/** Whether the session can remember a commit at a service, so that its reads include it. */
	#mayCommit(service: string): boolean {
		return this.#commits.reserve(service, bytes => this.#caller.keep(this.#state.size.bytes + bytes));
	}

	/** Whether the session may keep values and prepared statements of this size. */
	#mayKeep(size: keeping.Size): boolean {
		return keeping.isWithin(size) && this.#caller.keep(size.bytes + this.#commits.bytes);
	}

	#confirmKept(isKept: boolean): statement.Reply {
		if (isKept) {
			return this.#success();
		}

		this.#options.context.decisions.request('intake-state', '-', {database: this.#database, ...this.#state.size});
		const limit = `a session may keep ${keeping.maxEntries} values and prepared statements of ${keeping.maxBytes} bytes, and the host's memory is limited`;
		return this.#refuse('busy', `not run and nothing kept: ${limit}`);
	}

	#success(): statement.Reply {
		return statement.success(this.#transaction?.state ?? 'none');
	}

	#refuse(refusal: statement.Refusal, message: string): statement.Reply {
		return statement.refuse(refusal, message, this.#transaction?.state ?? 'none');
	}
}

/** Resolves when a request or the end of the session has arrived. */
async function waitForArrival(next: Promise<unknown>): Promise<'arrived'> {
	await next;
	return 'arrived';
}
