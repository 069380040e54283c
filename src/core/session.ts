/**
A caller's session: turns statements into requests and keeps the state that carries over from one statement to the
next. It does not depend on the protocol that carries the statements.
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

/** The account that a caller authenticated as. */
export type Account = {readonly name: string; readonly service: string; readonly tenant: string};

/** Looks up the configuration of a service by its name. */
export type Services = {find(name: string): types.Service | undefined};

/** MySQL's codes of the column type VAR_STRING and of the character set utf8mb4. */
const varStringType = 253;
const characterSetUtf8mb4 = 45;
const columnLength = 1024;
/** Longest text, in characters, that is matched against the patterns below. Valid matches are all shorter. */
const maxMatchLength = 4096;

/**
Matches trimmed text only. Allowing white space on both sides of the optional semicolon took 12 s of backtracking on
100 KB of spaces.
*/
const positionPattern = /^\s*select\s+@@(?:session\.)?sycamorering_position\s*;?$/iv;
/**
Settings that drivers make when they connect, with values that already apply on every backend connection. ANSI_QUOTES
and NO_BACKSLASH_ESCAPES are excluded, since they change how statements are parsed.
*/
const noOpVariable = String.raw`autocommit\s*=\s*(?:1|on|true)|character_set_results\s*=\s*(?:null|'?utf8\w*'?)|net_write_timeout\s*=\s*\d+|sql_mode\s*=\s*'(?:(?!ansi|no_backslash)[\w,])*'`;
const noOpSetting = String.raw`(?:(?:names|character\s+set)\s+'?utf8\w*'?|(?:@@)?(?:session\s+|session\.)?(?:${noOpVariable}))`;
const noOpPattern = new RegExp(String.raw`^\s*set\s+${noOpSetting}(?:\s*,\s*${noOpSetting})*\s*;?$`, 'iv');

/**
MySQL's error codes after which a transaction can't continue: the server rolled it back (1205 lock wait timeout with
rollback, 1213 deadlock) or is no longer primary (1290 read-only). A later statement would run outside the transaction.
*/
const endingCodes = new Set([1205, 1213, 1290]);

/**
State of the session's transaction. A failed transaction lasts until its caller ends it or begins another, so that
none of its later statements runs outside a transaction.
*/
type TransactionState = 'none' | 'open' | 'failed';

/** Outcome of a statement and the name of its class, which is empty if no directive sets one. */
export type Execution = {readonly outcome: errors.Outcome<types.Answer>; readonly className: string};

export class Session {
	readonly #id: string;
	readonly #account: Account;
	readonly #services: Services;
	readonly #dispatcher: dispatch.Dispatcher;
	readonly #random: random.Source;
	#defaults: directive.Directives = {};
	#position: types.Position | null = null;
	#transaction: TransactionState = 'none';
	/** Whether the open transaction has executed a statement. */
	#hasExecuted = false;
	/** Whether a statement of the open transaction has generated an auto-increment id. */
	#hasInsertId = false;
	/** Class of the statement in execution. */
	#className = '';

	constructor(account: Account, services: Services, dispatcher: dispatch.Dispatcher, source: random.Source) {
		this.#id = `${account.name}-${source.id()}`;
		this.#account = account;
		this.#services = services;
		this.#dispatcher = dispatcher;
		this.#random = source;
	}

	/** The position that the session's reads must include; null until it has written or its caller has set one. */
	get position(): types.Position | null {
		return this.#position;
	}

	get isInTransaction(): boolean {
		return this.#transaction === 'open';
	}

	/**
	Executes one statement.

	Errors: `directive` for an invalid directive or an unsupported statement, and those of the dispatcher.

	@example
	```
	const {outcome} = await session.execute('/* sycamorering class=balance age=2s *\/ SELECT 1');
	```
	*/
	async execute(text: string): Promise<Execution> {
		this.#className = '';
		const outcome = await this.#execute(text);
		return {outcome, className: this.#className};
	}

	/** Rolls back the open transaction, if there is one. */
	async end(): Promise<void> {
		const isOpen = this.isInTransaction;
		this.#transaction = 'none';
		if (isOpen) {
			await this.#dispatcher.endSession(this.#account.service, this.#id);
		}
	}

	/** Ends the open transaction and clears the session's state, for a caller that reuses its connection. */
	async reset(): Promise<void> {
		await this.end();
		this.#defaults = {};
		this.#position = null;
	}

	async #execute(text: string): Promise<errors.Outcome<types.Answer>> {
		const assignment = directive.parseVariable(text);
		if (assignment) {
			return Either.map((directives: directive.Directives) => {
				this.#defaults = {...this.#defaults, ...directives};
				this.#position = position.latest(this.#position, directives.position ?? null);
				return completion;
			})(assignment);
		}

		const trimmed = text.trim();
		const matchable = trimmed.length <= maxMatchLength ? trimmed : '';
		if (positionPattern.test(matchable)) {
			return Either.right(this.#describePosition());
		}

		if (noOpPattern.test(matchable)) {
			return Either.right(completion);
		}

		return this.#request(text);
	}

	async #request(text: string): Promise<errors.Outcome<types.Answer>> {
		const request = this.#compose(text);
		if (Either.isLeft(request)) {
			return request;
		}

		const localAnswer = this.#answerLocally(request.right);
		if (localAnswer) {
			return localAnswer;
		}

		const outcome = await this.#dispatcher.execute(request.right);
		await this.#applyOutcome(request.right, outcome);
		return outcome;
	}

	/**
	Answers statements that need no server: those that end a failed transaction or come after its failure, and a COMMIT or
	ROLLBACK without a transaction. `undefined` for all others.
	*/
	#answerLocally({transaction}: types.Request): errors.Outcome<types.Answer> | undefined {
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
		const className = directives.class ?? '';
		if (className !== '' && !Object.hasOwn(settings.class, className)) {
			return errors.fail('directive', 'parse', this.#account.service, `unknown class "${className}"`);
		}

		this.#className = className;
		const {kind} = classified.right;
		const requestClass = service.findClass(settings, {class: className, kind});
		if (requestClass.kind === 'read' && kind === 'write' && classified.right.transaction === 'none') {
			return errors.fail('directive', 'parse', this.#account.service, `class "${className}" accepts reads only`);
		}

		const reason = this.#refusalReason(classified.right, parsed.right.directives, requestClass);
		if (reason !== '') {
			return errors.fail('directive', 'parse', this.#account.service, reason);
		}

		return Either.right({
			sql: parsed.right.sql,
			session: this.#id,
			service: this.#account.service,
			tenant: this.#account.tenant,
			class: className,
			kind: className === '' ? kind : requestClass.kind,
			transaction: this.#transactionStep(classified.right.transaction),
			position: position.latest(this.#position, parsed.right.directives.position ?? null),
			maximumAgeMs: directives.ageMs ?? requestClass.maximumAgeMs,
			// The request id of a transaction is optional; if the transaction has written, the owner generates one.
			requestId: parsed.right.directives.request ?? (classified.right.transaction === 'none' ? this.#random.id() : ''),
			deadlineMs: requestClass.deadlineMs,
		});
	}

	/** Why the statement can't run in the session's present state; empty if it can. */
	#refusalReason({transaction, isRecordable, hasImplicitCommit, connectionState}: statement.Statement, {request}: directive.Directives, {kind, idempotent}: types.Class): string {
		const isOpen = this.isInTransaction;
		if (isOpen && transaction === 'begin') {
			return 'a transaction is already open; commit it or roll it back first';
		}

		if (isOpen && hasImplicitCommit) {
			return 'this statement would commit the open transaction; commit it or roll it back first';
		}

		const isAvailable = connectionState === 'LAST_INSERT_ID()' ? this.#hasInsertId : this.#hasExecuted;
		if (connectionState !== '' && !(isOpen && isAvailable)) {
			return `${connectionState} is only supported inside a transaction, after the statement it refers to`;
		}

		if (request !== undefined && kind === 'write' && transaction === 'none' && !isOpen && !isRecordable && !idempotent) {
			return 'a request id is only supported for INSERT, UPDATE, DELETE and REPLACE, since nothing records whether another statement ran';
		}

		return '';
	}

	#transactionStep(step: statement.Statement['transaction']): types.TransactionStep {
		return step === 'none' && this.#transaction === 'open' ? 'within' : step;
	}

	async #applyOutcome(request: types.Request, outcome: errors.Outcome<types.Answer>): Promise<void> {
		switch (request.transaction) {
			case 'begin': {
				this.#transaction = Either.isRight(outcome) ? 'open' : 'failed';
				this.#hasExecuted = false;
				this.#hasInsertId = false;
				break;
			}

			case 'within': {
				await this.#applyStatementOutcome(outcome);
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

	async #applyStatementOutcome(outcome: errors.Outcome<types.Answer>): Promise<void> {
		if (Either.isRight(outcome)) {
			this.#hasExecuted = true;
			this.#hasInsertId ||= outcome.right.kind === 'ok' && outcome.right.insertId > 0;
			return;
		}

		if (outcome.left.kind !== 'database' || endingCodes.has(outcome.left.code)) {
			this.#transaction = 'failed';
			await this.#dispatcher.endSession(this.#account.service, this.#id);
		}
	}

	#describePosition(): types.Answer {
		return {
			kind: 'rows',
			columns: [{
				name: '@@sycamorering_position', columnType: varStringType, characterSet: characterSetUtf8mb4, columnLength, flags: 0, decimals: 0,
			}],
			rows: [[this.#position ? position.format(this.#position) : null]],
			server: '',
		};
	}
}

const completion: types.Answer = {
	kind: 'ok', affectedRows: 0, insertId: 0, position: null, server: '',
};
