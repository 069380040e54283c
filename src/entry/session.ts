/**
The task of one caller: takes its requests in order, and runs each to its reply.
*/
import type * as types from '../generated/types.js';
import type * as caller from './caller.js';
import type * as deployment from './deployment.js';
import * as executor from './executor.js';
import type * as jobs from './job.js';
import type * as leases from './lease.js';
import * as states from './state.js';
import * as statement from './statement.js';

/** What sessions share. */
export type Parts = {
	readonly context: jobs.Context;
	readonly deployment: deployment.Deployment;
	readonly executor: executor.Executor;
};

/** The end of a service's log after the session's last commit. */
type Commit = {readonly service: string; readonly position: statement.Position};

/** Callers give up when opening a session takes 2 s. */
const openLimitMs = 1700;

/** One session. */
export class Session {
	readonly #caller: caller.Caller;
	readonly #parts: Parts;
	readonly #state = new states.State();
	#database = '';
	#transaction: executor.Transaction | undefined;
	#commit: Commit | undefined;
	#isLeaving = false;

	constructor(accepted: caller.Caller, parts: Parts) {
		this.#caller = accepted;
		this.#parts = parts;
	}

	/** Whether closing it now interrupts nothing. */
	get isIdle(): boolean {
		return this.#transaction === undefined && !this.#caller.isWaiting;
	}

	/** Serves the caller until it leaves. */
	async run(): Promise<void> {
		const opening = await this.#caller.open();
		if (!opening || !await this.#accept(opening)) {
			return;
		}

		for (let request = await this.#next(); request; request = await this.#next()) {
			const startedAt = this.#parts.context.clock.now();
			const reply = await this.#execute(request);
			this.#caller.reply(reply);
			this.#parts.context.decisions.ended(this.#database, reply.refusal ?? 'answered', this.#parts.context.clock.now() - startedAt);
			if (this.#isLeaving && this.isIdle) {
				break;
			}
		}

		this.#caller.close();
		await this.#transaction?.rollback();
	}

	/** Closes the session if nothing is under way, else after the present request or transaction. */
	leave(): void {
		this.#isLeaving = true;
		if (this.isIdle) {
			this.#caller.close();
		}
	}

	/** Ends an open transaction, whose caller is told with its next statement. */
	async abort(): Promise<void> {
		await this.#transaction?.expire('the host is shutting down');
	}

	async #accept({database}: caller.Opening): Promise<boolean> {
		this.#database = database;
		if (!await this.#parts.deployment.awaitFirst(openLimitMs)) {
			this.#caller.reject('busy', 'not run: this host has no configuration yet');
			return false;
		}

		const route = this.#parts.deployment.route(database);
		if (!route) {
			this.#caller.reject('no-database', database);
			return false;
		}

		this.#parts.executor.expect(route.service);
		this.#caller.welcome();
		return true;
	}

	/** The next request. A transaction whose caller sends none for too long is ended meanwhile. */
	async #next(): Promise<statement.Request | undefined> {
		const next = this.#caller.next();
		const {clock} = this.#parts.context;
		if (this.#transaction && !this.#transaction.isFailed) {
			const arrived = await clock.limit(arrive(next), this.#parts.deployment.idleTransactionMs);
			if (!arrived) {
				await this.#transaction.expire('its caller was idle for too long');
			}
		}

		return next;
	}

	async #execute(request: statement.Request): Promise<statement.Reply> {
		const given = request.statement;
		if (this.#transaction?.isFailed && given.kind !== 'commit' && given.kind !== 'rollback') {
			return this.#transaction.refusal();
		}

		switch (given.kind) {
			case 'set': {
				this.#state.values.set(given.name, given.value);
				return this.#own();
			}

			case 'prepare': {
				this.#state.prepared.set(given.name, {mode: given.mode, shape: given.shape});
				return this.#own();
			}

			case 'deallocate': {
				this.#state.prepared.delete(given.name);
				return this.#own();
			}

			case 'begin': {
				return this.#begin(request, given.mode);
			}

			case 'commit':
			case 'rollback': {
				return this.#end(request, given);
			}

			case 'direct': {
				return this.#run(request, {
					id: request.id, mode: given.mode, text: given.text, prepared: undefined, parameters: '',
				});
			}

			case 'execute': {
				const prepared = this.#state.prepared.get(given.name);
				return prepared
					? this.#run(request, {
						id: request.id, mode: prepared.mode, text: undefined, prepared, parameters: given.parameters,
					})
					: this.#refuse('not-prepared', given.name);
			}

			case 'unknown': {
				return this.#refuse('malformed', 'the statement is not known');
			}
		}
	}

	async #begin({id}: statement.Request, mode: types.AccessMode): Promise<statement.Reply> {
		if (this.#transaction) {
			return this.#refuse('malformed', 'a transaction is open');
		}

		const job = this.#job(id);
		if (!job) {
			return this.#refuse('no-database', this.#database);
		}

		const opened = await this.#parts.executor.begin(job, mode);
		if (!(opened instanceof executor.Transaction)) {
			return opened;
		}

		this.#transaction = opened;
		return statement.own('open');
	}

	async #end({id}: statement.Request, {kind, text}: types.End): Promise<statement.Reply> {
		const open = this.#transaction;
		if (!open) {
			return this.#refuse('malformed', 'no transaction is open');
		}

		this.#transaction = undefined;
		if (kind === 'rollback') {
			void open.rollback();
			return statement.own('none');
		}

		const reply = await open.commit(id, text, open.job.route.statementTimeoutMs);
		this.#remember(reply, open.job.route.service);
		return reply;
	}

	async #run({id}: statement.Request, work: leases.Work): Promise<statement.Reply> {
		if (this.#transaction) {
			return this.#transaction.run(work, this.#transaction.job.route.statementTimeoutMs);
		}

		const job = this.#job(id);
		if (!job) {
			return this.#refuse('no-database', this.#database);
		}

		const reply = await this.#parts.executor.run({...job, state: this.#state.copy()}, work);
		if (work.mode === 'write') {
			this.#remember(reply, job.route.service);
		}

		return reply;
	}

	/** Notes the end of the log after a commit, which the session's reads must see. */
	#remember({refusal, position}: statement.Reply, service: string): void {
		if (refusal === null && position) {
			this.#commit = {service, position};
		}
	}

	/** A job under the present configuration; `undefined` if it no longer has a route for the session. */
	#job(id: string): jobs.Job | undefined {
		const route = this.#parts.deployment.route(this.#database);
		if (!route) {
			return undefined;
		}

		const arrivedAt = this.#parts.context.clock.mark();
		return {
			id,
			route,
			state: this.#state,
			own: this.#commit?.service === route.service ? this.#commit.position : null,
			arrivedAt,
			deadline: arrivedAt.monotonicMs + route.statementTimeoutMs,
			spentMs: 0,
		};
	}

	#own(): statement.Reply {
		return statement.own(this.#transaction?.state ?? 'none');
	}

	#refuse(refusal: statement.Refusal, message: string): statement.Reply {
		return statement.refuse(refusal, message, this.#transaction?.state ?? 'none');
	}
}

/** Tells that a request or the end of the session has arrived. */
async function arrive(next: Promise<unknown>): Promise<'arrived'> {
	await next;
	return 'arrived';
}
