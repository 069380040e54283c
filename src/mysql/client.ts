/**
Connections to backend servers by mysql2's client.
*/
import * as mysql from 'mysql2';
import * as Either from 'fp-ts/lib/Either.js';
import * as backend from '../core/backend.js';
import * as errors from '../core/errors.js';
import * as position from '../core/position.js';
import * as messages from '../generated/messages.js';
import type * as types from '../generated/types.js';

/** Where and as whom to connect. */
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
		const wire = mysql.createConnection({
			host, port, user, password, connectTimeout: timeoutMs, supportBigNumbers: true,
		});
		const connection = new Connection(name, wire);
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				connection.close();
				resolve(errors.fail('not-run', 'connect', name, `no connection within ${timeoutMs} ms`));
			}, timeoutMs);
			wire.connect(error => {
				clearTimeout(timer);
				if (error) {
					connection.close();
					// A server that answers with an error of its own, such as too many connections, is alive.
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
	readonly #wire: mysql.Connection;
	readonly #closed = new AbortController();

	constructor(server: string, wire: mysql.Connection) {
		super();
		this.server = server;
		this.#wire = wire;
		wire.on('error', () => {
			this.close();
		});
		wire.on('end', () => {
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
				clearTimeout(timer);
				this.#closed.signal.removeEventListener('abort', fail);
				resolve(outcome);
			};

			// The library does not call back a query whose connection this side closes.
			const fail = (): void => {
				finish(errors.fail('outcome-unknown', 'receive', this.server, 'the connection was closed before the answer'));
			};

			const timer = setTimeout(() => {
				finish(errors.fail('outcome-unknown', 'receive', this.server, `no complete answer within ${timeoutMs} ms`));
				this.close();
			}, timeoutMs);
			this.#closed.signal.addEventListener('abort', fail);
			this.#wire.query({sql, rowsAsArray: true, typeCast: readCell}, (error, content, fields) => {
				finish(error ? this.#refuse(error) : Either.right(this.#read(content, fields as unknown as Field[])));
			});
		});
	}

	override async status(timeoutMs: number): Promise<errors.Outcome<types.Status>> {
		return this.#call('CALL group_status()', 'observe', messages.validateStatus, timeoutMs);
	}

	override async adoptTerm(term: number, claimant: string, timeoutMs: number): Promise<errors.Outcome<types.Grant>> {
		const sql = mysql.format('CALL group_adopt_term(?, ?)', [term, claimant]);
		return this.#call(sql, 'claim', messages.validateGrant, timeoutMs);
	}

	override async promote(term: number, claimant: string, timeoutMs: number): Promise<errors.Outcome<types.Grant>> {
		const sql = mysql.format('CALL group_promote(?, ?)', [term, claimant]);
		return this.#call(sql, 'promote', messages.validateGrant, timeoutMs);
	}

	override async follow(primary: string, term: number, timeoutMs: number): Promise<errors.Outcome<types.Grant>> {
		const sql = mysql.format('CALL group_follow(?, ?)', [primary, term]);
		return this.#call(sql, 'follow', messages.validateGrant, timeoutMs);
	}

	override async wait(wanted: position.Position, waitMs: number, timeoutMs: number): Promise<errors.Outcome<types.Status>> {
		const sql = mysql.format('CALL group_wait(?, ?, ?)', [wanted.term, wanted.index, Math.round(waitMs)]);
		return this.#call(sql, 'observe', messages.validateStatus, timeoutMs);
	}

	override async reset(timeoutMs: number): Promise<errors.Outcome<void>> {
		if (!this.isOpen) {
			return errors.fail('not-run', 'reset', this.server, 'the connection is closed');
		}

		// COM_RESET_CONNECTION rolls back, and also drops locks, temporary tables and variables.
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.close();
				resolve(errors.fail('outcome-unknown', 'reset', this.server, `no answer within ${timeoutMs} ms`));
			}, timeoutMs);
			this.#wire.reset(error => {
				clearTimeout(timer);
				resolve(error ? this.#refuse(error) : Either.right(undefined));
			});
		});
	}

	override close(): void {
		this.#wire.destroy();
		this.#closed.abort();
	}

	override whenClosed(ended: () => void): void {
		this.#closed.signal.addEventListener('abort', ended, {once: true});
	}

	/** Calls a procedure of the group, which answers with one JSON document in one row. */
	async #call<T>(sql: string, step: errors.Step, isValid: (data: unknown) => data is T, timeoutMs: number): Promise<errors.Outcome<T>> {
		const outcome = await this.execute(sql, timeoutMs);
		if (Either.isLeft(outcome)) {
			return outcome;
		}

		const cell = outcome.right.kind === 'rows' ? outcome.right.rows[0]?.[0] : undefined;
		const data = readJson(cell);
		return isValid(data)
			? Either.right(data)
			: errors.fail('database', step, this.server, `unexpected answer to ${sql}`);
	}

	#refuse(error: ServerError): errors.Outcome<never> {
		if (error.sqlState !== undefined && !error.fatal) {
			return Either.left(errors.database(this.server, error.message, error.errno ?? 0));
		}

		this.close();
		return errors.fail('outcome-unknown', 'receive', this.server, `connection lost: ${error.message}`);
	}

	#read(content: unknown, fields: Field[] | undefined): types.Answer {
		if (Array.isArray(fields?.[0])) {
			// A procedure answers with its result set and an OK packet, which the library gives as two results.
			const [rows] = content as unknown[];
			return this.#read(rows, fields[0] as Field[]);
		}

		if (fields) {
			return {
				kind: 'rows', columns: fields.map(field => readColumn(field)), rows: content as types.Rows['rows'], server: this.server,
			};
		}

		const header = content as Header;
		return {
			kind: 'ok', affectedRows: header.affectedRows, insertId: header.insertId, position: readPosition(header), server: this.server,
		};
	}
}

const binaryTypes = new Set(['TINY_BLOB', 'MEDIUM_BLOB', 'LONG_BLOB', 'BLOB', 'BIT', 'GEOMETRY']);

function readCell(field: {type: string; string(): string | null; buffer(): Uint8Array | null}): string | Uint8Array | null {
	return binaryTypes.has(field.type) ? field.buffer() : field.string();
}

function readColumn(field: Field): types.Column {
	return {
		name: field.name,
		columnType: field.columnType,
		characterSet: field.characterSet,
		columnLength: field.columnLength,
		flags: Number(field.flags),
		decimals: field.decimals,
	};
}

function readPosition(header: Header): types.Position | null {
	const text = header.stateChanges?.gtids?.[0];
	return text === undefined ? null : Either.getOrElse<unknown, types.Position | null>(() => null)(position.parse(text));
}

function readJson(cell: string | Uint8Array | null | undefined): unknown {
	try {
		return typeof cell === 'string' ? JSON.parse(cell) as unknown : undefined;
	} catch {
		return undefined;
	}
}
