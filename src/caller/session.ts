/**
A caller's session on top of mysql2. It keeps its commit position when it fails over to another entry host, and retries
only statements that are safe to retry.
*/
import * as mysql from 'mysql2/promise';
import * as Either from 'fp-ts/lib/Either.js';
import * as address from '../core/address.js';
import * as clock from '../core/clock.js';
import * as directive from '../core/directive.js';
import * as position from '../core/position.js';
import * as random from '../core/random.js';
import * as statement from '../core/statement.js';
import * as failure from './failure.js';

/** Connection settings for a service. */
export type Options = {
	/** Entry hosts or load balancers as IP:port, in order of preference. */
	readonly hosts: readonly string[];
	readonly user: string;
	readonly password: string;
	/** Deadline for one statement including all retries, in ms. The default is 15,000. */
	readonly limitMs?: number;
	/**
	Timeout for one attempt in ms, after which the connection counts as lost. The default is 7,000. It must be longer than
	the deadlines of the request classes.
	*/
	readonly attemptMs?: number;
	/** Timeout for opening a connection in ms. The default is 2,000. */
	readonly connectMs?: number;
};

/** Options for one statement. */
export type Details = {
	/** Values for the `?` placeholders. */
	readonly values?: readonly unknown[];
	/** Request class. */
	readonly class?: string;
	/** Maximum staleness of a read, in ms. */
	readonly ageMs?: number;
};

/** Options for one write. */
export type WriteDetails = Omit<Details, 'ageMs'> & {
	/** Idempotency key. The library generates one by default. */
	readonly requestId?: string;
	/** Whether the write may run twice. If so, it is retried even if no idempotency record covers it. */
	readonly isIdempotent?: boolean;
};

export type Row = Readonly<Record<string, unknown>>;

/** The result of a statement. */
export type Answer =
	| {readonly kind: 'rows'; readonly rows: readonly Row[]}
	| {readonly kind: 'ok'; readonly affectedRows: number; readonly insertId: number};

/** Executes a statement inside a transaction. */
export type Query = (sql: string, values?: readonly unknown[]) => Promise<failure.Outcome<Answer>>;

type Attempt = Either.Either<failure.Miss, Answer>;
type Header = mysql.ResultSetHeader & {readonly stateChanges?: {readonly gtids?: readonly string[]}};

const defaults = {limitMs: 15_000, attemptMs: 7000, connectMs: 2000};
const retryDelayMs = 50;
/** Consecutive `not-run` failures at a host before the session tries the next one. One full queue is no reason to switch. */
const maxNotRunFailures = 3;

/**
A session. Its statements run in sequence, on one connection at a time.

@example
```
const session = new session.Session({hosts: ['10.0.1.1:3306', '10.0.2.1:3306'], user: 'secretary', password: 'secret'});
const written = await session.write('INSERT INTO ledger (fund, cents) VALUES (?, ?)', {values: ['bus', 1250], class: 'reimbursement'});
if (Either.isLeft(written) && written.left.kind === 'outcome-unknown') {
	console.error(`outcome of request ${written.left.requestId} is unknown`);
}
await session.end();
```
*/
export class Session {
	readonly #options: Required<Options>;
	readonly #clock: clock.Clock;
	readonly #random: random.Source;
	#connection: mysql.Connection | undefined;
	#hostIndex = 0;
	#position: position.Position | null = null;
	#tail: Promise<unknown> = Promise.resolve();
	/** Whether the last OK packet contained a commit position. */
	#hasOkPosition = false;
	#notRunCount = 0;

	constructor(options: Options, time: clock.Clock = new clock.System(), source: random.Source = new random.System()) {
		this.#options = {...defaults, ...options};
		this.#clock = time;
		this.#random = source;
	}

	/** The position that the session's reads are guaranteed to include, as `term:index`; null before its first write. */
	get position(): string | null {
		return this.#position && position.format(this.#position);
	}

	/** The entry host of the current or next connection. */
	get host(): string {
		return this.#options.hosts[this.#hostIndex % this.#options.hosts.length] ?? '';
	}

	/**
	Advances to a position taken from another session, so that reads of this session include the other session's writes.

	@example
	```
	second.adopt(first.position);
	```
	*/
	adopt(text: string | null): failure.Outcome<void> {
		const parsed = text === null ? Either.right(null) : position.parse(text);
		return Either.bimap(
			({message}: {message: string}): failure.Failure => ({kind: 'directive', message}),
			(adopted: position.Position | null) => {
				this.#position = position.latest(this.#position, adopted);
				this.#disconnect();
			},
		)(parsed);
	}

	/**
	Discards the position after `position-lost`. Later reads see all acknowledged writes except those lost in the failover;
	reads within a maximum age may lack the session's own writes from before.

	@example
	```
	if (outcome.left.kind === 'position-lost') {
		session.forget();
	}
	```
	*/
	forget(): void {
		this.#position = null;
		this.#disconnect();
	}

	/**
	Executes a read. It is retried, if needed at other entry hosts, until it succeeds or `limitMs` has passed.

	Errors: `not-run`, `database`, `position-lost`, `directive`, `denied`.

	@example
	```
	const outcome = await session.read('SELECT sum(cents) AS cents FROM ledger', {class: 'balance', ageMs: 2000});
	```
	*/
	async read(sql: string, {values = [], ...directives}: Details = {}): Promise<failure.Outcome<Answer>> {
		return this.#enqueue(async () => {
			const deadline = this.#clock.now() + this.#options.limitMs;
			const text = directive.format(directives) + sql;
			for (;;) {
				const outcome = await this.#attempt(text, values, '', deadline);
				if (Either.isRight(outcome)) {
					return outcome;
				}

				const failed = outcome.left;
				const isRetryable = failed.kind === 'lost' || failed.kind === 'not-run' || failed.kind === 'outcome-unknown';
				if (!isRetryable) {
					return Either.left(failed);
				}

				if (!await this.#waitToRetry(deadline)) {
					return Either.left({kind: 'not-run', message: failed.message});
				}
			}
		});
	}

	/**
	Executes a write at most once, unless `isIdempotent` is set. It is retried after `not-run`. While its outcome is
	unknown, it is retried under the same request id if an idempotency record covers it (INSERT, UPDATE, DELETE and
	REPLACE) or if `isIdempotent` is set.

	Errors: all kinds.

	@example
	```
	const outcome = await session.write('UPDATE ledger SET cents = cents - 5 WHERE id = 7', {class: 'reimbursement'});
	```
	*/
	async write(sql: string, details: WriteDetails = {}): Promise<failure.Outcome<Answer>> {
		return this.#enqueue(async () => this.#write(sql, details));
	}

	/**
	Executes a transaction: BEGIN, the statements that `body` sends, and COMMIT, or ROLLBACK if `body` fails. It is not
	retried, since `body` may have other side effects; after `not-run` it is safe to call again.

	Errors: the failure that `body` returns; `not-run` when the transaction was rolled back; `outcome-unknown` when the
	connection was lost at COMMIT.

	@example
	```
	const outcome = await session.transaction(async query => {
		const debited = await query('UPDATE ledger SET cents = cents - 5 WHERE id = 1');
		return Either.isLeft(debited) ? debited : query('UPDATE ledger SET cents = cents + 5 WHERE id = 2');
	});
	```
	*/
	async transaction<T>(body: (query: Query) => Promise<failure.Outcome<T>>, details: Pick<Details, 'class'> = {}): Promise<failure.Outcome<T>> {
		return this.#enqueue(async () => {
			const prefix = directive.format(details);
			const deadline = this.#clock.now() + this.#options.limitMs;
			const begun = await this.#attempt('BEGIN', [], '', deadline);
			if (Either.isLeft(begun)) {
				return Either.left(toFailure(begun.left));
			}

			const connection = this.#connection;
			const query: Query = async (sql, values = []) => connection && connection === this.#connection
				? Either.mapLeft(toFailure)(await this.#send(connection, prefix + sql, values, ''))
				: Either.left({kind: 'not-run', message: 'the connection was lost and the transaction was rolled back'});
			const outcome = await body(query);
			if (Either.isLeft(outcome)) {
				await query('ROLLBACK');
				return outcome;
			}

			return this.#commit(connection, outcome.right);
		});
	}

	/** Closes the connection. */
	async end(): Promise<void> {
		await this.#enqueue(async () => {
			const connection = this.#connection;
			this.#connection = undefined;
			try {
				await connection?.end();
			} catch {
				// The connection is already lost.
			}
		});
	}

	async #write(sql: string, {values = [], requestId, isIdempotent = false, class: className}: WriteDetails): Promise<failure.Outcome<Answer>> {
		const deadline = this.#clock.now() + this.#options.limitMs;
		const classified = statement.classify(sql);
		if (Either.isLeft(classified)) {
			return Either.left({kind: 'directive', message: classified.left.message});
		}

		const {isRecordable} = classified.right;
		const isRetryable = isIdempotent || isRecordable;
		let currentId = requestId ?? this.#random.id();
		// Once an attempt may have run, only a result under the same id or a settled `not-run` determines its outcome.
		let isOutcomeUnknown = false;
		for (;;) {
			// Entry hosts refuse a request id on a write that no record covers, unless its class is idempotent.
			const directives = {class: className, ...((isRecordable || requestId !== undefined) && {request: currentId})};
			const outcome = await this.#attempt(directive.format(directives) + sql, values, currentId, deadline);
			if (Either.isRight(outcome)) {
				return this.#ensurePosition(outcome.right, deadline);
			}

			const failed = outcome.left;
			if (failed.kind === 'lost' || failed.kind === 'outcome-unknown') {
				isOutcomeUnknown = true;
			} else if (failed.kind === 'not-run' && failed.isSettled) {
				isOutcomeUnknown = false;
				if (requestId !== undefined) {
					// A cancelled id can't be reused, and the library must not replace an id that its user supplied.
					return Either.left({kind: 'not-run', message: failed.message});
				}

				currentId = this.#random.id();
			} else if (!isOutcomeUnknown && failed.kind !== 'not-run') {
				return Either.left(failed);
			}

			const shouldStop = (isOutcomeUnknown && !isRetryable) || !await this.#waitToRetry(deadline);
			if (shouldStop) {
				return Either.left(isOutcomeUnknown ? {kind: 'outcome-unknown', message: failed.message, requestId: isRecordable ? currentId : ''} : {kind: 'not-run', message: failed.message});
			}
		}
	}

	/** Queries the position after a write whose OK packet did not contain it. */
	async #ensurePosition(answer: Answer, deadline: number): Promise<failure.Outcome<Answer>> {
		if (answer.kind === 'ok' && !this.#hasOkPosition) {
			await this.#attempt('SELECT @@sycamorering_position', [], '', deadline);
		}

		return Either.right(answer);
	}

	async #commit<T>(connection: mysql.Connection | undefined, result: T): Promise<failure.Outcome<T>> {
		if (!connection || connection !== this.#connection) {
			return Either.left({kind: 'not-run', message: 'the connection was lost and the transaction was rolled back'});
		}

		const committed = await this.#send(connection, 'COMMIT', [], '');
		if (Either.isLeft(committed)) {
			const failed = committed.left;
			return Either.left(failed.kind === 'lost' ? {kind: 'outcome-unknown', message: failed.message, requestId: ''} : toFailure(failed));
		}

		await this.#ensurePosition(committed.right, this.#clock.now() + this.#options.attemptMs);
		return Either.right(result);
	}

	/** Makes one attempt at the current entry host. After a lost connection, the next attempt uses the next host. */
	async #attempt(sql: string, values: readonly unknown[], requestId: string, deadline: number): Promise<Attempt> {
		const connected = await this.#connect(deadline);
		return Either.isLeft(connected) ? connected : this.#send(connected.right, sql, values, requestId);
	}

	async #connect(deadline: number): Promise<Either.Either<failure.Miss, mysql.Connection>> {
		if (this.#connection) {
			return Either.right(this.#connection);
		}

		const connectTimeout = Math.max(1, Math.min(this.#options.connectMs, deadline - this.#clock.now()));
		const {user, password} = this.#options;
		try {
			const connection = await mysql.createConnection({
				...address.parse(this.host), user, password, connectTimeout, supportBigNumbers: true,
			});
			connection.on('error', () => {
				if (this.#connection === connection) {
					this.#disconnect();
				}
			});
			this.#connection = connection;
			if (this.#position) {
				const positionSet = await this.#send(connection, `SET @sycamorering_position = '${position.format(this.#position)}'`, [], '');
				return Either.map(() => connection)(Either.mapLeft(toUnsent)(positionSet));
			}

			return Either.right(connection);
		} catch (error) {
			this.#hostIndex++;
			return Either.left(toUnsent(failure.read(error, '')));
		}
	}

	async #send(connection: mysql.Connection, sql: string, values: readonly unknown[], requestId: string): Promise<Attempt> {
		try {
			const [result] = await connection.query({sql, values: [...values], timeout: this.#options.attemptMs});
			this.#notRunCount = 0;
			return Either.right(this.#parseResult(result));
		} catch (error) {
			const failed = failure.read(error, requestId);
			this.#notRunCount = failed.kind === 'not-run' ? this.#notRunCount + 1 : 0;
			if (failed.kind === 'lost' || this.#notRunCount >= maxNotRunFailures) {
				this.#disconnect();
				this.#hostIndex++;
				this.#notRunCount = 0;
			}

			return Either.left(failed);
		}
	}

	#parseResult(result: unknown): Answer {
		if (Array.isArray(result)) {
			const rows = result as Row[];
			this.#updatePosition(rows[0]?.['@@sycamorering_position']);
			return {kind: 'rows', rows};
		}

		const {affectedRows, insertId, stateChanges} = result as Header;
		this.#hasOkPosition = this.#updatePosition(stateChanges?.gtids?.[0]);
		return {kind: 'ok', affectedRows, insertId};
	}

	/** Advances to a position that an entry host sent; returns whether `text` contained one. */
	#updatePosition(text: unknown): boolean {
		const parsed = typeof text === 'string' ? position.parse(text) : undefined;
		if (!parsed || Either.isLeft(parsed)) {
			return false;
		}

		this.#position = position.latest(this.#position, parsed.right);
		return true;
	}

	/** Waits before a retry; returns false if the deadline has passed. */
	async #waitToRetry(deadline: number): Promise<boolean> {
		await this.#clock.sleep(retryDelayMs);
		return this.#clock.now() < deadline;
	}

	#disconnect(): void {
		this.#connection?.destroy();
		this.#connection = undefined;
	}

	async #enqueue<T>(body: () => Promise<T>): Promise<T> {
		const previous = this.#tail;
		const result = (async () => {
			try {
				await previous;
			} catch {
				// The error was reported to the caller of the earlier statement.
			}

			return body();
		})();
		this.#tail = result;
		return result;
	}
}

/** Maps a failure from before the statement was sent to `not-run`, except a rejected login or directive. */
function toUnsent(failed: failure.Miss): failure.Miss {
	return failed.kind === 'denied' || failed.kind === 'directive' ? failed : {kind: 'not-run', message: failed.message, isSettled: false};
}

/** Maps a failure inside a transaction. A lost connection is `not-run`, since it rolls the transaction back. */
function toFailure(failed: failure.Miss): failure.Failure {
	return failed.kind === 'lost' || failed.kind === 'not-run' ? {kind: 'not-run', message: failed.message} : failed;
}
