/**
A caller's session over mysql2's client. It carries the session's position from one entry host to the next, and
repeats only what may be repeated.
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

/** How to reach a service. Times in ms. */
export type Options = {
	/** Entry hosts or balancers, each IP:port, in order of preference. */
	readonly hosts: readonly string[];
	readonly user: string;
	readonly password: string;
	/** Time for one statement with all its attempts. */
	readonly limitMs?: number;
	/** Time for one attempt, after which its connection counts as silent. Keep it above the deadlines of the classes. */
	readonly attemptMs?: number;
	readonly connectMs?: number;
};

/** What holds for one statement. */
export type Details = {
	/** Values for `?` in the statement. */
	readonly values?: readonly unknown[];
	readonly class?: string;
	/** Accepted age of a read. */
	readonly ageMs?: number;
};

/** What holds for one write. */
export type WriteDetails = Omit<Details, 'ageMs'> & {
	/** Idempotency key of the caller's own. Without one, the library makes one. */
	readonly requestId?: string;
	/** The write may run twice; then it is repeated even where no record can tell whether it ran. */
	readonly isIdempotent?: boolean;
};

export type Row = Readonly<Record<string, unknown>>;

/** The answer to a statement. */
export type Answer =
	| {readonly kind: 'rows'; readonly rows: readonly Row[]}
	| {readonly kind: 'ok'; readonly affectedRows: number; readonly insertId: number};

/** Executes a statement inside a transaction. */
export type Query = (sql: string, values?: readonly unknown[]) => Promise<failure.Outcome<Answer>>;

type Attempt = Either.Either<failure.Miss, Answer>;
type Header = mysql.ResultSetHeader & {readonly stateChanges?: {readonly gtids?: readonly string[]}};

const defaults = {limitMs: 15_000, attemptMs: 7000, connectMs: 2000};
const attemptPauseMs = 50;
/** So many `not-run` one after another at a host make the session try another; a full queue alone should not. */
const refusalLimit = 3;

/**
One session. Its statements run one after another on one connection at a time.

@example
```
const session = new session.Session({hosts: ['10.0.1.1:3306', '10.0.2.1:3306'], user: 'secretary', password: 'secret'});
const written = await session.write('INSERT INTO ledger (fund, cents) VALUES (?, ?)', {values: ['bus', 1250], class: 'reimbursement'});
if (Either.isLeft(written) && written.left.kind === 'outcome-unknown') {
	console.error(`look for request ${written.left.requestId}`);
}
await session.end();
```
*/
export class Session {
	readonly #options: Required<Options>;
	readonly #clock: clock.Clock;
	readonly #random: random.Source;
	#connection: mysql.Connection | undefined;
	#host = 0;
	#position: position.Position | null = null;
	#turn: Promise<unknown> = Promise.resolve();
	/** Whether the last OK packet told the session's position. */
	#isPositionKnown = false;
	#refusals = 0;

	constructor(options: Options, time: clock.Clock = new clock.System(), source: random.Source = new random.System()) {
		this.#options = {...defaults, ...options};
		this.#clock = time;
		this.#random = source;
	}

	/** The position that the session's reads see, as `term:index`; null before its first write. */
	get position(): string | null {
		return this.#position && position.format(this.#position);
	}

	/** The entry host of the present or next connection. */
	get host(): string {
		return this.#options.hosts[this.#host % this.#options.hosts.length] ?? '';
	}

	/**
	Goes on from a position that another session gave, so that this one reads that session's writes.

	@example
	```
	second.adopt(first.position);
	```
	*/
	adopt(text: string | null): failure.Outcome<void> {
		const parsed = text === null ? Either.right(null) : position.parse(text);
		return Either.bimap(
			({message}: {message: string}): failure.Failure => ({kind: 'directive', message}),
			(wanted: position.Position | null) => {
				this.#position = position.latest(this.#position, wanted);
				this.#drop();
			},
		)(parsed);
	}

	/**
	Forgets the position, after `position-lost`. Later reads see every acknowledged write, but not the lost ones.

	@example
	```
	if (outcome.left.kind === 'position-lost') {
		session.forget();
	}
	```
	*/
	forget(): void {
		this.#position = null;
		this.#drop();
	}

	/**
	Executes a read. It is repeated at other entry hosts until it is answered or the limit has passed.

	Errors: `not-run`, `database`, `position-lost`, `directive`, `denied`.

	@example
	```
	const outcome = await session.read('SELECT sum(cents) AS cents FROM ledger', {class: 'balance', ageMs: 2000});
	```
	*/
	async read(sql: string, {values = [], ...directives}: Details = {}): Promise<failure.Outcome<Answer>> {
		return this.#inTurn(async () => {
			const end = this.#clock.now() + this.#options.limitMs;
			const text = directive.format(directives) + sql;
			for (;;) {
				const outcome = await this.#attempt(text, values, '', end);
				if (Either.isRight(outcome)) {
					return outcome;
				}

				const miss = outcome.left;
				const mayRepeat = miss.kind === 'lost' || miss.kind === 'not-run' || miss.kind === 'outcome-unknown';
				if (!mayRepeat) {
					return Either.left(miss);
				}

				if (!await this.#pause(end)) {
					return Either.left({kind: 'not-run', message: miss.message});
				}
			}
		});
	}

	/**
	Executes a write at most once. It is repeated after `not-run`, and under the same request id while its outcome is
	unknown, if a record can tell whether it ran (INSERT, UPDATE, DELETE and REPLACE) or it may run twice.

	Errors: all kinds.

	@example
	```
	const outcome = await session.write('UPDATE ledger SET cents = cents - 5 WHERE id = 7', {class: 'reimbursement'});
	```
	*/
	async write(sql: string, details: WriteDetails = {}): Promise<failure.Outcome<Answer>> {
		return this.#inTurn(async () => this.#write(sql, details));
	}

	/**
	Executes a transaction: BEGIN, what `body` sends, and COMMIT, or ROLLBACK when `body` fails. It is not repeated, since
	`body` may do more than send statements; after `not-run` the caller may call it again.

	Errors: what `body` fails with; `not-run` when the transaction was rolled back; `outcome-unknown` when the connection
	was lost at COMMIT.

	@example
	```
	const outcome = await session.transaction(async query => {
		const taken = await query('UPDATE ledger SET cents = cents - 5 WHERE id = 1');
		return Either.isLeft(taken) ? taken : query('UPDATE ledger SET cents = cents + 5 WHERE id = 2');
	});
	```
	*/
	async transaction<T>(body: (query: Query) => Promise<failure.Outcome<T>>, details: Pick<Details, 'class'> = {}): Promise<failure.Outcome<T>> {
		return this.#inTurn(async () => {
			const prefix = directive.format(details);
			const end = this.#clock.now() + this.#options.limitMs;
			const begun = await this.#attempt('BEGIN', [], '', end);
			if (Either.isLeft(begun)) {
				return Either.left(settle(begun.left));
			}

			const connection = this.#connection;
			const query: Query = async (sql, values = []) => connection && connection === this.#connection
				? Either.mapLeft(settle)(await this.#send(connection, prefix + sql, values, ''))
				: Either.left({kind: 'not-run', message: 'the connection was lost and the transaction rolled back'});
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
		await this.#inTurn(async () => {
			const connection = this.#connection;
			this.#connection = undefined;
			try {
				await connection?.end();
			} catch {
				// It was lost already.
			}
		});
	}

	async #write(sql: string, {values = [], requestId, isIdempotent = false, class: name}: WriteDetails): Promise<failure.Outcome<Answer>> {
		const end = this.#clock.now() + this.#options.limitMs;
		const classified = statement.classify(sql);
		if (Either.isLeft(classified)) {
			return Either.left({kind: 'directive', message: classified.left.message});
		}

		const isRepeatable = isIdempotent || classified.right.isRecordable;
		let request = requestId ?? this.#random.name();
		// Once an attempt may have run, only an answer under the same id or a settled `not-run` tells its outcome.
		let isUnknown = false;
		for (;;) {
			// Only a statement that a record covers may carry an id that the caller did not choose.
			const directives = {class: name, ...((isRepeatable || requestId !== undefined) && {request})};
			const outcome = await this.#attempt(directive.format(directives) + sql, values, request, end);
			if (Either.isRight(outcome)) {
				return this.#finishWrite(outcome.right, end);
			}

			const miss = outcome.left;
			if (miss.kind === 'lost' || miss.kind === 'outcome-unknown') {
				isUnknown = true;
			} else if (miss.kind === 'not-run' && miss.isSettled) {
				isUnknown = false;
				if (requestId !== undefined) {
					// A cancelled id can't be used again, and the caller chose it.
					return Either.left({kind: 'not-run', message: miss.message});
				}

				request = this.#random.name();
			} else if (!isUnknown && miss.kind !== 'not-run') {
				return Either.left(miss);
			}

			const isGivenUp = (isUnknown && !isRepeatable) || !await this.#pause(end);
			if (isGivenUp) {
				return Either.left(isUnknown ? {kind: 'outcome-unknown', message: miss.message, requestId: isRepeatable ? request : ''} : {kind: 'not-run', message: miss.message});
			}
		}
	}

	/** Learns the position of a write whose OK packet did not carry it. */
	async #finishWrite(answer: Answer, end: number): Promise<failure.Outcome<Answer>> {
		if (answer.kind === 'ok' && !this.#isPositionKnown) {
			await this.#attempt('SELECT @@sycamorering_position', [], '', end);
		}

		return Either.right(answer);
	}

	async #commit<T>(connection: mysql.Connection | undefined, result: T): Promise<failure.Outcome<T>> {
		if (!connection || connection !== this.#connection) {
			return Either.left({kind: 'not-run', message: 'the connection was lost and the transaction rolled back'});
		}

		const committed = await this.#send(connection, 'COMMIT', [], '');
		if (Either.isLeft(committed)) {
			const miss = committed.left;
			return Either.left(miss.kind === 'lost' ? {kind: 'outcome-unknown', message: miss.message, requestId: ''} : settle(miss));
		}

		await this.#finishWrite(committed.right, this.#clock.now() + this.#options.attemptMs);
		return Either.right(result);
	}

	/** One attempt at the present entry host; a lost connection makes the next attempt go to the next host. */
	async #attempt(sql: string, values: readonly unknown[], requestId: string, end: number): Promise<Attempt> {
		const connected = await this.#connect(end);
		return Either.isLeft(connected) ? connected : this.#send(connected.right, sql, values, requestId);
	}

	async #connect(end: number): Promise<Either.Either<failure.Miss, mysql.Connection>> {
		if (this.#connection) {
			return Either.right(this.#connection);
		}

		const connectTimeout = Math.max(1, Math.min(this.#options.connectMs, end - this.#clock.now()));
		const {user, password} = this.#options;
		try {
			const connection = await mysql.createConnection({
				...address.parse(this.host), user, password, connectTimeout, supportBigNumbers: true,
			});
			connection.on('error', () => {
				if (this.#connection === connection) {
					this.#drop();
				}
			});
			this.#connection = connection;
			if (this.#position) {
				const carried = await this.#send(connection, `SET @sycamorering_position = '${position.format(this.#position)}'`, [], '');
				return Either.map(() => connection)(Either.mapLeft(notSent)(carried));
			}

			return Either.right(connection);
		} catch (error) {
			this.#host++;
			return Either.left(notSent(failure.read(error, '')));
		}
	}

	async #send(connection: mysql.Connection, sql: string, values: readonly unknown[], requestId: string): Promise<Attempt> {
		try {
			const [content] = await connection.query({sql, values: [...values], timeout: this.#options.attemptMs});
			this.#refusals = 0;
			return Either.right(this.#take(content));
		} catch (error) {
			const miss = failure.read(error, requestId);
			this.#refusals = miss.kind === 'not-run' ? this.#refusals + 1 : 0;
			if (miss.kind === 'lost' || this.#refusals >= refusalLimit) {
				this.#drop();
				this.#host++;
				this.#refusals = 0;
			}

			return Either.left(miss);
		}
	}

	#take(content: unknown): Answer {
		if (Array.isArray(content)) {
			const rows = content as Row[];
			this.#note(rows[0]?.['@@sycamorering_position']);
			return {kind: 'rows', rows};
		}

		const {affectedRows, insertId, stateChanges} = content as Header;
		this.#isPositionKnown = this.#note(stateChanges?.gtids?.[0]);
		return {kind: 'ok', affectedRows, insertId};
	}

	/** Takes a position that a host told; says whether there was one. */
	#note(text: unknown): boolean {
		const parsed = typeof text === 'string' ? position.parse(text) : undefined;
		if (!parsed || Either.isLeft(parsed)) {
			return false;
		}

		this.#position = position.latest(this.#position, parsed.right);
		return true;
	}

	/** Waits a little before another attempt; false when the time is over. */
	async #pause(end: number): Promise<boolean> {
		await this.#clock.sleep(attemptPauseMs);
		return this.#clock.now() < end;
	}

	#drop(): void {
		this.#connection?.destroy();
		this.#connection = undefined;
	}

	async #inTurn<T>(body: () => Promise<T>): Promise<T> {
		const before = this.#turn;
		const done = (async () => {
			try {
				await before;
			} catch {
				// Its own caller learns of it.
			}

			return body();
		})();
		this.#turn = done;
		return done;
	}
}

/** A miss before the statement itself was sent. */
function notSent(miss: failure.Miss): failure.Miss {
	return miss.kind === 'denied' || miss.kind === 'directive' ? miss : {kind: 'not-run', message: miss.message, isSettled: false};
}

/** A miss inside a transaction: a lost connection rolls it back. */
function settle(miss: failure.Miss): failure.Failure {
	return miss.kind === 'lost' || miss.kind === 'not-run' ? {kind: 'not-run', message: miss.message} : miss;
}
