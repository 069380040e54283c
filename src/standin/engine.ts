/**
The SQL engine of the database stand-in: SQLite in memory. It keeps a working and a committed copy of the database, so
that reads outside the open transaction see committed data only.
*/
import type * as sqlite from 'sql.js';
import initialize from 'sql.js';
import * as Either from 'fp-ts/lib/Either.js';
import * as errors from '../core/errors.js';
import type * as types from '../generated/types.js';

const varString = 253;
const characterSetUtf8mb4 = 45;
const columnLength = 1024;

/** MySQL error codes by pattern of SQLite's message. */
const errorCodes: Array<readonly [RegExp, number]> = [
	[/UNIQUE constraint failed/v, 1062],
	[/NOT NULL constraint failed/v, 1048],
	[/no such table/v, 1146],
	[/no such column/v, 1054],
	[/syntax error/v, 1064],
];
const codeUnknownError = 1105;

/** An in-memory database with one open transaction at a time. */
export class Engine {
	/** Loads SQLite. `server` is the server name in answers and errors. */
	static async load(server: string): Promise<Engine> {
		return new Engine(server, await initialize());
	}

	readonly #server: string;
	readonly #library: sqlite.SqlJsStatic;
	#committed: sqlite.Database;
	#working: sqlite.Database;

	private constructor(server: string, library: sqlite.SqlJsStatic) {
		this.#server = server;
		this.#library = library;
		this.#committed = new library.Database();
		this.#working = new library.Database();
	}

	/** Executes a read on the committed copy. */
	read(sql: string): errors.Outcome<types.Answer> {
		return this.#execute(this.#committed, sql);
	}

	/** Begins a transaction on the working copy. */
	begin(): void {
		this.#working.run('BEGIN');
	}

	/** Executes a statement in the open transaction. */
	execute(sql: string): errors.Outcome<types.Answer> {
		return this.#execute(this.#working, sql);
	}

	/** Commits the transaction and repeats its writes on the committed copy. */
	commit(writes: readonly string[]): void {
		this.#working.run('COMMIT');
		for (const sql of writes) {
			this.#committed.run(sql);
		}
	}

	/** Rolls back the open transaction. */
	rollback(): void {
		this.#working.run('ROLLBACK');
	}

	/** Applies writes of a transaction that another server committed, or of the initial schema. */
	apply(writes: readonly string[]): void {
		this.begin();
		for (const sql of writes) {
			this.#working.run(sql);
		}

		this.commit(writes);
	}

	/** Replaces both copies by empty databases. */
	clear(): void {
		this.#committed.close();
		this.#working.close();
		this.#committed = new this.#library.Database();
		this.#working = new this.#library.Database();
	}

	#execute(database: sqlite.Database, sql: string): errors.Outcome<types.Answer> {
		try {
			const statement = database.prepare(sql);
			try {
				return Either.right(this.#run(database, statement));
			} finally {
				statement.free();
			}
		} catch (error) {
			const message = error instanceof Error ? error.message : String(error);
			const code = errorCodes.find(([pattern]) => pattern.test(message))?.[1] ?? codeUnknownError;
			return Either.left(errors.database(this.#server, message, code));
		}
	}

	#run(database: sqlite.Database, statement: sqlite.Statement): types.Answer {
		const rows: types.Rows['rows'] = [];
		while (statement.step()) {
			rows.push(statement.get().map(cell => typeof cell === 'number' ? String(cell) : cell));
		}

		const names = statement.getColumnNames();
		if (names.length > 0) {
			return {
				kind: 'rows', columns: names.map(name => column(name)), rows, server: this.#server,
			};
		}

		const insertId = database.exec('SELECT last_insert_rowid()')[0]?.values[0]?.[0];
		return {
			kind: 'ok', affectedRows: database.getRowsModified(), insertId: Number(insertId ?? 0), position: null, server: this.#server,
		};
	}
}

/** Metadata of a text column. */
export function column(name: string): types.Column {
	return {
		name, columnType: varString, characterSet: characterSetUtf8mb4, columnLength, flags: 0, decimals: 0,
	};
}
