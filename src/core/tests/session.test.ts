import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../../generated/types.js';
import * as dispatch from '../dispatch.js';
import * as errors from '../errors.js';
import * as random from '../random.js';
import * as session from '../session.js';

/** Returns a completion for every request, or error 1213 (deadlock) if its text contains `deadlock`. */
class Recorder extends dispatch.Dispatcher {
	readonly executed: types.Request[] = [];
	ended = 0;

	override async execute(request: types.Request): Promise<errors.Outcome<types.Answer>> {
		this.executed.push(request);
		return request.sql.includes('deadlock')
			? Either.left(errors.database('a', 'Deadlock found', 1213))
			: Either.right({
				kind: 'ok', affectedRows: 1, insertId: request.sql.startsWith('INSERT') ? 7 : 0, position: null, server: 'a',
			});
	}

	override async endSession(): Promise<void> {
		this.ended++;
	}
}

async function run(texts: readonly string[]): Promise<{kinds: string[]; recorder: Recorder}> {
	const recorder = new Recorder();
	const services = {find: () => ({class: {}, server: {}}) as unknown as types.Service};
	const current = new session.Session({name: 'u', service: 's', tenant: 't'}, services, recorder, new random.Seeded(1));
	const kinds: string[] = [];
	for (const text of texts) {
		const {outcome} = await current.execute(text);
		kinds.push(Either.isRight(outcome) ? 'ok' : outcome.left.kind);
	}

	return {kinds, recorder};
}

// Guards against executing later statements of a transaction that the server has already rolled back.
test.test('after a deadlock no later statement of the transaction is sent', async () => {
	const {kinds, recorder} = await run(['BEGIN', 'UPDATE deadlock SET a = 1', 'INSERT INTO t VALUES (1)', 'COMMIT', 'INSERT INTO t VALUES (2)']);
	assert.deepEqual(kinds, ['ok', 'database', 'not-run', 'not-run', 'ok']);
	assert.deepEqual(recorder.executed.map(({sql}) => sql), ['BEGIN', 'UPDATE deadlock SET a = 1', 'INSERT INTO t VALUES (2)']);
	assert.equal(recorder.ended, 1);
});

// Guards against an implicit commit, which would make a part of the transaction permanent although it is rolled back later.
test.test('a statement that would commit the open transaction is refused, and the transaction stays open', async () => {
	const {kinds} = await run(['BEGIN', 'CREATE TABLE t (a INT)', 'BEGIN', 'TRUNCATE t', 'INSERT INTO t VALUES (1)', 'COMMIT', 'CREATE TABLE t (a INT)']);
	assert.deepEqual(kinds, ['ok', 'directive', 'directive', 'directive', 'ok', 'ok', 'ok']);
});

// Guards against returning an id that another session generated on the same pooled connection.
test.test('the last generated id is available only inside the transaction that generated it', async () => {
	const {kinds} = await run(['SELECT LAST_INSERT_ID()', 'BEGIN', 'SELECT last_insert_id()', 'INSERT INTO t VALUES (1)', 'SELECT last_insert_id()', 'COMMIT', 'SHOW WARNINGS']);
	assert.deepEqual(kinds, ['directive', 'ok', 'directive', 'ok', 'ok', 'ok', 'directive']);
});

// Guards against accepting a request id for a statement without a record, which could run twice, and against accepting
// session settings that are lost with the pooled connection.
test.test('request ids need a recordable statement, and session settings that would be lost are refused', async () => {
	const {kinds} = await run([
		'/* sycamorering request=r */ CREATE TABLE t (a INT)',
		'/* sycamorering request=r */ DELETE FROM t',
		'SET NAMES utf8mb4, autocommit = 1',
		'SET autocommit = 1, @a = 2',
		'SET sql_mode = \'STRICT_TRANS_TABLES,NO_BACKSLASH_ESCAPES\'',
		'/* c */ SET time_zone = \'+01:00\'',
	]);
	assert.deepEqual(kinds, ['directive', 'ok', 'ok', 'directive', 'directive', 'directive']);
});
