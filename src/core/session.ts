/**
A caller's session: turns what the caller says into requests and keeps what lasts from one to the next. It knows
nothing of the protocol that carries the text.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import * as directive from './directive.js';
import type * as dispatch from './dispatch.js';
import * as errors from './errors.js';
import * as position from './position.js';
import type * as random from './random.js';
import * as service from './service.js';
import * as statement from './statement.js';

/** Who a caller is, by its account. */
export type Account = {readonly name: string; readonly service: string; readonly tenant: string};

/** The parts of a configuration that a session needs. */
export type Services = {find(name: string): types.Service | undefined};

const varString = 253;
const characterSetUtf8mb4 = 45;
const columnLength = 1024;
/** Longest text that is compared with the patterns below; no text that they mean is longer. */
const headLength = 4096;

/** For trimmed text: two runs of spaces around an optional semicolon took 12 s to search in 100 KB of spaces. */
const positionPattern = /^\s*select\s+@@(?:session\.)?sycamorering_position\s*;?$/iv;
/**
Settings that drivers make when they connect and that hold on every connection anyway. ANSI_QUOTES and
NO_BACKSLASH_ESCAPES would change what a statement means, so they are not among them.
*/
const harmlessVariable = String.raw`autocommit\s*=\s*(?:1|on|true)|character_set_results\s*=\s*(?:null|'?utf8\w*'?)|net_write_timeout\s*=\s*\d+|sql_mode\s*=\s*'(?:(?!ansi|no_backslash)[\w,])*'`;
const harmlessSetting = String.raw`(?:(?:names|character\s+set)\s+'?utf8\w*'?|(?:@@)?(?:session\s+|session\.)?(?:${harmlessVariable}))`;
const harmlessPattern = new RegExp(String.raw`^\s*set\s+${harmlessSetting}(?:\s*,\s*${harmlessSetting})*\s*;?$`, 'iv');

/**
MySQL's codes for errors after which a transaction can't go on: the server rolled it back (deadlock, lock wait timeout
with rollback) or is not primary any more. A later statement would run outside the transaction.
*/
const endingCodes = new Set([1205, 1213, 1290]);

/**
State of the session's transaction. After a failure the caller must end it, so that statements meant for the
transaction never run outside one.
*/
type TransactionState = 'none' | 'open' | 'failed';

/** How a statement ended, and the class that it was executed in; empty if none. */
export type Execution = {readonly outcome: errors.Outcome<types.Answer>; readonly name: string};

/** One session of a caller. */
export class Session {
	readonly #name: string;
	readonly #account: Account;
	readonly #services: Services;
	readonly #dispatcher: dispatch.Dispatcher;
	readonly #random: random.Source;
	#defaults: directive.Directives = {};
	#position: types.Position | null = null;
	#transaction: TransactionState = 'none';
	/** Whether the open transaction ran a statement, and whether one of them generated an id. */
	#hasRun = false;
	#hasInserted = false;
	#class = '';

	constructor(account: Account, services: Services, dispatcher: dispatch.Dispatcher, source: random.Source) {
		this.#name = `${account.name}-${source.name()}`;
		this.#account = account;
		this.#services = services;
		this.#dispatcher = dispatcher;
		this.#random = source;
	}

	/** The position that the session's reads must see; null until it wrote or stated one. */
	get position(): types.Position | null {
		return this.#position;
	}

	get isInTransaction(): boolean {
		return this.#transaction === 'open';
	}

	/**
	Executes one statement. Errors: `directive` for what the caller said wrongly, else as the dispatcher's.

	@example
	```
	const {outcome} = await session.execute('/* sycamorering class=balance age=2s *\/ SELECT 1');
	```
	*/
	async execute(text: string): Promise<Execution> {
		this.#class = '';
		const outcome = await this.#execute(text);
		return {outcome, name: this.#class};
	}

	/** Ends what the session has open. */
	async end(): Promise<void> {
		const isOpen = this.isInTransaction;
		this.#transaction = 'none';
		if (isOpen) {
			await this.#dispatcher.endSession(this.#account.service, this.#name);
		}
	}

	/** Forgets the session's state, for a connection that its caller reuses. */
	async reset(): Promise<void> {
		await this.end();
		this.#defaults = {};
		this.#position = null;
	}

	async #execute(text: string): Promise<errors.Outcome<types.Answer>> {
		const variable = directive.parseVariable(text);
		if (variable) {
			return Either.map((directives: directive.Directives) => {
				this.#defaults = {...this.#defaults, ...directives};
				this.#position = position.latest(this.#position, directives.position ?? null);
				return completion;
			})(variable);
		}

		const trimmed = text.trim();
		const head = trimmed.length <= headLength ? trimmed : '';
		if (positionPattern.test(head)) {
			return Either.right(this.#describePosition());
		}

		if (harmlessPattern.test(head)) {
			return Either.right(completion);
		}

		return this.#request(text);
	}

	async #request(text: string): Promise<errors.Outcome<types.Answer>> {
		const request = this.#compose(text);
		if (Either.isLeft(request)) {
			return request;
		}

		const known = this.#answerHere(request.right);
		if (known) {
			return known;
		}

		const outcome = await this.#dispatcher.execute(request.right);
		await this.#note(request.right, outcome);
		return outcome;
	}

	/** The answer to statements that need no server: the end of no transaction or of a failed one. */
	#answerHere({transaction}: types.Request): errors.Outcome<types.Answer> | undefined {
		if (this.#transaction === 'failed' && transaction !== 'begin') {
			this.#transaction = transaction === 'none' || transaction === 'within' ? 'failed' : 'none';
			return transaction === 'rollback'
				? Either.right(completion)
				: errors.fail('not-run', 'route', this.#account.name, 'the transaction failed and was rolled back; begin a new one');
		}

		const isEnd = transaction === 'commit' || transaction === 'rollback';
		return isEnd && this.#transaction === 'none' ? Either.right(completion) : undefined;
	}

	#compose(text: string): errors.Outcome<types.Request> {
		const parsed = directive.parseComment(text);
		if (Either.isLeft(parsed)) {
			return parsed;
		}

		const classified = statement.classify(parsed.right.sql);
		if (Either.isLeft(classified)) {
			return classified;
		}

		const settings = this.#services.find(this.#account.service);
		if (!settings) {
			return errors.fail('not-run', 'route', this.#account.service, 'the service is not configured');
		}

		const directives = {...this.#defaults, ...parsed.right.directives};
		const wanted = directives.class ?? '';
		if (wanted !== '' && !Object.hasOwn(settings.class, wanted)) {
			return errors.fail('directive', 'parse', this.#account.service, `unknown class "${wanted}"`);
		}

		this.#class = wanted;
		const {kind} = classified.right;
		const found = service.findClass(settings, {class: wanted, kind});
		if (found.kind === 'read' && kind === 'write' && classified.right.transaction === 'none') {
			return errors.fail('directive', 'parse', this.#account.service, `class "${wanted}" takes reads only`);
		}

		const fault = this.#check(classified.right, parsed.right.directives, found);
		if (fault !== '') {
			return errors.fail('directive', 'parse', this.#account.service, fault);
		}

		return Either.right({
			sql: parsed.right.sql,
			session: this.#name,
			service: this.#account.service,
			tenant: this.#account.tenant,
			class: wanted,
			kind: wanted === '' ? kind : found.kind,
			transaction: this.#step(classified.right.transaction),
			position: position.latest(this.#position, parsed.right.directives.position ?? null),
			maximumAgeMs: directives.ageMs ?? found.maximumAgeMs,
			// A transaction needs an id only if its caller gave one or it wrote something; the owner knows that.
			requestId: parsed.right.directives.request ?? (classified.right.transaction === 'none' ? this.#random.name() : ''),
			deadlineMs: found.deadlineMs,
		});
	}

	/** Why the statement can't run as things stand in this session; empty if it can. */
	#check({transaction, isRecordable, isCommitting, needs}: statement.Statement, {request}: directive.Directives, {kind, idempotent}: types.Class): string {
		const isOpen = this.isInTransaction;
		if (isOpen && transaction === 'begin') {
			return 'a transaction is open; commit it or roll it back first';
		}

		if (isOpen && isCommitting) {
			return 'this statement would commit the open transaction; commit it or roll it back first';
		}

		const isKnown = needs === 'LAST_INSERT_ID()' ? this.#hasInserted : this.#hasRun;
		if (needs !== '' && !(isOpen && isKnown)) {
			return `${needs} is only supported inside a transaction, after the statement it refers to`;
		}

		if (request !== undefined && kind === 'write' && transaction === 'none' && !isOpen && !isRecordable && !idempotent) {
			return 'a request id is only supported for INSERT, UPDATE, DELETE and REPLACE, since nothing records whether another statement ran';
		}

		return '';
	}

	#step(step: statement.Statement['transaction']): types.TransactionStep {
		return step === 'none' && this.#transaction === 'open' ? 'within' : step;
	}

	async #note(request: types.Request, outcome: errors.Outcome<types.Answer>): Promise<void> {
		switch (request.transaction) {
			case 'begin': {
				this.#transaction = Either.isRight(outcome) ? 'open' : 'failed';
				this.#hasRun = false;
				this.#hasInserted = false;
				break;
			}

			case 'within': {
				await this.#noteWithin(outcome);
				break;
			}

			case 'commit':
			case 'rollback': {
				this.#transaction = 'none';
				break;
			}

			case 'none': {
				break;
			}
		}

		if (Either.isRight(outcome) && outcome.right.kind === 'ok') {
			this.#position = position.latest(this.#position, outcome.right.position);
		}
	}

	async #noteWithin(outcome: errors.Outcome<types.Answer>): Promise<void> {
		if (Either.isRight(outcome)) {
			this.#hasRun = true;
			this.#hasInserted ||= outcome.right.kind === 'ok' && outcome.right.insertId > 0;
			return;
		}

		if (outcome.left.kind !== 'database' || endingCodes.has(outcome.left.code)) {
			this.#transaction = 'failed';
			await this.#dispatcher.endSession(this.#account.service, this.#name);
		}
	}

	#describePosition(): types.Answer {
		return {
			kind: 'rows',
			columns: [{
				name: '@@sycamorering_position', columnType: varString, characterSet: characterSetUtf8mb4, columnLength, flags: 0, decimals: 0,
			}],
			rows: [[this.#position ? position.format(this.#position) : null]],
			server: '',
		};
	}
}

const completion: types.Answer = {
	kind: 'ok', affectedRows: 0, insertId: 0, position: null, server: '',
};
