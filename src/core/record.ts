/**
Records of requests in the backend database, written in the same transaction as the request. A record shows whether a
request ran, on any entry host and after a failover, without a separate store.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as backend from './backend.js';
import type * as errors from './errors.js';

/** Statement that creates the table of records. Operators run it once for each database. */
export const schema = 'CREATE TABLE IF NOT EXISTS sycamorering_request (id VARCHAR(191) PRIMARY KEY, state VARCHAR(16) NOT NULL, affected_rows BIGINT NOT NULL, insert_id BIGINT NOT NULL)';

/** MySQL's error code for a duplicate key. */
const codeDuplicate = 1062;

/** State of a request: `done` if it ran, `cancelled` if it has not run and never can. */
export type State = 'done' | 'cancelled';

/** The content of a record. */
export type Content = {readonly state: State; readonly affectedRows: number; readonly insertId: number};

/**
The id of a request's record, which begins with the tenant, so that ids of different tenants never collide. The schema
of the configuration and the pattern of the directive limit both parts to characters that need no escaping in SQL.
*/
export function id(request: types.Request): string {
	return `${request.tenant}/${request.requestId}`;
}

/**
Inserts a record, in the connection's open transaction if there is one.

@example
```
const outcome = await record.insert(connection, record.id(request), {state: 'done', affectedRows: 1, insertId: 7}, 1000);
```
*/
export async function insert(connection: backend.Connection, recordId: string, content: Content, timeoutMs: number): Promise<errors.Outcome<types.Answer>> {
	const {state, affectedRows, insertId} = content;
	return connection.execute(
		`INSERT INTO sycamorering_request (id, state, affected_rows, insert_id) VALUES ('${recordId}', '${state}', ${affectedRows}, ${insertId})`,
		timeoutMs,
	);
}

/** Whether an insertion failed because a record of this id exists. */
export function isDuplicate(failure: errors.Failure): boolean {
	return failure.kind === 'database' && failure.code === codeDuplicate;
}

/**
Finds a record by its id; null if there is none.

@example
```
const found = await record.find(connection, record.id(request), 1000);
```
*/
export async function find(connection: backend.Connection, recordId: string, timeoutMs: number): Promise<errors.Outcome<Content | null>> {
	const outcome = await connection.execute(`SELECT state, affected_rows, insert_id FROM sycamorering_request WHERE id = '${recordId}'`, timeoutMs);
	return Either.map((answer: types.Answer): Content | null => {
		const row = answer.kind === 'rows' ? answer.rows[0] : undefined;
		return row ? {state: row[0] === 'done' ? 'done' : 'cancelled', affectedRows: Number(row[1]), insertId: Number(row[2])} : null;
	})(outcome);
}
