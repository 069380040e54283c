/**
Connections to backend servers, based on mysql2's client.
*/
import * as mysql from 'mysql2';
import * as Either from 'fp-ts/lib/Either.js';
import * as backend from '../core/backend.js';
import * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import * as position from '../core/position.js';
import * as messages from '../generated/messages.js';
import type * as types from '../generated/types.js';

/** Address and credentials of a backend server. */
export type Target = {
	readonly name: string;
	readonly place: string;
	readonly host: string;
	readonly port: number;
	readonly user: string;
	readonly password: string;
};

type Header = {affectedRows: number; insertId: number; stateChanges?: {gtids?: string[]}};
type Field = {name: string; columnType: number; characterSet: number; columnLength: number; flags: number; decimals: number};
type ServerError = Error & {errno?: number; sqlState?: string; fatal?: boolean; code?: string};

/** A backend server that speaks the MySQL protocol. */
export class Server extends backend.Server {
	readonly #target: Target;

	constructor(target: Target) {
		super();
		this.#target = target;
	}

	override get name(): string {
		return this.#target.name;
	}

	override get place(): string {
		return this.#target.place;
	}

	override async connect(timeoutMs: number): Promise<errors.Outcome<backend.Connection>> {
		const {name, host, port, user, password} = this.#target;
		// The timer below replaces the one of mysql2, which would expire before unread input is read.
		const driver = mysql.createConnection({
			host, port, user, password, connectTimeout: 0, supportBigNumbers: true,
		});
		const connection = new Connection(name, driver);
		return new Promise(resolve => {
			const cancelTimer = clock.startTimer(timeoutMs, () => {
				connection.close();
				resolve(errors.fail('not-run', 'connect', name, `no connection within ${timeoutMs} ms`));
			});
			driver.connect(error => {
				cancelTimer();
				if (error) {
					connection.close();
					// An error code from the server itself, such as too many connections, shows that the server is running.
					const {sqlState, errno} = error as ServerError;
					resolve(Either.left({...errors.failure('not-run', 'connect', name, error.message), code: sqlState === undefined ? 0 : errno ?? 0}));
				} else {
					resolve(Either.right(connection));
				}
			});
		});
	}
}

/** One connection to a backend server. */
export class Connection extends backend.Connection {
	override readonly server: string;
	readonly #driver: mysql.Connection;
	readonly #closed = new AbortController();

	constructor(server: string, driver: mysql.Connection) {
		super();
		this.server = server;
		this.#driver = driver;
		driver.on('error', () => {
			this.close();
		});
		driver.on('end', () => {
			this.close();
		});
	}

	override get isOpen(): boolean {
		return !this.#closed.signal.aborted;
	}

	override async execute(sql: string, timeoutMs: number): Promise<errors.Outcome<types.Answer>> {
		if (!this.isOpen) {
			return errors.fail('not-run', 'send', this.server, 'the connection is closed');
		}

		return new Promise(resolve => {
			const finish = (outcome: errors.Outcome<types.Answer>): void => {
				cancelTimer();
				this.#closed.signal.removeEventListener('abort', fail);
				resolve(outcome);
			};

			// The mysql2 library doesn't call the callback of a query if this side closes its connection.
			const fail = (): void => {
				finish(errors.fail('outcome-unknown', 'receive', this.server, 'the connection was closed before the reply arrived'));
			};

			const cancelTimer = clock.startTimer(timeoutMs, () => {
				finish(errors.fail('outcome-unknown', 'receive', this.server, `no complete reply within ${timeoutMs} ms`));
				this.close();
			});
			this.#closed.signal.addEventListener('abort', fail);
			this.#driver.query({sql, rowsAsArray: true, typeCast: decodeCell}, (error, content, fields) => {
				finish(error ? this.#toFailure(error) : Either.right(this.#toAnswer(content, fields as unknown as Field[])));
			});
		});
	}

	override async status(timeoutMs: number): Promise<errors.Outcome<types.Status>> {
		return this.#callProcedure('CALL group_status()', 'observe', messages.validateStatus, timeoutMs);
	}

	override async adoptTerm(term: number, claimant: string, timeoutMs: number): Promise<errors.Outcome<types.Grant>> {
		const sql = mysql.format('CALL group_adopt_term(?, ?)', [term, claimant]);
		return this.#callProcedure(sql, 'claim', messages.validateGrant, timeoutMs);
	}

	override async promote(term: number, claimant: string, timeoutMs: number): Promise<errors.Outcome<types.Grant>> {
		const sql = mysql.format('CALL group_promote(?, ?)', [term, claimant]);
		return this.#callProcedure(sql, 'promote', messages.validateGrant, timeoutMs);
	}

	override async follow(primary: string, term: number, timeoutMs: number): Promise<errors.Outcome<types.Grant>> {
		const sql = mysql.format('CALL group_follow(?, ?)', [primary, term]);
		return this.#callProcedure(sql, 'follow', messages.validateGrant, timeoutMs);
	}

	override async wait(minPosition: position.Position, waitMs: number, timeoutMs: number): Promise<errors.Outcome<types.Status>> {
		const sql = mysql.format('CALL group_wait(?, ?, ?)', [minPosition.term, minPosition.index, Math.round(waitMs)]);
		return this.#callProcedure(sql, 'observe', messages.validateStatus, timeoutMs);
	}

	override async reset(timeoutMs: number): Promise<errors.Outcome<void>> {
		if (!this.isOpen) {
			return errors.fail('not-run', 'reset', this.server, 'the connection is closed');
		}

		// COM_RESET_CONNECTION rolls back the transaction and also drops locks, temporary tables and variables.
		return new Promise(resolve => {
			const cancelTimer = clock.startTimer(timeoutMs, () => {
				this.close();
				resolve(errors.fail('outcome-unknown', 'reset', this.server, `no reply within ${timeoutMs} ms`));
			});
			this.#driver.reset(error => {
				cancelTimer();
				resolve(error ? this.#toFailure(error) : Either.right(undefined));
			});
		});
	}

	override close(): void {
		this.#driver.destroy();
		this.#closed.abort();
	}

	override whenClosed(listener: () => void): void {
		this.#closed.signal.addEventListener('abort', listener, {once: true});
	}

	/** Calls one of the group's stored procedures, which return one JSON document in one row. */
	async #callProcedure<T>(sql: string, step: errors.Step, isValid: (data: unknown) => data is T, timeoutMs: number): Promise<errors.Outcome<T>> {
		const outcome = await this.execute(sql, timeoutMs);
		if (Either.isLeft(outcome)) {
			return outcome;
		}

		const cell = outcome.right.kind === 'rows' ? outcome.right.rows[0]?.[0] : undefined;
		const data = parseJson(cell);
		return isValid(data)
			? Either.right(data)
			: errors.fail('database', step, this.server, `unexpected result of ${sql}`);
	}

	#toFailure(error: ServerError): errors.Outcome<never> {
		if (error.sqlState !== undefined && !error.fatal) {
			return Either.left(errors.database(this.server, error.message, error.errno ?? 0));
		}

		this.close();
		return errors.fail('outcome-unknown', 'receive', this.server, `connection lost: ${error.message}`);
	}

	#toAnswer(content: unknown, fields: Field[] | undefined): types.Answer {
		if (Array.isArray(fields?.[0])) {
			// A procedure returns a result set and an OK packet, which mysql2 passes as two results.
			const [rows] = content as unknown[];
			return this.#toAnswer(rows, fields[0] as Field[]);
		}

		if (fields) {
			return {
				kind: 'rows', columns: fields.map(field => toColumn(field)), rows: content as types.Rows['rows'], server: this.server,
			};
		}

		const header = content as Header;
		return {
			kind: 'ok', affectedRows: header.affectedRows, insertId: header.insertId, position: parsePosition(header), server: this.server,
		};
	}
}

const binaryTypes = new Set(['TINY_BLOB', 'MEDIUM_BLOB', 'LONG_BLOB', 'BLOB', 'BIT', 'GEOMETRY']);

function decodeCell(field: {type: string; string(): string | null; buffer(): Uint8Array | null}): string | Uint8Array | null {
	return binaryTypes.has(field.type) ? field.buffer() : field.string();
}

function toColumn(field: Field): types.Column {
	return {
		name: field.name,
		columnType: field.columnType,
		characterSet: field.characterSet,
		columnLength: field.columnLength,
		flags: Number(field.flags),
		decimals: field.decimals,
	};
}

function parsePosition(header: Header): types.Position | null {
	const text = header.stateChanges?.gtids?.[0];
	return text === undefined ? null : Either.getOrElse<unknown, types.Position | null>(() => null)(position.parse(text));
}

function parseJson(cell: string | Uint8Array | null | undefined): unknown {
	try {
		return typeof cell === 'string' ? JSON.parse(cell) as unknown : undefined;
	} catch {
		return undefined;
	}
}
